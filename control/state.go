package control

import (
	"time"

	"peridotcrank.dev/fleet"
)

// State is an immutable view of the control state.
type State struct {
	Self    fleet.Member
	Fleet   *fleet.Snapshot
	Members fleet.MemberView
	// MembersVersion is the version of the members row.
	MembersVersion uint64
	Config         *fleet.Configuration
	// ConfigVersion is the version of the config row.
	ConfigVersion uint64
	// InView reports that the member view holds this incarnation of the process.
	InView bool
	// Settled reports that every former member's view is no longer valid.
	Settled bool
	Peers   map[fleet.MemberID]PeerState
	// StoreReachable reports that the last read of the table service succeeded.
	StoreReachable bool
	// StoreRead is the time at which the last successful read began.
	StoreRead time.Duration
}

// PeerState is what a peer reported last.
type PeerState struct {
	Heard         time.Duration // Time of the last heartbeat or reply.
	Suspected     bool
	FleetRevision uint64
	ConfigVersion uint64
	// ConfigBehind is the time since when the peer has reported an older
	// configuration than this process holds; 0 when it is up to date.
	ConfigBehind time.Duration
	Leaving      []fleet.VMID
}
