package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	maxHold     = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	saveTime    = time.Second
	restoreTime = 100 * time.Millisecond
	startupTime = 700 * time.Millisecond // Of a task that lasts, until it is at work.
)

// simRun is a run on a worker.
type simRun struct {
	task     taskName
	number   int
	spec     string
	savedIn  string // With which it was started.
	worker   *simWorker
	began    time.Time
	worked   time.Duration // Before it began.
	working  time.Time     // Since when it works; zero while a gang waits.
	timer    *time.Timer
	pace     int
	stopping bool
	how      string // Of its end, if nothing else ends it.
	step     *stepSpec
}

// simEnd is an end in the list of a worker.
type simEnd struct {
	n      uint64
	task   taskName
	run    int
	how    string
	saved  string
	worker *simWorker
	born   int64
	void   bool // The worker left, or its lease lapsed, before it was taken note of.
	acked  bool
}

// noted reports whether the end counts as taken note of.
func (e *simEnd) noted() bool { return e.acked }

// simWorker is a worker.
type simWorker struct {
	world   *world
	id      string
	service string
	labels  []string
	cpu     int
	memory  int
	address string

	up      bool
	state   string
	born    int64
	started time.Time
	fence   uint64
	due     time.Duration // On the worker's clock.
	lease   *time.Timer
	runs    map[taskName]map[int]*simRun
	barred  map[taskName]int
	ended   []*simEnd
	lastN   uint64
	changed chan struct{}
	seq     int

	// delay returns by how much an order is carried out late, without an answer; 0 for in time. Nil
	// for none.
	delay func(path string, body order) time.Duration
	// tailAt returns the tail of a task that serves, by its target and the pace beside it.
	tailAt func(target float64, fillingPace int) float64
}

type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	DueMS   int64  `json:"due-ms"`
	Fence   uint64 `json:"fence"`
	Saved   string `json:"saved"`
	Acked   uint64 `json:"acked-upto"`
	WaitMS  int64  `json:"wait-ms"`
	Percent int    `json:"percent"`
}

// addWorker starts a worker and registers it.
func (w *world) addWorker(s *store, id, service, rack string, cpu, memory int) (*simWorker, error) {
	worker := &simWorker{world: w, id: id, service: service, labels: []string{"a", rack}, cpu: cpu, memory: memory, state: "ready"}
	worker.reset()
	address, _, err := serve(worker)
	if err != nil {
		return nil, err
	}
	worker.address = address
	w.mu.Lock()
	w.workers[id] = worker
	w.mu.Unlock()
	worker.register(s)
	return worker, nil
}

func (k *simWorker) register(s *store) {
	k.world.mu.Lock()
	k.seq++
	entry := map[string]any{
		"service": k.service, "address": k.address, "zone": "zone-a", "version": "1", "slots": 8, "state": k.state, "cold-left-ms": 0, "seq": k.seq,
		"capacity": map[string]any{"cpu": k.cpu, "mem-mb": k.memory, "gpu": 0}, "labels": k.labels, "born": k.born,
	}
	k.world.mu.Unlock()
	data, _ := json.Marshal(entry)
	s.put("servers", k.id, data)
}

func (k *simWorker) reset() {
	k.up, k.started, k.born = true, time.Now(), time.Now().UnixMilli()
	k.fence, k.due, k.lastN, k.ended = 0, 0, 0, nil
	k.runs, k.barred, k.changed = map[taskName]map[int]*simRun{}, map[taskName]int{}, make(chan struct{})
}

// crash ends everything that runs. Calls fail until comeBack.
func (k *simWorker) crash() {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	k.world.rec.printf("crash of %s with %d runs", k.id, k.countRuns())
	for _, byRun := range k.runs {
		for _, r := range byRun {
			r.timer.Stop()
			delete(k.world.task(r.task).running, r)
			k.world.task(r.task).lastEnd = time.Now()
			k.breakGang(r)
		}
	}
	for _, e := range k.ended {
		e.void = e.void || !e.acked
	}
	if k.lease != nil {
		k.lease.Stop()
	}
	k.up = false
	k.runs = map[taskName]map[int]*simRun{}
}

// comeBack begins a new incarnation under the same id.
func (k *simWorker) comeBack(s *store) {
	k.world.mu.Lock()
	k.reset()
	k.world.mu.Unlock()
	k.register(s)
}

