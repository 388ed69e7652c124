package compare

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"peridotcrank.dev/limits/admission"
)

// run is the simulation of one scenario with one policy and one seed.
type run struct {
	scenario Scenario
	policy   policy
	lending  *lending // Nil without borrowing.
	random   *rand.Rand
	// arrivals is a separate random source for arrivals and service times, so that
	// all policies see the same requests.
	arrivals *rand.Rand

	start, now   time.Time
	events       events
	queues       []*admission.Queue[*request]
	assigned     []int        // Requests at each worker, including those waiting there.
	workerQueues [][]*request // Requests that wait for a slot at each worker.
	crashed      int          // Index of the crashed process, or -1.

	messages  int // Number of borrow requests.
	figures   Figures
	waitTimes []time.Duration
	idleUntil time.Time // Time up to which figures.idle is complete.
}

// request is one request of a caller.
type request struct {
	process     int
	arrived     time.Time
	deadline    time.Time
	serviceTime time.Duration
	at          assignment
	counted     bool // Arrived after the warm-up.
}

// event is a function to be called at a virtual time.
type event struct {
	at time.Time
	do func()
}

// events is a heap of events, earliest first. It implements heap.Interface.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// Run simulates one scenario with one policy and one seed and returns its figures.
func Run(k Kind, s Scenario, p Parameters, seed uint64) Figures {
	r := &run{
		scenario: s, start: time.Unix(0, 0), now: time.Unix(0, 0), crashed: -1,
		random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)),
		assigned: make([]int, s.Workers), workerQueues: make([][]*request, s.Workers),
	}
	r.policy = newPolicy(k, s, p, r)
	for range s.Processes {
		q, err := admission.New[*request](admission.Options{})
		if err != nil {
			panic(err)
		}
		r.queues = append(r.queues, q)
	}
	if k == Borrow {
		r.lending = newLending(r, p)
	}
	r.handleArrival()
	if s.Balance == Crash {
		r.at(crashTime, r.crashLastProcess)
	}
	r.onHeartbeat()
	for r.events[0].at.Before(r.start.Add(runLength)) {
		e := heap.Pop(&r.events).(event)
		r.addIdleTime(e.at)
		r.now = e.at
		e.do()
	}
	return r.result()
}

func (r *run) at(d time.Duration, do func()) { heap.Push(&r.events, event{r.start.Add(d), do}) }
func (r *run) after(d time.Duration, do func()) {
	heap.Push(&r.events, event{r.now.Add(d), do})
}

// addIdleTime adds to figures.idle the time since the previous call, multiplied by
// the number of slots that were idle while as many requests waited. It ignores the
// warm-up.
func (r *run) addIdleTime(until time.Time) {
	from := r.start.Add(warmUp)
	if until.Before(from) {
		return
	}
	if r.idleUntil.Before(from) {
		r.idleUntil = from
	}
	idle, waiting := 0, 0
	for w, n := range r.assigned {
		idle += max(slotsPerWorker-n, 0)
		waiting += len(r.workerQueues[w])
	}
	for _, q := range r.queues {
		waiting += q.Len()
	}
	r.figures.idle += until.Sub(r.idleUntil).Seconds() * float64(min(idle, waiting))
	r.idleUntil = until
}

// handleArrival creates a request, schedules the next arrival and admits the request.
func (r *run) handleArrival() {
	rate := r.scenario.Load.Share * float64(r.scenario.Workers*slotsPerWorker) / meanService.Seconds()
	r.after(time.Duration(r.arrivals.ExpFloat64()/rate*float64(time.Second)), r.handleArrival)
	mu := math.Log(meanService.Seconds()) - serviceSigma*serviceSigma/2
	serviceTime := min(math.Exp(mu+serviceSigma*r.arrivals.NormFloat64()), timeout.Seconds()/2)
	q := &request{
		process: r.pickProcess(), arrived: r.now, deadline: r.now.Add(timeout),
		serviceTime: time.Duration(serviceTime * float64(time.Second)),
		counted:     !r.now.Before(r.start.Add(warmUp)),
	}
	if q.process == r.crashed {
		return // The caller's connection fails with any policy.
	}
	if q.counted {
		r.figures.requests++
	}
	r.admit(q)
}

// pickProcess returns the process to which the balancer sends the next caller.
func (r *run) pickProcess() int {
	n := r.scenario.Processes
	process := r.arrivals.IntN(n)
	switch b := r.scenario.Balance; {
	case b == Uneven && r.arrivals.IntN(2) == 0:
		process = 0
	case b == Shifting && r.arrivals.IntN(2) == 0:
		process = int(r.now.Sub(r.start)/time.Second) % n
	}
	if process == r.crashed && r.now.Sub(r.start) >= crashTime+balancerDelay {
		process = (process + 1 + r.arrivals.IntN(n-1)) % n
	}
	return process
}

