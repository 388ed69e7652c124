package ingress

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/cluster"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/relay"
)

// Guards against a request that is routed by a shorter prefix although a longer one matches.
func TestLongestPrefixWins(t *testing.T) {
	table := NewRouteTable([]Route{{Queue: "short", Host: "h", Prefix: "/a/"}, {Queue: "long", Host: "h", Prefix: "/a/b/"}})
	route, found := table.Find("h", "/a/b/1")
	assert.Assert(t, found && route.Queue == "long")
	route, found = table.Find("h", "/a/c")
	assert.Assert(t, found && route.Queue == "short")
	_, found = table.Find("other", "/a/b/1")
	assert.Assert(t, !found)
}

// callOwner calls a local owner that gives the replies in order and repeats the last one;
// nil stands for no reply. The call has a timeout of 2 s.
func callOwner(t *testing.T, kind jobpb.Call, replies ...*jobpb.Reply) (reply *jobpb.Reply, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := 0
		f := NewForwarder(Options{
			Local: func(ctx context.Context, _ *jobpb.Request) *jobpb.Reply {
				answer := replies[min(n, len(replies)-1)]
				n++
				if answer == nil {
					<-ctx.Done()
				}
				return answer
			},
			Client: relay.NewClient(), Refresh: func() {}, Recorder: eventlog.Discard, IsPool: func(string) bool { return true },
		})
		f.SetDirectory(cluster.Directory{"s": {Self: true}})
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		began := time.Now()
		reply = f.Call(ctx, &jobpb.Request{Call: kind, Shard: "s"})
		took = time.Since(began)
	})
	return reply, took
}

var (
	ok       = &jobpb.Reply{Code: jobpb.Code_CODE_OK}
	refused  = &jobpb.Reply{Code: jobpb.Code_CODE_REFUSED}
	limited  = &jobpb.Reply{Code: jobpb.Code_CODE_LIMITED}
	notOwner = &jobpb.Reply{Code: jobpb.Code_CODE_NOT_OWNER}
)

// Guards against a submission that is reported as refused although an earlier attempt
// without a reply may have been stored.
func TestSubmissionAfterSilenceIsNeverRefused(t *testing.T) {
	reply, _ := callOwner(t, jobpb.Call_CALL_SUBMIT, nil, refused)
	assert.Equal(t, reply.Code, jobpb.Code_CODE_UNKNOWN)
	reply, _ = callOwner(t, jobpb.Call_CALL_SUBMIT, nil, limited)
	assert.Equal(t, reply.Code, jobpb.Code_CODE_UNKNOWN)
	reply, _ = callOwner(t, jobpb.Call_CALL_SUBMIT, limited)
	assert.Equal(t, reply.Code, jobpb.Code_CODE_LIMITED)
	reply, _ = callOwner(t, jobpb.Call_CALL_SUBMIT, nil, ok)
	assert.Equal(t, reply.Code, jobpb.Code_CODE_OK)
}

// Guards against a caller over its weight that waits for the refusal.
func TestLimitedSubmissionIsAnsweredAtOnce(t *testing.T) {
	reply, took := callOwner(t, jobpb.Call_CALL_SUBMIT, limited, ok)
	assert.Equal(t, reply.Code, jobpb.Code_CODE_LIMITED)
	assert.Assert(t, took < 10*time.Millisecond, "%v", took)
}

// Guards against a refusal that arrives only when the caller's timeout expires.
func TestSubmissionWithoutOwnerIsRefusedSoon(t *testing.T) {
	reply, took := callOwner(t, jobpb.Call_CALL_SUBMIT, notOwner)
	assert.Equal(t, reply.Code, jobpb.Code_CODE_REFUSED)
	assert.Assert(t, took < 300*time.Millisecond, "%v", took)
}

// Guards against a state request that gets no reply although a new owner appears in time.
func TestStateWaitsForAnOwner(t *testing.T) {
	reply, _ := callOwner(t, jobpb.Call_CALL_STATE, notOwner, refused, nil, ok)
	assert.Equal(t, reply.Code, jobpb.Code_CODE_OK)
}

