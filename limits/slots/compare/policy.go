package compare

import (
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/slots"
)

// assignment is the worker of a request and, for policies with slots, the slot.
type assignment struct {
	worker int
	index  int
}

// policy decides to which worker a process may send a request.
type policy interface {
	// assign chooses a worker for a request of process p. It returns false when the
	// policy allows none at present.
	assign(now time.Time, p int) (assignment, bool)
	// release records the completion of a request of process p.
	release(now time.Time, p int, at assignment)
	// usableSlots returns the number of slots that process p may use, including
	// those in use.
	usableSlots(now time.Time, p int) int
	// evict tells the other processes that process p is no longer a member.
	evict(now time.Time, p int)
}

// Kind names a policy.
type Kind string

// Policies that are compared.
const (
	Static     Kind = "static division"
	TwoChoices Kind = "choice of two, local counts"
	Homes      Kind = "homes"
	Borrow     Kind = "homes and borrowing"
)

// Kinds returns the policies that are compared.
func Kinds() []Kind { return []Kind{Static, TwoChoices, Homes, Borrow} }

// Parameters configures borrowing.
type Parameters struct {
	// Lease is the time for which a slot is lent.
	Lease time.Duration
	// IdleTimeout is the time without waiting requests after which idle borrowed
	// slots are returned.
	IdleTimeout time.Duration
	// ProbeInterval is the interval at which a process with waiting requests sends a
	// borrow request although no peer has reported idle slots. 0 means never.
	ProbeInterval time.Duration
}

func workerID(i int) fleet.VMID                 { return fleet.VMID(fmt.Sprintf("vm-%02d", i)) }
func memberID(i int) fleet.MemberID             { return fleet.MemberID(fmt.Sprintf("entry-%d", i)) }
func zoneOf(i int) fleet.ZoneID                 { return fleet.ZoneID(fmt.Sprint("zone-", i%zones)) }
func crossZone(process int, at assignment) bool { return process%zones != at.worker%zones }

const poolID = fleet.PoolID("pool")

// newPolicy returns a policy in its initial state for the scenario of r.
func newPolicy(k Kind, s Scenario, p Parameters, r *run) policy {
	switch k {
	case Static:
		return newDivision(s)
	case TwoChoices:
		return &twoChoices{random: r.random, workers: s.Workers, counts: make([][]int, s.Processes)}
	}
	return newHomesPolicy(r.start, s, p, r.random)
}

// evictedSlotDelay is the time after which no request holds a slot of an evicted
// process any more.
const evictedSlotDelay = slots.DefaultViewValidity + slots.DefaultInFlightTime
