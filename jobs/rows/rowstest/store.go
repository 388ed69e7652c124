package rowstest

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotcrank.dev/jobs/rows"
)

// Fault is a fault injected into one call.
type Fault uint8

// Faults of a call.
const (
	NoFault      Fault = iota
	Rejected           // The call is not executed and returns [rows.ErrNotExecuted].
	RequestLost        // The call is not executed and gets no reply.
	ResponseLost       // The call is executed, but gets no reply.
	Delayed            // The call gets no reply and is executed later, if its expectations still hold.
)

// ErrNoReply is returned for a call that gets no reply.
var ErrNoReply = errors.New("no reply from the test store")

// Store is an in-memory store. The zero value is empty and has no faults.
type Store struct {
	// Delay is the time until a delayed call is executed. Default 3 s.
	Delay time.Duration
	// Latency is the duration of each call.
	Latency time.Duration
	// PageRows is the maximum number of rows that a read returns; 0 for no limit.
	PageRows int
	// PartServiceTime is the duration of each transaction of a part; a part executes its
	// transactions sequentially. Transactions that would wait longer than maxPartWait are
	// rejected.
	PartServiceTime time.Duration

	mu            sync.Mutex
	selectFault   func(rows.Tx) Fault
	version       rows.Version
	rows          map[rows.Key]rows.Row
	history       []rows.Row // All changes since the history was last dropped, in order.
	droppedUpTo   rows.Version
	changed       chan struct{}
	commits       int
	partBusyUntil map[string]time.Time // When the last queued transaction of a part ends, by part.
}

const maxPartWait = time.Second

// maxTxRows is the maximum number of rows of a transaction, including the expected ones.
const maxTxRows = 100

// maxValueBytes is the maximum size of a value in base64.
const maxValueBytes = 64 << 10

const defaultDelay = 3 * time.Second

var _ rows.Store = (*Store)(nil)

// Commits returns the number of transactions that reached the store, applied or not.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// TakeVersion returns the version of a transaction that changes no row of the test, such as the
// takeover that determines the fence of an owner.
func (s *Store) TakeVersion() rows.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	return s.version
}

// DropHistory discards the history of changes, so that feeds from older versions fail.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedUpTo, s.history = s.version, nil
}

// Commit implements [rows.Store]. Like the platform's store, it rejects a row without a
// value or with a large one, more rows than a transaction may have, and rows of several parts unless the
// transaction allows them.
func (s *Store) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	if slices.ContainsFunc(tx.Set, func(row rows.Row) bool { return len(row.Value) == 0 }) {
		return rows.Result{}, fmt.Errorf("a row has no value: %w", rows.ErrNotExecuted)
	}
	if slices.ContainsFunc(tx.Set, func(row rows.Row) bool { return base64.StdEncoding.EncodedLen(len(row.Value)) > maxValueBytes }) {
		return rows.Result{}, fmt.Errorf("a value is too large: %w", rows.ErrNotExecuted)
	}
	if n := len(tx.Expect) + len(tx.Set) + len(tx.Delete); n > maxTxRows {
		return rows.Result{}, fmt.Errorf("%d rows in a transaction, more than %d: %w", n, maxTxRows, rows.ErrNotExecuted)
	}
	if !tx.CrossPart && partCount(tx) > 1 {
		return rows.Result{}, fmt.Errorf("the rows are in several parts: %w", rows.ErrNotExecuted)
	}
	if err := sleep(ctx, s.Latency); err != nil {
		return rows.Result{}, err
	}
	if err := s.waitForPart(ctx, tx); err != nil {
		return rows.Result{}, err
	}
	switch s.faultOf(tx) {
	case Rejected:
		return rows.Result{}, rows.ErrNotExecuted
	case RequestLost:
		return rows.Result{}, waitWithoutReply(ctx)
	case ResponseLost:
		s.apply(tx)
		return rows.Result{}, waitWithoutReply(ctx)
	case Delayed:
		delay := s.Delay
		if delay == 0 {
			delay = defaultDelay
		}
		time.AfterFunc(delay, func() { s.apply(tx) })
		return rows.Result{}, waitWithoutReply(ctx)
	}
	return s.apply(tx), nil
}

