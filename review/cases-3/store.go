package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as its pages and the settings of a small
// deployment give them.
const (
	maxTxEntries = 100
	maxRowBytes  = 65536
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	txTime       = 3 * time.Millisecond
	readTime     = 4 * time.Millisecond
)

type rowKey struct{ table, part, key string }

type storedRow struct {
	value   string // Base64, as sent.
	version uint64
	deleted bool
}

type wireRow struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     string  `json:"value,omitempty"`
	Version   *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

func (w wireRow) rowKey() rowKey { return rowKey{w.Table, w.Part, w.Key} }

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]storedRow
	version uint64
	changed chan struct{} // Closed at the next change.
	started time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]storedRow{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = storedRow{value: encode64(value), version: s.version}
	s.notify()
}

// drop deletes a row as the platform does.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := rowKey{table, "", key}
	if row, ok := s.rows[k]; !ok || row.deleted {
		return
	}
	s.version++
	s.rows[k] = storedRow{version: s.version, deleted: true}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	return mux
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
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
	if len(body.Expect)+len(body.Set)+len(body.Delete) > maxTxEntries {
		http.Error(w, "too many entries", http.StatusBadRequest)
		return
	}
	for _, row := range body.Set {
		if row.Table == "op" || row.Table == "servers" {
			http.Error(w, "not writable", http.StatusForbidden)
			return
		}
		if len(row.Value) > maxRowBytes*4/3+4 {
			http.Error(w, "row too large", http.StatusBadRequest)
			return
		}
	}
	cost := txTime
	if body.Across {
		cost *= 2
	}
	time.Sleep(cost)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expect {
		current, ok := s.rows[e.rowKey()]
		version := current.version
		if !ok || current.deleted {
			version = 0
		}
		if e.Version == nil || *e.Version != version {
			s.rejectTx(w, body.Expect)
			return
		}
	}
	s.version++
	for _, row := range body.Set {
		s.rows[row.rowKey()] = storedRow{value: row.Value, version: s.version}
	}
	for _, row := range body.Delete {
		if current, ok := s.rows[row.rowKey()]; ok && !current.deleted {
			s.rows[row.rowKey()] = storedRow{version: s.version, deleted: true}
		}
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]any{"ver": s.version, "now-ms": s.now()})
}

func (s *store) rejectTx(w http.ResponseWriter, expected []wireRow) {
	current := []wireRow{}
	for _, e := range expected {
		if row, ok := s.rows[e.rowKey()]; ok && !row.deleted {
			current = append(current, s.wire(e.rowKey(), row))
		}
	}
	writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "now-ms": s.now()})
}

func (s *store) wire(k rowKey, row storedRow) wireRow {
	version := row.version
	return wireRow{Table: k.table, Part: k.part, Key: k.key, Value: row.value, Version: &version, Tombstone: row.deleted}
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(readTime)
	s.mu.Lock()
	var found []rowKey
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && !row.deleted && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			found = append(found, k)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].key < found[j].key })
	page, size, more := []wireRow{}, 0, false
	for _, k := range found {
		row := s.rows[k]
		if len(page) == maxPageRows || size+len(row.value) > maxPageBytes {
			more = true
			break
		}
		size += len(row.value)
		page = append(page, s.wire(k, row))
	}
	body := map[string]any{"rows": page, "has-more": more, "ver": s.version, "now-ms": s.now()}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	time.Sleep(readTime)
	for {
		s.mu.Lock()
		page, version, changed := s.changesAfter(q.Get("table"), after), s.version, s.changed
		s.mu.Unlock()
		if len(page) == 0 && wait > 0 {
			select {
			case <-changed:
				continue
			case <-deadline.C:
				wait = 0
				continue
			case <-r.Context().Done():
				return
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"rows": page, "has-more": false, "ver": version, "now-ms": s.now()})
		return
	}
}

func (s *store) changesAfter(table string, after uint64) []wireRow {
	page := []wireRow{}
	for k, row := range s.rows {
		if k.table == table && row.version > after {
			page = append(page, s.wire(k, row))
		}
	}
	sort.Slice(page, func(i, j int) bool { return *page[i].Version < *page[j].Version })
	return page
}
