package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker/workertest"
	"peridotcrank.dev/testbed/standin"
)

// Options configure a soak.
type Options struct {
	Binary    string        // Program under test. Required.
	Dir       string        // For settings and logs. Required.
	Seed      uint64        // Determines faults and load.
	Processes int           // Default 4.
	Pools     int           // Each with its own queue. Default 1, at most 16.
	Workers   int           // Of each pool. Default 6.
	WorkerCPU int64         // Capacity of each worker in thousandths of a core. Default 8,000.
	Duration  time.Duration // Of the load with faults. Default 15 s.
	// WithoutWorkspaces runs a site whose calls need no keys.
	WithoutWorkspaces bool
	// CapCPU is the cap of each workspace in thousandths of a core. Default: no cap.
	CapCPU int64
	// FaultGap is the mean time between the starts of two faults. Default 1.2 s.
	FaultGap time.Duration
	// Faults lists the kinds of faults to inject, by name. Default: all.
	Faults []string
	// MaxTask is the longest duration of a task. Default 0.9 s.
	MaxTask time.Duration
	// MaxLease is the longest lease of the workers. Default 6 s.
	MaxLease time.Duration
	// Acknowledgements is the name of the workers' reading of acknowledgements. Default: drawn.
	Acknowledgements string
}

// Reading returns what the workers do with ends that occur after the acknowledgement of their
// numbers.
func (o Options) Reading() workertest.AcknowledgementReading {
	readings := workertest.AcknowledgementReadings
	for _, reading := range readings {
		if reading.String() == o.Acknowledgements {
			return reading
		}
	}
	return readings[rand.New(rand.NewPCG(o.Seed, 9)).IntN(len(readings))]
}

const (
	host = "jobs.example"

	defaultPools        = 1
	defaultWorkers      = 6
	sendersPerPool      = 3
	completionCheckers  = 4
	defaultProcesses    = 4
	defaultDuration     = 15 * time.Second
	defaultMaxLease     = 6 * time.Second
	readyTimeout        = 15 * time.Second
	killTimeout         = 1500 * time.Millisecond
	gracefulStopTimeout = 6 * time.Second
	completionTimeout   = 45 * time.Second
	maxTaskDuration     = 900 * time.Millisecond
	minTaskDuration     = 100 * time.Millisecond
	// stopTime is less than the stop time in the settings. Some runs end by themselves within it.
	stopTime         = 150 * time.Millisecond
	pollInterval     = 100 * time.Millisecond
	versionIncrement = 3
)

// ErrBroken means that callers or workers observed a broken guarantee.
var ErrBroken = errors.New("a guarantee was broken")

type run struct {
	options    Options
	platform   *standin.Platform
	processes  []*process
	callers    *callers
	keys       *keyring     // Nil without workspaces.
	storeFault atomic.Int32 // The rowstest.Fault that a share of the commits gets.
	lulls      atomic.Int32 // Number of faults that suspend the load.
	orderFault atomic.Int32 // The workertest.Fault that a share of the orders to workers gets.
	lateOrders lateOrders
	rebornCuts sync.Map // The workers that a rebornCutFault has hit.
	calm       *calm
	routes     routes
	faultLog   []string
	orderLog   *os.File
	startedAt  time.Time
}

// Run starts the processes, sends jobs while it injects faults, waits until the accepted
// jobs are completed and checks the guarantees. The error wraps [ErrBroken] when one was
// broken, otherwise the soak could not start.
func Run(o Options) error {
	r := newRun(o)
	defer r.close()
	if err := r.startSystem(); err != nil {
		return err
	}
	stopProbes := r.startProbes()
	r.runLoadWithFaults()
	r.callers.awaitCompletion(completionTimeout, o.Seed)
	stopProbes()
	return r.checkGuarantees()
}

