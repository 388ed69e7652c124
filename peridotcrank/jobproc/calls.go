package jobproc

import (
	"context"
	"runtime/debug"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows/rowsrelay"
	"peridotcrank.dev/jobs/shard"
)

var replyCodes = map[shard.Code]jobpb.Code{
	shard.OK: jobpb.Code_CODE_OK, shard.NotFound: jobpb.Code_CODE_NOT_FOUND,
	shard.Refused: jobpb.Code_CODE_REFUSED, shard.Unknown: jobpb.Code_CODE_UNKNOWN,
	shard.Conflict: jobpb.Code_CODE_CONFLICT, shard.Limited: jobpb.Code_CODE_LIMITED,
	shard.Invalid: jobpb.Code_CODE_INVALID,
	// The caller's process tries again until the owner has the configuration.
	shard.NotConfigured: jobpb.Code_CODE_NOT_OWNER,
}

func newReply(a shard.Result) *jobpb.Reply {
	return &jobpb.Reply{
		Code: replyCodes[a.Code], State: jobpb.State(a.State), Waiting: int64(a.Waiting), RetryAfterMs: a.RetryAfter.Milliseconds(),
		Detail: a.Detail,
	}
}

// handlePeerCall handles a call from another process.
func (p *Process) handlePeerCall(ctx context.Context, request *jobpb.Request) *jobpb.Reply {
	if request.Call == jobpb.Call_CALL_STORE {
		return rowsrelay.HandleCall(ctx, p.directStore, request.Store)
	}
	if r := p.callLocalShard(ctx, request); r != nil {
		return r
	}
	return &jobpb.Reply{Code: jobpb.Code_CODE_UNKNOWN}
}

// recordCallPanic logs a panic in the handling of a peer's call or a table's rows.
func (p *Process) recordCallPanic(reason any) {
	p.log.Record(eventlog.CallFailed, eventlog.Fields{"error": reason, "stack": string(debug.Stack())})
}

// callLocalShard calls a shard in this process. The reply is CODE_NOT_OWNER if the
// process does not own the shard, and nil if ctx ends before the outcome is known.
func (p *Process) callLocalShard(ctx context.Context, request *jobpb.Request) *jobpb.Reply {
	replies := make(chan *jobpb.Reply, 1)
	p.loop.Post(func() { p.dispatch(request, replies) })
	select {
	case r := <-replies:
		return r
	case <-ctx.Done():
		return nil
	}
}

// dispatch runs a call in the scope of its shard. It must run on the loop.
func (p *Process) dispatch(request *jobpb.Request, replies chan<- *jobpb.Reply) {
	s := p.shards[request.Shard]
	if s == nil {
		replies <- &jobpb.Reply{Code: jobpb.Code_CODE_NOT_OWNER}
		return
	}
	p.scopes[request.Shard].Do(func() { p.callShard(s, request, replies) })
}

// callShard executes a call on a shard and sends the reply. If no reply is sent, the
// outcome of the call is unknown.
func (p *Process) callShard(s *shard.Shard, request *jobpb.Request, replies chan<- *jobpb.Reply) {
	reply := func(a shard.Result) { replies <- newReply(a) }
	workspace, queue, id := job.Workspace(request.Workspace), job.Queue(request.Queue), job.ID(request.Id)
	switch request.Call {
	case jobpb.Call_CALL_SUBMIT:
		p.submit(s, request, replies)
	case jobpb.Call_CALL_STATE:
		s.Lookup(workspace, queue, id, reply)
	case jobpb.Call_CALL_CANCEL:
		s.Cancel(workspace, queue, id, reply)
	case jobpb.Call_CALL_WAITING:
		reply(s.Waiting(queue))
	case jobpb.Call_CALL_REPORT:
		replies <- p.reportPool(s, request)
	default:
		replies <- &jobpb.Reply{Code: jobpb.Code_CODE_INVALID, Detail: "unknown call"}
	}
}

// submit validates a job and submits it to a shard.
func (p *Process) submit(s *shard.Shard, request *jobpb.Request, replies chan<- *jobpb.Reply) {
	if request.Job == nil {
		replies <- &jobpb.Reply{Code: jobpb.Code_CODE_INVALID, Detail: "no job"}
		return
	}
	j := job.FromRecord(request.Job)
	j.Workspace = job.Workspace(request.Workspace)
	if err := j.Validate(); err != nil {
		replies <- &jobpb.Reply{Code: jobpb.Code_CODE_INVALID, Detail: err.Error()}
		return
	}
	s.Submit(j, func(a shard.Result) { replies <- newReply(a) })
}