// partCount returns the number of parts that have rows of a transaction.
func partCount(tx rows.Tx) int {
	parts := map[string]bool{}
	for _, e := range tx.Expect {
		parts[e.Part] = true
	}
	for _, row := range tx.Set {
		parts[row.Part] = true
	}
	for _, key := range tx.Delete {
		parts[key.Part] = true
	}
	return len(parts)
}

// waitForPart waits until the earlier transactions of the same part and this one have
// been executed.
func (s *Store) waitForPart(ctx context.Context, tx rows.Tx) error {
	s.mu.Lock()
	if s.PartServiceTime == 0 || len(tx.Expect) == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.partBusyUntil == nil {
		s.partBusyUntil = map[string]time.Time{}
	}
	part, now := tx.Expect[0].Part, time.Now()
	begins := s.partBusyUntil[part]
	if begins.Before(now) {
		begins = now
	}
	if begins.Sub(now) > maxPartWait {
		s.mu.Unlock()
		return rows.ErrNotExecuted
	}
	ends := begins.Add(s.PartServiceTime)
	s.partBusyUntil[part] = ends
	s.mu.Unlock()
	return sleep(ctx, ends.Sub(now))
}

// SetFault sets the function that chooses the fault of each commit; nil for no faults.
func (s *Store) SetFault(choose func(rows.Tx) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selectFault = choose
}

// WithLock runs f under the store's lock, so that f can change state used by the
// function that chooses faults.
func (s *Store) WithLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *Store) faultOf(tx rows.Tx) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.selectFault == nil {
		return NoFault
	}
	return s.selectFault(tx)
}

// sleep waits without a timer if d is zero. In a synctest bubble the race detector can crash
// when several goroutines receive from such timers at the same time.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func waitWithoutReply(ctx context.Context) error {
	<-ctx.Done()
	return ErrNoReply
}

// Row returns a row as it is now, without latency or faults.
func (s *Store) Row(key rows.Key) (row rows.Row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok = s.rows[key]
	return row, ok
}

// Put writes a row unconditionally and without faults, as the platform or its operator do.
func (s *Store) Put(row rows.Row) {
	s.apply(rows.Tx{Set: []rows.Row{row}})
}

// Drop deletes a row unconditionally and without faults.
func (s *Store) Drop(key rows.Key) {
	s.apply(rows.Tx{Delete: []rows.Key{key}})
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
		return rows.Result{CurrentRows: found}
	}
	s.version++
	if s.rows == nil {
		s.rows = map[rows.Key]rows.Row{}
	}
	for _, row := range tx.Set {
		row.Version = s.version
		s.rows[row.Key] = row
		s.history = append(s.history, row)
	}
	for _, key := range tx.Delete {
		delete(s.rows, key)
		s.history = append(s.history, rows.Row{Key: key, Version: s.version, Deleted: true})
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return rows.Result{Applied: true, Version: s.version}
}

// Read implements [rows.Store].
func (s *Store) Read(ctx context.Context, table, part, from string) (rows.Page, error) {
	if err := sleep(ctx, s.Latency); err != nil {
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
	if s.PageRows > 0 && len(page.Rows) > s.PageRows {
		page.Rows, page.More = page.Rows[:s.PageRows], true
	}
	return page, nil
}

// Feed implements [rows.Store].
func (s *Store) Feed(ctx context.Context, table string, after rows.Version, limit time.Duration) (rows.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		page, changed, err := s.changesAfter(table, after)
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

func (s *Store) changesAfter(table string, after rows.Version) (rows.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedUpTo {
		return rows.Page{}, nil, rows.ErrHistoryGone
	}
	page := rows.Page{Version: s.version}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return page, s.changed, nil
}
