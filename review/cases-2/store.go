package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the stand-in of the table service, as the users' pages state them.
const (
	txTime        = 3 * time.Millisecond // Of one transaction in its part.
	replyTime     = 4 * time.Millisecond // Of an answer, with the transaction.
	maxPartQueue  = time.Second
	maxTxEntries  = 100
	maxTxBytes    = 1 << 20
	maxPageRows   = 500
	maxValueChars = 64 << 10
)

type rowKey struct{ Table, Part, Key string }

type wireRow struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Version   *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

func (r wireRow) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's table service.
type store struct {
	startedAt time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowKey]wireRow
	history []wireRow
	changed chan struct{}
	// slowness is how many times as long all answers take.
	slowness  int
	busyUntil map[string]time.Time // By part.
}

func newStore() *store {
	return &store{startedAt: time.Now(), rows: map[rowKey]wireRow{}, changed: make(chan struct{}), slowness: 1, busyUntil: map[string]time.Time{}}
}

func (s *store) setSlowness(times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowness = times
}

func (s *store) times(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.slowness) * d
}

// waitForParts waits until the parts of a transaction, which execute one after the other, have executed it. It
// reports false if too many wait.
func (s *store) waitForParts(parts map[string]bool) bool {
	took := s.times(txTime) * time.Duration(max(1, min(len(parts), 2)))
	s.mu.Lock()
	now := time.Now()
	begins := now
	for p := range parts {
		if s.busyUntil[p].After(begins) {
			begins = s.busyUntil[p]
		}
	}
	if begins.Sub(now) > maxPartQueue {
		s.mu.Unlock()
		return false
	}
	for p := range parts {
		s.busyUntil[p] = begins.Add(took)
	}
	s.mu.Unlock()
	time.Sleep(begins.Add(took).Sub(now))
	return true
}

// put writes a row as the platform or its operator does.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		fail("encode row %s/%s: %v", table, key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked([]wireRow{{Table: table, Key: key, Value: encoded}}, nil)
}

// remove deletes a row as the platform does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(nil, []wireRow{{Table: table, Key: key}})
}

func (s *store) applyLocked(set, drop []wireRow) {
	s.version++
	version := s.version
	for _, r := range set {
		r.Version, r.Tombstone = &version, false
		s.rows[r.key()] = r
		s.history = append(s.history, r)
	}
	for _, r := range drop {
		delete(s.rows, r.key())
		s.history = append(s.history, wireRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: &version, Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-parts", s.serveParts)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	return mux
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect []wireRow `json:"expect"`
		Set    []wireRow `json:"set-keys"`
		Delete []wireRow `json:"delete-keys"`
		Across bool      `json:"across"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxBytes)).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	parts := map[string]bool{}
	for _, e := range slices.Concat(tx.Expect, tx.Set, tx.Delete) {
		parts[e.Part] = true
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(e.Value)*4/3 > maxValueChars {
			http.Error(w, "a value is too large", http.StatusBadRequest)
			return
		}
	}
	if len(tx.Expect)+len(tx.Set)+len(tx.Delete) > maxTxEntries || len(parts) > 1 && !tx.Across {
		http.Error(w, "too many entries or parts", http.StatusBadRequest)
		return
	}
	if !s.waitForParts(parts) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	rest := s.times(replyTime - txTime)
	defer time.Sleep(rest) // The answer leaves when the handler returns.
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []wireRow{}
	for _, e := range tx.Expect {
		row, ok := s.rows[e.key()]
		found := uint64(0)
		if ok {
			found = *row.Version
			current = append(current, row)
		}
		holds = holds && e.Version != nil && *e.Version == found
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "now-ms": s.nowMS()})
		return
	}
	s.applyLocked(tx.Set, tx.Delete)
	writeJSON(w, http.StatusOK, map[string]any{"ver": s.version, "now-ms": s.nowMS()})
}

func (s *store) nowMS() int64 { return time.Since(s.startedAt).Milliseconds() }

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(s.times(replyTime))
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []wireRow{}
	for key, row := range s.rows {
		if key.Table == q.Get("table") && key.Part == q.Get("part") && key.Key >= q.Get("from") && (q.Get("target") == "" || key.Key < q.Get("target")) {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, limit)
	}
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": list, "has-more": more, "ver": s.version, "now-ms": s.nowMS()})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for key := range s.rows {
		if key.Table == r.URL.Query().Get("table") && key.Part > r.URL.Query().Get("after") {
			seen[key.Part] = true
		}
	}
	parts := []string{}
	for p := range seen {
		parts = append(parts, p)
	}
	slices.Sort(parts)
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts, "ver": s.version, "now-ms": s.nowMS()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || waitErr != nil || wait > 30_000 {
		http.Error(w, "after or wait-ms is wrong", http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		list, changed, version := []wireRow{}, s.changed, s.version
		for _, row := range s.history {
			if row.Table == q.Get("table") && *row.Version > after {
				list = append(list, row)
			}
		}
		s.mu.Unlock()
		if len(list) > 0 || wait == 0 {
			time.Sleep(s.times(replyTime))
			writeJSON(w, http.StatusOK, map[string]any{"rows": list, "has-more": false, "ver": version, "now-ms": s.nowMS()})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// It fails only when the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}
