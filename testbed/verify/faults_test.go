package verify

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/testbed/backend"
	"peridotcrank.dev/testbed/load"
)

func reportOfSubmissions(entry string, sent int64, outcomes ...load.Outcome) *load.Report {
	record := load.Record{Service: "webshop", Request: "1", Outcomes: outcomes, Intended: sent, Latency: time.Millisecond}
	for range outcomes {
		record.Entries, record.Sent = append(record.Entries, entry), append(record.Sent, sent)
	}
	return &load.Report{Records: []load.Record{record}}
}

// Guards against a check that misses a request at a limit of the window or reports another VM
// or entry process.
func TestSilenceChecksReportRunsWithinTheWindow(t *testing.T) {
	silentPeriod := func(name string) SilentPeriod { return SilentPeriod{name, Window{100, 200}} }
	report := reportOfSubmissions("entry-a", 50, load.Answered)
	for start, want := range map[int64]int{99: 0, 100: 1, 200: 1, 201: 0} {
		runs := []backend.Run{{VM: "vm-1", Request: "1-0", Start: start}}
		var vm, other, entry, otherEntry Result
		vm.CheckVMSilent(runs, silentPeriod("vm-1"))
		other.CheckVMSilent(runs, silentPeriod("vm-2"))
		entry.CheckEntrySilent(report, runs, silentPeriod("entry-a"))
		otherEntry.CheckEntrySilent(report, runs, silentPeriod("entry-b"))
		assert.Equal(t, len(vm.Findings), want, "VM, start %d", start)
		assert.Equal(t, len(entry.Findings), want, "entry process, start %d", start)
		assert.Equal(t, len(other.Findings)+len(otherEntry.Findings), 0)
	}
}

// Guards against a mistyped window that covers no time, so that its check would always pass.
func TestSilentPeriodSyntax(t *testing.T) {
	var s SilentPeriod
	assert.NilError(t, s.UnmarshalFlag("127.0.0.1:80@5-7"))
	assert.Equal(t, s, SilentPeriod{"127.0.0.1:80", Window{5000, 7000}})
	assert.NilError(t, s.UnmarshalFlag("vm-1@5"))
	assert.Assert(t, s.Window.Contains(time.Now().UnixMicro()))
	for _, text := range []string{"vm-1", "@1-2", "vm-1@", "vm-1@x", "vm-1@3-2", "vm-1@1-y"} {
		assert.ErrorIs(t, s.UnmarshalFlag(text), errSilentPeriod, text)
	}
}

// Guards against an unanswered submission that is not reported because a later one of the
// same key was answered.
func TestCheckAllAnsweredReportsEachSubmission(t *testing.T) {
	for outcome, want := range map[load.Outcome]int{
		load.Answered: 0, load.Failed: 1, load.NotRun: 1, load.Unknown: 1, load.Broken: 1, load.NotSent: 1,
	} {
		var within, outside Result
		report := reportOfSubmissions("entry-a", 150, outcome, load.Answered)
		within.CheckAllAnswered(report, Window{100, 200})
		outside.CheckAllAnswered(report, Window{160, 200})
		assert.Equal(t, len(within.Findings), want, "%s", outcome)
		assert.Equal(t, len(outside.Findings), 0, "%s", outcome)
	}
}

// Guards against checks that pass because a whole service, or the load itself, was down.
func TestCheckServedReportsSilence(t *testing.T) {
	var none, refused, served Result
	none.CheckServed(&load.Report{})
	refused.CheckServed(reportOfSubmissions("entry-a", 1, load.NotRun))
	served.CheckServed(reportOfSubmissions("entry-a", 1, load.Answered))
	assert.Equal(t, len(none.Findings), 1)
	assert.Equal(t, len(refused.Findings), 1)
	assert.Equal(t, len(served.Findings), 0)
}

// Guards against a summary that omits the gap before the first or after the last answer.
func TestSummaryFindsGapsAndDoubt(t *testing.T) {
	at := func(ms int64, outcome load.Outcome) load.Record {
		return load.Record{
			Service: "webshop", Outcomes: []load.Outcome{outcome}, Sent: []int64{ms * 1000}, Intended: ms * 1000, Latency: time.Millisecond,
		}
	}
	s := Summarize(&load.Report{Records: []load.Record{
		at(100, load.Answered), at(10, load.Unknown), at(400, load.Broken), at(130, load.Answered),
	}}, time.Microsecond)
	assert.Equal(t, s.LongestGaps["webshop"], 270*time.Millisecond)
	assert.Equal(t, s.LateAnswers["webshop"], 2)
	assert.Equal(t, s.ByLastOutcome[load.Answered], 2)
	assert.Equal(t, s.FirstInDoubt, int64(10_000))
	assert.Equal(t, s.LastInDoubt, int64(400_000))
}

// Guards against a check that misses a fast failing server which attracts requests, and
// against one that passes without requests.
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
		r.CheckFailingShare(runs(failing), []string{"vm-0"}, Window{100, 200})
		assert.Equal(t, len(r.Findings), want, "%d of 900", failing)
	}
	for failing, want := range map[int]int{0: 0, 50: 0, 51: 1, 100: 1} {
		var r Result
		r.CheckEjected(runs(failing), []string{"vm-0"}, Window{100, 200})
		assert.Equal(t, len(r.Findings), want, "%d of 900", failing)
	}
	before, within := FailingShares(runs(250), []string{"vm-0"}, Window{100, 200})
	assert.Equal(t, fmt.Sprintf("%.3f %.3f", before, within), "0.111 0.278")
	var empty Result
	empty.CheckFailingShare(nil, []string{"vm-0"}, Window{100, 200})
	assert.Equal(t, len(empty.Findings), 1)
}