// admit sends a request to a worker when the policy allows it and no other request
// waits, and queues it otherwise.
func (r *run) admit(q *request) {
	queue := r.queues[q.process]
	if queue.Len() == 0 {
		if at, ok := r.policy.assign(r.now, q.process); ok {
			r.sendToWorker(q, at)
			return
		}
	}
	queue.SetSlots(r.policy.usableSlots(r.now, q.process))
	_, displaced, refused := queue.Enqueue(r.now, admission.Request{Deadline: q.deadline}, q)
	if displaced != nil {
		r.shed(displaced.Value)
	}
	if refused != admission.Admitted {
		r.shed(q)
	}
	if r.lending != nil {
		r.lending.requestSlots(q.process)
	}
}

// shed counts a refused request.
func (r *run) shed(q *request) {
	if q.counted {
		r.figures.shed++
	}
}

// serveQueue sends waiting requests of a process to workers while the policy
// allows it, and refuses those that would miss their deadline.
func (r *run) serveQueue(p int) {
	queue := r.queues[p]
	for e := queue.Peek(); e != nil; e = queue.Peek() {
		if queue.MissesDeadline(r.now, e.Request) {
			queue.Remove(e)
			r.shed(e.Value)
			continue
		}
		at, ok := r.policy.assign(r.now, p)
		if !ok {
			break
		}
		queue.Dequeue()
		r.sendToWorker(e.Value, at)
	}
	if queue.Len() > 0 && r.lending != nil {
		r.lending.requestSlots(p)
	}
}

// sendToWorker sends a request to a worker, which queues it when all its slots are
// in use.
func (r *run) sendToWorker(q *request, at assignment) {
	q.at = at
	if q.counted {
		r.figures.sent++
		if r.assigned[at.worker] >= slotsPerWorker {
			r.figures.overrun++
		}
	}
	r.assigned[at.worker]++
	if r.assigned[at.worker] > slotsPerWorker {
		r.workerQueues[at.worker] = append(r.workerQueues[at.worker], q)
		return
	}
	r.startService(q)
}

// startService starts a request on its worker.
func (r *run) startService(q *request) {
	if q.counted {
		r.waitTimes = append(r.waitTimes, r.now.Sub(q.arrived))
	}
	d := q.serviceTime
	if crossZone(q.process, q.at) {
		d += 2 * interZoneLatency
	}
	r.after(d, func() { r.completeService(q, d) })
}

// completeService ends a request that took d, starts the next request that waits
// at the worker, and releases the slot at the process.
func (r *run) completeService(q *request, d time.Duration) {
	w := q.at.worker
	r.assigned[w]--
	if len(r.workerQueues[w]) > 0 {
		next := r.workerQueues[w][0]
		r.workerQueues[w] = r.workerQueues[w][1:]
		r.startService(next)
	}
	if q.process == r.crashed {
		return
	}
	if q.counted && r.now.After(q.deadline) {
		r.figures.late++
	}
	r.policy.release(r.now, q.process, q.at)
	r.queues[q.process].ObserveServiceTime("", d)
	r.serveQueue(q.process)
}

// crashLastProcess crashes the last process and refuses its waiting requests. The
// other processes evict it after evictionDelay.
func (r *run) crashLastProcess() {
	r.crashed = r.scenario.Processes - 1
	for e := r.queues[r.crashed].Dequeue(); e != nil; e = r.queues[r.crashed].Dequeue() {
		r.shed(e.Value)
	}
	r.after(evictionDelay, func() { r.policy.evict(r.now, r.crashed) })
}

// onHeartbeat serves waiting requests with slots that became usable without a
// release, reports the idle slots and schedules the next heartbeat.
func (r *run) onHeartbeat() {
	for p := range r.queues {
		if p != r.crashed {
			r.serveQueue(p)
		}
	}
	if r.lending != nil {
		r.lending.shareIdleCounts()
	}
	r.after(heartbeat, r.onHeartbeat)
}

// result computes the figures at the end of the run.
func (r *run) result() Figures {
	f := r.figures
	f.messages = r.messages
	for _, q := range r.queues {
		f.waiting += q.Len()
	}
	f.idle /= float64(r.scenario.Workers*slotsPerWorker) * (runLength - warmUp).Seconds()
	slices.Sort(r.waitTimes)
	f.P50, f.P99 = quantile(r.waitTimes, 0.5), quantile(r.waitTimes, 0.99)
	return f
}

// quantile returns the q-quantile of sorted durations, or 0 when there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
