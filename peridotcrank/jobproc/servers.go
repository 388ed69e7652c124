package jobproc

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/relay"
	"peridotcrank.dev/limits/inbound"
	"peridotcrank.dev/peridotcrank/bounds"
	"peridotcrank.dev/platform"
	settings "peridotcrank.dev/settings/jobs"
)

const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// maxAuxiliaryConnections is the number of connections for readiness checks, and for metrics, unless
	// auxiliaryDescriptorShare is less.
	maxAuxiliaryConnections = 64
	// Shares of the memory of the process that the connections of a listener may take. As much again
	// may be garbage that is not collected yet.
	callerMemoryShare    = 4
	peerMemoryShare      = 8
	auxiliaryMemoryShare = 64
	// Shares of the memory of the process that the jobs of the owned shards may take, and the states of their tasks.
	jobMemoryShare  = 5
	taskMemoryShare = 10
	// peerDescriptorShare is the share of the descriptors that sessions of peers may take.
	peerDescriptorShare      = 16
	auxiliaryDescriptorShare = 32
)

// limitHeap lets the garbage collector work more as the heap comes close to the memory of the
// process, an eighth of which is left to stacks and to bytes that were received and not read yet.
func limitHeap(l settings.Limits) { debug.SetMemoryLimit(l.Memory / 8 * 7) }

// listenForPeers starts to handle the calls of other processes.
func (p *Process) listenForPeers() (*relay.Server, error) {
	l := p.currentSettings().Limits
	listener, err := p.listen("peers", p.currentSettings().Listen.Peers, inbound.Options{
		Connections: l.Descriptors / peerDescriptorShare, Memory: l.Memory / peerMemoryShare,
	})
	if err != nil {
		return nil, err
	}
	return relay.Serve(listener.bounded, p.handlePeerCall, p.recordCallPanic), nil
}

// startServers starts the HTTP servers. It returns that of the callers, and a channel with the
// errors of all.
func (p *Process) startServers() (callers *http.Server, serveErrors <-chan error, err error) {
	s := p.currentSettings()
	errors := make(chan error, 3)
	auxiliary := inbound.Options{
		Connections: min(maxAuxiliaryConnections, s.Limits.Descriptors/auxiliaryDescriptorShare), Memory: s.Limits.Memory / auxiliaryMemoryShare,
	}
	callers = newServer(p.newCallerHandler(), s.Limits)
	for _, server := range []struct {
		http    *http.Server
		name    string
		address netip.AddrPort
		options inbound.Options
	}{
		{callers, "callers", s.Listen.Callers, inbound.Options{Connections: s.Limits.Connections, Memory: s.Limits.Memory / callerMemoryShare}},
		{newServer(http.HandlerFunc(p.serveReady), s.Limits), "readiness", s.Listen.Ready, auxiliary},
		{p.metrics.NewHTTPServer(), "metrics", s.Listen.Metrics, auxiliary},
	} {
		listener, err := p.listen(server.name, server.address, server.options)
		if err != nil {
			return nil, nil, err
		}
		listener.limiter.Configure(server.http)
		go func() { errors <- server.http.Serve(listener.bounded) }()
	}
	return callers, errors, nil
}

func newServer(h http.Handler, l settings.Limits) *http.Server {
	return &http.Server{Handler: h, MaxHeaderBytes: int(l.HeaderBytes), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// boundedListener is a listener with the limiter of its connections.
type boundedListener struct {
	bounded net.Listener
	limiter *inbound.Limiter
}

func (p *Process) listen(name string, address netip.AddrPort, o inbound.Options) (boundedListener, error) {
	limiter, err := bounds.NewLimiter(name, o, p.log, p.metrics)
	if err != nil {
		return boundedListener{}, err
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return boundedListener{}, fmt.Errorf("listen for %s: %w", name, err)
	}
	return boundedListener{limiter.Listen(listener), limiter}, nil
}

// serveReady answers the platform's readiness checks.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready.Load() || p.stopping.Load() || !p.gate.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// newCallerHandler returns the HTTP handler for callers. While the process stops, each
// response closes the connection, so that the caller connects to another process.
func (p *Process) newCallerHandler() http.Handler {
	handler := &platform.JobHandler{Forwarder: instrumentedForwarder{p.forwarder, p.metrics, p.log, eventlog.NewSampler(maxReadLines)}, Gate: instrumentedGate{p.gate, p.metrics, p.log}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
