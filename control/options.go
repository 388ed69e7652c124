package control

import (
	"context"
	"errors"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/membership"
	"peridotcrank.dev/peer/peerpb"
	"peridotcrank.dev/store"
)

// Peers sends messages to other members.
type Peers interface {
	// SetMembers sets the members with which sessions are kept.
	SetMembers(view fleet.MemberView)
	// Heartbeat queues a heartbeat, which has no reply. It must not block.
	Heartbeat(ctx context.Context, to fleet.MemberID, h *peerpb.Heartbeat) error
	// PushConfiguration returns nil once the member has the configuration, or a newer
	// one, in force.
	PushConfiguration(ctx context.Context, to fleet.MemberID, push *peerpb.ConfigPush) error
	// FetchRows returns the rows that changed after a version.
	FetchRows(ctx context.Context, to fleet.MemberID, request *peerpb.RowsRequest) (*peerpb.RowsPush, error)
	// QueryDrain returns the member's fleet revision and its requests in flight to a VM.
	QueryDrain(ctx context.Context, to fleet.MemberID, query *peerpb.DrainQuery) (*peerpb.DrainReply, error)
}

// Traffic is the traffic side of the process, which routes requests to VMs.
type Traffic interface {
	// SetView sets the fleet and the members by which requests are routed.
	SetView(s *fleet.Snapshot, view fleet.MemberView, self fleet.Member)
	// ReportIdle records the idle slots that a member has reported.
	ReportIdle(member fleet.MemberID, idle map[fleet.PoolID]int)
	// IdleSlots returns the idle slots of this process.
	IdleSlots() map[fleet.PoolID]int
	// InFlight returns the number of requests of this process in flight to a VM.
	InFlight(vm fleet.VMID, generation uint64) int
}

// VMLister returns the platform's VM list.
type VMLister interface {
	VMs(ctx context.Context) (store.VMList, error)
}

// Options configures a Controller.
type Options struct {
	// Self identifies this process. Its incarnation is assigned when it joins.
	Self     fleet.Member
	Table    store.Table
	Platform VMLister
	Peers    Peers
	Traffic  Traffic
	Log      eventlog.Recorder
	// OnMembers is called on the control goroutine when the member view or the
	// incarnation of this process changes. It must not block. Optional.
	OnMembers func(view fleet.MemberView, self fleet.Member)

	// Poll is the time between reads of changed rows and of the VM list. Default 1 s.
	Poll time.Duration
	// Timeout limits one call to a peer. Default 1 s.
	Timeout time.Duration
	Params  membership.Params
	// Now is a clock that includes time in which the process was suspended. Required.
	Now func() time.Duration
}

// Defaults of Options.
const (
	DefaultPoll    = time.Second
	DefaultTimeout = time.Second
)

func (o Options) withDefaults() Options {
	if o.Poll == 0 {
		o.Poll = DefaultPoll
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Params == (membership.Params{}) {
		o.Params = membership.DefaultParams()
	}
	if o.OnMembers == nil {
		o.OnMembers = func(fleet.MemberView, fleet.Member) {}
	}
	return o
}

// Validate returns an error for the first missing field or negative time.
func (o Options) Validate() error {
	switch {
	case o.Self.ID == "":
		return errors.New("control options: the member has no ID")
	case o.Table == nil || o.Platform == nil || o.Peers == nil || o.Traffic == nil || o.Log == nil || o.Now == nil:
		return errors.New("control options: table, platform, peers, traffic, log and clock are required")
	case o.Poll < 0 || o.Timeout < 0:
		return errors.New("control options: negative time")
	}
	return nil
}
