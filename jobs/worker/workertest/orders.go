package workertest

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// ErrNoReply is returned for an order that gets no reply.
var ErrNoReply = errors.New("no reply from the simulated worker")

// Fault is a fault injected into one order.
type Fault uint8

// Faults of an order.
const (
	NoFault      Fault = iota
	ResponseLost       // The order is executed, but gets no reply.
	Delayed            // The order gets no reply and is executed seconds later.
	RequestLost        // The order is neither executed nor gets a reply.
)

// maxListedEnds is the maximum number of ended runs in a status.
const maxListedEnds = 500

const (
	defaultDelay    = 4 * time.Second
	defaultMaxLease = 6 * time.Second
	defaultStopTime = 50 * time.Millisecond
)

var _ worker.Client = (*Fleet)(nil)

// deliver executes an order on a worker and applies the fault chosen for it. It returns the
// worker's clock.
func (f *Fleet) deliver(ctx context.Context, to worker.Target, name string, fence uint64, order func(*simulatedWorker) error) (worker.ClockTime, error) {
	f.mu.Lock()
	return f.deliverLocked(ctx, to, name, fence, f.faultOf(to.ID, name), order)
}

// deliverLocked is deliver with a given fault. The caller holds the lock, which
// deliverLocked releases.
func (f *Fleet) deliverLocked(ctx context.Context, to worker.Target, name string, fence uint64, fault Fault, order func(*simulatedWorker) error) (worker.ClockTime, error) {
	w := f.workers[to.ID]
	unreachable := w == nil || w.partitioned || w.terminated || fault == RequestLost
	if fault == Delayed && !unreachable {
		time.AfterFunc(TimerDelay(f.delayOf(to.ID, name)), func() { f.executeLate(w, order) })
	}
	if unreachable {
		f.mu.Unlock()
		<-ctx.Done()
		return 0, ErrNoReply
	}
	if fault == Delayed {
		if f.Readings.ExecuteTwice {
			_ = order(w) // Nobody waits for the reply.
		}
		f.mu.Unlock()
		return 0, w.awaitNoReply(ctx)
	}
	if to.StartedUnixMs != 0 && to.StartedUnixMs != w.info.StartedUnixMs {
		return 0, f.reportIncarnation(ctx, to, w, fence, fault)
	}
	clock, err := f.reportedClock(w), order(w)
	f.mu.Unlock()
	if fault == ResponseLost {
		return 0, w.awaitNoReply(ctx)
	}
	return clock, err
}

// reportIncarnation plays a client that reaches another incarnation than an order names: it requests a
// status first and does not send the order. The caller holds the lock, which reportIncarnation releases.
func (f *Fleet) reportIncarnation(ctx context.Context, to worker.Target, reached *simulatedWorker, fence uint64, fault Fault) error {
	if fault != NoFault {
		f.mu.Unlock()
		return reached.awaitNoReply(ctx)
	}
	if fence < reached.fence {
		f.mu.Unlock()
		return worker.ErrFenced
	}
	reached.fence = fence
	status := f.takeStatus(reached)
	f.mu.Unlock()
	if to.Report != nil {
		to.Report(status)
	}
	return &worker.RestartedError{AnsweredUnixMs: status.StartedUnixMs}
}

// executeLate executes a delayed order, which was sent to a worker, on the incarnation that
// is up now.
func (f *Fleet) executeLate(sentTo *simulatedWorker, order func(*simulatedWorker) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reached := f.workers[sentTo.info.ID]
	reachesNext := f.DeliverToNewIncarnation || f.Readings.ReachNextIncarnation
	if reached.partitioned || reached != sentTo && !reachesNext {
		return
	}
	f.orderIsLate = true
	_ = order(reached) // Nobody waits for the reply.
	f.orderIsLate = false
}

// awaitNoReply waits until a call without a reply times out or its connection breaks.
func (w *simulatedWorker) awaitNoReply(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-w.broken:
	}
	return ErrNoReply
}

// breakCalls breaks the connections of the calls in flight to a worker.
func (w *simulatedWorker) breakCalls() {
	w.callsBroken = true
	close(w.broken)
	w.wakeAllHolds()
}

func (f *Fleet) faultOf(id worker.ID, order string) Fault {
	if f.chooseFault == nil {
		return NoFault
	}
	return f.chooseFault(id, order)
}

func (f *Fleet) faultOfHold(id worker.ID, hold worker.Hold) Fault {
	if f.chooseHoldFault != nil {
		if fault := f.chooseHoldFault(id, hold); fault != NoFault {
			return fault
		}
	}
	return f.faultOf(id, "hold")
}

func (f *Fleet) delayOf(id worker.ID, order string) time.Duration {
	if f.chooseDelay != nil {
		return f.chooseDelay(id, order)
	}
	return cmp.Or(f.Delay, defaultDelay)
}

// Start implements [worker.Client].
func (f *Fleet) Start(ctx context.Context, to worker.Target, order worker.Start) (worker.ClockTime, error) {
	return transmit(ctx, f, to.ID, func(ctx context.Context) (worker.ClockTime, error) {
		return f.deliver(ctx, to, "start", order.Fence, func(w *simulatedWorker) error { return f.startRun(w, order) })
	})
}

