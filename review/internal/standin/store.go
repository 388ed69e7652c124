package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the users' pages state them.
const (
	rowBytes      = 65536
	maxKeyBytes   = 200
	maxTxEntries  = 100
	maxTxBytes    = 1 << 20
	maxPageRows   = 500
	transactionMS = 3
)

type rowKey struct{ Table, Part, Key string }

type storedRow struct {
	rowKey
	value   []byte
	version uint64
	deleted bool
}

type wireRow struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Version   *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

func (w wireRow) rowKey() rowKey { return rowKey{w.Table, w.Part, w.Key} }

func (r storedRow) wire() wireRow {
	version := r.version
	return wireRow{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.value, Version: &version, Tombstone: r.deleted}
}

// Store is the platform's table service. It refuses what exceeds its limits with 400.
type Store struct {
	record  *Record
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowKey]storedRow
	history []storedRow
	changed chan struct{}
	refused int // Calls that exceeded a limit.
}

// NewStore returns an empty store.
func NewStore(record *Record) *Store {
	return &Store{record: record, started: time.Now(), rows: map[rowKey]storedRow{}, changed: make(chan struct{})}
}

// Put writes a row as the operator or a worker does.
func (s *Store) Put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(storedRow{rowKey: rowKey{table, "", key}, value: encoded, version: s.version})
}

// Remove deletes a row as the platform does when a worker has left.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(storedRow{rowKey: rowKey{table, "", key}, version: s.version, deleted: true})
}

// Refused returns the number of calls that exceeded a limit.
func (s *Store) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// write stores a row. The caller holds the lock.
func (s *Store) write(r storedRow) {
	if r.deleted {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the calls of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	return mux
}

func (s *Store) nowMS() int64 { return time.Since(s.started).Milliseconds() }

// checkLimits returns why a transaction exceeds a limit of the store, or "".
func checkLimits(expect, set, remove []wireRow, across bool, size int64) string {
	if len(expect)+len(set)+len(remove) > maxTxEntries {
		return "more than 100 entries"
	}
	if size > maxTxBytes {
		return "more than 1 MB"
	}
	for _, r := range set {
		if len(r.Value) > rowBytes {
			return "the value of row " + r.Key + " in table " + r.Table + " has " + strconv.Itoa(len(r.Value)) + " bytes, more than row-bytes"
		}
	}
	parts := map[string]bool{}
	for _, list := range [][]wireRow{expect, set, remove} {
		for _, r := range list {
			parts[r.Part] = true
			if max(len(r.Table), len(r.Part), len(r.Key)) > maxKeyBytes {
				return "a name has more than 200 bytes"
			}
		}
	}
	if len(parts) > 1 && !across {
		return "several parts without across"
	}
	return ""
}

func (s *Store) serveTx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []wireRow `json:"expect"`
		Set    []wireRow `json:"set-keys"`
		Delete []wireRow `json:"delete-keys"`
		Across bool      `json:"across"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(transactionMS * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := checkLimits(body.Expect, body.Set, body.Delete, body.Across, r.ContentLength); reason != "" {
		s.refused++
		if s.refused <= 20 {
			s.record.Printf("store: a transaction is refused with 400: %s", reason)
		}
		http.Error(w, reason, http.StatusBadRequest)
		return
	}
	holds, current := true, []wireRow{}
	for _, e := range body.Expect {
		row, ok := s.rows[e.rowKey()]
		if ok {
			current = append(current, row.wire())
		}
		if e.Version == nil || row.version != *e.Version {
			holds = false
		}
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "now-ms": s.nowMS()})
		return
	}
	s.version++
	for _, e := range body.Set {
		s.write(storedRow{rowKey: e.rowKey(), value: e.Value, version: s.version})
	}
	for _, e := range body.Delete {
		if _, ok := s.rows[e.rowKey()]; ok {
			s.write(storedRow{rowKey: e.rowKey(), version: s.version, deleted: true})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"ver": s.version, "now-ms": s.nowMS()})
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []wireRow{}
	for key, row := range s.rows {
		if key.Table == q.Get("table") && key.Part == q.Get("part") && key.Key >= q.Get("from") && (q.Get("target") == "" || key.Key < q.Get("target")) {
			found = append(found, row.wire())
		}
	}
	slices.SortFunc(found, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	more := len(found) > limit
	writeJSON(w, http.StatusOK, map[string]any{"rows": found[:min(limit, len(found))], "has-more": more, "ver": s.version, "now-ms": s.nowMS()})
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []wireRow{}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.version > after {
				rows = append(rows, row.wire())
			}
		}
		changed, version, now := s.changed, s.version, s.nowMS()
		s.mu.Unlock()
		if len(rows) > 0 || wait <= 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "has-more": false, "ver": version, "now-ms": now})
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
	_ = json.NewEncoder(w).Encode(body) // It fails only when the caller has closed the connection.
}

// Value returns the value of a row without a part, or "".
func (s *Store) Value(table, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[rowKey{table, "", key}].value)
}
