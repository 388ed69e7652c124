package cluster

import (
	"errors"
	"time"

	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/rows"
)

// Options configure a [Manager].
type Options struct {
	// Member names this process. Required.
	Member string
	// Incarnation tells two lives of a process apart. Required.
	Incarnation string
	// Address is where peers reach this process. Required.
	Address string
	// CPU is the processor that this process may use, in thousandths of a core;
	// shards go to processes with much of it. Required.
	CPU int64
	// Store keeps the rows. Required.
	Store rows.Store
	// Loop runs the manager. Required.
	Loop *loop.Loop
	// Clock measures rights. Required.
	Clock loop.Clock
	// Interval is the time between renewals. Default 800 ms.
	Interval time.Duration
	// RightFor is how long a renewal permits to act. Default 3 s.
	RightFor time.Duration
	// CallTimeout bounds one call to the store. Default 700 ms.
	CallTimeout time.Duration
	// Listener hears of changes. Required.
	Listener Listener
}

// Listener is told of changes, on the loop.
type Listener interface {
	// Acquired says that this process owns a shard, with its fence.
	Acquired(shard string, fence uint64)
	// Released says that this process no longer owns a shard.
	Released(shard string)
	// Renewed says that a renewal succeeded or failed.
	Renewed(err error)
	// DirectoryChanged hands out the owners of all shards.
	DirectoryChanged(Directory)
	// PeersChanged hands out the addresses of the other live processes.
	PeersChanged(addresses []string)
}

const (
	defaultInterval    = 800 * time.Millisecond
	defaultRightFor    = 3 * time.Second
	defaultCallTimeout = 700 * time.Millisecond
	// firstReadFactor times the time of one call is that of the first reading.
	firstReadFactor = 3
	// renewPause is the time from a renewal that failed to the next one. It
	// doubles with each rejection by the store, maxPauseShift times at most.
	renewPause    = 100 * time.Millisecond
	maxPauseShift = 3
	// refreshGap is the least time from one reading to one that a call asked for.
	refreshGap = 50 * time.Millisecond
	// idleTicks is the number of intervals between renewals of a process without shards.
	idleTicks = 2
	// takeoverMargin is added to a right before it is taken as passed: it covers
	// clocks that differ by up to 2 % and the time between a reading and its use.
	takeoverMargin = 300 * time.Millisecond
	// settleTime is how long a new process waits for others to appear before it takes
	// shards. Processes that start together renew for the first time within that time.
	settleTime = 600 * time.Millisecond
	// outageGap is the time without a reading that counts as an outage of the store.
	outageGap = 2 * time.Second
	// returnTime is how long live owners take to renew after an outage: the call that
	// is under way times out, and a pause follows.
	returnTime = 1200 * time.Millisecond
	// vacancyLimit is how long a shard may be without owner before any process takes it.
	vacancyLimit = 2 * time.Second
	// takeoverStep is the time between the turns of two processes to take a shard.
	takeoverStep = 250 * time.Millisecond
	// aliveWindow is the age up to which a renewal counts a member for the assignment
	// of shards. While the store is slow, renewals of sound processes are that late, and
	// a shorter window would leave the shards to whichever process, however small,
	// renewed last.
	aliveWindow = 4 * time.Second
)

// Validate reports options that cannot be used.
func (o Options) Validate() error {
	if o.Member == "" || o.Incarnation == "" || o.Address == "" {
		return errors.New("cluster: member, incarnation and address are required")
	}
	if o.CPU <= 0 {
		return errors.New("cluster: the processor must be positive")
	}
	if o.Store == nil || o.Loop == nil || o.Clock == nil || o.Listener == nil {
		return errors.New("cluster: store, loop, clock and listener are required")
	}
	if o.Interval < 0 || o.RightFor < 0 || o.CallTimeout < 0 {
		return errors.New("cluster: a duration is negative")
	}
	return nil
}

func (o *Options) setDefaults() {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.RightFor == 0 {
		o.RightFor = defaultRightFor
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
}