// Stop implements [worker.Client].
func (f *Fleet) Stop(ctx context.Context, to worker.Target, task job.TaskRef, number int, fence uint64) (worker.ClockTime, error) {
	return transmit(ctx, f, to.ID, func(ctx context.Context) (worker.ClockTime, error) {
		return f.stop(ctx, to, task, number, fence)
	})
}

func (f *Fleet) stop(ctx context.Context, to worker.Target, task job.TaskRef, number int, fence uint64) (worker.ClockTime, error) {
	var on *simulatedWorker
	var stopped *run
	clock, err := f.deliver(ctx, to, "stop", fence, func(w *simulatedWorker) error {
		if fence < w.fence {
			return worker.ErrFenced
		}
		w.fence = fence
		w.bar(task, number)
		if r := w.runs[runKey{task, number}]; r != nil {
			f.noteOrderedEnd(w, r)
			time.AfterFunc(TimerDelay(f.drawStopTime()), func() { f.endRun(w, r, worker.Stopped) })
			on, stopped = w, r
		}
		return nil
	})
	if err != nil || stopped == nil || !f.Readings.ReplyAfterStop {
		return clock, err
	}
	select {
	case <-stopped.ended:
	case <-on.broken:
		return 0, ErrNoReply
	case <-ctx.Done():
		return 0, ErrNoReply
	}
	f.mu.Lock()
	clock, isCut := f.reportedClock(on), on.partitioned
	f.mu.Unlock()
	if isCut {
		return 0, on.awaitNoReply(ctx)
	}
	return clock, nil
}

// Hold implements [worker.Client].
func (f *Fleet) Hold(ctx context.Context, to worker.Target, hold worker.Hold) (worker.Status, error) {
	reply, err := transmit(ctx, f, to.ID, func(ctx context.Context) (holdReply, error) { return f.hold(ctx, to, hold) })
	if err != nil {
		return worker.Status{}, err
	}
	f.WithLock(func() { reply.from.reportedTo = max(reply.from.reportedTo, hold.Fence) })
	return reply.status, nil
}

// holdReply is the status that a worker sends.
type holdReply struct {
	status worker.Status
	from   *simulatedWorker
}

func (f *Fleet) hold(ctx context.Context, to worker.Target, hold worker.Hold) (holdReply, error) {
	var w *simulatedWorker
	var answered chan struct{}
	f.mu.Lock()
	fault := f.faultOfHold(to.ID, hold)
	if hold.IsQuery() {
		to.StartedUnixMs = 0
	}
	_, err := f.deliverLocked(ctx, to, "hold", hold.Fence, fault, func(found *simulatedWorker) error {
		if hold.Fence < found.fence {
			return worker.ErrFenced
		}
		found.fence = hold.Fence
		f.extendLease(found, hold.LeaseExpiry)
		f.acknowledge(found, hold.AckedUpTo)
		if fault != NoFault {
			f.sendLostStatus(found, hold.Wait)
			return nil
		}
		w, answered = found, f.waitForEnd(found, hold.Wait)
		return nil
	})
	if err != nil {
		return holdReply{}, err
	}
	if err := f.awaitEnd(ctx, w, answered, hold.Wait); err != nil {
		return holdReply{}, err
	}
	status, err := f.status(ctx, w)
	if err != nil {
		return holdReply{}, err
	}
	if err := f.waitForReply(ctx, to.ID); err != nil {
		return holdReply{}, err
	}
	return holdReply{status, w}, nil
}

// waitForEnd returns a channel that is closed when a hold that waits is answered because of an
// end; nil if the hold is answered at once.
func (f *Fleet) waitForEnd(w *simulatedWorker, limit time.Duration) chan struct{} {
	if limit == 0 || len(w.endedRuns) > 0 && !f.Readings.WaitForNewEnd {
		return nil
	}
	answered := make(chan struct{})
	w.waiting = append(w.waiting, answered)
	return answered
}

// awaitEnd waits until a hold is answered because of an end, for a limited time.
func (f *Fleet) awaitEnd(ctx context.Context, w *simulatedWorker, answered chan struct{}, limit time.Duration) error {
	if answered == nil {
		return nil
	}
	defer f.stopWaiting(w, answered)
	select {
	case <-answered:
	case <-time.After(TimerDelay(limit)):
	case <-ctx.Done():
		return ErrNoReply
	}
	return nil
}

// stopWaiting removes a hold from those that an end may answer.
func (f *Fleet) stopWaiting(w *simulatedWorker, answered chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.waiting = slices.DeleteFunc(w.waiting, func(other chan struct{}) bool { return other == answered })
}

// wakeHolds answers the holds that wait for an end: all, or one of them.
func (f *Fleet) wakeHolds(w *simulatedWorker) {
	if !f.Readings.OnePollPerEnd {
		w.wakeAllHolds()
		return
	}
	if n := len(w.waiting); n > 0 {
		i := f.random().IntN(n)
		close(w.waiting[i])
		w.waiting = slices.Delete(w.waiting, i, i+1)
	}
}