func (k *simWorker) countRuns() (n int) {
	for _, byRun := range k.runs {
		n += len(byRun)
	}
	return n
}

func (k *simWorker) hasLabel(label string) bool { return slices.Contains(k.labels, label) }

func (k *simWorker) used() (cpu, memory int) {
	for _, byRun := range k.runs {
		for _, r := range byRun {
			if !r.step.Fills {
				cpu += r.step.CPU
			}
			memory += r.step.MemoryMB
		}
	}
	return cpu, memory
}

func (k *simWorker) countStep(t taskName) (n int) {
	for other, byRun := range k.runs {
		if other.job == t.job && other.occurrence == t.occurrence && other.step == t.step {
			n += len(byRun)
		}
	}
	return n
}

func (k *simWorker) clock() time.Duration { return time.Since(k.started) + time.Second }

func (k *simWorker) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// ServeHTTP implements [http.Handler].
func (k *simWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.world.mu.Lock()
	up := k.up
	k.world.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Peridotcrank-Expect-Instance"); expected != "" && expected != k.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if k.delay != nil {
		if delay := k.delay(r.URL.Path, o); delay > 0 {
			k.carryOutLate(r, o, delay)
		}
	}

	k.world.mu.Lock()
	status, body := k.execute(r.URL.Path, o, false)
	born := k.born
	if r.URL.Path == "/hold" && status == http.StatusOK && o.WaitMS > 0 && len(k.ended) == 0 {
		changed, timeout := k.changed, time.After(time.Duration(o.WaitMS)*time.Millisecond)
		k.world.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
		case <-r.Context().Done():
		}
		k.world.mu.Lock()
		if !k.up || k.born != born {
			k.world.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		body = k.status()
	}
	k.world.mu.Unlock()
	if body != nil {
		writeJSON(w, status, body)
	} else {
		w.WriteHeader(status)
	}
}

// carryOutLate carries an order out later and gives no answer.
func (k *simWorker) carryOutLate(r *http.Request, o order, delay time.Duration) {
	path := r.URL.Path
	k.world.rec.printf("held up %s on %s: %s run %d percent %d fence %d", path, k.id, recordName(o.Task), o.Run, o.Percent, o.Fence)
	time.AfterFunc(delay, func() {
		k.world.mu.Lock()
		defer k.world.mu.Unlock()
		if !k.up {
			return
		}
		status, _ := k.execute(path, o, true)
		k.world.rec.printf("late %s on %s: %s run %d percent %d fence %d -> %d", path, k.id, recordName(o.Task), o.Run, o.Percent, o.Fence, status)
	})
	hang(r)
}

// execute carries an order out. The caller holds the lock of the world.
func (k *simWorker) execute(path string, o order, late bool) (int, map[string]any) {
	if o.Fence < k.fence {
		return http.StatusConflict, k.refusal("fence")
	}
	k.fence = o.Fence
	switch path {
	case "/run-start":
		return k.startRun(o, late)
	case "/run-stop":
		return k.stopRun(o)
	case "/hold":
		return k.hold(o)
	case "/pace":
		return k.setPace(o)
	}
	return http.StatusNotFound, nil
}

func (k *simWorker) refusal(reason string) map[string]any {
	return map[string]any{"clock-ms": k.clock().Milliseconds(), "born": k.born, "reason": reason}
}

func (k *simWorker) answer() map[string]any {
	return map[string]any{"clock-ms": k.clock().Milliseconds(), "born": k.born}
}

func (k *simWorker) extend(dueMS int64) {
	due := min(time.Duration(dueMS)*time.Millisecond, k.clock()+maxHold)
	if due <= k.due {
		return
	}
	k.due = due
	if k.lease != nil {
		k.lease.Stop()
	}
	born := k.born
	k.lease = time.AfterFunc(due-k.clock(), func() {
		k.world.mu.Lock()
		defer k.world.mu.Unlock()
		if k.born == born && k.clock() >= k.due {
			k.lapse()
		}
	})
}

func (k *simWorker) lapse() {
	if n := k.countRuns(); n > 0 {
		k.world.rec.printf("lease of %s lapsed with %d runs", k.id, n)
	}
	for _, e := range k.ended {
		e.void = e.void || !e.acked
	}
	for _, byRun := range k.runs {
		for _, r := range byRun {
			k.endRun(r, "lapsed")
		}
	}
}

