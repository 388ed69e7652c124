package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the deployment that the workers keep.
const (
	maxHold   = 10 * time.Second
	stopTime  = 100 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
	startup   = 500 * time.Millisecond // Of a task that lasts.
	maxEnds   = 500
)

// Spec is the spec of a job: what its tasks do.
type Spec struct {
	MS    int  `json:"ms"`              // Duration of a run; 0 for a task that lasts.
	Vary  bool `json:"vary,omitempty"`  // Runs take 0.6 to 1.4 times as long.
	Fails bool `json:"fails,omitempty"` // All its runs end failed.
}

// String returns the encoded spec.
func (s Spec) String() string {
	encoded, _ := json.Marshal(s) // Cannot fail.
	return string(encoded)
}

// Run is a run of a task on a worker.
type Run struct {
	Task    string
	Number  int
	Worker  string
	Fence   uint64
	Started time.Duration // Since the start of the record.
	Ended   time.Duration // 0 while it runs.
	How     string
	// NotedAt is when an acknowledgement covered the end, or 0.
	NotedAt time.Duration

	number uint64 // Number of its end.
	timer  *time.Timer
	spec   Spec
}

// Worker is one life of a machine.
type Worker struct {
	fleet                         *Fleet
	ID, Pool, Machine, Rack, Addr string
	born                          int64
	started                       time.Time
	server                        *http.Server
	fence                         uint64
	due                           time.Duration // Expiry of the lease on the worker's clock.
	lease                         *time.Timer
	running                       []*Run
	ended                         []*Run
	barred                        map[string]int // Highest run stopped or ended, by task.
	lastEnd, acked                uint64
	changed                       chan struct{}
	gone                          bool
	down                          bool // Between a crash and the next start.
	life                          int  // Counts the starts under the same id.
	handler                       http.Handler
	beat                          uint64
}

// Fleet is all workers and the runs that they had.
type Fleet struct {
	record *Record
	store  *Store
	mu     sync.Mutex
	nextID int
	Runs   []*Run // All runs so far.
	all    []*Worker
	// LateHold returns how late a call of /hold is carried out, without an answer; 0 for a call
	// that isn't late. Nil for none.
	LateHold func(w *Worker, acked uint64) time.Duration
}

// NewFleet returns a fleet without workers.
func NewFleet(record *Record, store *Store) *Fleet { return &Fleet{record: record, store: store} }

