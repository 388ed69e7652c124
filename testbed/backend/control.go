package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Fleet is a set of backend servers that share a run log and a control endpoint.
type Fleet struct {
	runLog  *RunLog
	servers map[string]*Server
}

// NewFleet returns a fleet without servers, which records its runs in a run log.
func NewFleet(runLog *RunLog) *Fleet {
	return &Fleet{runLog: runLog, servers: make(map[string]*Server)}
}

// Add starts a server and adds it to the fleet. It returns an error when the server cannot
// listen on its address.
func (f *Fleet) Add(o Options) error {
	o.RunLog = f.runLog
	server := NewServer(o)
	if err := server.Start(); err != nil {
		return err
	}
	f.servers[o.VM] = server
	return nil
}

// Handler returns the control endpoint:
//
//	GET  /v1/runs            returns all runs
//	POST /v1/vms/{id}/mode   sets the mode of a VM's server: {"mode": "error"}
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/runs", f.serveRuns)
	mux.HandleFunc("POST /v1/vms/{id}/mode", f.serveMode)
	return mux
}

func (f *Fleet) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(f.runLog.Runs()); err != nil {
		fmt.Printf("write runs: %v\n", err)
	}
}

// ModeRequest is the body of the mode endpoint.
type ModeRequest struct {
	Mode Mode `json:"mode"`
}

func (f *Fleet) serveMode(w http.ResponseWriter, r *http.Request) {
	server, ok := f.servers[r.PathValue("id")]
	if !ok {
		http.Error(w, "no such VM", http.StatusNotFound)
		return
	}
	var request ModeRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := server.SetMode(request.Mode); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
