package move

import (
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
)

// MemberDrain is the answer of one entry process to a drain query.
type MemberDrain struct {
	Member fleet.MemberID
	// Revision is the fleet revision that the member routes by.
	Revision uint64
	// InFlight is the number of the member's requests that the VM has not answered.
	InFlight int
}

// DrainEvidence is what is known about a drain.
type DrainEvidence struct {
	Members []MemberDrain
	// Missing are the live members that have not answered.
	Missing []fleet.MemberID
	// EvictedLapsed reports that the view of every evicted member is no longer
	// valid, so that none of them sends anything.
	EvictedLapsed bool
}

// Drained reports whether no request is at the VM and none will be sent, given
// that the drain was written at revision. When it is not, the reason is not empty.
func (e DrainEvidence) Drained(revision uint64) (drained bool, reason string) {
	switch {
	case len(e.Missing) > 0:
		return false, fmt.Sprintf("member %s has not answered", e.Missing[0])
	case !e.EvictedLapsed:
		return false, "the view of an evicted member may still be valid"
	case len(e.Members) == 0:
		return false, "no member has answered"
	}
	for _, m := range e.Members {
		if m.Revision < revision {
			return false, fmt.Sprintf("member %s routes by revision %d, before the drain at %d", m.Member, m.Revision, revision)
		}
		if m.InFlight > 0 {
			return false, fmt.Sprintf("member %s has %d requests in flight", m.Member, m.InFlight)
		}
	}
	return true, ""
}

// Evidence is what the driver knows about a VM beyond its row.
type Evidence struct {
	// Version is the version of the VM row that the evidence is about. Evidence
	// about another version is ignored.
	Version uint64
	Drain   *DrainEvidence
	Reboot  fleet.RebootState
	// Probed reports that the backend server has answered a probe.
	Probed bool
	// LastError is the last failure of a query, reboot call or probe.
	LastError string
}

// Limits bound the phases of a move. Zero fields take their defaults.
type Limits struct {
	// Drain is the time after which a VM that does not drain returns to service. Default 10 min.
	Drain time.Duration
	// Reboot bounds one reboot. Default 15 min.
	Reboot time.Duration
	// Probe is the time within which a probe must succeed. Default 2 min.
	Probe time.Duration
	// Reboots is the number of attempts. Default 3.
	Reboots int
}

// Defaults of Limits.
const (
	DefaultDrainLimit  = 10 * time.Minute
	DefaultRebootLimit = 15 * time.Minute
	DefaultProbeLimit  = 2 * time.Minute
	DefaultReboots     = 3
)

// WithDefaults returns l with defaults in place of zero fields.
func (l Limits) WithDefaults() Limits {
	if l.Drain == 0 {
		l.Drain = DefaultDrainLimit
	}
	if l.Reboot == 0 {
		l.Reboot = DefaultRebootLimit
	}
	if l.Probe == 0 {
		l.Probe = DefaultProbeLimit
	}
	if l.Reboots == 0 {
		l.Reboots = DefaultReboots
	}
	return l
}
