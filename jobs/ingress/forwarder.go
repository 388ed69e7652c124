package ingress

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/cluster"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/relay"
)

// Options configure a [Forwarder].
type Options struct {
	// Local handles calls to shards that this process owns. Required.
	Local relay.Handler
	// Client calls other processes. Required.
	Client *relay.Client
	// Refresh requests a new read of the shard owners. Required.
	Refresh func()
	// IsPool reports whether a shard is a pool, which can have jobs. Required.
	IsPool func(shard string) bool
	// Recorder records calls that got no reply. Required.
	Recorder eventlog.Recorder
}

const (
	// retryPause is the time between two attempts to reach the owner.
	retryPause = 60 * time.Millisecond
	// attemptTimeout limits one attempt, so that time remains for a second one.
	attemptTimeout = 900 * time.Millisecond
	// submitOwnerWait is how long a submission waits for an owner before it is refused.
	// It is short because callers retry, and a late refusal only delays their retry.
	submitOwnerWait = 120 * time.Millisecond
	retryAfter      = time.Second
	// maxReadLines limits the lines per peer, kind of call and second for reads that got no
	// reply. They change nothing, and callers repeat them often.
	maxReadLines = 5
)

// Forwarder forwards calls to the owners of shards. It is safe for concurrent use.
type Forwarder struct {
	o         Options
	directory atomic.Pointer[cluster.Directory]
	outages   outages
	// readLines limits the lines of reads that got no reply.
	readLines *eventlog.Sampler
}

// NewForwarder returns a forwarder that knows no owners until SetDirectory is called.
func NewForwarder(o Options) *Forwarder {
	f := &Forwarder{o: o, readLines: eventlog.NewSampler(maxReadLines)}
	f.directory.Store(&cluster.Directory{})
	return f
}

// SetDirectory replaces the known owners of all shards.
func (f *Forwarder) SetDirectory(d cluster.Directory) { f.directory.Store(&d) }

// CallAny forwards a call about a job to the owner of its queue's shard. A job stays
// in the shard that accepted it when its queue is moved to another pool. former lists the
// other places that may have jobs of the route.
func (f *Forwarder) CallAny(ctx context.Context, request *jobpb.Request, former []Place) *jobpb.Reply {
	switch request.Call {
	case jobpb.Call_CALL_SUBMIT:
		if reply := f.findInFormerPlaces(ctx, request, former); reply != nil {
			return reply
		}
		return f.Call(ctx, request)
	case jobpb.Call_CALL_WAITING:
		return f.sumWaiting(ctx, request, former)
	}
	places := append([]Place{{job.Queue(request.Queue), request.Shard}}, former...)
	reply := f.callPlaces(ctx, request, places)
	if !isInvisible(reply) {
		return reply
	}
	return f.searchOtherShards(ctx, request, places)
}

// callPlaces calls all places at the same time and returns the reply of the one that has the
// job. Otherwise it returns a reply that leaves open whether a place has the job: a shard
// without an owner may have it. Only if no place has it, the reply is invisible.
func (f *Forwarder) callPlaces(ctx context.Context, request *jobpb.Request, places []Place) *jobpb.Reply {
	if len(places) == 1 {
		return f.Call(ctx, withPlace(request, places[0]))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan *jobpb.Reply, len(places))
	for _, place := range places {
		go func() { replies <- f.Call(ctx, withPlace(request, place)) }()
	}
	result := &jobpb.Reply{Code: jobpb.Code_CODE_NOT_FOUND}
	for range places {
		switch reply := <-replies; {
		case reply.Code == jobpb.Code_CODE_OK:
			return reply
		case !isInvisible(reply), reply.Code == jobpb.Code_CODE_CONFLICT && isInvisible(result):
			result = reply
		}
	}
	return result
}

// searchOtherShards searches a job in the shards that have an owner, other than those of the
// given places. It finds jobs that a former build stored without the row of their queue.
func (f *Forwarder) searchOtherShards(ctx context.Context, request *jobpb.Request, places []Place) *jobpb.Reply {
	for shard := range *f.directory.Load() {
		known := slices.ContainsFunc(places, func(p Place) bool { return p.Pool == shard })
		if known || !f.o.IsPool(shard) {
			continue
		}
		place := Place{job.Queue(request.Queue), shard}
		if other := f.Call(ctx, withPlace(request, place)); !isInvisible(other) {
			return other
		}
	}
	return &jobpb.Reply{Code: jobpb.Code_CODE_NOT_FOUND}
}

// isInvisible reports whether a shard has no job that the caller is allowed to see under
// the requested id.
func isInvisible(reply *jobpb.Reply) bool {
	return reply.Code == jobpb.Code_CODE_NOT_FOUND || reply.Code == jobpb.Code_CODE_CONFLICT
}

