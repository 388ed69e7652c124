package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"peridotcrank.dev/fleet"
)

func newTestLog(t testing.TB, o Options) *Log {
	t.Helper()
	if o.Process == "" {
		o.Process = "entry-1"
	}
	if o.Writer == nil {
		o.Writer = io.Discard
	}
	if o.Clock == nil {
		start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
		o.Clock = NewClock(func() time.Time { return start })
	}
	l, err := New(o)
	assert.NilError(t, err)
	return l
}

var sampleFields = Fields{
	"vm": fleet.VMID("vm-7"), "error": errors.New("dial \"x\":\nrefused"), "after": 250 * time.Millisecond,
	"count": 3, "ratio": 0.25, "nan": math.NaN(), "ok": true, "line": "a\nb", "text": "a b=c", "none": nil,
}

// Guards against changes of the format of log lines, which log collectors parse.
func TestLogLines(t *testing.T) {
	for _, format := range []Format{FormatJSON, FormatText} {
		var out bytes.Buffer
		l := newTestLog(t, Options{Writer: &out, Format: format, MinLevel: LevelWarning})
		l.Record(ProcessStarted, nil) // Below MinLevel.
		l.Record(MemberEvicted, sampleFields)
		l.Record(Code(6999), Fields{"msg": "x", "time": "y"})
		golden.Assert(t, out.String(), "log."+string(format))
	}
}

// Guards against changes of the timeline's text and JSON formats, and against
// fields whose text breaks a line.
func TestRenderings(t *testing.T) {
	l := newTestLog(t, Options{})
	l.Record(ProcessStarted, nil)
	l.Record(MemberEvicted, sampleFields)
	var text, lines bytes.Buffer
	events := l.Timeline(0, 10)
	assert.NilError(t, WriteText(&text, events))
	assert.NilError(t, WriteJSON(&lines, events))
	golden.Assert(t, text.String(), "timeline.text")
	golden.Assert(t, lines.String(), "timeline.json")
	var back Event
	assert.NilError(t, json.NewDecoder(&lines).Decode(&back))
	assert.DeepEqual(t, back, events[0])
}

// Guards against fields that change after the event was recorded, and against
// memory that grows with the length of a field.
func TestFieldsAreCopiedAndBounded(t *testing.T) {
	l := newTestLog(t, Options{})
	list := []string{"a"}
	fields := Fields{"list": list, "long": strings.Repeat("é", 4000), "bad": "\xff"}
	l.Record(ProcessStarted, fields)
	list[0], fields["new"] = "b", 1
	got := l.Timeline(0, 1)[0].Fields
	assert.Equal(t, got["list"], "[a]")
	assert.Equal(t, got["bad"], "\ufffd")
	assert.Equal(t, len(got), 3)
	assert.Assert(t, len(got["long"].(string)) <= maxFieldBytes+len("…"))
}

// Guards against a ring buffer that loses, repeats or reorders events.
func TestTimelineOfRing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := rapid.IntRange(1, 9).Draw(rt, "capacity")
		recorded := rapid.IntRange(0, 30).Draw(rt, "recorded")
		skip := rapid.IntRange(0, 30).Draw(rt, "skip")
		limit := rapid.IntRange(-1, 12).Draw(rt, "limit")
		l := newTestLog(t, Options{Capacity: capacity})
		var all []Event
		for range recorded {
			l.Record(MoveStep, nil)
			all = append(all, l.Timeline(0, capacity)[min(len(all), capacity-1)])
		}
		after := uint64(0)
		if skip = min(skip, recorded); skip > 0 {
			after = all[skip-1].Time
		}
		want := all[max(skip, recorded-capacity):]
		want = want[:min(len(want), max(limit, 0))]
		got := l.Timeline(after, limit)
		assert.Equal(rt, len(got), len(want))
		for i := range got {
			assert.Equal(rt, got[i].Sequence, want[i].Sequence)
		}
	})
}

// Guards against concurrent events whose order in the timeline differs from that
// of their timestamps.
func TestConcurrentRecord(t *testing.T) {
	l := newTestLog(t, Options{Capacity: 4000})
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 500 {
				l.Record(MoveStep, Fields{"vm": "vm-1"})
			}
		})
	}
	group.Wait()
	events := l.Timeline(0, 4000)
	assert.Equal(t, len(events), 2000)
	assert.Equal(t, l.Recorded(), uint64(2000))
	for i, e := range events {
		assert.Equal(t, e.Sequence, uint64(i+1))
		assert.Assert(t, i == 0 || e.Time > events[i-1].Time)
	}
}

// Guards against a merged timeline in which an event of the receiver of a message
// precedes those of the sender because the clocks of the processes differ.
func TestMergeIsCausal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var logs [3]*Log
		for i := range logs {
			skew := time.Duration(rapid.IntRange(-5000, 5000).Draw(rt, "skew")) * time.Millisecond
			clock := NewClock(func() time.Time { return time.UnixMilli(1_000_000).Add(skew) })
			logs[i] = newTestLog(t, Options{Process: fmt.Sprint("entry-", i), Clock: clock})
		}
		at := 0
		for step := range rapid.IntRange(1, 20).Draw(rt, "steps") {
			logs[at].Record(MoveStep, Fields{"step": step})
			next := rapid.IntRange(0, 2).Draw(rt, "receiver")
			logs[next].Clock().Observe(logs[at].Clock().Now())
			at = next
		}
		var timelines [][]Event
		for _, l := range logs {
			timelines = append(timelines, l.Timeline(0, 100), l.Timeline(0, 5))
		}
		for i, e := range Merge(timelines...) {
			assert.Equal(rt, e.Fields["step"], int64(i))
		}
	})
}

// Guards against invalid options that fail only when the first event is recorded.
func TestOptionsValidate(t *testing.T) {
	_, err := New(Options{Format: "xml", Capacity: -1})
	for _, part := range []string{"process is empty", "no writer", "xml", "negative"} {
		assert.ErrorContains(t, err, part)
	}
}

func BenchmarkRecord(b *testing.B) {
	l := newTestLog(b, Options{})
	b.ReportAllocs()
	for b.Loop() {
		l.Record(MoveStep, Fields{"vm": "vm-1", "phase": "draining"})
	}
}
