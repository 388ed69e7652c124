package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"

	"peridotcrank.dev/fleet"
)

// ReadyPath is the path of the readiness endpoint, which returns 200 when the
// process accepts requests and 503 otherwise.
const ReadyPath = "/-/ready"

// Gateway forwards callers' requests to backend servers. It is safe for
// concurrent use.
type Gateway struct {
	options        Options
	cachedRoutes   atomic.Pointer[routeTable]
	retryBudgets   sync.Map // fleet.PoolID to retry.Budget.
	bufferedBytes  byteBudget
	inFlight       inFlight
	activeRequests atomic.Int64 // Requests of callers in progress.
	stopping       atomic.Bool
}

var _ http.Handler = (*Gateway)(nil)

// New returns a gateway, or an error when the options are invalid.
func New(o Options) (*Gateway, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	return &Gateway{
		options:       o,
		bufferedBytes: byteBudget{limit: o.MaxBufferedBytes},
		inFlight:      inFlight{counts: make(map[vmGeneration]int)},
	}, nil
}

// InFlight returns the number of requests that this process has in progress
// with a VM in a generation.
func (g *Gateway) InFlight(vm fleet.VMID, generation uint64) int {
	return g.inFlight.count(vmGeneration{vm, generation})
}

// Ready reports whether the process accepts requests.
func (g *Gateway) Ready() bool { return !g.stopping.Load() && g.options.Ready() }

// BeginShutdown permanently turns readiness off and makes every response close
// its connection. Requests are still served.
func (g *Gateway) BeginShutdown() { g.stopping.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == ReadyPath {
		g.serveReadiness(w)
		return
	}
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	c := newCall(g, w, r)
	defer c.finish()
	if ref := c.process(); ref != nil {
		c.writeRefusal(ref)
	}
}

// serveReadiness serves ReadyPath.
func (g *Gateway) serveReadiness(w http.ResponseWriter) {
	status, text := http.StatusOK, "ready\n"
	if !g.Ready() {
		status, text = http.StatusServiceUnavailable, "not ready\n"
		if g.stopping.Load() { // BeginShutdown may have been called after the check in ServeHTTP.
			w.Header().Set("Connection", "close")
		}
	}
	w.Header().Set(HeaderOutcome, string(OutcomeNotRun))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // Fails only when the prober has disconnected.
}