// withPlace returns a copy of a request for another place.
func withPlace(request *jobpb.Request, place Place) *jobpb.Request {
	return &jobpb.Request{
		Call: request.Call, Shard: place.Pool, Queue: string(place.Queue), Id: request.Id, Job: request.Job, Workers: request.Workers, Workspace: request.Workspace,
	}
}

// findInFormerPlaces returns the reply to a submission whose job a former place
// has or may have, and nil when none has it.
func (f *Forwarder) findInFormerPlaces(ctx context.Context, request *jobpb.Request, former []Place) *jobpb.Reply {
	if len(former) == 0 {
		return nil
	}
	query := withPlace(request, Place{})
	query.Call, query.Job = jobpb.Call_CALL_STATE, nil
	switch code := f.callPlaces(ctx, query, former).Code; code {
	case jobpb.Code_CODE_NOT_FOUND:
		return nil
	case jobpb.Code_CODE_OK, jobpb.Code_CODE_CONFLICT:
		return &jobpb.Reply{Code: code}
	}
	return &jobpb.Reply{Code: jobpb.Code_CODE_UNKNOWN}
}

func (f *Forwarder) sumWaiting(ctx context.Context, request *jobpb.Request, former []Place) *jobpb.Reply {
	sum := f.Call(ctx, request)
	for _, place := range former {
		if sum.Code != jobpb.Code_CODE_OK {
			break
		}
		other := f.Call(ctx, withPlace(request, place))
		if other.Code != jobpb.Code_CODE_OK {
			return other
		}
		sum.Waiting += other.Waiting
	}
	return sum
}

// Call forwards a call to the shard's owner and repeats it until there is a final reply
// or ctx ends. Repetition is safe because all calls are idempotent. A submission that may
// have been stored is never reported as refused.
func (f *Forwarder) Call(ctx context.Context, request *jobpb.Request) *jobpb.Reply {
	submission := request.Call == jobpb.Call_CALL_SUBMIT
	reply := f.callOwner(ctx, request, submission)
	if submission {
		f.outages.adjustRetryAfter(request.Shard, reply, time.Now())
	}
	return reply
}

// callOwner implements [Forwarder.Call].
func (f *Forwarder) callOwner(ctx context.Context, request *jobpb.Request, submission bool) *jobpb.Reply {
	started := time.Now()
	anyUncertain := false
	for {
		reply, uncertain := f.attempt(ctx, request)
		anyUncertain = anyUncertain || uncertain
		if isFinal(reply, submission && !anyUncertain) {
			return reply
		}
		if submission && !anyUncertain && time.Since(started) > submitOwnerWait {
			return refusedReply()
		}
		f.o.Refresh()
		select {
		case <-ctx.Done():
			if anyUncertain {
				return &jobpb.Reply{Code: jobpb.Code_CODE_UNKNOWN}
			}
			return refusedReply()
		case <-time.After(retryPause):
		}
	}
}

// isFinal reports whether a reply ends a call. A refusal does so only when it is certain
// that no earlier attempt was executed.
func isFinal(reply *jobpb.Reply, refusalIsFinal bool) bool {
	if reply == nil || reply.Code == jobpb.Code_CODE_NOT_OWNER {
		return false
	}
	isRefusal := reply.Code == jobpb.Code_CODE_REFUSED || reply.Code == jobpb.Code_CODE_LIMITED
	return !isRefusal || refusalIsFinal
}

func refusedReply() *jobpb.Reply {
	return &jobpb.Reply{Code: jobpb.Code_CODE_REFUSED, RetryAfterMs: retryAfter.Milliseconds()}
}

// attempt makes one attempt to call the owner. uncertain reports that the call may have
// been executed although there is no reply.
func (f *Forwarder) attempt(ctx context.Context, request *jobpb.Request) (reply *jobpb.Reply, uncertain bool) {
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
		f.recordUnanswered(request, owner.Member, err)
		return nil, !errors.Is(err, relay.ErrNotSent)
	}
	return reply, false
}

// recordUnanswered records a call that got no reply. Each submission and each cancellation has
// a line, since its outcome may be unknown; the lines of reads are limited.
func (f *Forwarder) recordUnanswered(request *jobpb.Request, peer string, err error) {
	fields := eventlog.Fields{"job": request.Id, "call": request.Call.String(), "peer": peer, "error": err}
	if !changesJobs(request.Call) {
		leftOut, permitted := f.readLines.Permit(peer+" "+request.Call.String(), time.Now())
		if !permitted {
			return
		}
		fields["left_out"] = leftOut
	}
	f.o.Recorder.Record(eventlog.CallUnanswered, fields)
}

func changesJobs(call jobpb.Call) bool {
	return call == jobpb.Call_CALL_SUBMIT || call == jobpb.Call_CALL_CANCEL
}
