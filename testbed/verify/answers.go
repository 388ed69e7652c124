package verify

import (
	"sort"
	"time"

	"peridotcrank.dev/testbed/load"
)

// maxUnansweredDetails bounds the findings on submissions without an answer.
const maxUnansweredDetails = 20

// CheckAllAnswered reports submissions sent within the window that were not
// answered, also when a later submission of the same key was.
func (r *Result) CheckAllAnswered(report *load.Report, w Window) {
	unanswered := 0
	for _, record := range report.Records {
		for i, outcome := range record.Outcomes {
			if outcome == load.Answered || !w.Contains(record.Sent[i]) {
				continue
			}
			if unanswered++; unanswered <= maxUnansweredDetails {
				r.add("every request is answered", "submission %s to %s at %s was %s", record.SubmissionRequest(i),
					record.Entries[i], time.UnixMicro(record.Sent[i]).UTC().Format("15:04:05.000"), outcome)
			}
		}
	}
	if unanswered > maxUnansweredDetails {
		r.add("every request is answered", "%d submissions in all", unanswered)
	}
}

// CheckServed reports a service without any answer.
func (r *Result) CheckServed(report *load.Report) {
	answered := make(map[string]int)
	for _, record := range report.Records {
		n := 0
		if record.Last() == load.Answered {
			n = 1
		}
		answered[record.Service] += n
	}
	if len(answered) == 0 {
		r.add("services are served", "the report holds no request")
	}
	for service, n := range answered {
		if n == 0 {
			r.add("services are served", "service %s answered nothing", service)
		}
	}
}

// Summary describes what callers saw.
type Summary struct {
	// Last counts requests by the outcome of their last submission, Submissions counts each submission.
	Last, Submissions map[load.Outcome]int
	// Gaps is the longest time without an answered request, by service.
	Gaps map[string]time.Duration
	// Late counts requests answered later than the timeout of their service, by service.
	Late map[string]int
	// DoubtFrom and DoubtTo are the first and the last submission without a known
	// outcome, in microseconds since the Unix epoch; 0 when there is none.
	DoubtFrom, DoubtTo int64
}

// Summarize returns what callers saw, with the given timeout of the services.
func Summarize(report *load.Report, timeout time.Duration) Summary {
	s := Summary{
		Last: make(map[load.Outcome]int), Submissions: make(map[load.Outcome]int), Late: make(map[string]int),
		Gaps: gaps(report),
	}
	for _, record := range report.Records {
		s.Last[record.Last()]++
		if record.Last() == load.Answered && record.Latency > timeout {
			s.Late[record.Service]++
		}
		for i, outcome := range record.Outcomes {
			s.Submissions[outcome]++
			if outcome == load.Unknown || outcome == load.Broken {
				s.doubt(record.Sent[i])
			}
		}
	}
	return s
}

func (s *Summary) doubt(at int64) {
	if s.DoubtFrom == 0 || at < s.DoubtFrom {
		s.DoubtFrom = at
	}
	s.DoubtTo = max(s.DoubtTo, at)
}

// gaps returns the longest time between two answers of each service, from its
// first request to the end of the last one.
func gaps(report *load.Report) map[string]time.Duration {
	answers := make(map[string][]int64)
	first, last := make(map[string]int64), make(map[string]int64)
	for _, record := range report.Records {
		service := record.Service
		if at, known := first[service]; !known || record.Intended < at {
			first[service] = record.Intended
		}
		last[service] = max(last[service], record.Ended())
		if record.Last() == load.Answered {
			answers[service] = append(answers[service], record.Ended())
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