func newRun(o Options) *run {
	o.Processes = cmp.Or(o.Processes, defaultProcesses)
	o.Pools = cmp.Or(o.Pools, defaultPools)
	o.Workers = cmp.Or(o.Workers, defaultWorkers)
	o.WorkerCPU = cmp.Or(o.WorkerCPU, standin.Capacity.CPU)
	o.Duration = cmp.Or(o.Duration, defaultDuration)
	o.FaultGap = cmp.Or(o.FaultGap, defaultFaultGap)
	o.MaxTask = cmp.Or(o.MaxTask, maxTaskDuration)
	o.MaxLease = cmp.Or(o.MaxLease, defaultMaxLease)
	r := &run{options: o, startedAt: time.Now(), routes: routes{moved: map[int]int{}}}
	if !o.WithoutWorkspaces {
		r.keys = newKeyring()
	}
	return r
}

func (r *run) startSystem() error {
	var err error
	if r.platform, err = standin.Start(r.planRun); err != nil {
		return err
	}
	r.platform.Fleet.CheckCapacity(func(job.TaskRef) job.Resources { return job.Resources{CPU: taskCPU, MemoryMB: taskMemoryMB} })
	r.platform.Fleet.Readings.Acknowledgements = r.options.Reading()
	r.platform.Fleet.StopTime = stopTime
	r.platform.Fleet.MaxLease = r.options.MaxLease
	if r.orderLog, err = os.Create(filepath.Join(r.options.Dir, "orders.log")); err != nil {
		return err
	}
	r.platform.OrderLog = r.orderLog
	r.installFaults()
	r.calm = &calm{fleet: r.platform.Fleet}
	r.calm.add(0)
	if slices.Contains(r.options.Faults, lateFault) {
		r.platform.Fleet.Delay = lateDelay
		r.platform.Fleet.DeliverToNewIncarnation = true
	}
	if slices.Contains(r.options.Faults, staleReadFault) {
		r.platform.TransactionTime = transactionTime
	}
	if slices.Contains(r.options.Faults, rebornCutFault) {
		r.platform.IdleTimeout = workerIdleTimeout
		r.platform.Fleet.Readings.Seed, r.platform.Fleet.Readings.SlowClocks = r.options.Seed, true
	}
	capacity := job.Resources{CPU: r.options.WorkerCPU, MemoryMB: standin.Capacity.MemoryMB}
	for pool := range r.options.Pools {
		if err := r.platform.AddWorkers(poolName(pool), r.options.Workers, capacity); err != nil {
			return err
		}
	}
	r.platform.PutOddEntries(poolName(0), "odd-at-start")
	if err := r.configure(); err != nil {
		return err
	}
	r.callers = newCallers(r)
	for i := range r.options.Processes {
		p, err := newProcess(r.options.Dir, r.options.Binary, fmt.Sprintf("entry-%d", i), r.platform.StoreAddress, r.platform.MachinesAddress, r.options.MaxLease, r.keys != nil)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	if slices.Contains(r.options.Faults, staleReadFault) {
		r.holdReadsAtStart()
	}
	return r.awaitFirstJob()
}

func poolName(pool int) string { return fmt.Sprintf("pool-%c", 'a'+pool) }

// poolPath returns the path prefix of the pool's queue.
func poolPath(pool int) string { return fmt.Sprintf("/jobs-%c/", 'a'+pool) }

// poolOf returns the pool that runs a job, by the job's ID.
func (r *run) poolOf(id job.ID) int {
	digit, err := strconv.ParseUint(string(id[1:2]), 16, 8)
	if err != nil {
		panic(err) // Every job ID is hexadecimal.
	}
	return int(digit) % max(r.options.Pools, defaultPools)
}

func (r *run) planRun(task job.TaskRef, run int) workertest.RunPlan {
	hash := uint64(run) + 0x9e3779b97f4a7c15
	for _, c := range task.String() {
		hash = (hash ^ uint64(c)) * 0x100000001b3
	}
	return workertest.RunPlan{Duration: minTaskDuration + time.Duration(hash>>16)%(r.options.MaxTask-minTaskDuration)}
}

func (r *run) configure() error { return r.keys.configure(r.writeConfig) }

// routes are the pools to which the queues are sent, and the version of the configuration.
type routes struct {
	mu      sync.Mutex
	version int
	moved   map[int]int // Pool by queue, for the queues that are sent to another one.
}

// moveQueue sends the queue of a pool to another one and writes the configuration. The pool's
// own number puts the queue back.
func (r *run) moveQueue(pool, to int) {
	r.routes.mu.Lock()
	r.routes.moved[pool] = to
	r.routes.mu.Unlock()
	if err := r.configure(); err != nil {
		r.callers.recordViolation("configure: %v", err)
	}
}

// writeConfig writes a configuration with keys by workspace.
func (r *run) writeConfig(keys [][]string) error {
	r.routes.mu.Lock()
	defer r.routes.mu.Unlock()
	r.routes.version += versionIncrement
	var tenants []standin.Tenant
	for workspace, list := range keys {
		tenants = append(tenants, standin.Tenant{Name: workspaceName(workspace), Keys: list, CapCPU: r.options.CapCPU})
	}
	var pools []string
	var queues []standin.Queue
	for i := range r.options.Pools {
		pool := poolName(i)
		pools = append(pools, pool)
		to, moved := r.routes.moved[i]
		if !moved {
			to = i
		}
		queues = append(queues, standin.Queue{Name: "queue-of-" + pool, Host: host, Prefix: poolPath(i), Pool: poolName(to)})
	}
	return r.platform.Configure(r.routes.version, pools, queues, tenants)
}

// startProbes starts the checks that last until the returned function is called.
func (r *run) startProbes() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	if r.keys != nil {
		group.Go(func() { r.callers.probeAccess(ctx, rand.New(rand.NewPCG(r.options.Seed, 5))) })
	}
	if r.options.CapCPU > 0 {
		group.Go(func() { r.watchCaps(ctx) })
	}
	return func() { cancel(); group.Wait() }
}

