package rowstest

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotcrank.dev/jobs/rows"
)

// Fault is what goes wrong with one call.
type Fault uint8

// Faults of a call.
const (
	None    Fault = iota
	Down          // Nothing is done, and the caller is told so.
	Silent        // Nothing is done, and there is no answer.
	Lost          // The call is carried out, and there is no answer.
	Delayed       // There is no answer, and the call is carried out later if its conditions still hold.
)

// ErrNoAnswer is the error of a call without answer.
var ErrNoAnswer = errors.New("no answer")

// Store is an in-memory store. The zero value is empty and has no faults.
type Store struct {
	// Delay is how long a delayed call takes. Default 3 s.
	Delay time.Duration
	// Latency is how long each call takes.
	Latency time.Duration
	// PartTime is how long a part takes for each of its transactions, one after the
	// other. Transactions that would wait for more than partQueue are rejected.
	PartTime time.Duration

	mu      sync.Mutex
	fault   func(rows.Tx) Fault
	version rows.Version
	rows    map[rows.Key]rows.Row
	log     []rows.Row // All changes, in order.
	dropped rows.Version
	changed chan struct{}
	commits int
	busy    map[string]time.Time // When the last transaction of a part ends.
}

const partQueue = time.Second

const defaultDelay = 3 * time.Second

var _ rows.Store = (*Store)(nil)

// Commits returns the number of commits that were called.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped, s.log = s.version, nil
}

// Commit implements [rows.Store].
func (s *Store) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	if err := wait(ctx, s.Latency); err != nil {
		return rows.Result{}, err
	}
	if err := s.takeTurn(ctx, tx); err != nil {
		return rows.Result{}, err
	}
	switch s.chooseFault(tx) {
	case Down:
		return rows.Result{}, rows.ErrNotDone
	case Silent:
		return rows.Result{}, noAnswer(ctx)
	case Lost:
		s.apply(tx)
		return rows.Result{}, noAnswer(ctx)
	case Delayed:
		delay := s.Delay
		if delay == 0 {
			delay = defaultDelay
		}
		time.AfterFunc(delay, func() { s.apply(tx) })
		return rows.Result{}, noAnswer(ctx)
	}
	return s.apply(tx), nil
}

// takeTurn waits for the earlier transactions of the same part.
func (s *Store) takeTurn(ctx context.Context, tx rows.Tx) error {
	s.mu.Lock()
	if s.PartTime == 0 || len(tx.Expect) == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.busy == nil {
		s.busy = map[string]time.Time{}
	}
	part, now := tx.Expect[0].Part, time.Now()
	begins := s.busy[part]
	if begins.Before(now) {
		begins = now
	}
	if begins.Sub(now) > partQueue {
		s.mu.Unlock()
		return rows.ErrNotDone
	}
	ends := begins.Add(s.PartTime)
	s.busy[part] = ends
	s.mu.Unlock()
	return wait(ctx, ends.Sub(now))
}

// SetFault sets what chooses the fault of each commit; nil for none.
func (s *Store) SetFault(choose func(rows.Tx) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = choose
}

// Locked runs f while no fault is being chosen.
func (s *Store) Locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *Store) chooseFault(tx rows.Tx) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == nil {
		return None
	}
	return s.fault(tx)
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func noAnswer(ctx context.Context) error {
	<-ctx.Done()
	return ErrNoAnswer
}

// Put writes a row without condition and without faults, as the platform or its operator do.
func (s *Store) Put(row rows.Row) {
	s.apply(rows.Tx{Set: []rows.Row{row}})
}

func (s *Store) apply(tx rows.Tx) rows.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	holds := true
	var found []rows.Row
	for _, e := range tx.Expect {
		row, ok := s.rows[e.Key]
		if ok {
			found = append(found, row)
		}
		holds = holds && row.Version == e.Version
	}
	if !holds {
		return rows.Result{Found: found}
	}
	s.version++
	if s.rows == nil {
		s.rows = map[rows.Key]rows.Row{}
	}
	for _, row := range tx.Set {
		row.Version = s.version
		s.rows[row.Key] = row
		s.log = append(s.log, row)
	}
	for _, key := range tx.Delete {
		delete(s.rows, key)
		s.log = append(s.log, rows.Row{Key: key, Version: s.version, Deleted: true})
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return rows.Result{Applied: true, Version: s.version}
}

// Read implements [rows.Store].
func (s *Store) Read(ctx context.Context, table, part, from string) (rows.Page, error) {
	if err := wait(ctx, s.Latency); err != nil {
		return rows.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rows.Page{Version: s.version}
	for key, row := range s.rows {
		if key.Table == table && key.Part == part && key.Name >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rows.Row) int { return strings.Compare(a.Name, b.Name) })
	return page, nil
}

// Feed implements [rows.Store].
func (s *Store) Feed(ctx context.Context, table string, after rows.Version, limit time.Duration) (rows.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		page, changed, err := s.changes(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return page, nil
		}
	}
}

func (s *Store) changes(table string, after rows.Version) (rows.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped {
		return rows.Page{}, nil, rows.ErrHistoryGone
	}
	page := rows.Page{Version: s.version}
	for _, row := range s.log {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return page, s.changed, nil
}
