package routing

import (
	"context"
	"sync"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/slots"
)

// Options configure a Router. The zero value selects the defaults.
type Options struct {
	Slots slots.Options
	// Peers carries requests for slots to other entry processes. Without it
	// the router neither borrows nor hands over slots early.
	Peers slots.Peers
	// Now reads a monotonic clock. Default time.Now.
	Now func() time.Time
}

// Router is the Dispatcher of an entry process. It is safe for concurrent use.
type Router struct {
	options Options

	mu       sync.Mutex
	validity func() bool
	snapshot *fleet.Snapshot
	leaving  map[fleet.VMID]bool
	busy     map[slots.Slot]bool
	inFlight map[vmKey]int
	changed  chan struct{} // Closed and replaced when a slot may have become free.
	closed   bool
}

// vmKey identifies a VM during its stay in one pool.
type vmKey struct {
	vm         fleet.VMID
	generation uint64
}

var _ Dispatcher = (*Router)(nil)

// New returns a Router that refuses every request until SetView and
// SetValidity have been called.
func New(o Options) *Router {
	o.Slots = o.Slots.WithDefaults()
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Router{
		options:  o,
		leaving:  map[fleet.VMID]bool{},
		busy:     map[slots.Slot]bool{},
		inFlight: map[vmKey]int{},
		changed:  make(chan struct{}),
	}
}

// SetView adopts a view of the fleet and of the members. Once it has returned,
// no VM that the snapshot does not list as routable gets a new request.
func (r *Router) SetView(s *fleet.Snapshot, _ fleet.MemberView, _ fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshot = s
	r.wake()
}

// SetValidity sets the function that reports whether the view is valid. It is
// called often and must be fast and safe for concurrent use.
func (r *Router) SetValidity(valid func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.validity = valid
	r.wake()
}

// ReportLeaving adds VMs whose backend servers are leaving.
func (r *Router) ReportLeaving(vms []fleet.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range vms {
		r.leaving[id] = true
	}
}

// InFlight returns the number of reservations of a VM's generation that have
// not been released.
func (r *Router) InFlight(vm fleet.VMID, generation uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight[vmKey{vm, generation}]
}

// IdleSlots returns the number of slots of each pool that this process could
// lend, for heartbeats.
func (r *Router) IdleSlots() map[fleet.PoolID]int {
	return map[fleet.PoolID]int{}
}

// ReportIdle records the idle slots by pool that a peer's heartbeat announced.
func (r *Router) ReportIdle(_ fleet.MemberID, _ map[fleet.PoolID]int) {}

// Lend answers a peer's request for slots.
func (r *Router) Lend(_ slots.BorrowRequest) slots.BorrowReply { return slots.BorrowReply{} }

// TakeBack accepts slots that a peer returns.
func (r *Router) TakeBack(_ slots.ReturnRequest) {}

// Close sheds the waiting requests and refuses new ones. Reservations stay
// valid until they are released.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.wake()
}

// Acquire implements Dispatcher.
func (r *Router) Acquire(ctx context.Context, q Request) (Reservation, error) {
	for {
		held, changed, err := r.try(q)
		if held != nil || err != nil {
			return held, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

func (r *Router) try(q Request) (Reservation, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil, nil, &ShedError{Step: "admission", Pool: q.Pool, Reason: ShedStopping, RetryAfter: time.Second}
	}
	if r.snapshot == nil || r.validity == nil || !r.validity() {
		return nil, nil, &ShedError{Step: "admission", Pool: q.Pool, Reason: ShedViewExpired, RetryAfter: time.Second}
	}
	found := false
	for _, vm := range r.snapshot.VMs {
		if vm.Pool != q.Pool || !vm.Routable() || r.leaving[vm.ID] {
			continue
		}
		found = true
		for i := range vm.Slots {
			if s := (slots.Slot{VM: vm.ID, Index: i}); !r.busy[s] {
				r.busy[s] = true
				r.inFlight[vmKey{vm.ID, vm.Generation}]++
				return &reservation{router: r, target: Target{
					VM: vm.ID, Generation: vm.Generation, Address: vm.Address,
					Rack: vm.Rack, Zone: vm.Zone, Slot: i,
				}}, nil, nil
			}
		}
	}
	if !found {
		return nil, nil, &ShedError{Step: "routing", Pool: q.Pool, Reason: ShedNoTarget, RetryAfter: time.Second}
	}
	return nil, r.changed, nil
}

func (r *Router) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

type reservation struct {
	router *Router
	target Target
	done   bool
}

func (h *reservation) Target() Target { return h.target }

func (h *reservation) Valid() bool {
	r := h.router
	r.mu.Lock()
	defer r.mu.Unlock()
	vm, ok := r.snapshot.VMs[h.target.VM]
	return ok && vm.Routable() && vm.Generation == h.target.Generation && !r.leaving[vm.ID] && r.validity()
}

func (h *reservation) Done(Result) {
	r := h.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.done {
		return
	}
	h.done = true
	delete(r.busy, slots.Slot{VM: h.target.VM, Index: h.target.Slot})
	key := vmKey{h.target.VM, h.target.Generation}
	if r.inFlight[key]--; r.inFlight[key] == 0 {
		delete(r.inFlight, key)
	}
	r.wake()
}
