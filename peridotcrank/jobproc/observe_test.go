package jobproc

import (
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/jobpb"
)

// Guards against reads of callers that fill the log while a shard has no owner, and against a
// submission or a cancellation that was not served and has no line.
func TestReadsThatWereNotServedAreLimited(t *testing.T) {
	log, err := eventlog.New(eventlog.Options{Process: "p", Writer: io.Discard})
	assert.NilError(t, err)
	c := instrumentedForwarder{recorder: log, readLines: eventlog.NewSampler(maxReadLines)}
	const calls = 40
	began := time.Now()
	for n := range calls {
		for _, kind := range []jobpb.Call{jobpb.Call_CALL_STATE, jobpb.Call_CALL_SUBMIT, jobpb.Call_CALL_CANCEL} {
			c.recordNotServed(&jobpb.Request{Call: kind, Shard: "s", Id: fmt.Sprint(n)}, kind.String(), "unknown", time.Second)
		}
	}
	seconds := int(time.Since(began).Seconds()) + 2 // That the calls fall into, at most.
	lines := map[any]int{}
	for _, e := range log.Timeline(0, 10*calls) {
		lines[e.Fields["call"]]++
	}
	reads := lines["CALL_STATE"]
	assert.Check(t, reads >= maxReadLines && reads <= seconds*maxReadLines, "%d lines", reads)
	assert.Equal(t, lines["CALL_SUBMIT"], calls)
	assert.Equal(t, lines["CALL_CANCEL"], calls)
}
