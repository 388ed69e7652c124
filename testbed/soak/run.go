package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
	"peridotcrank.dev/testbed/standin"
)

// Options configure a soak.
type Options struct {
	Binary    string        // Program under test. Required.
	Dir       string        // For settings and logs. Required.
	Seed      uint64        // Chooses faults and load.
	Processes int           // Default 4.
	Duration  time.Duration // Of the load with faults. Default 15 s.
	// Faults chooses kinds of faults by name; empty for all.
	Faults []string
}

const (
	pool   = "pool-a"
	queue  = "queue-a"
	host   = "jobs.example"
	prefix = "/jobs/"

	workers        = 6
	senders        = 3
	defaultSize    = 4
	defaultTime    = 15 * time.Second
	readyLimit     = 15 * time.Second
	startLimit     = 1500 * time.Millisecond
	graceLimit     = 6 * time.Second
	settleLimit    = 45 * time.Second
	meanFaultGap   = 1200 * time.Millisecond
	longestFault   = 6 * time.Second
	shortestFault  = 300 * time.Millisecond
	faultyShare    = 3 // One in this many calls gets the fault in force.
	longestTask    = 900 * time.Millisecond
	shortestTask   = 100 * time.Millisecond
	pollInterval   = 100 * time.Millisecond
	configurations = 3
)

// ErrBroken means that a guarantee was broken.
var ErrBroken = errors.New("a guarantee was broken")

type run struct {
	o         Options
	platform  *standin.Platform
	processes []*process
	callers   *callers
	store     atomic.Int32 // A rowstest.Fault, of a share of the commits.
	orders    atomic.Int32 // A workertest.Fault, of a share of the orders.
	version   int
	log       []string
	began     time.Time
}

// Run runs a soak. The error wraps [ErrBroken] when a guarantee was broken.
func Run(o Options) error {
	if o.Processes == 0 {
		o.Processes = defaultSize
	}
	if o.Duration == 0 {
		o.Duration = defaultTime
	}
	r := &run{o: o, began: time.Now()}
	defer r.close()
	if err := r.start(); err != nil {
		return err
	}
	r.disturb()
	r.callers.settle(settleLimit, rand.New(rand.NewPCG(o.Seed, 99)))
	return r.verdict()
}