// Guards against a job that is not found, or is stored a second time, after its queue was
// moved to another pool, and against a job of another workspace there that is revealed or
// replaced.
func TestJobsOfFormerPools(t *testing.T) {
	var asked []string
	f := NewForwarder(Options{
		Local: func(_ context.Context, r *jobpb.Request) *jobpb.Reply {
			asked = append(asked, r.Call.String()+" "+r.Shard)
			if r.Call == jobpb.Call_CALL_WAITING {
				return &jobpb.Reply{Code: jobpb.Code_CODE_OK, Waiting: 3}
			}
			if r.Shard == "old" && r.Id == "foreign" || r.Shard == "new" && r.Id == "taken" {
				return &jobpb.Reply{Code: jobpb.Code_CODE_CONFLICT}
			}
			if r.Shard == "old" && r.Id == "known" {
				return &jobpb.Reply{Code: jobpb.Code_CODE_OK, State: jobpb.State_STATE_RUNNING}
			}
			if r.Call == jobpb.Call_CALL_SUBMIT {
				return ok
			}
			return &jobpb.Reply{Code: jobpb.Code_CODE_NOT_FOUND}
		},
		Client: relay.NewClient(), Refresh: func() {}, Recorder: eventlog.Discard,
		IsPool: func(shard string) bool { return shard != "fleet" },
	})
	f.SetDirectory(cluster.Directory{"new": {Self: true}, "old": {Self: true}, "fleet": {Self: true}})
	call := func(kind jobpb.Call, id string, formerPools ...string) *jobpb.Reply {
		asked = nil
		var former []Place
		for _, pool := range formerPools {
			former = append(former, Place{Pool: pool})
		}
		return f.CallAny(context.Background(), &jobpb.Request{Call: kind, Shard: "new", Id: id}, former)
	}
	assert.Equal(t, call(jobpb.Call_CALL_STATE, "known").State, jobpb.State_STATE_RUNNING)
	assert.Equal(t, call(jobpb.Call_CALL_CANCEL, "unknown").Code, jobpb.Code_CODE_NOT_FOUND)
	assert.Equal(t, call(jobpb.Call_CALL_SUBMIT, "known", "old").Code, jobpb.Code_CODE_OK)
	assert.DeepEqual(t, asked, []string{"CALL_STATE old"})
	assert.Equal(t, call(jobpb.Call_CALL_SUBMIT, "foreign", "old").Code, jobpb.Code_CODE_CONFLICT)
	assert.DeepEqual(t, asked, []string{"CALL_STATE old"})
	assert.Equal(t, call(jobpb.Call_CALL_STATE, "foreign").Code, jobpb.Code_CODE_NOT_FOUND)
	assert.Equal(t, call(jobpb.Call_CALL_CANCEL, "foreign").Code, jobpb.Code_CODE_NOT_FOUND)
	assert.Equal(t, call(jobpb.Call_CALL_STATE, "taken").Code, jobpb.Code_CODE_NOT_FOUND)
	assert.Equal(t, call(jobpb.Call_CALL_SUBMIT, "taken", "old").Code, jobpb.Code_CODE_CONFLICT)
	call(jobpb.Call_CALL_SUBMIT, "unknown", "old")
	assert.DeepEqual(t, asked, []string{"CALL_STATE old", "CALL_SUBMIT new"})
	assert.Equal(t, call(jobpb.Call_CALL_WAITING, "", "old").Waiting, int64(6))
}

// Guards against a job that is reported as gone, or whose cancellation is, while the shard
// that accepted it has no owner.
func TestJobOfFormerPlaceWithoutOwnerIsNotGone(t *testing.T) {
	for name, kind := range map[string]jobpb.Call{"state": jobpb.Call_CALL_STATE, "cancel": jobpb.Call_CALL_CANCEL} {
		for ownerAfter, want := range map[time.Duration]jobpb.Code{
			500 * time.Millisecond: jobpb.Code_CODE_OK, time.Minute: jobpb.Code_CODE_REFUSED,
		} {
			t.Run(fmt.Sprint(name, " owner after ", ownerAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := NewForwarder(Options{
						Local: func(_ context.Context, r *jobpb.Request) *jobpb.Reply {
							if r.Shard == "old" && r.Queue == "former" {
								return ok
							}
							return &jobpb.Reply{Code: jobpb.Code_CODE_NOT_FOUND}
						},
						Client: relay.NewClient(), Refresh: func() {}, Recorder: eventlog.Discard, IsPool: func(string) bool { return true },
					})
					f.SetDirectory(cluster.Directory{"new": {Self: true}})
					time.AfterFunc(ownerAfter, func() { f.SetDirectory(cluster.Directory{"new": {Self: true}, "old": {Self: true}}) })
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					defer cancel()
					reply := f.CallAny(ctx, &jobpb.Request{Call: kind, Shard: "new", Queue: "queue", Id: "job"}, []Place{{"former", "old"}})
					assert.Equal(t, reply.Code, want)
				})
			})
		}
	}
}

// Guards against a job whose state is unknown to callers because a pool that does not have it
// has no owner.
func TestJobIsFoundBesideAPoolWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewForwarder(Options{
			Local:  func(context.Context, *jobpb.Request) *jobpb.Reply { return ok },
			Client: relay.NewClient(), Refresh: func() {}, Recorder: eventlog.Discard, IsPool: func(string) bool { return true },
		})
		f.SetDirectory(cluster.Directory{"old": {Self: true}})
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		began := time.Now()
		reply := f.CallAny(ctx, &jobpb.Request{Call: jobpb.Call_CALL_STATE, Shard: "new", Queue: "queue", Id: "job"}, []Place{{"queue", "old"}})
		assert.Equal(t, reply.Code, jobpb.Code_CODE_OK)
		assert.Assert(t, time.Since(began) < 10*time.Millisecond)
	})
}
