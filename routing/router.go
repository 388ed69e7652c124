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

	mu       sync.Mutex // Held briefly. The functions in options and validity run under it.
	random   *rand.Rand
	validity func() bool
	// lastValid and lastInvalid are the latest times at which validity returned
	// true and false.
	lastValid, lastInvalid time.Time
	revision               uint64
	deltaVersion           uint64 // Delta.To of the current snapshot; 0 if it has no delta.
	self                   fleet.Member
	members                []fleet.Member
	ledger                 *slots.Ledger
	backends               map[fleet.VMID]*backend
	pools                  map[fleet.PoolID]*pool
	leaving                map[fleet.VMID]bool // Reported VMs that are not in the fleet view yet.
	counters               map[vmKey]*counter
	retiredCounters        []vmKey // Keys of counters of former VM generations.
	outbox                 []returnMessage
	sending                bool          // The sending goroutine is running.
	delivered              chan struct{} // Closed when the sending goroutine ends.
	timer                  *time.Timer
	timerAt                time.Time
	closed                 bool
}

var _ Dispatcher = (*Router)(nil)

// New returns a Router that sheds every request until SetView and SetValidity have
// been called. It panics if the options are not valid.
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
		counters: map[vmKey]*counter{},
	}
}

// SetValidity sets the function that reports whether the view is valid. The
// function is called often and with the router's lock held, so it must be fast and
// safe for concurrent use, and must not call the router. It must not report a view
// as valid before SetView has been called with that view.
func (r *Router) SetValidity(valid func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.validity = valid
	r.serveAllQueues(r.options.Now())
}

// viewValid reports whether the view is valid now, and records when it was last
// valid and last invalid.
func (r *Router) viewValid(now time.Time) bool {
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

// continuouslyValid reports whether viewValid returned true, and never false,
// within slots.MaxObservationAge before now.
func (r *Router) continuouslyValid(now time.Time) bool {
	return now.Sub(r.lastValid) <= slots.MaxObservationAge && now.Sub(r.lastInvalid) > slots.MaxObservationAge
}

// InFlight returns the number of reservations of a VM's generation that have not
// been released. Once SetView has returned for a view in which the VM is not
// routable, the number only decreases.
func (r *Router) InFlight(vm fleet.VMID, generation uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.counters[vmKey{vm, generation}]; c != nil {
		return c.inFlight
	}
	return 0
}

// Close sheds all waiting and new requests and returns the idle borrowed slots.
// Reservations stay valid until they are released.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.closed = true
	if r.timer != nil {
		r.timer.Stop()
	}
	r.serveAllQueues(now)
	for _, b := range r.backends {
		r.ledger.ReturnUnused([]*slots.Worker{b.worker})
	}
	r.queueReturns(now)
}
