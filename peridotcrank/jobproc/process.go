package jobproc

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/eventlog/metrics"
	"peridotcrank.dev/jobs/advice"
	"peridotcrank.dev/jobs/cluster"
	"peridotcrank.dev/jobs/ingress"
	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/maintenance"
	"peridotcrank.dev/jobs/memory"
	"peridotcrank.dev/jobs/relay"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/failover"
	"peridotcrank.dev/jobs/rows/rowsrelay"
	"peridotcrank.dev/jobs/shard"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/workspaces"
	"peridotcrank.dev/membership/monotime"
	"peridotcrank.dev/platform"
	settings "peridotcrank.dev/settings/jobs"
)

// Process is a process that accepts jobs and schedules them for the pools it owns.
type Process struct {
	settings    atomic.Pointer[settings.Settings]
	clock       monotime.Clock
	log         *eventlog.Log
	output      *eventlog.AsyncWriter
	metrics     *metrics.Metrics
	loop        *loop.Loop
	store       rows.Store // Uses directStore, or another process as a relay.
	directStore rows.Store
	storeRelay  *rowsrelay.Store
	workers     worker.Client
	advice      *advice.Queue // Nil if the platform has no advice service.
	// jobMemory and taskMemory bound what the owned shards keep.
	jobMemory, taskMemory *memory.Budget
	cluster               *cluster.Manager
	forwarder             *ingress.Forwarder
	client                *relay.Client

	// The fields below belong to the control loop.
	shards        map[string]*shard.Shard
	scopes        map[string]*loop.Scope // Scopes of the owned shards, including the fleet's.
	acquisitions  acquisitions
	fleetManager  *maintenance.Manager // Nil unless this process owns the fleet's shard.
	poolNames     []string
	sparePool     string
	waves         []maintenance.Wave
	queues        shard.Queues
	configVersion uint64
	workspaces    *workspaces.Table // Nil on a site without workspaces.
	usage         workspaceUsage
	runContext    context.Context // Cancelled when the process ends.
	// stopRegistry stops the registry watcher. It is nil while none runs.
	stopRegistry context.CancelFunc
	// stopCapFeed stops the feed of the table of caps. It is nil while none runs.
	stopCapFeed   context.CancelFunc
	capRows       map[string]rows.Row      // Latest rows of the table of caps, by workspace.
	workersByPool map[string][]worker.Info // Nil until the registry has been read.
	renewalOK     bool
	routes        []ingress.Route // Of the configuration in force.
	maxBodyBytes  int64
	history       *ingress.QueueHistory

	// lastReported holds the settings of the last logged reload. It belongs to the
	// goroutine of watchSettings.
	lastReported settings.Settings

	gate *ingress.Gate
	// cappedWorkspaces are the workspaces with a cap, for the feed.
	cappedWorkspaces atomic.Pointer[[]string]
	ready            atomic.Bool
	stopping         atomic.Bool
}

