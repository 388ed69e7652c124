package standin

import (
	"context"
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

	// task is the decoded Task.
	task job.TaskRef
	to   *incarnation
}

// leaseExpiry returns the expiry of the lease on the worker's clock.
func (o order) leaseExpiry() time.Duration { return time.Duration(o.DueMS) * time.Millisecond }

var refusalReasons = map[error]string{
	worker.ErrFenced: "fence", worker.ErrStaleRun: "old", worker.ErrLeaseExpired: "late", worker.ErrNoCapacity: "room",
}

// workerHandler serves the requests of the worker protocol (run-start, run-stop, hold) to one worker.
func (p *Platform) workerHandler(id worker.ID) http.Handler {
	to := worker.Target{ID: id}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", p.serveOrder(id, func(ctx context.Context, o order) (any, error) {
		p.noteStart(id)
		clock, err := p.Fleet.Start(ctx, to, worker.Start{
			Task: o.task, Run: o.Run, Spec: o.Spec, LeaseExpiry: o.leaseExpiry(), Fence: o.Fence, SavedCheckpoint: o.Saved,
		})
		return map[string]any{"clock-ms": clock.Milliseconds()}, err
	}))
	mux.HandleFunc("POST /run-stop", p.serveOrder(id, func(ctx context.Context, o order) (any, error) {
		clock, err := p.Fleet.Stop(ctx, to, o.task, o.Run, o.Fence)
		return map[string]any{"clock-ms": clock.Milliseconds()}, err
	}))
	mux.HandleFunc("POST /hold", p.serveOrder(id, func(ctx context.Context, o order) (any, error) {
		status, err := p.Fleet.Hold(ctx, to, worker.Hold{
			Fence: o.Fence, AckedUpTo: o.AckedUpTo, LeaseExpiry: o.leaseExpiry(), Wait: time.Duration(o.WaitMS) * time.Millisecond,
		})
		return encodeStatus(status), err
	}))
	return mux
}

func (p *Platform) noteStart(id worker.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startedAt[id] = time.Now()
}

// LastStart returns when a worker last received a start, the zero time if it has received none.
func (p *Platform) LastStart(id worker.ID) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startedAt[id]
}

func (p *Platform) serveOrder(id worker.ID, execute func(context.Context, order) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Peridotcrank-Expect-Instance"); expected != "" && expected != string(id) {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		o, err := p.decodeOrder(r, id)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.awaitPath(id)
		var isUp bool
		o.to, isUp = p.receiver(r, id)
		entry := newOrderEntry(r, o)
		defer p.logOrder(entry)
		if !isUp {
			entry.outcome = "not executed"
			abortWithoutReply(r)
		}
		pool := o.to.info.Pool
		if _, ordersCut := p.findCut(pool, o.Fence); ordersCut {
			entry.outcome = "not executed"
			abortWithoutReply(r)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(o.to.ctx, cancel)()
		body, err := execute(ctx, o)
		entry.setReply(body, err)
		p.awaitPath(id)
		p.delayReply(r.Context())
		if repliesCut, _ := p.findCut(pool, o.Fence); repliesCut || p.losesReply(pool) {
			entry.outcome = "reply lost"
			abortWithoutReply(r)
		}
		if reason := refusalReason(err); reason != "" {
			writeJSON(w, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler) // Closes the connection without a response.
		}
		writeJSON(w, http.StatusOK, body)
	}
}

// refusalReason returns the reason that a worker gives for a refusal, or "" for another result.
func refusalReason(err error) string {
	for known, reason := range refusalReasons {
		if errors.Is(err, known) {
			return reason
		}
	}
	return ""
}

// abortWithoutReply ends the handling of a call when its sender gives up.
func abortWithoutReply(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// decodeOrder decodes an order to the current incarnation of a worker.
func (p *Platform) decodeOrder(r *http.Request, id worker.ID) (order, error) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return order{}, err
	}
	o.to = p.incarnation(id)
	if o.Task == "" {
		return o, nil
	}
	var err error
	o.task, err = job.ParseTaskRef(o.Task)
	return o, err
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
