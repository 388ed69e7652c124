package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/claims"
	"peridotcrank.dev/control"
	"peridotcrank.dev/control/environment"
	"peridotcrank.dev/control/operations"
	"peridotcrank.dev/control/peering"
	"peridotcrank.dev/control/plans"
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/eventlog/metrics"
	"peridotcrank.dev/exchange"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/gateway"
	"peridotcrank.dev/limits/retry"
	"peridotcrank.dev/membership/monotime"
	"peridotcrank.dev/peer"
	"peridotcrank.dev/routing"
	"peridotcrank.dev/settings"
	"peridotcrank.dev/store"
)

// Process is an entry process with all its components.
type Process struct {
	settings   settings.Settings
	clock      monotime.Clock
	log        *eventlog.Log
	metrics    *metrics.Metrics
	table      *store.Client
	platform   *store.HTTPPlatform
	node       *peer.Node
	router     *routing.Router
	claims     *claims.Service
	exchange   *exchange.PooledClient
	controller *control.Controller
	driver     *plans.Driver
	gateway    *gateway.Gateway
	callers    *gateway.Server
	admin      *http.Server
	limiters   limiters
	summaries  *summaries
	budgets    *budgets
	sessions   sessions
}

// New builds a process from settings. It opens the listener for peers; everything
// else starts in Run.
func New(s settings.Settings) (*Process, error) {
	clock, err := monotime.New()
	if err != nil {
		return nil, err
	}
	p := &Process{
		settings: s, clock: clock, summaries: newSummaries(), budgets: newBudgets(),
		sessions: sessions{connected: make(map[fleet.MemberID]bool)},
	}
	steps := []struct {
		name  string
		build func() error
	}{
		{"log", p.buildLog},
		{"limits of connections", p.buildLimiters},
		{"store client", p.buildStore},
		{"peers", p.buildPeers},
		{"traffic", p.buildTraffic},
		{"control loop", p.buildControl},
		{"gateway", p.buildGateway},
		{"administration API", p.buildAdmin},
	}
	for _, step := range steps {
		if err := step.build(); err != nil {
			return nil, fmt.Errorf("build %s: %w", step.name, err)
		}
	}
	return p, nil
}

func (p *Process) selfMember() fleet.Member {
	return fleet.Member{
		ID: p.settings.Member, Zone: p.settings.Zone,
		PeerAddress: p.settings.Listen.Peers.String(), AdminAddress: p.settings.Listen.Admin.String(),
	}
}

func (p *Process) buildLog() (err error) {
	p.metrics, err = metrics.New()
	if err != nil {
		return err
	}
	p.log, err = eventlog.New(logOptions(p.settings))
	return err
}

func (p *Process) buildStore() (err error) {
	base, member := p.settings.Platform.URL, string(p.settings.Member)
	p.table, err = store.New(base, member, store.Options{
		RequestTimeout: p.settings.Platform.Timeout, WritesPerSecond: float64(p.settings.Platform.WritesPerSecond),
	})
	if err != nil {
		return err
	}
	p.platform, err = store.NewHTTPPlatform(base, member, p.settings.Platform.Timeout)
	return err
}

func (p *Process) buildPeers() (err error) {
	p.node, err = peer.NewNode(peer.Config{Self: p.selfMember(), Clock: p.log.Clock(), OnSession: p.recordSession, TLS: peerTLS(p.settings.TLS)})
	return err
}

func (p *Process) buildTraffic() (err error) {
	p.router = routing.New(routing.Options{Peers: peering.New(p.node), Notify: p.recordRouting})
	peering.ServeSlots(p.node, p.router)
	if err := p.metrics.ObserveTraffic(p.controlTraffic); err != nil {
		return err
	}
	p.claims, err = claims.New(p.claimsConfig())
	if err != nil {
		return err
	}
	p.claims.Register(p.node)
	p.exchange, err = exchange.New(exchange.Options{
		DialTimeout: p.settings.Timeouts.Dial, ResponseBufferSize: int(p.settings.Limits.ResponseBuffer),
	})
	return err
}

// claimsConfig returns the configuration of the claims from the settings.
func (p *Process) claimsConfig() claims.Config {
	return claims.Config{
		Self: p.settings.Member, Transport: claims.PeerTransport{Node: p.node},
		// The controller is built after the claims; no key is claimed before it runs.
		Valid: func() bool { return p.controller != nil && p.controller.Valid() },
		Now:   p.clock.Now, Window: p.settings.Limits.ClaimWindow, MaxRecords: p.settings.Limits.Claims,
		ClaimTimeout: p.settings.Timeouts.Claim,
	}
}

func (p *Process) buildControl() (err error) {
	p.controller, err = control.New(control.Options{
		Self: p.selfMember(), Table: observedTable{p.table, p}, Platform: p.platform, Peers: peering.New(p.node), Traffic: p.router,
		Log: p.log, Now: p.clock.Now, Poll: p.settings.Platform.PollInterval, OnMembers: p.applyMemberView,
	})
	if err != nil {
		return err
	}
	peering.Serve(p.node, p.controller)
	p.router.SetValidity(p.controller.Valid)
	p.driver, err = plans.NewDriver(plans.Options{
		Self: p.settings.Member, Table: control.NewCachedTable(p.controller),
		Environment: environment.New(p.controller, p.platform),
		OnAction:    p.recordAction,
	})
	return err
}

