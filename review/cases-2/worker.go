package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 10 * time.Second
	stopTime  = 50 * time.Millisecond
	maxListed = 500
)

type run struct {
	task    string
	number  int
	saved   string
	entry   *runEntry
	timer   *time.Timer
	started time.Time
	length  time.Duration
}

type end struct {
	number uint64
	run    *run
	how    string
}

// worker is a stand-in of one life of a worker. It starts whatever it is told to start.
type worker struct {
	fleet   *fleet
	id      string
	pool    string
	address string
	rack    string
	cpu     int64
	server  *http.Server
	born    time.Time

	mu        sync.Mutex
	dead      bool    // It has crashed and is silent.
	cut       bool    // No process reaches it; it runs on.
	lateShare float64 // Share of the orders that get no answer and are carried out later.
	lateStart int     // Starts that got no answer.
	state     string
	fence     uint64
	lease     time.Duration // On its clock.
	leaseEnd  *time.Timer
	runs      map[string]*run
	barred    map[string]int // Highest number stopped or ended, by task.
	ended     []end
	lastEnd   uint64
	changed   chan struct{}
	seq       int
}

// fleet holds the workers, and what each of them ran.
type fleet struct {
	store  *store
	ledger *ledger
	// length returns how long a task works.
	length func(task string) time.Duration
	// maxLate is the time after which an order without an answer is carried out at the latest.
	maxLate time.Duration

	mu      sync.Mutex
	workers []*worker
}

// add starts a worker of a pool and registers it.
func (f *fleet) add(pool string, cpu int64) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen for a worker: %v", err)
	}
	f.mu.Lock()
	n := len(f.workers)
	w := &worker{
		fleet: f, id: fmt.Sprintf("w%02d%s", n, pool), pool: pool, address: listener.Addr().String(), rack: "rack-" + strconv.Itoa(n/4), cpu: cpu,
		born: time.Now(), state: "ready", runs: map[string]*run{}, barred: map[string]int{}, changed: make(chan struct{}),
	}
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	w.server = &http.Server{Handler: w.handler()}
	go w.server.Serve(listener)
	go w.beat()
	return w
}

func (f *fleet) ofPool(pool string) (list []*worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.pool == pool {
			list = append(list, w)
		}
	}
	return list
}

// openEnds returns how many ends each worker has that are not acknowledged.
func (f *fleet) openEnds() (counts []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.mu.Lock()
		counts = append(counts, len(w.ended))
		w.mu.Unlock()
	}
	return counts
}

// beat writes the entry of the worker regularly, as long as it is up.
func (w *worker) beat() {
	for {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		w.seq++
		entry := map[string]any{
			"service": w.pool, "address": w.address, "zone": "zone-a", "version": "1", "slots": 8, "state": w.state, "cold-left-ms": 0, "seq": w.seq,
			"born": w.born.UnixMilli(), "capacity": map[string]any{"cpu": w.cpu, "mem-mb": 65536, "gpu": 0}, "labels": []string{"a", w.rack},
		}
		w.mu.Unlock()
		w.fleet.store.put("servers", w.id, entry)
		time.Sleep(heartbeat)
	}
}

// crash ends the life of the worker. It answers nothing from now on, and its entry is removed after three heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for name, r := range w.runs {
		r.timer.Stop()
		delete(w.runs, name)
		w.fleet.ledger.noteEnd(w, r, "lost in the crash")
	}
	w.ended = nil
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.dead {
			w.fleet.store.remove("servers", w.id)
		}
	})
}

// isSilent reports whether calls get no answer.
func (w *worker) isSilent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead || w.cut
}

func (w *worker) lateStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lateStart
}

func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// restart starts the worker again under its id. It knows nothing of before.
func (w *worker) restart() {
	w.mu.Lock()
	w.dead, w.born, w.fence, w.lease = false, time.Now(), 0, 0
	w.runs, w.barred, w.ended, w.lastEnd = map[string]*run{}, map[string]int{}, nil, 0
	w.mu.Unlock()
	go w.beat()
}

func (w *worker) clock() time.Duration { return time.Since(w.born) + time.Second }