func (k *simWorker) startRun(o order, late bool) (int, map[string]any) {
	t, err := parseTask(o.Task)
	if err != nil || o.Run < 1 {
		return http.StatusBadRequest, nil
	}
	if k.runs[t][o.Run] != nil {
		k.extend(o.DueMS)
		return http.StatusOK, k.answer()
	}
	if o.Run <= k.barred[t] {
		k.extend(o.DueMS)
		return http.StatusConflict, k.refusal("old")
	}
	if time.Duration(o.DueMS)*time.Millisecond <= k.clock() {
		return http.StatusConflict, k.refusal("late")
	}
	r := &simRun{task: t, number: o.Run, spec: o.Spec, savedIn: o.Saved, worker: k, began: time.Now(), pace: 100}
	j := k.world.jobs[t.job]
	k.world.checkStart(k, r, late)
	if j == nil || t.step >= len(j.Steps) {
		return http.StatusBadRequest, nil
	}
	r.step = &j.Steps[t.step]
	k.extend(o.DueMS)
	k.world.rec.printf("start %v run %d on %s fence %d late %v", t, o.Run, k.id, o.Fence, late)
	if k.runs[t] == nil {
		k.runs[t] = map[int]*simRun{}
	}
	k.runs[t][o.Run] = r
	k.world.task(t).running[r] = true
	fmt.Sscanf(o.Saved, "%d", &r.worked)
	r.timer = time.AfterFunc(time.Hour, func() {})
	if !r.step.Gang {
		r.work(restoreTimeIf(o.Saved != ""))
		return http.StatusOK, k.answer()
	}
	r.timer = time.AfterFunc(k.world.gangWait, func() { k.endIfRunning(r, "alone") })
	if members := k.world.gangPresent(t, o.Run, r.step.Count); members != nil {
		for _, m := range members {
			m.timer.Stop()
			m.work(restoreTimeIf(o.Saved != ""))
		}
	}
	return http.StatusOK, k.answer()
}

func restoreTimeIf(saved bool) time.Duration {
	if saved {
		return restoreTime
	}
	return 0
}

// work begins the work of a run.
func (r *simRun) work(after time.Duration) {
	r.working = time.Now().Add(after)
	if r.step.Lasts {
		if r.step.fails != nil && r.step.fails(r.task.index, r.number) {
			r.timer = time.AfterFunc(r.step.work, func() { r.worker.endIfRunning(r, "failed") })
		}
		return
	}
	left := max(r.step.work-r.worked, time.Millisecond)
	r.how = "done"
	if r.step.fails != nil && r.step.fails(r.task.index, r.number) {
		r.how, left = "failed", left/2
	}
	r.timer.Stop()
	r.timer = time.AfterFunc(left+after, func() { r.worker.endIfRunning(r, r.how) })
}

// setPace changes the pace of a run: its work goes on at that percentage.
func (r *simRun) setPace(percent int) {
	if !r.step.Lasts && !r.working.IsZero() && !r.stopping {
		r.worked, r.working = r.progress(), time.Now()
		r.timer.Stop()
		if percent > 0 {
			left := max(r.step.work-r.worked, time.Millisecond) * 100 / time.Duration(percent)
			r.timer = time.AfterFunc(left, func() { r.worker.endIfRunning(r, r.how) })
		}
	}
	r.pace = percent
}

func (k *simWorker) endIfRunning(r *simRun, how string) {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	if k.runs[r.task][r.number] == r {
		k.endRun(r, how)
	}
}

// progress returns the work of a run so far.
func (r *simRun) progress() time.Duration {
	if r.working.IsZero() || time.Now().Before(r.working) {
		return r.worked
	}
	return r.worked + time.Since(r.working)*time.Duration(r.pace)/100
}

func (r *simRun) savedValue(final bool) string {
	if !r.step.Checkpoint {
		return ""
	}
	progress := r.progress()
	if !final {
		progress = progress / saveTime * saveTime
		progress = max(progress, r.worked)
	}
	if progress <= 0 {
		return ""
	}
	value := fmt.Sprintf("%d", progress)
	r.worker.world.task(r.task).saved[value] = true
	return value
}

