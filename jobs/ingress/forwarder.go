package ingress

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/cluster"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/relay"
)

// Options configure a [Forwarder].
type Options struct {
	// Local answers calls to shards that this process owns. Required.
	Local relay.Handler
	// Client calls other processes. Required.
	Client *relay.Client
	// Refresh asks for a new reading of the owners. Required.
	Refresh func()
	// IsPool reports whether a shard has jobs. Required.
	IsPool func(shard string) bool
	// Recorder records calls without an answer. Required.
	Recorder eventlog.Recorder
}

const (
	// retryPause is the time between two looks for an owner.
	retryPause = 60 * time.Millisecond
	// attemptTimeout bounds one try, so that a second one fits.
	attemptTimeout = 900 * time.Millisecond
	// submitPatience is how long a submission waits for an owner before it is
	// refused. Callers come again, and a refusal that comes late serves nobody.
	submitPatience = 120 * time.Millisecond
	retryAfter     = time.Second
)

// Forwarder passes calls to the owners of shards. It is safe for concurrent use.
type Forwarder struct {
	o         Options
	directory atomic.Pointer[cluster.Directory]
}

// NewForwarder returns a forwarder without owners.
func NewForwarder(o Options) *Forwarder {
	f := &Forwarder{o: o}
	f.directory.Store(&cluster.Directory{})
	return f
}

// SetDirectory replaces the owners of shards.
func (f *Forwarder) SetDirectory(d cluster.Directory) { f.directory.Store(&d) }

// CallAny passes a call about a job to the owner of its queue's shard. A job
// stays where it was accepted when its queue is sent to another pool, so a job
// that is not known there is looked for in the other shards; former are those
// that may have jobs of the queue.
func (f *Forwarder) CallAny(ctx context.Context, request *jobpb.Request, former []string) *jobpb.Reply {
	switch request.Call {
	case jobpb.Call_CALL_SUBMIT:
		if reply := f.find(ctx, request, former); reply != nil {
			return reply
		}
		return f.Call(ctx, request)
	case jobpb.Call_CALL_WAITING:
		return f.sumWaiting(ctx, request, former)
	}
	reply := f.Call(ctx, request)
	if reply.Code != jobpb.Code_CODE_NOT_FOUND {
		return reply
	}
	for shard := range *f.directory.Load() {
		if shard == request.Shard || !f.o.IsPool(shard) {
			continue
		}
		if other := f.Call(ctx, withShard(request, shard)); other.Code != jobpb.Code_CODE_NOT_FOUND {
			return other
		}
	}
	return reply
}

func withShard(request *jobpb.Request, shard string) *jobpb.Request {
	return &jobpb.Request{
		Call: request.Call, Shard: shard, Queue: request.Queue, Id: request.Id, Job: request.Job, Workers: request.Workers,
	}
}

// find answers a submission whose job a former pool of the queue knows, or may
// know. It returns nil when none does.
func (f *Forwarder) find(ctx context.Context, request *jobpb.Request, former []string) *jobpb.Reply {
	for _, shard := range former {
		look := withShard(request, shard)
		look.Call, look.Job = jobpb.Call_CALL_STATE, nil
		switch f.Call(ctx, look).Code {
		case jobpb.Code_CODE_NOT_FOUND:
		case jobpb.Code_CODE_OK:
			return &jobpb.Reply{Code: jobpb.Code_CODE_OK}
		default:
			return &jobpb.Reply{Code: jobpb.Code_CODE_UNKNOWN}
		}
	}
	return nil
}

func (f *Forwarder) sumWaiting(ctx context.Context, request *jobpb.Request, former []string) *jobpb.Reply {
	sum := f.Call(ctx, request)
	for _, shard := range former {
		if sum.Code != jobpb.Code_CODE_OK {
			break
		}
		other := f.Call(ctx, withShard(request, shard))
		if other.Code != jobpb.Code_CODE_OK {
			return other
		}
		sum.Waiting += other.Waiting
	}
	return sum
}

// Call passes a call on until it is answered, or ctx ends. All calls are
// idempotent, so that one without an answer is made again. A submission that
// may have been stored is never reported as refused.
func (f *Forwarder) Call(ctx context.Context, request *jobpb.Request) *jobpb.Reply {
	started := time.Now()
	submission := request.Call == jobpb.Call_CALL_SUBMIT
	anySent := false
	for {
		reply, sent := f.try(ctx, request)
		anySent = anySent || sent
		if final(reply, submission && !anySent) {
			return reply
		}
		if submission && !anySent && time.Since(started) > submitPatience {
			return refusal()
		}
		f.o.Refresh()
		select {
		case <-ctx.Done():
			if anySent {
				return &jobpb.Reply{Code: jobpb.Code_CODE_UNKNOWN}
			}
			return refusal()
		case <-time.After(retryPause):
		}
	}
}

// final reports whether a reply ends a call. A refusal does only where it is
// certain that no earlier attempt was carried out.
func final(reply *jobpb.Reply, refusalIsFinal bool) bool {
	if reply == nil || reply.Code == jobpb.Code_CODE_NOT_OWNER {
		return false
	}
	return reply.Code != jobpb.Code_CODE_REFUSED || refusalIsFinal
}

func refusal() *jobpb.Reply {
	return &jobpb.Reply{Code: jobpb.Code_CODE_REFUSED, RetryAfterMs: retryAfter.Milliseconds()}
}

// try makes one attempt; sent reports whether the call may have been carried out.
func (f *Forwarder) try(ctx context.Context, request *jobpb.Request) (reply *jobpb.Reply, sent bool) {
	owner, ok := (*f.directory.Load())[request.Shard]
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeoutMs = max(time.Until(deadline).Milliseconds(), 1)
	}
	if owner.Self {
		reply = f.o.Local(ctx, request)
		return reply, reply == nil
	}
	reply, err := f.o.Client.Call(ctx, owner.Address, request)
	if err != nil {
		f.o.Recorder.Record(eventlog.CallUnanswered, eventlog.Fields{
			"job": request.Id, "call": request.Call.String(), "peer": owner.Member, "error": err,
		})
		return nil, !errors.Is(err, relay.ErrNotSent)
	}
	return reply, false
}
