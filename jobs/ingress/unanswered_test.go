package ingress

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/cluster"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/relay"
)

// Guards against repeated reads that fill the log while a peer is silent, and against a
// submission or a cancellation with an unknown outcome that has no line.
func TestUnansweredReadsAreLimited(t *testing.T) {
	log, err := eventlog.New(eventlog.Options{Process: "p", Writer: io.Discard})
	assert.NilError(t, err)
	f := NewForwarder(Options{Client: relay.NewClient(), Recorder: log})
	const unreachable = "127.0.0.1:1"
	f.SetDirectory(cluster.Directory{"s": {Member: "m1", Address: unreachable}, "t": {Member: "m2", Address: unreachable}})
	const calls = 40
	began := time.Now()
	for range calls {
		for _, shard := range []string{"s", "t"} {
			for _, kind := range []jobpb.Call{jobpb.Call_CALL_STATE, jobpb.Call_CALL_WAITING, jobpb.Call_CALL_SUBMIT, jobpb.Call_CALL_CANCEL} {
				f.attempt(context.Background(), &jobpb.Request{Call: kind, Shard: shard, Id: "id"})
			}
		}
	}
	seconds := int(time.Since(began).Seconds()) + 2 // That the calls fall into, at most.
	lines := map[string]int{}
	for _, e := range log.Timeline(0, 10*calls) {
		lines[e.Fields["peer"].(string)+" "+e.Fields["call"].(string)]++
	}
	for _, peer := range []string{"m1", "m2"} {
		for _, read := range []string{" CALL_STATE", " CALL_WAITING"} {
			n := lines[peer+read]
			assert.Check(t, n >= maxReadLines && n <= seconds*maxReadLines, "%s%s: %d lines", peer, read, n)
		}
		assert.Equal(t, lines[peer+" CALL_SUBMIT"], calls)
		assert.Equal(t, lines[peer+" CALL_CANCEL"], calls)
	}
}
