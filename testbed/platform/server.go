package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
)

// maxRequestBytes limits the size of a request body. Seeding 4,100 VMs takes about 1.5 MB.
const maxRequestBytes = 16 << 20

type server struct {
	table *storetest.Table
	vms   *vmRegistry
}

// New returns the HTTP handler of the stand-in. It panics when the options are not valid.
func New(o Options) http.Handler {
	if err := o.Validate(); err != nil {
		panic(err)
	}
	o = o.withDefaults()
	s := &server{table: o.Table, vms: newVMRegistry(o)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/commit", s.commitTransaction)
	mux.HandleFunc("GET /v1/rows", withCompression(s.readRows))
	mux.HandleFunc("GET /v1/vms", withCompression(s.listVMs))
	mux.HandleFunc("POST /v1/vms/{id}/state", s.setVMState)
	mux.HandleFunc("POST /v1/vms/{id}/reboot", s.startReboot)
	mux.HandleFunc("GET /v1/vms/{id}/reboot/{operation}", s.rebootState)
	mux.HandleFunc("POST /v1/faults", s.setFaults)
	mux.HandleFunc("GET /v1/faults", s.getFaults)
	return mux
}

func (s *server) commitTransaction(w http.ResponseWriter, r *http.Request) {
	var tx store.Transaction
	if !readJSON(w, r, &tx) {
		return
	}
	if tx.Operation == "" {
		http.Error(w, "operation is missing", http.StatusBadRequest)
		return
	}
	effect := s.applyFaults(r, storetest.Commits)
	result := s.table.Apply(tx)
	if effect.ReplyLost {
		panic(http.ErrAbortHandler)
	}
	if result.Applied() {
		writeJSON(w, http.StatusOK, map[string]store.Version{"revision": result.Revision})
		return
	}
	writeJSON(w, http.StatusConflict, map[string][]store.Condition{"failed": result.Failed})
}

func (s *server) readRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var since store.Version
	if text := q.Get("since"); text != "" {
		var err error
		if since, err = strconv.ParseUint(text, 10, 64); err != nil {
			http.Error(w, "since is not a revision", http.StatusBadRequest)
			return
		}
	}
	effect := s.applyFaults(r, storetest.Reads)
	snap, changed := s.table.ReadRows(q.Get("prefix"), since)
	if effect.ReplyLost {
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

// applyFaults applies the faults that take effect before a request is executed: it delays
// the request, even when the caller has given up, or closes the connection.
func (s *server) applyFaults(r *http.Request, method storetest.Method) storetest.Effect {
	effect := s.table.NextEffect(r.Header.Get(store.ClientHeader), method)
	if effect.Delay > 0 {
		time.Sleep(effect.Delay)
	}
	if effect.Down {
		panic(http.ErrAbortHandler)
	}
	return effect
}

func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err := decoder.Decode(target); err != nil {
		http.Error(w, "request body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// It fails only when the connection is closed; the caller then resolves the outcome.
	_ = json.NewEncoder(w).Encode(value)
}