func (r *run) start() error {
	var err error
	if r.platform, err = standin.Start(r.behave); err != nil {
		return err
	}
	r.installFaults()
	if err := r.platform.AddWorkers(pool, workers); err != nil {
		return err
	}
	if err := r.configure(); err != nil {
		return err
	}
	for i := range r.o.Processes {
		p, err := newProcess(r.o.Dir, r.o.Binary, fmt.Sprintf("entry-%d", i), r.platform.StoreAddress, r.platform.MachinesAddress)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	r.callers = newCallers(r)
	return r.awaitService()
}

func (r *run) behave(task job.TaskRef, run int) workertest.RunPlan {
	h := uint64(run) + 0x9e3779b97f4a7c15
	for _, c := range task.String() {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	return workertest.RunPlan{Duration: shortestTask + time.Duration(h>>16)%(longestTask-shortestTask)}
}

func (r *run) installFaults() {
	var commits, orders atomic.Uint64
	r.platform.Store.SetFault(func(rows.Tx) rowstest.Fault {
		if commits.Add(1)%faultyShare != 0 {
			return rowstest.NoFault
		}
		return rowstest.Fault(r.store.Load())
	})
	r.platform.Fleet.SetFault(func(worker.ID, string) workertest.Fault {
		if orders.Add(1)%faultyShare != 0 {
			return workertest.NoFault
		}
		return workertest.Fault(r.orders.Load())
	})
}

func (r *run) configure() error {
	r.version += configurations
	return r.platform.Configure(r.version, []string{pool}, []standin.Queue{{Name: queue, Host: host, Prefix: prefix, Pool: pool}})
}

// awaitService waits until a job is accepted.
func (r *run) awaitService() error {
	rng := rand.New(rand.NewPCG(r.o.Seed, 7))
	for deadline := time.Now().Add(readyLimit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		probe := &submission{id: job.ID(fmt.Sprintf("%016x", rng.Uint64())), tasks: 1}
		if r.callers.submit(probe, rng); probe.accepted {
			return nil
		}
	}
	return fmt.Errorf("no job was accepted within %v of the start", readyLimit)
}

func (r *run) note(format string, args ...any) {
	r.log = append(r.log, fmt.Sprintf("%6.2f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// disturb injects faults while callers send jobs.
func (r *run) disturb() {
	ctx, cancel := context.WithTimeout(context.Background(), r.o.Duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range senders {
		group.Go(func() { r.callers.send(ctx, rand.New(rand.NewPCG(r.o.Seed, uint64(10+i)))) })
	}
	rng := rand.New(rand.NewPCG(r.o.Seed, 1))
	var faults sync.WaitGroup
	for ctx.Err() == nil {
		pause(ctx, time.Duration(rng.Int64N(int64(2*meanFaultGap))))
		if ctx.Err() == nil {
			r.inject(rng, &faults)
		}
	}
	group.Wait()
	faults.Wait()
}

// inject begins a fault that ends by itself; faults overlap.
func (r *run) inject(rng *rand.Rand, faults *sync.WaitGroup) {
	kinds := r.kinds(rng)
	names := r.o.Faults
	if len(names) == 0 {
		names = faultNames
	}
	name := names[rng.IntN(len(names))]
	lasts := shortestFault + time.Duration(rng.Int64N(int64(longestFault-shortestFault)))
	begin := kinds[name]
	if begin == nil {
		return
	}
	what, end := begin()
	r.note("%s %s for %v", name, what, lasts.Round(time.Millisecond))
	faults.Go(func() {
		time.Sleep(lasts)
		end()
	})
}

var faultNames = []string{"pause", "kill", "stop", "link", "reset", "store", "orders", "dark", "reborn", "configuration"}

// kinds returns what begins each fault; that returns what it hit, and what ends it.
func (r *run) kinds(rng *rand.Rand) map[string]func() (string, func()) {
	p := r.processes[rng.IntN(len(r.processes))]
	id := worker.ID(fmt.Sprintf("w-%s-%d", pool, rng.IntN(workers)))
	number := rng.IntN(1 << 20)
	nothing := func() {}
	restart := func() {
		if err := p.start(); err != nil {
			r.callers.breach("restart: %v", err)
		}
	}
	return map[string]func() (string, func()){
		"pause": func() (string, func()) {
			p.signal(syscall.SIGSTOP)
			return p.name, func() { p.signal(syscall.SIGCONT) }
		},
		"kill": func() (string, func()) {
			p.end(syscall.SIGKILL, startLimit)
			restart()
			return p.name, nothing
		},
		"stop": func() (string, func()) {
			if p.end(syscall.SIGTERM, graceLimit) {
				r.callers.breach("%s did not stop within %v", p.name, graceLimit)
			}
			restart()
			return p.name, nothing
		},
		"link": func() (string, func()) {
			fault := linkFault(1 + number%int(linkFaults-1))
			p.link.set(fault)
			return fmt.Sprintf("%s %d", p.name, fault), func() { p.link.set(linkUp) }
		},
		"reset": func() (string, func()) { p.link.reset(); return p.name, nothing },
		"store": func() (string, func()) {
			r.store.Store(int32(1 + number%int(rowstest.Delayed)))
			return fmt.Sprint(r.store.Load()), func() { r.store.Store(0) }
		},
		"orders": func() (string, func()) {
			r.orders.Store(int32(1 + number%int(workertest.RequestLost)))
			return fmt.Sprint(r.orders.Load()), func() { r.orders.Store(0) }
		},
		"dark": func() (string, func()) {
			r.platform.Fleet.SetPartitioned(id, true)
			return string(id), func() { r.platform.Fleet.SetPartitioned(id, false) }
		},
		"reborn": func() (string, func()) {
			if err := r.platform.Reborn(id); err != nil {
				r.callers.breach("reborn: %v", err)
			}
			return string(id), nothing
		},
		"configuration": func() (string, func()) {
			if err := r.configure(); err != nil {
				r.callers.breach("configure: %v", err)
			}
			return fmt.Sprint(r.version), nothing
		},
	}
}

func (r *run) verdict() error {
	broken := append(r.callers.broken, r.platform.Fleet.Violations()...)
	accepted := 0
	for _, s := range r.callers.jobs {
		if s.accepted {
			accepted++
		}
	}
	if accepted == 0 {
		broken = append(broken, "no job was accepted while faults were injected")
	}
	if len(broken) == 0 {
		return nil
	}
	return fmt.Errorf("%w: seed %d, %d of %d jobs accepted:\n%s\nfaults:\n%s", ErrBroken, r.o.Seed, accepted, len(r.callers.jobs),
		strings.Join(broken, "\n"), strings.Join(r.log, "\n"))
}

func (r *run) close() {
	for _, p := range r.processes {
		p.end(syscall.SIGKILL, startLimit)
		p.link.close()
		p.log.Close()
	}
	if r.platform != nil {
		r.platform.Close()
	}
}