// awaitFirstJob submits jobs until one is accepted, and returns an error when none is
// before the timeout.
func (r *run) awaitFirstJob() error {
	rng := rand.New(rand.NewPCG(r.options.Seed, 7))
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		probe := newSubmission(rng)
		if r.callers.submitWithRetries(probe, rng); probe.accepted {
			return nil
		}
	}
	return fmt.Errorf("no job was accepted within %v of the start", readyTimeout)
}

func (r *run) logFault(format string, args ...any) {
	r.faultLog = append(r.faultLog, fmt.Sprintf("%6.2f s  ", time.Since(r.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// runLoadWithFaults injects faults while callers submit jobs, and waits until both have ended.
func (r *run) runLoadWithFaults() {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range sendersPerPool * r.options.Pools {
		group.Go(func() { r.callers.submitJobs(ctx, rand.New(rand.NewPCG(r.options.Seed, uint64(10+i)))) })
	}
	rng := rand.New(rand.NewPCG(r.options.Seed, 1))
	var faults sync.WaitGroup
	r.replaceKey(0) // So that each run has a key that was removed early.
	for ctx.Err() == nil {
		pause(ctx, time.Duration(rng.Int64N(int64(2*r.options.FaultGap))))
		if ctx.Err() == nil {
			r.injectFault(rng, &faults)
		}
	}
	group.Wait()
	faults.Wait()
}

func (r *run) checkGuarantees() error {
	violations := append(r.callers.violations, r.platform.Fleet.Violations()...)
	for _, p := range r.processes {
		violations = append(violations, r.keys.checkLog(p.logFile.Name())...)
		violations = append(violations, checkAcquisitions(p.logFile.Name())...)
	}
	accepted := 0
	for _, s := range r.callers.jobs {
		if s.accepted {
			accepted++
		}
	}
	if accepted == 0 {
		violations = append(violations, "no job was accepted while faults were injected")
	}
	report := fmt.Sprintf("seed %d, acknowledgements %v, started at %s, %d of %d jobs accepted:\n%s\nfaults:\n%s\n", r.options.Seed, r.options.Reading(), r.startedAt.UTC().Format(time.RFC3339Nano),
		accepted, len(r.callers.jobs), strings.Join(violations, "\n"), strings.Join(r.faultLog, "\n"))
	if err := os.WriteFile(filepath.Join(r.options.Dir, "report.txt"), []byte(report), 0o600); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if len(violations) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrBroken, report)
}

func (r *run) close() {
	for _, p := range r.processes {
		p.terminate(syscall.SIGKILL, killTimeout)
		p.storeProxy.close()
		p.logFile.Close()
	}
	if r.platform != nil {
		r.platform.Close()
	}
	r.orderLog.Close() // It fails only if the log was never opened.
}
