package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/slots"
)

// Router is the Dispatcher of an entry process. It is safe for concurrent use.
type Router struct {
	options Options

	mu       sync.Mutex // Held for short times only; functions of the caller run under it.
	random   *rand.Rand
	validity func() bool
	// lastValid and lastInvalid are the latest times at which validity was
	// called and what it reported.
	lastValid, lastInvalid time.Time
	revision               uint64
	edition                uint64 // Number of the present snapshot by Delta.To; 0 when it has none.
	self                   fleet.Member
	members                []fleet.Member
	ledger                 *slots.Ledger
	backends               map[fleet.VMID]*backend
	pools                  map[fleet.PoolID]*pool
	leaving                map[fleet.VMID]bool // Reports about VMs that are not in the view yet.
	tallies                map[vmKey]*tally
	retired                []vmKey // Tallies of stays that have ended.
	outbox                 []returnMessage
	sending                bool          // The sending goroutine runs.
	delivered              chan struct{} // Closed when it ends.
	timer                  *time.Timer
	timerAt                time.Time
	closed                 bool
}

var _ Dispatcher = (*Router)(nil)

// New returns a Router that refuses every request until SetView and
// SetValidity have been called. It panics when the options are not valid.
func New(o Options) *Router {
	if err := o.Validate(); err != nil {
		panic(err)
	}
	o = o.withDefaults()
	ledger, err := slots.NewLedger(o.Slots)
	if err != nil {
		panic(err)
	}
	return &Router{
		options:  o,
		random:   rand.New(o.Random),
		ledger:   ledger,
		backends: map[fleet.VMID]*backend{},
		pools:    map[fleet.PoolID]*pool{},
		leaving:  map[fleet.VMID]bool{},
		tallies:  map[vmKey]*tally{},
	}
}

// SetValidity sets the function that reports whether the view is valid. It is
// called often and under the router's lock: it must be fast, safe for
// concurrent use, and must not call the router. It must not report a view as
// valid before SetView has been called with it.
func (r *Router) SetValidity(valid func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.validity = valid
	r.serveAll(r.options.Now())
}

// valid calls the validity function and notes what it reported.
func (r *Router) valid(now time.Time) bool {
	if r.validity == nil {
		return false
	}
	if r.validity() {
		r.lastValid = now
		return true
	}
	r.lastInvalid = now
	return false
}

// continuous reports whether the present view has been seen to be valid all
// through the last moments.
func (r *Router) continuous(now time.Time) bool {
	return now.Sub(r.lastValid) <= slots.MaxObservationAge && now.Sub(r.lastInvalid) > slots.MaxObservationAge
}

// InFlight returns the number of reservations of a VM's generation that have
// not been released. After SetView has returned with a view in which the VM is
// not routable, the number only decreases.
func (r *Router) InFlight(vm fleet.VMID, generation uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tallies[vmKey{vm, generation}]; t != nil {
		return t.inFlight
	}
	return 0
}

// Close sheds the waiting requests and refuses new ones. Reservations stay
// valid until they are released. The idle borrowed slots are given back.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.closed = true
	if r.timer != nil {
		r.timer.Stop()
	}
	r.serveAll(now)
	for _, b := range r.backends {
		r.ledger.ReturnUnused([]*slots.Worker{b.worker})
	}
	r.send(now)
}
