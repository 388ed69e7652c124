package shard

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the random faults")
	seeds     = flag.Uint64("seeds", 12, "number of seeds of the random faults")
)

// Guards against lost jobs, tasks that run twice and refused jobs that run,
// under random faults of the store and of workers while owners change.
func TestRandomFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onFakeTime(t, func(r *rig) { runRandom(r, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

const (
	randomJobs    = 60
	randomWorkers = 6
	// settleLimit is the time for all jobs after the last fault: leases pass,
	// and what waits takes turns.
	settleLimit = 90 * time.Second
)

// random is a run with random faults.
type random struct {
	*rig
	rng      *rand.Rand
	owner    *owner
	accepted map[int]bool
	refused  map[int]bool
	store    rowstest.Fault // Of a third of the commits.
	order    workertest.Fault
}

func runRandom(r *rig, rng *rand.Rand) {
	x := &random{rig: r, rng: rng, accepted: map[int]bool{}, refused: map[int]bool{}}
	r.ownLoops = true
	r.addWorkers(randomWorkers)
	r.fleet.SetRunPlan(x.behave)
	storeRandom, orderRandom := rand.New(rand.NewPCG(rng.Uint64(), 1)), rand.New(rand.NewPCG(rng.Uint64(), 2))
	r.store.SetFault(func(rows.Tx) rowstest.Fault {
		if storeRandom.IntN(3) > 0 {
			return rowstest.NoFault
		}
		return x.store
	})
	r.fleet.SetFault(func(worker.ID, string) workertest.Fault {
		if orderRandom.IntN(4) > 0 {
			return workertest.NoFault
		}
		return x.order
	})
	x.owner = r.own()
	time.Sleep(time.Second)
	for n := range randomJobs {
		x.submitJob(n)
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		if rng.IntN(4) == 0 {
			x.disturb()
		}
	}
	x.settle()
}

// behave gives the same plan to each task in each run of a seed.
func (x *random) behave(ref job.TaskRef, run int) workertest.RunPlan {
	h := uint64(len(ref.String())+run) * 0x9e3779b97f4a7c15
	for _, c := range ref.String() {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	return workertest.RunPlan{Duration: time.Duration(100+h>>32%1900) * time.Millisecond}
}

func (x *random) submitJob(n int) {
	j := simpleJob(n, 1+x.rng.IntN(5))
	if x.rng.IntN(2) == 0 {
		j.Steps = append(j.Steps, job.Step{Count: 1 + x.rng.IntN(3), Resources: job.Resources{CPU: 700}, After: []int{0}})
	}
	switch x.submit(x.owner, j).Code {
	case OK:
		x.accepted[n] = true
	case Refused:
		x.refused[n] = true
	}
}

// disturb changes a fault or the owner. The fakes ask for faults under their
// locks on other goroutines, so they are changed on the loop and under those locks.
func (x *random) disturb() {
	id := x.infos[x.rng.IntN(len(x.infos))].ID
	switch x.rng.IntN(8) {
	case 0:
		x.setFaults(rowstest.Fault(x.rng.IntN(5)), x.order)
	case 1:
		x.setFaults(x.store, workertest.Fault(x.rng.IntN(4)))
	case 2:
		x.fleet.SetPartitioned(id, true)
	case 3:
		x.fleet.SetPartitioned(id, false)
	case 4:
		x.rebirth(id)
	case 5: // The owner ends without notice.
		x.owner.do(x.owner.Stop)
		x.owner = x.own()
	case 6: // The owner is suspended, and resumes after it was replaced.
		former := x.owner
		former.suspend(time.Duration(x.rng.IntN(4000)) * time.Millisecond)
		x.owner = x.own()
		time.Sleep(time.Duration(x.rng.IntN(2000)) * time.Millisecond)
	case 7: // The right passes and returns.
		x.owner.right.Store(false)
		time.Sleep(time.Duration(x.rng.IntN(9000)) * time.Millisecond)
		x.owner.right.Store(true)
	}
}

func (x *random) setFaults(store rowstest.Fault, order workertest.Fault) {
	x.rig.store.WithLock(func() { x.store = store })
	x.fleet.WithLock(func() { x.order = order })
}

func (x *random) rebirth(id worker.ID) {
	x.infos = slices.Clone(x.infos)
	for i := range x.infos {
		if x.infos[i].ID == id {
			x.infos[i].StartedUnixMs++
			x.fleet.Add(x.infos[i])
		}
	}
	x.owner.do(func() { x.owner.SetWorkers(x.infos) })
}

func (x *random) settle() {
	x.setFaults(rowstest.NoFault, workertest.NoFault)
	for _, info := range x.infos {
		x.fleet.SetPartitioned(info.ID, false)
	}
	assert.Assert(x.t, !x.owner.lost.Load(), "the last owner gave the shard up")
	deadline := time.Now().Add(settleLimit)
	for n := range randomJobs {
		for x.accepted[n] && x.state(x.owner, n).State != job.Completed {
			if time.Now().After(deadline) {
				x.t.Fatalf("job %d was accepted and is %+v", n, x.state(x.owner, n))
			}
			time.Sleep(100 * time.Millisecond)
		}
		if x.refused[n] {
			starts := x.fleet.Starts(job.TaskRef{Job: testID(n)})
			assert.Equal(x.t, starts, 0, "job %d was refused and ran", n)
		}
	}
}
