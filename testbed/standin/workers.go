package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	DueMS     int64  `json:"due-ms"`
	Fence     uint64 `json:"fence"`
	Saved     string `json:"saved"`
	AckedUpTo uint64 `json:"acked-upto"`
	WaitMS    int64  `json:"wait-ms"`
}

var refusalReasons = map[error]string{
	worker.ErrFenced: "fence", worker.ErrStaleRun: "old", worker.ErrLeaseExpired: "late", worker.ErrNoCapacity: "room",
}

// workerHandler serves the requests of the worker protocol (run-start, run-stop, hold) to one worker.
func (p *Platform) workerHandler(id worker.ID) http.Handler {
	to := worker.Target{ID: id}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", p.serveOrder(id, func(r *http.Request, o order, task job.TaskRef) (any, error) {
		clock, err := p.Fleet.Start(r.Context(), to, worker.Start{
			Task: task, Run: o.Run, Spec: o.Spec, LeaseExpiry: time.Duration(o.DueMS) * time.Millisecond, Fence: o.Fence, SavedCheckpoint: o.Saved,
		})
		return map[string]any{"clock-ms": clock.Milliseconds()}, err
	}))
	mux.HandleFunc("POST /run-stop", p.serveOrder(id, func(r *http.Request, o order, task job.TaskRef) (any, error) {
		clock, err := p.Fleet.Stop(r.Context(), to, task, o.Run, o.Fence)
		return map[string]any{"clock-ms": clock.Milliseconds()}, err
	}))
	mux.HandleFunc("POST /hold", p.serveOrder(id, func(r *http.Request, o order, _ job.TaskRef) (any, error) {
		status, err := p.Fleet.Hold(r.Context(), to, worker.Hold{
			Fence: o.Fence, AckedUpTo: o.AckedUpTo, LeaseExpiry: time.Duration(o.DueMS) * time.Millisecond, Wait: time.Duration(o.WaitMS) * time.Millisecond,
		})
		return encodeStatus(status), err
	}))
	return mux
}

func (p *Platform) serveOrder(id worker.ID, execute func(*http.Request, order, job.TaskRef) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Peridotcrank-Expect-Instance"); expected != "" && expected != string(id) {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var task job.TaskRef
		if o.Task != "" {
			var err error
			if task, err = job.ParseTaskRef(o.Task); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		body, err := execute(r, o, task)
		for known, reason := range refusalReasons {
			if errors.Is(err, known) {
				writeJSON(w, http.StatusConflict, map[string]any{"reason": reason})
				return
			}
		}
		if err != nil {
			panic(http.ErrAbortHandler) // Closes the connection without a response.
		}
		writeJSON(w, http.StatusOK, body)
	}
}

func encodeStatus(s worker.Status) map[string]any {
	running, ended := []any{}, []any{}
	for _, r := range s.Running {
		running = append(running, []any{r.Task.String(), r.Run, r.SavedCheckpoint, r.Percent, r.Measure})
	}
	for _, e := range s.EndedRuns {
		ended = append(ended, []any{e.Number, e.Task.String(), e.Run, e.Outcome.String(), e.SavedCheckpoint})
	}
	return map[string]any{"clock-ms": s.ClockTime.Milliseconds(), "born": s.StartedUnixMs, "running": running, "ended": ended}
}
