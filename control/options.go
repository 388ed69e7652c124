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
	SetMembers(view fleet.MemberView)
	// Heartbeat queues a heartbeat, which has no reply. It must not block.
	Heartbeat(ctx context.Context, to fleet.MemberID, h *peerpb.Heartbeat) error
	PushConfiguration(ctx context.Context, to fleet.MemberID, push *peerpb.ConfigPush) error
	FetchRows(ctx context.Context, to fleet.MemberID, request *peerpb.RowsRequest) (*peerpb.RowsPush, error)
	QueryDrain(ctx context.Context, to fleet.MemberID, query *peerpb.DrainQuery) (*peerpb.DrainReply, error)
}

// Traffic is the traffic side of the process.
type Traffic interface {
	SetView(s *fleet.Snapshot, view fleet.MemberView, self fleet.Member)
	ReportIdle(member fleet.MemberID, idle map[fleet.PoolID]int)
	IdleSlots() map[fleet.PoolID]int
	InFlight(vm fleet.VMID, generation uint64) int
}

// VMLister returns the platform's VM list.
type VMLister interface {
	VMs(ctx context.Context) (store.VMList, error)
}

// Options configures a Controller.
type Options struct {
	// Self names this process. Its incarnation is assigned when it joins.
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
	// Timeout bounds one call to a peer. Default 1 s.
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

// Validate reports the first missing field or impossible time.
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
