package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
)

// maxRequestBytes bounds a request body. Seeding 4,100 VMs takes about 1.5 MB.
const maxRequestBytes = 16 << 20

type server struct {
	table *storetest.Table
	vms   *vms
}

// New returns the handler of the stand-in. It panics when the options are not valid.
func New(o Options) http.Handler {
	if err := o.Validate(); err != nil {
		panic(err)
	}
	o = o.withDefaults()
	s := &server{table: o.Table, vms: newVMs(o)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/commit", s.commit)
	mux.HandleFunc("GET /v1/rows", compressed(s.rows))
	mux.HandleFunc("GET /v1/vms", compressed(s.listVMs))
	mux.HandleFunc("POST /v1/vms/{id}/state", s.setVMState)
	mux.HandleFunc("POST /v1/vms/{id}/reboot", s.reboot)
	mux.HandleFunc("GET /v1/vms/{id}/reboot/{operation}", s.rebootState)
	mux.HandleFunc("POST /v1/faults", s.setFaults)
	mux.HandleFunc("GET /v1/faults", s.getFaults)
	return mux
}

func (s *server) commit(w http.ResponseWriter, r *http.Request) {
	var tx store.Transaction
	if !readJSON(w, r, &tx) {
		return
	}
	if tx.Operation == "" {
		http.Error(w, "operation is missing", http.StatusBadRequest)
		return
	}
	e := s.strike(r, storetest.Commits)
	result := s.table.Apply(tx)
	if e.ReplyLost {
		panic(http.ErrAbortHandler)
	}
	if result.Applied() {
		writeJSON(w, http.StatusOK, map[string]store.Version{"revision": result.Revision})
		return
	}
	writeJSON(w, http.StatusConflict, map[string][]store.Condition{"failed": result.Failed})
}

func (s *server) rows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var since store.Version
	if text := q.Get("since"); text != "" {
		var err error
		if since, err = strconv.ParseUint(text, 10, 64); err != nil {
			http.Error(w, "since is not a revision", http.StatusBadRequest)
			return
		}
	}
	e := s.strike(r, storetest.Reads)
	snap, changed := s.table.ReadRows(q.Get("prefix"), since)
	if e.ReplyLost {
		panic(http.ErrAbortHandler)
	}
	tag := storetest.ETag(changed)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Revision store.Version `json:"revision"`
		Rows     []store.Row   `json:"rows"`
	}{snap.Revision, snap.Rows})
}

// strike applies the faults that precede a request: a delay, which goes on when
// the caller gives up, or the end of the connection.
func (s *server) strike(r *http.Request, method storetest.Method) storetest.Effect {
	e := s.table.NextEffect(r.Header.Get(store.ClientHeader), method)
	if e.Delay > 0 {
		time.Sleep(e.Delay)
	}
	if e.Down {
		panic(http.ErrAbortHandler)
	}
	return e
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err := decoder.Decode(into); err != nil {
		http.Error(w, "request body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failure means that the connection is gone; the caller resolves the outcome.
	_ = json.NewEncoder(w).Encode(value)
}