// applyMemberView passes the member view to the claims and limits this process to
// its share of the connections to each backend server.
func (p *Process) applyMemberView(view fleet.MemberView, _ fleet.Member) {
	p.claims.SetView(view)
	if n := len(view.Members); n > 0 {
		p.exchange.SetConnectionLimit(max(1, connectionsPerBackend/n))
	}
}

// connectionsPerBackend is the number of connections that a backend server accepts
// from all entry processes together.
const connectionsPerBackend = 64

func (p *Process) buildGateway() (err error) {
	p.gateway, err = gateway.New(gateway.Options{
		Dispatcher: p.router, Claims: observedClaims{p.claims, p}, Exchange: p.exchange, Configuration: p.controller,
		Ready: p.ready, Observe: p.recordRequest,
		Retry:            retry.Options{Ratio: p.settings.Limits.RetryRatio, Window: p.settings.Limits.RetryWindow},
		MaxInFlight:      p.settings.Limits.InFlight,
		MaxBufferedBytes: p.settings.Limits.BodyBytes,
		SlowSenderLimit:  p.settings.Timeouts.ReadBody, SlowReaderLimit: p.settings.Timeouts.Write,
	})
	if err != nil {
		return err
	}
	p.callers, err = gateway.NewServer(p.gateway, gateway.ServerOptions{
		ReadHeaderTimeout: p.settings.Timeouts.ReadHeader, IdleTimeout: p.settings.Timeouts.Idle,
		MaxHeaderBytes: int(p.settings.Limits.HeaderBytes), ListenerOpen: p.settings.Timeouts.Drain, Limiter: p.limiters.callers,
	})
	return err
}

// ready reports whether this process can serve callers. A process that has just
// started has no slots until the requests of their previous users must have ended.
func (p *Process) ready() bool {
	return p.controller.Valid() && p.controller.Configuration() != nil && p.router.Ready()
}

func (p *Process) buildAdmin() error {
	backend := operations.New(operations.Options{
		Controller: p.controller, Table: control.NewCachedTable(p.controller), Log: p.log, Now: p.clock.Now,
	})
	server, err := admin.NewServer(admin.Options{
		Process: p.settings.Member, Backend: backend, Operators: p.settings.Operators, Recorder: p.log,
	})
	if err != nil {
		return err
	}
	p.admin = admin.NewHTTPServer(server)
	p.limiters.admin.Configure(p.admin)
	return nil
}

// Run serves until ctx ends and then stops gracefully. It returns an error if a
// listener fails or the stop is not complete within its timeout.
func (p *Process) Run(ctx context.Context) error {
	p.log.Record(eventlog.ProcessStarted, eventlog.Fields{"zone": p.settings.Zone})
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.node.Start()
	controlDone := make(chan struct{})
	go func() { defer close(controlDone); p.controller.Run(background) }()
	go p.driver.Run(background)
	go newWatcher(p).run(background)

	failed := make(chan error, 3)
	go func() { failed <- wrapStepError("serve callers", p.callers.Serve(listeners.callers)) }()
	go func() { failed <- wrapStepError("serve administration", p.admin.Serve(listeners.admin)) }()
	go func() { failed <- wrapStepError("serve metrics", p.serveMetrics(listeners.metrics)) }()
	select {
	case err := <-failed:
		p.log.Record(eventlog.ProcessFailed, eventlog.Fields{"error": err.Error()})
		return err
	case <-ctx.Done():
	}
	err = p.stop()
	cancel()
	<-controlDone
	return errors.Join(err, p.node.Close())
}

// stop drains the requests of callers, hands over claims and slots, and leaves
// the member view.
func (p *Process) stop() error {
	p.log.Record(eventlog.ProcessStopping, nil)
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Timeouts.Stop)
	defer cancel()
	err := wrapStepError("drain callers", p.callers.Shutdown(ctx))
	p.handOverClaims(ctx)
	p.router.Close()
	err = errors.Join(err, wrapStepError("leave the member view", p.controller.Leave(ctx, p.handOverSlots)))
	err = errors.Join(err, wrapStepError("stop administration", p.admin.Shutdown(ctx)))
	code := eventlog.ProcessStopped
	if err != nil {
		code = eventlog.ProcessStopForced
	}
	p.log.Record(code, eventlog.Fields{"error": fmt.Sprint(err)})
	return err
}

// handOverClaims transfers the claims to their next owners. A failure does not
// fail the stop, because the next owners recover the claims from dispatch records.
func (p *Process) handOverClaims(ctx context.Context) {
	defer p.claims.Close()
	if err := p.claims.Handover(ctx); err != nil {
		p.log.Record(eventlog.ClaimHandoverFailed, eventlog.Fields{"error": err.Error()})
		return
	}
	p.log.Record(eventlog.ClaimsHandedOver, eventlog.Fields{"records": p.claims.Stats().Records})
}

// handOverSlots transfers the slots to their next owners. After a failure the next
// owners wait until the view of this process must have expired, so the error is
// ignored.
func (p *Process) handOverSlots(ctx context.Context) { _ = p.router.Flush(ctx) }

// wrapStepError adds the name of a step to its error. It returns nil for the error
// that HTTP servers return after a planned stop.
func wrapStepError(step string, err error) error {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("%s: %w", step, err)
}
