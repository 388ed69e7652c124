package control

import (
	"time"

	"peridotcrank.dev/fleet"
)

// State is an immutable snapshot of the control state.
type State struct {
	Self    fleet.Member
	Fleet   *fleet.Snapshot
	Members fleet.MemberView
	// MembersVersion is the version of the members row.
	MembersVersion uint64
	Config         *fleet.Configuration
	// ConfigVersion is the version of the config row.
	ConfigVersion uint64
	// InView reports that the member view contains this incarnation of the process.
	InView bool
	// DepartedViewsExpired reports that the view of every member that has left or was
	// evicted is certainly no longer valid.
	DepartedViewsExpired bool
	Peers                map[fleet.MemberID]PeerState
	// StoreReachable reports that the last read of the table service succeeded.
	StoreReachable bool
	// StoreReadAt is the time at which the last successful read began.
	StoreReadAt time.Duration
}

// PeerState is the state of a peer according to its last report.
type PeerState struct {
	HeardAt       time.Duration // Time of the last heartbeat or reply.
	Suspected     bool
	FleetRevision uint64
	ConfigVersion uint64
	// ConfigBehind is the time at which the peer first reported an older
	// configuration than this process holds; 0 when it is up to date.
	ConfigBehind time.Duration
	Leaving      []fleet.VMID
}
