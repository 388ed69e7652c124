package jobproc

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/eventlog/metrics"
	"peridotcrank.dev/jobs/cluster"
	"peridotcrank.dev/jobs/ingress"
	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/maintenance"
	"peridotcrank.dev/jobs/relay"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/failover"
	"peridotcrank.dev/jobs/rows/rowsrelay"
	"peridotcrank.dev/jobs/shard"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/membership/monotime"
	"peridotcrank.dev/platform"
	settings "peridotcrank.dev/settings/jobs"
)

// Process runs jobs.
type Process struct {
	settings   atomic.Pointer[settings.Settings]
	clock      monotime.Clock
	log        *eventlog.Log
	output     *eventlog.AsyncWriter
	metrics    *metrics.Metrics
	loop       *loop.Loop
	store      rows.Store // By ownStore, or through another process.
	ownStore   rows.Store
	storeRelay *rowsrelay.Store
	workers    worker.Client
	adviser    worker.Adviser // Nil where the platform has none.
	cluster    *cluster.Manager
	forward    *ingress.Forwarder
	client     *relay.Client

	// The fields below belong to the control loop.
	shards    map[string]*shard.Shard
	scopes    map[string]*loop.Scope // Of the shards that this process owns, and of the fleet.
	fleet     *maintenance.Manager   // While this process owns the fleet's shard.
	poolNames []string
	spare     string
	waves     []maintenance.Wave
	queues    shard.Queues
	version   uint64
	work      context.Context // Ends with the process's work.
	// stopRegistry ends the reading of the registry; nil while it is not read.
	stopRegistry context.CancelFunc
	pools        map[string][]worker.Info // Nil until the registry was read.
	renewing     bool
	histories    map[string][]string // Former pools of each queue.

	// restartNoted are the settings last read by watchSettings, on its goroutine.
	restartNoted settings.Settings

	routing atomic.Pointer[routing]
	ready   atomic.Bool
	leaving atomic.Bool
}

// New builds a process. It does nothing before Run.
func New(s settings.Settings) (*Process, error) {
	clock, err := monotime.New()
	if err != nil {
		return nil, err
	}
	output := eventlog.NewAsyncWriter(os.Stdout, logQueue)
	log, err := eventlog.New(eventlog.Options{Process: string(s.Member), Writer: output, LinesPerSecond: logRate})
	if err != nil {
		return nil, err
	}
	measured, err := metrics.New()
	if err != nil {
		return nil, err
	}
	p := &Process{
		clock: clock, log: log, output: output, metrics: measured, loop: loop.New(),
		ownStore: measuredStore{platform.NewStore(s.Platform.Store.String()), measured},
		workers:  measuredWorkers{platform.NewWorkers(), measured}, client: relay.NewClient(),
		shards: map[string]*shard.Shard{}, scopes: map[string]*loop.Scope{}, queues: shard.Queues{}, renewing: true, histories: map[string][]string{},
	}
	p.storeRelay = rowsrelay.New(p.client)
	p.store, err = failover.New(failover.Options{Direct: p.ownStore, Relay: p.storeRelay, RouteChanged: p.storeWayChanged})
	if err != nil {
		return nil, err
	}
	if s.Platform.Advice != "" {
		p.adviser = platform.NewAdviser(s.Platform.Advice)
	}
	p.settings.Store(&s)
	p.cluster, err = cluster.New(cluster.Options{
		Member: string(s.Member), Incarnation: uuid.NewString(), Address: s.Listen.Peers.String(),
		CPU: int64(s.CPU * coreMilli), Store: p.store, Loop: p.loop, Clock: clock.Now, Listener: (*ownership)(p),
	})
	if err != nil {
		return nil, err
	}
	p.forward = ingress.NewForwarder(ingress.Options{
		Local: p.answerLocal, Client: p.client, Recorder: log,
		IsPool:  func(shard string) bool { return shard != fleetShard },
		Refresh: func() { p.loop.Post(p.cluster.Refresh) },
	})
	return p, nil
}

const (
	coreMilli = 1000
	// logQueue is the number of log lines that wait for a slow reader.
	logQueue = 4096
	// logRate bounds the lines of each event in a second.
	logRate = 250
	// logFlush bounds the wait for the reader at the end of the process.
	logFlush      = 200 * time.Millisecond
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// rotationTime is how long the platform takes to notice that a process is not ready.
	rotationTime = 2 * time.Second
	// stopReserve is the part of the grace period that is left for the exit.
	stopReserve = 700 * time.Millisecond
)

// Run runs the process until ctx ends, then stops it gracefully.
func (p *Process) Run(ctx context.Context) error {
	defer p.closeLog()
	p.log.Record(eventlog.ProcessStarted, eventlog.Fields{"zone": p.live().Zone})
	peers, err := net.Listen("tcp", p.live().Listen.Peers.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	server := relay.Serve(peers, p.answerPeer, p.callFailed)
	defer server.Close()
	callers := &http.Server{
		Handler:           p.callersHandler(),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	faults := make(chan error, 3)
	serve := func(s *http.Server, address string) error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		go func() { faults <- s.Serve(listener) }()
		return nil
	}
	if err := serve(callers, p.live().Listen.Callers.String()); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	readiness := &http.Server{Handler: http.HandlerFunc(p.serveReady), ReadHeaderTimeout: headerTimeout}
	if err := serve(readiness, p.live().Listen.Ready.String()); err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	if err := serve(p.metrics.NewHTTPServer(), p.live().Listen.Metrics.String()); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	p.work = work
	go p.loop.Run(work)
	p.loop.Post(p.cluster.Start)
	p.watch(work)
	select {
	case <-ctx.Done():
	case err := <-faults:
		return fmt.Errorf("serve: %w", err)
	}
	p.stop(callers)
	return nil
}

// closeLog waits until the log is written.
func (p *Process) closeLog() {
	if n := p.output.Dropped(); n > 0 {
		p.log.Record(eventlog.LogLinesDropped, eventlog.Fields{"lines": n})
	}
	p.output.Flush(logFlush)
}

func (p *Process) watch(ctx context.Context) {
	config := rows.Watcher{Store: p.store, Table: platform.OperatorTable, OnChange: p.tolerant(p.operatorChanged), OnRead: p.feedState(platform.OperatorTable)}
	go config.Run(ctx)
}

// stop hands the shards over, waits until no new requests come, and finishes
// those that were read.
func (p *Process) stop(callers *http.Server) {
	p.log.Record(eventlog.ProcessStopping, eventlog.Fields{})
	began := time.Now()
	p.leaving.Store(true)
	p.loop.Post(p.handOver)
	time.Sleep(rotationTime)
	ctx, cancel := context.WithTimeout(context.Background(), p.live().Timing.Grace-stopReserve-time.Since(began))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		p.log.Record(eventlog.ProcessStopForced, eventlog.Fields{"error": err})
		return
	}
	p.log.Record(eventlog.ProcessStopped, eventlog.Fields{})
}

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready.Load() || p.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// callersHandler answers callers; while the process stops, each answer asks
// the caller to connect anew.
func (p *Process) callersHandler() http.Handler {
	handler := &platform.Callers{Calls: measuredCalls{p.forward, p.metrics, p.log}, Routing: p}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