// Add starts a worker on a machine in a pool and registers it.
func (f *Fleet) Add(pool, machine, rack string) *Worker {
	f.mu.Lock()
	f.nextID++
	w := &Worker{
		fleet: f, ID: fmt.Sprintf("w%03d", f.nextID), Pool: pool, Machine: machine, Rack: rack, born: time.Now().UnixMilli(), started: time.Now(),
		barred: map[string]int{}, changed: make(chan struct{}),
	}
	f.all = append(f.all, w)
	f.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.order(w.start))
	mux.HandleFunc("POST /run-stop", w.order(w.stop))
	mux.HandleFunc("POST /hold", w.order(w.hold))
	mux.HandleFunc("POST /pace", w.order(func(order, *http.Request) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	w.handler = mux
	w.server, w.Addr = Serve(mux)
	go w.beatUntilGone()
	return w
}

// Close ends all workers.
func (f *Fleet) Close() {
	f.mu.Lock()
	workers := append([]*Worker(nil), f.all...)
	f.mu.Unlock()
	for _, w := range workers {
		w.End()
	}
}

// RunsOf returns copies of the runs of a job's tasks, in the order of their starts.
func (f *Fleet) RunsOf(id string) (runs []Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.Runs {
		if len(r.Task) > len(id) && r.Task[:len(id)] == id {
			runs = append(runs, *r)
		}
	}
	return runs
}

func (w *Worker) beatUntilGone() {
	for {
		w.fleet.mu.Lock()
		gone, down := w.gone, w.down
		w.beat++
		entry := map[string]any{
			"service": w.Pool, "address": w.Addr, "zone": "wa-south-a", "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": w.beat,
			"born": w.born, "labels": []string{"a", w.Rack}, "capacity": map[string]any{"cpu": 32000, "mem-mb": 65536, "gpu": 0},
		}
		w.fleet.mu.Unlock()
		if gone {
			w.fleet.store.Remove("servers", w.ID)
			return
		}
		if !down {
			w.fleet.store.Put("servers", w.ID, entry)
		}
		time.Sleep(heartbeat)
	}
}

// Restart ends the worker's process with everything that runs on it, and starts it again under
// its id after a time. It then knows nothing of before.
func (w *Worker) Restart(after time.Duration) error {
	w.fleet.mu.Lock()
	w.fleet.record.Printf("worker %s crashes and starts again after %v; it has listed %d ends", w.ID, after, w.lastEnd)
	w.down = true
	for _, r := range append([]*Run(nil), w.running...) {
		w.finish(r, "lost with its worker")
	}
	w.life++
	w.ended, w.barred, w.lastEnd, w.fence, w.due = nil, map[string]int{}, 0, 0, 0
	if w.lease != nil {
		w.lease.Stop()
	}
	w.fleet.mu.Unlock()
	w.server.Close()
	time.Sleep(after)
	listener, err := net.Listen("tcp", w.Addr)
	if err != nil {
		return err
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.down, w.born, w.started = false, time.Now().UnixMilli(), time.Now()
	w.server = &http.Server{Handler: w.handler}
	go w.server.Serve(listener) // Returns after Close.
	w.fleet.record.Printf("worker %s starts again", w.ID)
	return nil
}

// End ends the worker with everything that runs on it.
func (w *Worker) End() {
	w.fleet.mu.Lock()
	if w.gone {
		w.fleet.mu.Unlock()
		return
	}
	w.gone = true
	for _, r := range append([]*Run(nil), w.running...) {
		w.finish(r, "lost with its worker")
	}
	w.fleet.mu.Unlock()
	w.server.Close()
	w.fleet.store.Remove("servers", w.ID)
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	DueMS int64  `json:"due-ms"`
	Fence uint64 `json:"fence"`
	Acked uint64 `json:"acked-upto"`
	Wait  int64  `json:"wait-ms"`
}

func (w *Worker) clock() time.Duration { return time.Since(w.started) + time.Second }

func (w *Worker) order(execute func(order, *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Peridotcrank-Expect-Instance"); expected != "" && expected != w.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.fleet.mu.Lock()
		if late := w.lateness(r, o); late > 0 {
			w.fleet.mu.Unlock()
			time.AfterFunc(late, func() { w.carryOutHold(o) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler) // Closes the connection without an answer.
		}
		life := w.life
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Fence >= w.fence {
			w.fence = o.Fence
			status, body = execute(o, r)
		}
		body["clock-ms"], body["born"] = w.clock().Milliseconds(), w.born
		lost := life != w.life // The process has ended while it held the call.
		w.fleet.mu.Unlock()
		if lost {
			panic(http.ErrAbortHandler)
		}
		writeJSON(rw, status, body)
	}
}

// lateness returns how late an order is carried out. The caller holds the lock.
func (w *Worker) lateness(r *http.Request, o order) time.Duration {
	if w.fleet.LateHold == nil || r.URL.Path != "/hold" {
		return 0
	}
	return w.fleet.LateHold(w, o.Acked)
}

// carryOutHold carries out a hold whose caller has got no answer.
func (w *Worker) carryOutHold(o order) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.gone || w.down || o.Fence < w.fence {
		w.fleet.record.Printf("worker %s: a late hold isn't carried out, its fence is lower or the worker is down", w.ID)
		return
	}
	w.fence = o.Fence
	unacked := len(w.ended)
	o.Wait = 0
	w.hold(o, nil)
	w.fleet.record.Printf("worker %s: a late hold with acked-upto %d is carried out; the last end is %d, %d ends are taken note of by it", w.ID, o.Acked, w.lastEnd, unacked-len(w.ended))
}

// extendLease sets the lease. A longer one is shortened, and it never becomes shorter.
func (w *Worker) extendLease(dueMS int64) {
	due := min(time.Duration(dueMS)*time.Millisecond, w.clock()+maxHold)
	if due <= w.due {
		return
	}
	w.due = due
	if w.lease != nil {
		w.lease.Stop()
	}
	life := w.life
	w.lease = time.AfterFunc(due-w.clock(), func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if life != w.life || w.clock() < w.due {
			return
		}
		for _, r := range append([]*Run(nil), w.running...) {
			w.finish(r, "lapsed")
		}
	})
}

func (w *Worker) start(o order, _ *http.Request) (int, map[string]any) {
	if time.Duration(o.DueMS)*time.Millisecond <= w.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.extendLease(o.DueMS)
	for _, r := range w.running {
		if r.Task == o.Task && r.Number == o.Run {
			return http.StatusOK, map[string]any{}
		}
	}
	if o.Run <= w.barred[o.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	r := &Run{Task: o.Task, Number: o.Run, Worker: w.ID, Fence: o.Fence, Started: w.fleet.record.Now()}
	if err := json.Unmarshal([]byte(o.Spec), &r.spec); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	w.running = append(w.running, r)
	w.fleet.Runs = append(w.fleet.Runs, r)
	w.fleet.record.Printf("worker %s of %s: %s run %d starts, fence %d", w.ID, w.Pool, r.Task, r.Number, r.Fence)
	if r.spec.MS > 0 {
		how := "done"
		if r.spec.Fails {
			how = "failed"
		}
		duration := time.Duration(r.spec.MS) * time.Millisecond
		if r.spec.Vary {
			duration = time.Duration(float64(duration) * (0.6 + 0.8*rand.Float64()))
		}
		r.timer = time.AfterFunc(duration, func() { w.finishLater(r, how) })
	}
	return http.StatusOK, map[string]any{}
}

func (w *Worker) stop(o order, _ *http.Request) (int, map[string]any) {
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	for _, r := range w.running {
		if r.Task == o.Task && r.Number == o.Run {
			time.AfterFunc(stopTime, func() { w.finishLater(r, "stopped") })
		}
	}
	return http.StatusOK, map[string]any{}
}

func (w *Worker) finishLater(r *Run, how string) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.finish(r, how)
}

// finish ends a run. The caller holds the lock.
func (w *Worker) finish(r *Run, how string) {
	for i, other := range w.running {
		if other != r {
			continue
		}
		w.running = append(w.running[:i:i], w.running[i+1:]...)
		if r.timer != nil {
			r.timer.Stop()
		}
		w.lastEnd++
		r.number, r.Ended, r.How = w.lastEnd, w.fleet.record.Now(), how
		w.ended = append(w.ended, r)
		w.barred[r.Task] = max(w.barred[r.Task], r.Number)
		w.fleet.record.Printf("worker %s of %s: %s run %d ends %s", w.ID, w.Pool, r.Task, r.Number, how)
		close(w.changed)
		w.changed = make(chan struct{})
		return
	}
}

func (w *Worker) hold(o order, request *http.Request) (int, map[string]any) {
	w.extendLease(o.DueMS)
	for len(w.ended) > 0 && w.ended[0].number <= o.Acked {
		w.ended[0].NotedAt = w.fleet.record.Now()
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.Wait > 0 {
		changed := w.changed
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-request.Context().Done():
		}
		w.fleet.mu.Lock()
	}
	running, ended := []any{}, []any{}
	for _, r := range w.running {
		percent := 100
		if r.spec.MS == 0 && w.fleet.record.Now()-r.Started < startup {
			percent = 10
		}
		running = append(running, []any{r.Task, r.Number, "", percent, 0})
	}
	for _, r := range w.ended[:min(len(w.ended), maxEnds)] {
		ended = append(ended, []any{r.number, r.Task, r.Number, r.How, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// All returns all workers so far.
func (f *Fleet) All() []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Worker(nil), f.all...)
}
