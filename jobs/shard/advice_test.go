package shard

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

// policy is an adviser that permits some workers, with tickets of limited validity.
type policy struct {
	mu        sync.Mutex
	permitted string // Names of the permitted workers.
	terms     worker.AdvicePolicy
	busyCalls int // Number of calls to refuse as busy.
	calls     int
	issued    map[string]time.Time
}

func (p *policy) Advise(_ context.Context, step string, workers []worker.ID) (worker.Advice, error) {
	time.Sleep(p.terms.CallDuration + time.Duration(len(workers))*p.terms.DurationPerWorker)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.busyCalls > 0 {
		p.busyCalls--
		return nil, worker.ErrAdviserBusy
	}
	advice := worker.Advice{}
	for _, id := range workers {
		if strings.Contains(p.permitted, string(id)) {
			advice[id] = step + "@" + string(id)
			p.issued[advice[id]] = time.Now()
		}
	}
	return advice, nil
}

// acceptsTicket is the check that a worker makes on the ticket of a start.
func (p *policy) acceptsTicket(id worker.ID, order worker.Start) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	issued, ok := p.issued[order.Ticket]
	return ok && strings.HasSuffix(order.Ticket, "@"+string(id)) && strings.HasPrefix(order.Ticket, order.Task.StepName()) &&
		time.Since(issued) <= p.terms.TicketValidity
}

func withAdvice(t *testing.T, p *policy, test func(*rig, *owner)) {
	onFakeTime(t, func(r *rig) {
		p.issued = map[string]time.Time{}
		r.adviser = p
		r.fleet.SetTickets(p.acceptsTicket)
		r.addWorkers(4)
		o := r.startOwner()
		r.callOnLoop(func() { o.SetQueues(Queues{testQueue: {Attempts: 2, Advice: p.terms}}) })
		time.Sleep(time.Second)
		test(r, o)
	})
}

var quickTerms = worker.AdvicePolicy{CallDuration: 50 * time.Millisecond, DurationPerWorker: 2 * time.Millisecond, TicketValidity: 3 * time.Second}

// Guards against starts without a ticket or on workers that the policy does not permit,
// and against a job that never starts because the adviser was busy at first.
func TestAdvice(t *testing.T) {
	p := &policy{permitted: "w1 w3", terms: quickTerms, busyCalls: 2}
	withAdvice(t, p, func(r *rig, o *owner) {
		j := simpleJob(1, 12) // More than both permitted workers hold at once.
		j.Steps = append(j.Steps, job.Step{Count: 2, Resources: job.Resources{CPU: 500}, After: []int{0}})
		assert.Equal(t, r.submit(o, j).Code, OK)
		r.awaitState(o, 1, job.Completed, 8*time.Second)
		assert.Equal(t, r.fleet.TicketsRefused(), 0)
		assert.Assert(t, p.calls <= 6, "%d calls", p.calls)
	})
}

// Guards against the use of a ticket after it expired: the second half of the tasks
// starts after the first tickets are no longer valid.
func TestTicketsExpire(t *testing.T) {
	p := &policy{permitted: "w2", terms: quickTerms}
	withAdvice(t, p, func(r *rig, o *owner) {
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 4 * time.Second} })
		assert.Equal(t, r.submit(o, simpleJob(1, 8)).Code, OK) // Two rounds on one worker.
		r.awaitState(o, 1, job.Completed, 12*time.Second)
		assert.Equal(t, r.fleet.TicketsRefused(), 0)
		assert.Equal(t, p.calls, 2)
	})
}

// Guards against a task that waits for a run which takes far longer than the others
// although the step permits speculative runs, and against speculative runs of a step
// that does not permit them.
func TestSpeculativeRunOfSlowTask(t *testing.T) {
	for _, speculative := range []bool{true, false} {
		onFakeTime(t, func(r *rig) {
			r.addWorkers(3)
			r.fleet.AllowSpeculativeRuns = speculative
			r.fleet.SetRunPlan(func(ref job.TaskRef, run int) workertest.RunPlan {
				if ref.Index == 0 && run == 1 {
					return workertest.RunPlan{Duration: 20 * time.Second}
				}
				return workertest.RunPlan{Duration: 500 * time.Millisecond}
			})
			o := r.startOwner()
			time.Sleep(time.Second)
			j := simpleJob(1, 3)
			j.Steps[0].Speculative, j.Steps[0].Estimate = speculative, 500*time.Millisecond
			assert.Equal(t, r.submit(o, j).Code, OK)
			if speculative {
				r.awaitState(o, 1, job.Completed, 3*time.Second)
				return
			}
			time.Sleep(5 * time.Second)
			assert.Equal(t, r.fleet.Starts(job.TaskRef{Job: testJobID(1)}), 1)
		})
	}
}