// New builds a process. It opens no listener and runs no control loop before Run.
func New(s settings.Settings) (*Process, error) {
	clock, err := monotime.New()
	if err != nil {
		return nil, err
	}
	output := eventlog.NewAsyncWriter(os.Stdout, logQueueLines)
	log, err := eventlog.New(eventlog.Options{Process: string(s.Member), Writer: output, LinesPerSecond: logLinesPerSecond})
	if err != nil {
		return nil, err
	}
	collector, err := metrics.New()
	if err != nil {
		return nil, err
	}
	p := &Process{
		clock: clock, log: log, output: output, metrics: collector, loop: loop.New(),
		directStore: instrumentedStore{platform.NewStore(s.Platform.Store.String()), collector},
		workers:     instrumentedWorkers{platform.NewWorkers(), collector}, client: relay.NewClient(),
		jobMemory: memory.NewBudget(s.Limits.Memory / jobMemoryShare), taskMemory: memory.NewBudget(s.Limits.Memory / taskMemoryShare),
		shards: map[string]*shard.Shard{}, scopes: map[string]*loop.Scope{}, queues: shard.Queues{}, renewalOK: true, history: ingress.NewQueueHistory(),
	}
	if err := collector.ObserveWorkspaces(p.usage.read); err != nil {
		return nil, err
	}
	var store *failover.Store
	p.storeRelay = rowsrelay.New(p.client, func() time.Duration { return store.ExpectedReplyTime() })
	store, err = failover.New(failover.Options{Direct: p.directStore, Relay: p.storeRelay, RouteChanged: p.recordStoreRoute})
	if err != nil {
		return nil, err
	}
	p.store = store
	if s.Platform.Advice != "" {
		p.advice = advice.NewQueue(platform.NewAdviser(s.Platform.Advice), clock.Now)
	}
	p.settings.Store(&s)
	p.gate = ingress.NewGate(ingress.GateOptions{Clock: clock.Now, RevokeTime: s.Keys.Revoke})
	if err := collector.ObserveConfirmation(p.gate.ConfirmationAge); err != nil {
		return nil, err
	}
	p.cluster, err = cluster.New(cluster.Options{
		Member: string(s.Member), Incarnation: uuid.NewString(), Address: s.Listen.Peers.String(),
		CPU: int64(s.CPU * milliCPUPerCore), Store: p.store, ReplyTime: store.ExpectedReplyTime, Loop: p.loop, Clock: clock.Now, Listener: (*ownership)(p),
	})
	if err != nil {
		return nil, err
	}
	p.forwarder = ingress.NewForwarder(ingress.Options{
		Local: p.callLocalShard, Client: p.client, Recorder: log,
		IsPool:  func(shard string) bool { return shard != fleetShard },
		Refresh: func() { p.loop.Post(p.cluster.Refresh) },
	})
	return p, nil
}

const (
	milliCPUPerCore = 1000
	// logQueueLines is the number of log lines buffered for a slow reader.
	logQueueLines = 4096
	// logLinesPerSecond limits the lines per event type and second.
	logLinesPerSecond = 250
	// logFlushTimeout limits the wait for a slow log reader when the process ends.
	logFlushTimeout = 200 * time.Millisecond
	// readinessDelay is how long the platform takes to stop sending requests to a
	// process that is not ready.
	readinessDelay = 2 * time.Second
	// exitReserve is the part of the grace period reserved for the exit of the process.
	exitReserve = 700 * time.Millisecond
)

// Run runs the process until ctx is cancelled, then stops it gracefully. It returns an
// error if a listener cannot be opened or a server fails.
func (p *Process) Run(ctx context.Context) error {
	defer p.closeLog()
	limitHeap(p.currentSettings().Limits)
	p.log.Record(eventlog.ProcessStarted, eventlog.Fields{"zone": p.currentSettings().Zone})
	server, err := p.listenForPeers()
	if err != nil {
		return err
	}
	defer server.Close()
	callers, serveErrors, err := p.startServers()
	if err != nil {
		return err
	}
	runContext, stopRun := context.WithCancel(context.Background())
	defer stopRun()
	p.runContext = runContext
	go p.loop.Run(runContext)
	p.loop.Post(p.cluster.Start)
	p.loop.Post(p.publishUsage)
	watcher := p.operatorTableWatcher()
	go watcher.Run(runContext)
	queueRows := p.queueRowsWatcher()
	go queueRows.Run(runContext)
	go p.watchValidity(runContext)
	select {
	case <-ctx.Done():
	case err := <-serveErrors:
		return fmt.Errorf("serve: %w", err)
	}
	p.stop(callers)
	return nil
}

// closeLog logs the number of dropped lines and waits until the log is written.
func (p *Process) closeLog() {
	if n := p.output.Dropped(); n > 0 {
		p.log.Record(eventlog.LogLinesDropped, eventlog.Fields{"lines": n})
	}
	p.output.Flush(logFlushTimeout)
}

// stop releases the shards, waits until the platform sends no new requests, and
// completes the requests already received, within the grace period.
func (p *Process) stop(callers *http.Server) {
	p.log.Record(eventlog.ProcessStopping, eventlog.Fields{})
	began := time.Now()
	p.stopping.Store(true)
	p.loop.Post(p.handOver)
	time.Sleep(readinessDelay)
	ctx, cancel := context.WithTimeout(context.Background(), p.currentSettings().Timing.Grace-exitReserve-time.Since(began))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		p.log.Record(eventlog.ProcessStopForced, eventlog.Fields{"error": err})
		return
	}
	p.log.Record(eventlog.ProcessStopped, eventlog.Fields{})
}