type order struct {
	Task  string  `json:"task"`
	Run   int     `json:"run"`
	Spec  string  `json:"spec"`
	DueMS int64   `json:"due-ms"`
	Fence uint64  `json:"fence"`
	Saved string  `json:"saved"`
	Acked *uint64 `json:"acked-upto"`
	Wait  int64   `json:"wait-ms"`
}

func runName(task string, number int) string { return task + "#" + strconv.Itoa(number) }

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	for path, serve := range map[string]func(order) (int, string){"/run-start": w.start, "/run-stop": w.stop, "/pace": w.pace} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			o, ok := w.read(rw, r)
			if !ok {
				return
			}
			if w.delays(path, o, r, func() { serve(o) }) {
				return
			}
			status, reason := serve(o)
			body := map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
			if reason != "" {
				body["reason"] = reason
			}
			writeJSON(rw, status, body)
		})
	}
	mux.HandleFunc("POST /hold", func(rw http.ResponseWriter, r *http.Request) {
		o, ok := w.read(rw, r)
		if !ok {
			return
		}
		if w.delays("/hold", o, r, func() { w.takeHold(o) }) {
			return
		}
		w.hold(rw, r, o)
	})
	return mux
}

func (w *worker) read(rw http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if w.isSilent() {
		w.fleet.ledger.note("worker %s: is down or cut off, %s is not answered", w.id, r.URL.Path)
		<-r.Context().Done()
		return o, false
	}
	if expected := r.Header.Get("X-Peridotcrank-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// setLate sets the share of the orders that get no answer and are carried out later.
func (w *worker) setLate(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateShare = share
}

// minLate is the least time after which an order without an answer is carried out.
const minLate = 2 * time.Second

// delays reports whether an order gets no answer. It is then carried out later.
func (w *worker) delays(path string, o order, r *http.Request, carryOut func()) bool {
	w.mu.Lock()
	late := rand.Float64() < w.lateShare
	if late && path == "/run-start" {
		w.lateStart++
	}
	w.mu.Unlock()
	if !late {
		return false
	}
	w.fleet.ledger.note("worker %s: leaves %s %s run %d unanswered", w.id, path, o.Task, o.Run)
	time.AfterFunc(minLate+rand.N(w.fleet.maxLate-minLate), carryOut)
	<-r.Context().Done()
	return true
}

// passFence reports whether an order may be carried out.
func (w *worker) passFence(o order) bool {
	if o.Fence < w.fence {
		return false
	}
	w.fence = o.Fence
	return true
}

// extend takes the time of a lease. It never shortens.
func (w *worker) extend(o order) {
	due := min(time.Duration(o.DueMS)*time.Millisecond, w.clock()+maxHold)
	if o.DueMS == 0 || due <= w.lease {
		return
	}
	w.lease = due
	if w.leaseEnd != nil {
		w.leaseEnd.Stop()
	}
	w.leaseEnd = time.AfterFunc(due-w.clock(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clock() < w.lease {
			return
		}
		w.fleet.ledger.noteLapse(w.id)
		for _, r := range w.runs {
			w.endLocked(r, "lapsed")
		}
	})
}

func (w *worker) start(o order) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.passFence(o) {
		return http.StatusConflict, "fence"
	}
	if time.Duration(o.DueMS)*time.Millisecond <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(o)
	name := runName(o.Task, o.Run)
	if w.runs[name] != nil {
		return http.StatusOK, ""
	}
	if o.Run <= w.barred[o.Task] {
		return http.StatusConflict, "old"
	}
	r := &run{task: o.Task, number: o.Run, saved: o.Saved, started: time.Now(), length: w.fleet.length(o.Task)}
	r.entry = w.fleet.ledger.noteStart(w, o)
	w.runs[name] = r
	r.timer = time.AfterFunc(r.length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endLocked(r, "done")
	})
	return http.StatusOK, ""
}

func (w *worker) endLocked(r *run, how string) {
	name := runName(r.task, r.number)
	if w.runs[name] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, name)
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, end{w.lastEnd, r, how})
	w.fleet.ledger.noteEnd(w, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(o order) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.passFence(o) {
		return http.StatusConflict, "fence"
	}
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if r := w.runs[runName(o.Task, o.Run)]; r != nil {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endLocked(r, "stopped")
		})
	}
	return http.StatusOK, ""
}

