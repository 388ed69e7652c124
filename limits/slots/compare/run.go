package compare

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"peridotcrank.dev/limits/admission"
)

// run is one scenario with one policy and one seed.
type run struct {
	scenario Scenario
	policy   policy
	lending  *lending // Nil without borrowing.
	random   *rand.Rand
	// arrivals and the service times have their own source, so that all
	// policies see the same requests.
	arrivals *rand.Rand

	start, now time.Time
	events     events
	queues     []*admission.Queue[*request]
	running    []int        // Requests at each worker, including those waiting there.
	backlog    [][]*request // Requests that wait at each worker.
	dead       int          // Index of the dead process, or -1.

	messages int // Requests for slots.
	figures  Figures
	waits    []time.Duration
	last     time.Time // Time up to which idle slots are accounted for.
}

// request is one request of a caller.
type request struct {
	process  int
	arrived  time.Time
	deadline time.Time
	service  time.Duration
	at       place
	counted  bool
}

type event struct {
	at time.Time
	do func()
}

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

// Run measures one scenario with one policy and one seed.
func Run(k Kind, s Scenario, p Parameters, seed uint64) Figures {
	r := &run{
		scenario: s, start: time.Unix(0, 0), now: time.Unix(0, 0), dead: -1,
		random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)),
		running: make([]int, s.Workers), backlog: make([][]*request, s.Workers),
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
	r.arrive()
	if s.Balance == Death {
		r.at(death, r.die)
	}
	r.tick()
	for r.events[0].at.Before(r.start.Add(length)) {
		e := heap.Pop(&r.events).(event)
		r.account(e.at)
		r.now = e.at
		e.do()
	}
	return r.result()
}

func (r *run) at(d time.Duration, do func()) { heap.Push(&r.events, event{r.start.Add(d), do}) }
func (r *run) after(d time.Duration, do func()) {
	heap.Push(&r.events, event{r.now.Add(d), do})
}

// account adds up the slots that are idle while requests wait.
func (r *run) account(until time.Time) {
	from := r.start.Add(warmUp)
	if until.Before(from) {
		return
	}
	if r.last.Before(from) {
		r.last = from
	}
	idle, waiting := 0, 0
	for w, n := range r.running {
		idle += max(slotsPerWorker-n, 0)
		waiting += len(r.backlog[w])
	}
	for _, q := range r.queues {
		waiting += q.Len()
	}
	r.figures.idle += until.Sub(r.last).Seconds() * float64(min(idle, waiting))
	r.last = until
}

// arrive lets a request arrive and plans the next one.
func (r *run) arrive() {
	rate := r.scenario.Load.Share * float64(r.scenario.Workers*slotsPerWorker) / meanService.Seconds()
	r.after(time.Duration(r.arrivals.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	mu := math.Log(meanService.Seconds()) - serviceSpread*serviceSpread/2
	service := min(math.Exp(mu+serviceSpread*r.arrivals.NormFloat64()), timeout.Seconds()/2)
	q := &request{
		process: r.entry(), arrived: r.now, deadline: r.now.Add(timeout),
		service: time.Duration(service * float64(time.Second)),
		counted: !r.now.Before(r.start.Add(warmUp)),
	}
	if q.process == r.dead {
		return // The caller sees a broken connection, whatever the policy.
	}
	if q.counted {
		r.figures.requests++
	}
	r.admit(q)
}

// entry returns the process that the balancer sends a caller to.
func (r *run) entry() int {
	n := r.scenario.Processes
	pick := r.arrivals.IntN(n)
	switch b := r.scenario.Balance; {
	case b == Uneven && r.arrivals.IntN(2) == 0:
		pick = 0
	case b == Shifting && r.arrivals.IntN(2) == 0:
		pick = int(r.now.Sub(r.start)/time.Second) % n
	}
	if pick == r.dead && r.now.Sub(r.start) >= death+balancerDelay {
		pick = (pick + 1 + r.arrivals.IntN(n-1)) % n
	}
	return pick
}

func (r *run) admit(q *request) {
	queue := r.queues[q.process]
	if queue.Len() == 0 {
		if at, ok := r.policy.take(r.now, q.process); ok {
			r.sendTo(q, at)
			return
		}
	}
	queue.SetSlots(r.policy.slots(r.now, q.process))
	_, displaced, refused := queue.Enqueue(r.now, admission.Request{Deadline: q.deadline}, q)
	if displaced != nil {
		r.shed(displaced.Value)
	}
	if refused != admission.Admitted {
		r.shed(q)
	}
	if r.lending != nil {
		r.lending.ask(q.process)
	}
}

func (r *run) shed(q *request) {
	if q.counted {
		r.figures.shed++
	}
}

// serve sends the waiting requests of a process as far as slots allow.
func (r *run) serve(p int) {
	queue := r.queues[p]
	for e := queue.Peek(); e != nil; e = queue.Peek() {
		if queue.MissesDeadline(r.now, e.Request) {
			queue.Remove(e)
			r.shed(e.Value)
			continue
		}
		at, ok := r.policy.take(r.now, p)
		if !ok {
			break
		}
		queue.Dequeue()
		r.sendTo(e.Value, at)
	}
	if queue.Len() > 0 && r.lending != nil {
		r.lending.ask(p)
	}
}

// sendTo sends a request to a worker.
func (r *run) sendTo(q *request, at place) {
	q.at = at
	if q.counted {
		r.figures.sent++
		if r.running[at.worker] >= slotsPerWorker {
			r.figures.overrun++
		}
	}
	r.running[at.worker]++
	if r.running[at.worker] > slotsPerWorker {
		r.backlog[at.worker] = append(r.backlog[at.worker], q)
		return
	}
	r.begin(q)
}

// begin runs a request on a worker.
func (r *run) begin(q *request) {
	if q.counted {
		r.waits = append(r.waits, r.now.Sub(q.arrived))
	}
	d := q.service
	if far(q.process, q.at) {
		d += 2 * hop
	}
	r.after(d, func() { r.end(q, d) })
}

// end frees the worker and tells the process.
func (r *run) end(q *request, d time.Duration) {
	w := q.at.worker
	r.running[w]--
	if len(r.backlog[w]) > 0 {
		next := r.backlog[w][0]
		r.backlog[w] = r.backlog[w][1:]
		r.begin(next)
	}
	if q.process == r.dead {
		return
	}
	if q.counted && r.now.After(q.deadline) {
		r.figures.late++
	}
	r.policy.release(r.now, q.process, q.at)
	r.queues[q.process].ObserveServiceTime("", d)
	r.serve(q.process)
}

// die stops the last process; the others evict it later.
func (r *run) die() {
	r.dead = r.scenario.Processes - 1
	for e := r.queues[r.dead].Dequeue(); e != nil; e = r.queues[r.dead].Dequeue() {
		r.shed(e.Value)
	}
	r.after(evictionDelay, func() { r.policy.evict(r.now, r.dead) })
}

// tick serves slots that became usable without a release, and sends heartbeats.
func (r *run) tick() {
	for p := range r.queues {
		if p != r.dead {
			r.serve(p)
		}
	}
	if r.lending != nil {
		r.lending.report()
	}
	r.after(heartbeat, r.tick)
}

func (r *run) result() Figures {
	f := r.figures
	f.messages = r.messages
	for _, q := range r.queues {
		f.waiting += q.Len()
	}
	f.idle /= float64(r.scenario.Workers*slotsPerWorker) * (length - warmUp).Seconds()
	slices.Sort(r.waits)
	f.P50, f.P99 = quantile(r.waits, 0.5), quantile(r.waits, 0.99)
	return f
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