// endRun lists the end of a run.
func (k *simWorker) endRun(r *simRun, how string) {
	r.timer.Stop()
	k.world.ends[how]++
	record := k.world.task(r.task)
	delete(record.running, r)
	record.lastEnd = time.Now()
	delete(k.runs[r.task], r.number)
	if len(k.runs[r.task]) == 0 {
		delete(k.runs, r.task)
	}
	k.barred[r.task] = max(k.barred[r.task], r.number)
	k.lastN++
	saved := ""
	if how != "done" {
		saved = r.savedValue(how == "stopped")
	}
	e := &simEnd{n: k.lastN, task: r.task, run: r.number, how: how, saved: saved, worker: k, born: k.born}
	k.ended = append(k.ended, e)
	k.world.rec.printf("end %v run %d on %s: %s (n %d)", r.task, r.number, k.id, how, e.n)
	switch how {
	case "done":
		if record.done == nil {
			record.done = e
		}
	case "failed":
		record.failed = append(record.failed, e)
	case "alone":
		k.world.rec.printf("GANG run %d of %v ended alone", r.number, r.task)
	}
	if r.step.Gang {
		if how == "done" {
			k.endGang(r, "done")
		} else {
			k.breakGang(r)
		}
	}
	k.notify()
}

// endGang ends the other members of the run of a gang.
func (k *simWorker) endGang(r *simRun, how string) {
	t := r.task
	for i := range r.step.Count {
		t.index = i
		for other := range k.world.task(t).running {
			if other.number == r.number && other != r && other.worker.up {
				other.worker.endRun(other, how)
			}
		}
	}
}

func (k *simWorker) breakGang(r *simRun) {
	if r.step.Gang && !r.working.IsZero() {
		k.endGang(r, "broken")
	}
}

func (k *simWorker) stopRun(o order) (int, map[string]any) {
	t, err := parseTask(o.Task)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	k.barred[t] = max(k.barred[t], o.Run)
	if r := k.runs[t][o.Run]; r != nil && !r.stopping {
		r.stopping = true
		k.world.rec.printf("stop %v run %d on %s", t, o.Run, k.id)
		r.timer.Stop()
		r.timer = time.AfterFunc(stopTime, func() { k.endIfRunning(r, "stopped") })
	}
	return http.StatusOK, k.answer()
}

func (k *simWorker) setPace(o order) (int, map[string]any) {
	t, err := parseTask(o.Task)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	if r := k.runs[t][o.Run]; r != nil {
		r.setPace(o.Percent)
		k.world.rec.printf("pace %v run %d on %s: %d", t, o.Run, k.id, o.Percent)
	}
	return http.StatusOK, k.answer()
}

func (k *simWorker) hold(o order) (int, map[string]any) {
	if o.DueMS > 0 {
		k.extend(o.DueMS)
	}
	if o.Acked > 0 {
		kept := k.ended[:0:0]
		for _, e := range k.ended {
			if e.n > o.Acked {
				kept = append(kept, e)
				continue
			}
			e.acked = true
			if record := k.world.task(e.task); record.done == e && !e.void && record.startedAfterDone != "" {
				k.world.breakRule("%s (noted later)", record.startedAfterDone)
			}
		}
		k.ended = kept
	}
	return http.StatusOK, k.status()
}

func (k *simWorker) status() map[string]any {
	body := k.answer()
	running, ended := []any{}, []any{}
	for _, byRun := range k.runs {
		for _, r := range byRun {
			running = append(running, []any{r.task.wire(), r.number, r.savedValue(false), r.percent(), k.measure(r)})
		}
	}
	for _, e := range k.ended[:min(len(k.ended), 500)] {
		ended = append(ended, []any{e.n, e.task.wire(), e.run, e.how, e.saved})
	}
	body["running"], body["ended"] = running, ended
	return body
}

func (r *simRun) percent() int {
	if r.step.Lasts {
		if time.Since(r.began) < startupTime {
			return 0
		}
		return 100
	}
	return min(int(100*r.progress()/max(r.step.work, 1)), 99)
}

// measure is the tail of a task that serves, in milliseconds, and the cpu of any other.
func (k *simWorker) measure(r *simRun) int {
	if r.step.TargetMS == 0 {
		return r.step.CPU
	}
	return int(k.tail(r))
}

// tail returns the tail of the response times of a task that serves, by the pace of the tasks that
// fill beside it.
func (k *simWorker) tail(r *simRun) float64 {
	pace := 0
	for _, byRun := range k.runs {
		for _, other := range byRun {
			if other.step.Fills {
				pace += other.pace
			}
		}
	}
	if k.tailAt == nil {
		return 0.6 * float64(r.step.TargetMS)
	}
	return k.tailAt(float64(r.step.TargetMS), pace)
}
