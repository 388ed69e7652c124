package move

import (
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
)

// MemberDrain is the response of one entry process to a drain query.
type MemberDrain struct {
	Member fleet.MemberID
	// Revision is the fleet revision that the member uses for routing.
	Revision uint64
	// InFlight is the number of the member's requests to the VM that are not yet answered.
	InFlight int
}

// DrainEvidence is the known progress of a drain.
type DrainEvidence struct {
	Members []MemberDrain
	// Missing lists the live members that have not responded.
	Missing []fleet.MemberID
	// DepartedViewsExpired reports that the view of every member that has left or was
	// evicted is no longer valid, so that none of them sends requests.
	DepartedViewsExpired bool
}

// Drained reports whether the VM has no requests and will get none, given that the
// drain was stored at revision. If not, it returns the reason.
func (e DrainEvidence) Drained(revision uint64) (drained bool, reason string) {
	switch {
	case len(e.Missing) > 0:
		return false, fmt.Sprintf("member %s has not answered", e.Missing[0])
	case !e.DepartedViewsExpired:
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

// Evidence is what the driver knows about a VM in addition to its row.
type Evidence struct {
	// Version is the version of the VM row that the evidence refers to. Evidence for
	// another version is ignored.
	Version uint64
	Drain   *DrainEvidence
	Reboot  fleet.RebootState
	// Probed reports that the backend server has responded to a probe.
	Probed bool
	// LastError is the error of the last failed drain query, reboot call or probe.
	LastError string
}

// Limits are the time limits of the phases of a move, and the limit on reboots. Zero
// fields take their defaults.
type Limits struct {
	// Drain is the time limit of a drain, after which the VM returns to service. Default 10 min.
	Drain time.Duration
	// Reboot is the time limit of one reboot. Default 15 min.
	Reboot time.Duration
	// Probe is the time limit for a successful probe. Default 2 min.
	Probe time.Duration
	// MaxReboots is the maximum number of reboot attempts. Default 3.
	MaxReboots int
}

// Defaults of Limits.
const (
	DefaultDrainLimit  = 10 * time.Minute
	DefaultRebootLimit = 15 * time.Minute
	DefaultProbeLimit  = 2 * time.Minute
	DefaultMaxReboots  = 3
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
	if l.MaxReboots == 0 {
		l.MaxReboots = DefaultMaxReboots
	}
	return l
}
