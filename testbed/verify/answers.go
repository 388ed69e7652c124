package verify

import (
	"sort"
	"time"

	"peridotcrank.dev/testbed/load"
)

// maxUnansweredDetails is the maximum number of findings with details on submissions that
// were not answered.
const maxUnansweredDetails = 20

// CheckAllAnswered reports each submission sent within the window that was not answered,
// even when a later submission of the same key was.
func (r *Result) CheckAllAnswered(report *load.Report, w Window) {
	unanswered := 0
	for _, record := range report.Records {
		for i, outcome := range record.Outcomes {
			if outcome == load.Answered || !w.Contains(record.Sent[i]) {
				continue
			}
			if unanswered++; unanswered <= maxUnansweredDetails {
				r.addFinding("every request is answered", "submission %s to %s at %s was %s", record.SubmissionRequest(i),
					record.Entries[i], time.UnixMicro(record.Sent[i]).UTC().Format("15:04:05.000"), outcome)
			}
		}
	}
	if unanswered > maxUnansweredDetails {
		r.addFinding("every request is answered", "%d submissions in all", unanswered)
	}
}

// CheckServed reports each service without an answered request, and a report without requests.
func (r *Result) CheckServed(report *load.Report) {
	answered := make(map[string]int)
	for _, record := range report.Records {
		n := 0
		if record.LastOutcome() == load.Answered {
			n = 1
		}
		answered[record.Service] += n
	}
	if len(answered) == 0 {
		r.addFinding("services are served", "the report holds no request")
	}
	for service, n := range answered {
		if n == 0 {
			r.addFinding("services are served", "service %s answered nothing", service)
		}
	}
}

// Summary counts the outcomes that callers received.
type Summary struct {
	// ByLastOutcome counts requests by the outcome of their last submission.
	// BySubmissionOutcome counts all submissions by their outcome.
	ByLastOutcome, BySubmissionOutcome map[load.Outcome]int
	// LongestGaps is the longest time without an answered request, by service.
	LongestGaps map[string]time.Duration
	// LateAnswers counts requests answered later than the timeout of their service, by service.
	LateAnswers map[string]int
	// FirstInDoubt and LastInDoubt are the first and the last submission without a known
	// outcome, in microseconds since the Unix epoch; 0 when there is none.
	FirstInDoubt, LastInDoubt int64
}

// Summarize returns the summary of a report. Answers later than timeout count as late.
func Summarize(report *load.Report, timeout time.Duration) Summary {
	s := Summary{
		ByLastOutcome: make(map[load.Outcome]int), BySubmissionOutcome: make(map[load.Outcome]int), LateAnswers: make(map[string]int),
		LongestGaps: longestGaps(report),
	}
	for _, record := range report.Records {
		s.ByLastOutcome[record.LastOutcome()]++
		if record.LastOutcome() == load.Answered && record.Latency > timeout {
			s.LateAnswers[record.Service]++
		}
		for i, outcome := range record.Outcomes {
			s.BySubmissionOutcome[outcome]++
			if outcome == load.Unknown || outcome == load.Broken {
				s.addInDoubt(record.Sent[i])
			}
		}
	}
	return s
}

func (s *Summary) addInDoubt(at int64) {
	if s.FirstInDoubt == 0 || at < s.FirstInDoubt {
		s.FirstInDoubt = at
	}
	s.LastInDoubt = max(s.LastInDoubt, at)
}

// longestGaps returns the longest time without an answer of each service, between its first
// request and the end of its last one.
func longestGaps(report *load.Report) map[string]time.Duration {
	answers := make(map[string][]int64)
	first, last := make(map[string]int64), make(map[string]int64)
	for _, record := range report.Records {
		service := record.Service
		if at, known := first[service]; !known || record.Intended < at {
			first[service] = record.Intended
		}
		last[service] = max(last[service], record.EndTime())
		if record.LastOutcome() == load.Answered {
			answers[service] = append(answers[service], record.EndTime())
		}
	}
	longest := make(map[string]time.Duration)
	for service, from := range first {
		times := append(answers[service], last[service])
		sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
		for _, at := range times {
			longest[service] = max(longest[service], time.Duration(at-from)*time.Microsecond)
			from = at
		}
	}
	return longest
}
