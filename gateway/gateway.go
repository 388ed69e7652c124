package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"

	"peridotcrank.dev/fleet"
)

// ReadyPath is the path of the readiness endpoint: 200 when the process may
// receive requests, 503 otherwise.
const ReadyPath = "/-/ready"

// Gateway serves callers' requests. It is safe for concurrent use.
type Gateway struct {
	options  Options
	prepared atomic.Pointer[routes]
	budgets  sync.Map // fleet.PoolID to retry.Budget.
	buffered byteBudget
	inFlight inFlight
	requests atomic.Int64 // Requests of callers in progress.
	stopping atomic.Bool
}

var _ http.Handler = (*Gateway)(nil)

// New returns a gateway, or an error when the options are invalid.
func New(o Options) (*Gateway, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	return &Gateway{
		options:  o,
		buffered: byteBudget{limit: o.MaxBufferedBytes},
		inFlight: inFlight{counts: make(map[vmGeneration]int)},
	}, nil
}

// InFlight returns the number of requests that this process has in progress
// with a VM in a generation.
func (g *Gateway) InFlight(vm fleet.VMID, generation uint64) int {
	return g.inFlight.count(vmGeneration{vm, generation})
}

// Ready reports whether the process may receive requests.
func (g *Gateway) Ready() bool { return !g.stopping.Load() && g.options.Ready() }

// Stop turns readiness off for good and asks callers to leave their
// connections. Requests are still served.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == ReadyPath {
		g.serveReady(w)
		return
	}
	g.requests.Add(1)
	defer g.requests.Add(-1)
	c := newCall(g, w, r)
	defer c.end()
	if ref := c.run(); ref != nil {
		c.refuse(ref)
	}
}

func (g *Gateway) serveReady(w http.ResponseWriter) {
	status, text := http.StatusOK, "ready\n"
	if !g.Ready() {
		status, text = http.StatusServiceUnavailable, "not ready\n"
		if g.stopping.Load() { // Stop may have come after ServeHTTP looked.
			w.Header().Set("Connection", "close")
		}
	}
	w.Header().Set(HeaderOutcome, string(OutcomeNotRun))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // A prober that has gone away needs no answer.
}
