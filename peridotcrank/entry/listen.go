package entry

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/limits/inbound"
	"peridotcrank.dev/peridotcrank/bounds"
)

const (
	// requestMemory is what the heads of callers' requests may take. The bodies have a limit of
	// their own.
	requestMemory = 32 << 20
	// auxiliaryConnections is the number of connections of operators, and for metrics.
	auxiliaryConnections = 64
	auxiliaryMemory      = 8 << 20
)

// limiters bound the connections of the listeners.
type limiters struct {
	callers, admin, metrics *inbound.Limiter
}

func (p *Process) buildLimiters() (err error) {
	connections := p.settings.Limits.Connections
	callers := inbound.Options{Connections: connections, Memory: inbound.MemoryFor(connections, requestMemory)}
	if p.limiters.callers, err = bounds.NewLimiter("callers", callers, p.log, p.metrics); err != nil {
		return err
	}
	auxiliary := inbound.Options{Connections: auxiliaryConnections, Memory: auxiliaryMemory}
	if p.limiters.admin, err = bounds.NewLimiter("administration", auxiliary, p.log, p.metrics); err != nil {
		return err
	}
	p.limiters.metrics, err = bounds.NewLimiter("metrics", auxiliary, p.log, p.metrics)
	return err
}

type listeners struct {
	callers, admin, metrics net.Listener
}

func (p *Process) listen() (l listeners, err error) {
	for _, item := range []struct {
		target      *net.Listener
		address     netip.AddrPort
		failureCode eventlog.Code
	}{
		{&l.callers, p.settings.Listen.Callers, eventlog.GatewayListenFault},
		{&l.admin, p.settings.Listen.Admin, eventlog.AdminListenFault},
		{&l.metrics, p.settings.Listen.Metrics, eventlog.MetricsListenFault},
	} {
		if *item.target, err = net.Listen("tcp", item.address.String()); err != nil {
			p.log.Record(item.failureCode, eventlog.Fields{"error": err.Error()})
			return l, fmt.Errorf("listen: %w", err)
		}
	}
	// The heads of requests are counted after decryption.
	l.callers = p.limiters.callers.Listen(withTLS(l.callers, p.settings.TLS.Callers))
	l.admin = p.limiters.admin.Listen(withTLS(l.admin, p.settings.TLS.Admin))
	l.metrics = p.limiters.metrics.Listen(l.metrics)
	return l, nil
}

func (p *Process) serveMetrics(l net.Listener) error {
	server := &http.Server{Handler: p.metrics.Handler()}
	p.limiters.metrics.Configure(server)
	return server.Serve(l)
}