func (w *worker) pace(o order) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.passFence(o) {
		return http.StatusConflict, "fence"
	}
	return http.StatusOK, ""
}

// takeHold takes the lease and the acknowledgement of a hold, unless its fence is too low.
func (w *worker) takeHold(o order) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.passFence(o) {
		return false
	}
	w.extend(o)
	if o.Acked != nil {
		w.ended = slices.DeleteFunc(w.ended, func(e end) bool {
			if e.number > *o.Acked {
				return false
			}
			w.fleet.ledger.noteAcked(e.run)
			return true
		})
	}
	return true
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if !w.takeHold(o) {
		writeJSON(rw, http.StatusConflict, map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "reason": "fence"})
		return
	}
	w.mu.Lock()
	changed, waits := w.changed, len(w.ended) == 0 && o.Wait > 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if w.isSilent() {
		<-r.Context().Done()
		return
	}
	w.mu.Lock()
	running, ended := []any{}, []any{}
	for _, r := range w.runs {
		percent := min(100, int(100*time.Since(r.started)/r.length))
		running = append(running, []any{r.task, r.number, r.saved, percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListed)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.how, ""})
	}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

// runEntry is what the ledger knows of one run.
type runEntry struct {
	task, worker, pool string
	number             int
	started            time.Time
	ended              time.Time
	how                string
	acked              bool
	lapsedBeforeAck    bool // The worker's lease lapsed between the end and its acknowledgement.
}

// ledger records what was sent, answered and run.
type ledger struct {
	record *record

	mu   sync.Mutex
	runs []*runEntry
}

func (l *ledger) note(format string, args ...any) { l.record.line(format, args...) }

func (l *ledger) noteStart(w *worker, o order) *runEntry {
	e := &runEntry{task: o.Task, worker: w.id, pool: w.pool, number: o.Run, started: time.Now()}
	l.mu.Lock()
	l.runs = append(l.runs, e)
	l.mu.Unlock()
	l.note("worker %s of %s, born %d: starts %s run %d, fence %d", w.id, w.pool, w.born.UnixMilli(), o.Task, o.Run, o.Fence)
	return e
}

func (l *ledger) noteEnd(w *worker, r *run, how string) {
	l.mu.Lock()
	r.entry.ended, r.entry.how = time.Now(), how
	l.mu.Unlock()
	l.note("worker %s of %s: %s run %d has ended %s", w.id, w.pool, r.task, r.number, how)
}

func (l *ledger) noteAcked(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.entry.acked = true
}

func (l *ledger) noteLapse(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.runs {
		if e.worker == worker && !e.ended.IsZero() && !e.acked {
			e.lapsedBeforeAck = true
		}
	}
}

// running returns the number of runs of each job that are at work.
func (l *ledger) running() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := map[string]int{}
	for _, e := range l.runs {
		if e.ended.IsZero() {
			n[jobOf(e.task)]++
		}
	}
	return n
}

// done returns the number of tasks of each job that have ended done.
func (l *ledger) done() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	tasks, n := map[string]bool{}, map[string]int{}
	for _, e := range l.runs {
		if e.how == "done" && !tasks[e.task] {
			tasks[e.task] = true
			n[jobOf(e.task)]++
		}
	}
	return n
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// begun reports whether a task of a job has begun.
func (l *ledger) begun(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.runs, func(e *runEntry) bool { return strings.HasPrefix(e.task, job+".") })
}

// ranTwice lists the tasks that had two runs at the same time, or a run after one that ended done and was
// acknowledged.
func (l *ledger) ranTwice() (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, a := range l.runs {
		for _, b := range l.runs[i+1:] {
			if a.task != b.task {
				continue
			}
			switch {
			case a.ended.IsZero() || b.started.Before(a.ended):
				found = append(found, fmt.Sprintf("%s: run %d on %s (%s) and run %d on %s (%s) at the same time", a.task, a.number, a.worker, a.pool, b.number, b.worker, b.pool))
			case a.how == "done" && a.acked && !a.lapsedBeforeAck:
				found = append(found, fmt.Sprintf("%s: run %d on %s (%s) had ended done, and run %d started on %s (%s)", a.task, a.number, a.worker, a.pool, b.number, b.worker, b.pool))
			}
		}
	}
	return found
}
