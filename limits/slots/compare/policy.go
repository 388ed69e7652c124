package compare

import (
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/slots"
)

// place is a worker and, for policies with slots, an index.
type place struct {
	worker int
	index  int
}

// policy decides which worker a process may send a request to.
type policy interface {
	// take chooses a worker for a request of process p.
	take(now time.Time, p int) (place, bool)
	// release ends a request.
	release(now time.Time, p int, at place)
	// slots returns the number of slots that process p may use.
	slots(now time.Time, p int) int
	// evict tells the other processes that process p is not a member any more.
	evict(now time.Time, p int)
}

// Kind names a policy.
type Kind string

// Policies that are compared.
const (
	Static Kind = "static division"
	TwoWay Kind = "choice of two, local counts"
	Homes  Kind = "homes"
	Borrow Kind = "homes and borrowing"
)

// Kinds returns the policies that are compared.
func Kinds() []Kind { return []Kind{Static, TwoWay, Homes, Borrow} }

// Parameters are the parameters of borrowing.
type Parameters struct {
	// Lease is the time for which a slot is lent.
	Lease time.Duration
	// IdleTime is the time without waiting requests after which idle borrowed
	// slots are given back.
	IdleTime time.Duration
	// Probe is the interval at which a process in which requests wait asks a
	// peer although no peer has reported idle slots. 0 means never.
	Probe time.Duration
}

func workerID(i int) fleet.VMID      { return fleet.VMID(fmt.Sprintf("vm-%02d", i)) }
func memberID(i int) fleet.MemberID  { return fleet.MemberID(fmt.Sprintf("entry-%d", i)) }
func zoneOf(i int) fleet.ZoneID      { return fleet.ZoneID(fmt.Sprint("zone-", i%zones)) }
func far(process int, at place) bool { return process%zones != at.worker%zones }

const poolID = fleet.PoolID("pool")

func newPolicy(k Kind, s Scenario, p Parameters, r *run) policy {
	switch k {
	case Static:
		return newStatic(s)
	case TwoWay:
		return &twoWay{random: r.random, workers: s.Workers, counts: make([][]int, s.Processes)}
	}
	return newHomes(r.start, s, p, r.random)
}

// expired is the time after which the slots of an evicted process are unused.
const expired = slots.DefaultViewValidity + slots.DefaultInFlightTime
