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
	// Incarnation distinguishes successive starts of a process. Required.
	Incarnation string
	// Address is where peers reach this process. Required.
	Address string
	// CPU is the CPU limit of this process, in thousandths of a core; processes with
	// more CPU get more shards. Required.
	CPU int64
	// Store holds the member and owner rows. Required.
	Store rows.Store
	// Loop runs the manager. Required.
	Loop *loop.Loop
	// Clock measures leases. Required.
	Clock loop.Clock
	// Interval is the time between renewals. Default 800 ms.
	Interval time.Duration
	// LeaseDuration is the time for which a renewal extends the lease. Default 3 s.
	LeaseDuration time.Duration
	// CallTimeout limits one call to the store. Default 700 ms. It is extended to at most
	// 1.5 s while the store is slow.
	CallTimeout time.Duration
	// ReplyTime returns the time within which the store normally replies. Nil if unknown.
	ReplyTime func() time.Duration
	// Listener is notified of changes. Required.
	Listener Listener
}

// Listener is notified of changes. Its methods run on the loop.
type Listener interface {
	// Acquired is called when this process becomes the owner of a shard, with its fence.
	Acquired(shard string, fence uint64)
	// Released is called when this process no longer owns a shard.
	Released(shard string)
	// CanHandOver reports whether a shard that this process owns may be handed over.
	CanHandOver(shard string) bool
	// HandOver is called when another process has much more CPU for a shard that this one
	// owns. The listener completes what is in flight and calls [Manager.FinishHandover].
	HandOver(shard string, fence uint64)
	// Renewed is called with nil after a successful renewal or deletion of the member
	// row, and with the error of a failed renewal, deletion or read.
	Renewed(err error)
	// DirectoryChanged is called with the owners of all shards when one has changed.
	DirectoryChanged(Directory)
	// PeersChanged is called with the addresses of the other live processes when they
	// have changed.
	PeersChanged(addresses []string)
}

const (
	defaultInterval      = 800 * time.Millisecond
	defaultLeaseDuration = 3 * time.Second
	defaultCallTimeout   = 700 * time.Millisecond
	// maxCallTimeout limits a call while the store is slow. It leaves half of the lease
	// after a renewal that waits for a second behind the other transactions of its part.
	maxCallTimeout = 1500 * time.Millisecond
	// replyTimeFactor is the multiple of the store's reply time that a call may take.
	replyTimeFactor = 4
	// firstReadTimeoutFactor multiplies the call timeout for the first read, of all rows.
	firstReadTimeoutFactor = 3
	// renewalRetryBase is the mean delay before a failed renewal is retried. It doubles
	// with each rejection by the store, at most maxDelayDoublings times.
	renewalRetryBase  = 100 * time.Millisecond
	maxDelayDoublings = 3
	// minRefreshInterval is the minimum time between the start of a read and one
	// requested by Refresh.
	minRefreshInterval = 50 * time.Millisecond
	// idleRenewalTicks is the number of intervals between renewals of a process without shards.
	idleRenewalTicks = 2
	// leaseExpiryMargin is added to the lease duration before other processes treat a
	// lease as expired. It covers clock rates that differ by up to 2 % and the time
	// between a read and its use.
	leaseExpiryMargin = 300 * time.Millisecond
	// joinGrace is the time for which a new process takes no shards, so that other new
	// processes can join. Processes that start together first renew within that time.
	joinGrace = 600 * time.Millisecond
	// outageThreshold is the time without a successful read that counts as a store outage.
	outageThreshold = 2 * time.Second
	// postOutageMargin is added to the call timeout for the time that live owners need to
	// renew after an outage. It covers the retry delay and the renewal itself.
	postOutageMargin = 500 * time.Millisecond
	// maxVacancy is the time without an owner after which any process takes a shard over.
	maxVacancy = 2 * time.Second
	// takeoverStagger is the delay between processes of successive ranks before they
	// take over a shard.
	takeoverStagger = 250 * time.Millisecond
	// livenessWindow is the maximum age of the last renewal of a member that is assigned
	// shards. While the store is slow, renewals of healthy processes are that late; a
	// shorter window would leave the shards to whichever process renewed last, even a
	// small one.
	livenessWindow = 4 * time.Second
)

// Validate returns an error when a required option is missing or a value is invalid.
func (o Options) Validate() error {
	if o.Member == "" || o.Incarnation == "" || o.Address == "" {
		return errors.New("cluster: member, incarnation and address are required")
	}
	if o.CPU <= 0 {
		return errors.New("cluster: CPU must be positive")
	}
	if o.Store == nil || o.Loop == nil || o.Clock == nil || o.Listener == nil {
		return errors.New("cluster: store, loop, clock and listener are required")
	}
	if o.Interval < 0 || o.LeaseDuration < 0 || o.CallTimeout < 0 {
		return errors.New("cluster: interval, lease duration and call timeout must not be negative")
	}
	return nil
}

// callTimeout returns the time limit of one call to the store. A renewal that is given up
// too early while the store is slow would end the lease of a healthy process.
func (o *Options) callTimeout() time.Duration {
	if o.ReplyTime == nil {
		return o.CallTimeout
	}
	return max(o.CallTimeout, min(replyTimeFactor*o.ReplyTime(), maxCallTimeout))
}

// postOutageGrace returns the time that live owners need to renew after an outage: the call
// in flight times out, and a retry delay follows.
func (o *Options) postOutageGrace() time.Duration { return o.callTimeout() + postOutageMargin }

func (o *Options) setDefaults() {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.LeaseDuration == 0 {
		o.LeaseDuration = defaultLeaseDuration
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
}
