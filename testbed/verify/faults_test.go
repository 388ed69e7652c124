package verify

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/testbed/backend"
	"peridotcrank.dev/testbed/load"
)

func submitted(entry string, sent int64, outcomes ...load.Outcome) *load.Report {
	record := load.Record{Service: "webshop", Request: "1", Outcomes: outcomes, Intended: sent, Latency: time.Millisecond}
	for range outcomes {
		record.Entries, record.Sent = append(record.Entries, entry), append(record.Sent, sent)
	}
	return &load.Report{Records: []load.Record{record}}
}

// Guards against a window check that misses a request at its limits or blames another VM or process.
func TestSilenceChecksReportRunsWithinTheWindow(t *testing.T) {
	subject := func(name string) Subject { return Subject{name, Window{100, 200}} }
	report := submitted("entry-a", 50, load.Answered)
	for start, want := range map[int64]int{99: 0, 100: 1, 200: 1, 201: 0} {
		runs := []backend.Run{{VM: "vm-1", Request: "1-0", Start: start}}
		var vm, other, entry, otherEntry Result
		vm.CheckVMSilent(runs, subject("vm-1"))
		other.CheckVMSilent(runs, subject("vm-2"))
		entry.CheckEntrySilent(report, runs, subject("entry-a"))
		otherEntry.CheckEntrySilent(report, runs, subject("entry-b"))
		assert.Equal(t, len(vm.Findings), want, "VM, start %d", start)
		assert.Equal(t, len(entry.Findings), want, "entry process, start %d", start)
		assert.Equal(t, len(other.Findings)+len(otherEntry.Findings), 0)
	}
}

// Guards against a mistyped window that would make a check pass by covering nothing.
func TestSubjectForm(t *testing.T) {
	var s Subject
	assert.NilError(t, s.UnmarshalFlag("127.0.0.1:80@5-7"))
	assert.Equal(t, s, Subject{"127.0.0.1:80", Window{5000, 7000}})
	assert.NilError(t, s.UnmarshalFlag("vm-1@5"))
	assert.Assert(t, s.Window.Contains(time.Now().UnixMicro()))
	for _, text := range []string{"vm-1", "@1-2", "vm-1@", "vm-1@x", "vm-1@3-2", "vm-1@1-y"} {
		assert.ErrorIs(t, s.UnmarshalFlag(text), errSubject, text)
	}
}

// Guards against an unanswered submission that a later one of the same key hides.
func TestCheckAllAnsweredReportsEachSubmission(t *testing.T) {
	for outcome, want := range map[load.Outcome]int{
		load.Answered: 0, load.Failed: 1, load.NotRun: 1, load.Unknown: 1, load.Broken: 1, load.NotSent: 1,
	} {
		var within, outside Result
		report := submitted("entry-a", 150, outcome, load.Answered)
		within.CheckAllAnswered(report, Window{100, 200})
		outside.CheckAllAnswered(report, Window{160, 200})
		assert.Equal(t, len(within.Findings), want, "%s", outcome)
		assert.Equal(t, len(outside.Findings), 0, "%s", outcome)
	}
}

// Guards against an outage of a whole service, or of the load itself, that looks like a pass.
func TestCheckServedReportsSilence(t *testing.T) {
	var none, refused, served Result
	none.CheckServed(&load.Report{})
	refused.CheckServed(submitted("entry-a", 1, load.NotRun))
	served.CheckServed(submitted("entry-a", 1, load.Answered))
	assert.Equal(t, len(none.Findings), 1)
	assert.Equal(t, len(refused.Findings), 1)
	assert.Equal(t, len(served.Findings), 0)
}

// Guards against a gap before the first or after the last answer that is not counted.
func TestSummaryFindsGapsAndDoubt(t *testing.T) {
	at := func(ms int64, outcome load.Outcome) load.Record {
		return load.Record{
			Service: "webshop", Outcomes: []load.Outcome{outcome}, Sent: []int64{ms * 1000}, Intended: ms * 1000, Latency: time.Millisecond,
		}
	}
	s := Summarize(&load.Report{Records: []load.Record{
		at(100, load.Answered), at(10, load.Unknown), at(400, load.Broken), at(130, load.Answered),
	}}, time.Microsecond)
	assert.Equal(t, s.Gaps["webshop"], 270*time.Millisecond)
	assert.Equal(t, s.Late["webshop"], 2)
	assert.Equal(t, s.Last[load.Answered], 2)
	assert.Equal(t, s.DoubtFrom, int64(10_000))
	assert.Equal(t, s.DoubtTo, int64(400_000))
}

// Guards against a server that fails fast and draws requests, and against a check that passes without requests.
func TestCheckShareReportsAttraction(t *testing.T) {
	runs := func(failing int) (list []backend.Run) {
		for i := range 900 {
			list = append(list, backend.Run{VM: fmt.Sprintf("vm-%d", i%9), Service: "webshop", Start: 1})
		}
		for i := range 900 {
			vm := "vm-0"
			if i >= failing {
				vm = fmt.Sprintf("vm-%d", 1+i%8)
			}
			list = append(list, backend.Run{VM: vm, Service: "webshop", Start: 150})
		}
		return list
	}
	for failing, want := range map[int]int{0: 0, 100: 0, 250: 1, 900: 1} {
		var r Result
		r.CheckShare(runs(failing), []string{"vm-0"}, Window{100, 200})
		assert.Equal(t, len(r.Findings), want, "%d of 900", failing)
	}
	for failing, want := range map[int]int{0: 0, 50: 0, 51: 1, 100: 1} {
		var r Result
		r.CheckEjected(runs(failing), []string{"vm-0"}, Window{100, 200})
		assert.Equal(t, len(r.Findings), want, "%d of 900", failing)
	}
	before, within := Shares(runs(250), []string{"vm-0"}, Window{100, 200})
	assert.Equal(t, fmt.Sprintf("%.3f %.3f", before, within), "0.111 0.278")
	var empty Result
	empty.CheckShare(nil, []string{"vm-0"}, Window{100, 200})
	assert.Equal(t, len(empty.Findings), 1)
}