func (w *simulatedWorker) wakeAllHolds() {
	for _, answered := range w.waiting {
		close(answered)
	}
	w.waiting = nil
}

// sendLostStatus sends a status that does not arrive, once a hold has waited for an end. The
// caller holds the lock.
func (f *Fleet) sendLostStatus(w *simulatedWorker, wait time.Duration) {
	if !f.Readings.ListInLostReplies {
		return
	}
	answered := f.waitForEnd(w, wait)
	go func() {
		if f.awaitEnd(f.closed, w, answered, wait) != nil {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.terminated && !w.callsBroken {
			f.takeStatus(w)
		}
	}()
}

// waitForReply waits while the reply of a worker is on its way.
func (f *Fleet) waitForReply(ctx context.Context, id worker.ID) error {
	f.mu.Lock()
	var delay time.Duration
	if f.replyDelay != nil {
		delay = f.replyDelay(id)
	}
	f.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(TimerDelay(delay)):
		return nil
	case <-ctx.Done():
		return ErrNoReply
	}
}

func (f *Fleet) acknowledge(w *simulatedWorker, upTo uint64) {
	for len(w.endedRuns) > 0 && w.endedRuns[0].Number <= upTo {
		if f.OnAcknowledge != nil {
			f.OnAcknowledge(w.info.ID, w.endedRuns[0])
		}
		w.endedRuns = w.endedRuns[1:]
	}
	w.acked = max(w.acked, upTo)
	f.noteDoneUpTo(w, upTo)
}

func (f *Fleet) status(ctx context.Context, w *simulatedWorker) (worker.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.callsBroken {
		return worker.Status{}, ErrNoReply
	}
	if w.partitioned || w.terminated {
		if f.Readings.ListInLostReplies && !w.terminated {
			f.takeStatus(w)
		}
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return worker.Status{}, ErrNoReply
	}
	status := f.takeStatus(w)
	if f.NoteListedEnds {
		f.noteListedEnds(w, status.EndedRuns)
	}
	return status, nil
}

// takeStatus returns the status of a worker, and forgets the ends in it that it lists once. It
// releases the lock for a while if the two lists are not of the same moment.
func (f *Fleet) takeStatus(w *simulatedWorker) worker.Status {
	status := worker.Status{ClockTime: f.reportedClock(w), StartedUnixMs: w.info.StartedUnixMs}
	switch f.Readings.Lists {
	case ListsOfOneMoment:
		status.EndedRuns, status.Running = f.listEnds(w), f.listRunning(w)
	case RunningFirst:
		status.Running = f.listRunning(w)
		f.pauseBetweenLists()
		status.EndedRuns = f.listEnds(w)
	case EndsFirst:
		status.EndedRuns = f.listEnds(w)
		f.pauseBetweenLists()
		status.Running = f.listRunning(w)
	}
	return status
}

func (f *Fleet) listEnds(w *simulatedWorker) []worker.RunEnd {
	listed := slices.Clone(w.endedRuns[:min(len(w.endedRuns), maxListedEnds)])
	f.forgetListedEnds(w, len(listed))
	shuffle(f, listed)
	return listed
}

func (f *Fleet) listRunning(w *simulatedWorker) (listed []worker.RunningTask) {
	for _, r := range w.runs {
		listed = append(listed, worker.RunningTask{Task: r.task, Run: r.number, Percent: f.percent(r), Measure: f.measure(w, r)})
	}
	return listed
}

// measure returns what a run reports about itself.
func (f *Fleet) measure(w *simulatedWorker, r *run) float64 {
	if f.Latency == nil {
		return 0
	}
	return f.Latency(r.task, w.paces())
}

// paces returns the paces of the runs on a worker.
func (w *simulatedWorker) paces() map[job.TaskRef]int {
	paces := map[job.TaskRef]int{}
	for _, r := range w.runs {
		paces[r.task] = r.pace
	}
	return paces
}

// Paces returns the paces of the runs on a worker.
func (f *Fleet) Paces(id worker.ID) map[job.TaskRef]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].paces()
}

// pauseBetweenLists passes some time between the two lists of a status.
func (f *Fleet) pauseBetweenLists() {
	d := time.Duration(f.random().Int64N(int64(maxListsGap)))
	f.mu.Unlock()
	time.Sleep(d)
	f.mu.Lock()
}

// Pace implements [worker.Client]. Simulated runs only report their pace to Latency.
func (f *Fleet) Pace(ctx context.Context, to worker.Target, task job.TaskRef, number, percent int, fence uint64) error {
	_, err := f.deliver(ctx, to, "pace", fence, func(w *simulatedWorker) error {
		if fence < w.fence {
			return worker.ErrFenced
		}
		w.fence = fence
		r := w.runs[runKey{task, number}]
		if r == nil {
			return worker.ErrStaleRun
		}
		r.pace = percent
		return nil
	})
	return err
}
