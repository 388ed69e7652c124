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

var codes = map[shard.Code]jobpb.Code{
	shard.OK: jobpb.Code_CODE_OK, shard.NotFound: jobpb.Code_CODE_NOT_FOUND,
	shard.Refused: jobpb.Code_CODE_REFUSED, shard.Unknown: jobpb.Code_CODE_UNKNOWN,
}

func reply(a shard.Answer) *jobpb.Reply {
	return &jobpb.Reply{
		Code: codes[a.Code], State: jobpb.State(a.State), Waiting: int64(a.Waiting), RetryAfterMs: a.RetryAfter.Milliseconds(),
	}
}

// answerPeer answers a call of another process.
func (p *Process) answerPeer(ctx context.Context, request *jobpb.Request) *jobpb.Reply {
	if request.Call == jobpb.Call_CALL_STORE {
		return rowsrelay.HandleCall(ctx, p.ownStore, request.Store)
	}
	if r := p.answerLocal(ctx, request); r != nil {
		return r
	}
	return &jobpb.Reply{Code: jobpb.Code_CODE_UNKNOWN}
}

// callFailed records an unexpected error in the handling of a peer's call.
func (p *Process) callFailed(reason any) {
	p.log.Record(eventlog.CallFailed, eventlog.Fields{"error": reason, "stack": string(debug.Stack())})
}

// answerLocal answers a call to a shard that this process may own. It returns
// nil when ctx ended before the outcome was known.
func (p *Process) answerLocal(ctx context.Context, request *jobpb.Request) *jobpb.Reply {
	answers := make(chan *jobpb.Reply, 1)
	p.loop.Post(func() { p.dispatch(request, answers) })
	select {
	case r := <-answers:
		return r
	case <-ctx.Done():
		return nil
	}
}

func (p *Process) dispatch(request *jobpb.Request, answers chan<- *jobpb.Reply) {
	s := p.shards[request.Shard]
	if s == nil {
		answers <- &jobpb.Reply{Code: jobpb.Code_CODE_NOT_OWNER}
		return
	}
	p.scopes[request.Shard].Do(func() { p.serve(s, request, answers) })
}

// serve makes a call to a shard. Without an answer its outcome is unknown.
func (p *Process) serve(s *shard.Shard, request *jobpb.Request, answers chan<- *jobpb.Reply) {
	answer := func(a shard.Answer) { answers <- reply(a) }
	queue, id := job.Queue(request.Queue), job.ID(request.Id)
	switch request.Call {
	case jobpb.Call_CALL_SUBMIT:
		p.submit(s, request, answers)
	case jobpb.Call_CALL_STATE:
		answer(s.Lookup(queue, id))
	case jobpb.Call_CALL_CANCEL:
		s.Cancel(queue, id, answer)
	case jobpb.Call_CALL_WAITING:
		answer(s.Waiting(queue))
	case jobpb.Call_CALL_REPORT:
		answers <- p.report(s, request)
	default:
		answers <- &jobpb.Reply{Code: jobpb.Code_CODE_INVALID, Detail: "unknown call"}
	}
}

func (p *Process) submit(s *shard.Shard, request *jobpb.Request, answers chan<- *jobpb.Reply) {
	if request.Job == nil {
		answers <- &jobpb.Reply{Code: jobpb.Code_CODE_INVALID, Detail: "no job"}
		return
	}
	j := job.FromRecord(request.Job)
	if err := j.Validate(); err != nil {
		answers <- &jobpb.Reply{Code: jobpb.Code_CODE_INVALID, Detail: err.Error()}
		return
	}
	s.Submit(j, func(a shard.Answer) { answers <- reply(a) })
}
