package load

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Record holds the submissions of one request and their outcomes.
type Record struct {
	Service  string        `json:"service"`
	Key      string        `json:"key,omitempty"`
	Request  string        `json:"request"`
	Outcomes []Outcome     `json:"outcomes"` // One for each submission.
	Entries  []string      `json:"entries"`  // Entry process of each submission.
	Sent     []int64       `json:"sent_us"`  // Time of each submission, in microseconds since the Unix epoch.
	Intended int64         `json:"intended_us"`
	Latency  time.Duration `json:"latency_ns"` // From the intended start to the last outcome.
}

// LastOutcome returns the outcome of the last submission, which is the result of the request.
func (r Record) LastOutcome() Outcome { return r.Outcomes[len(r.Outcomes)-1] }

// EndTime returns the time of the last outcome, in microseconds since the Unix epoch.
func (r Record) EndTime() int64 { return r.Intended + r.Latency.Microseconds() }

// SubmissionRequest returns the request ID that the backend server receives with a
// submission. Submissions are numbered from 0.
func (r Record) SubmissionRequest(submission int) string {
	return fmt.Sprintf("%s-%d", r.Request, submission)
}

// Report holds the records and latencies of a load run.
type Report struct {
	Site    string   `json:"site"`
	Seed    uint64   `json:"seed"`
	Records []Record `json:"records"`

	mu       sync.Mutex
	services []string
	latency  map[string]*hdrhistogram.Histogram
}

const (
	histogramMaxMicros = 60_000_000
	histogramDigits    = 3
)

func newReport(o Options, services []string) *Report {
	r := &Report{Site: o.Site.Name, Seed: o.Seed, services: services, latency: make(map[string]*hdrhistogram.Histogram)}
	for _, service := range services {
		r.latency[service] = hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	}
	return r
}

func (r *Report) addRecord(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Records = append(r.Records, record)
	if record.LastOutcome() == Answered {
		_ = r.latency[record.Service].RecordValue(max(1, record.Latency.Microseconds()))
	}
}

// Count returns the number of requests to a service whose last outcome is one of outcomes.
func (r *Report) Count(service string, outcomes ...Outcome) int {
	n := 0
	for _, record := range r.Records {
		if record.Service == service && slices.Contains(outcomes, record.LastOutcome()) {
			n++
		}
	}
	return n
}

// Print writes a table with the requests of each service by last outcome. Availability is
// the share of requests whose last outcome is Answered.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "service\trequests\tanswered\tfailed\tnot run\tunknown\tbroken\twrong\tavailability\tp50 ms\tp99 ms\tp99.9 ms")
	for _, service := range r.services {
		answered := r.Count(service, Answered)
		unanswered := []int{
			r.Count(service, Failed), r.Count(service, NotRun), r.Count(service, Unknown),
			r.Count(service, Broken, NotSent), r.Count(service, Wrong, NoHeader),
		}
		total := answered
		for _, n := range unanswered {
			total += n
		}
		h := r.latency[service]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.5f\t%.1f\t%.1f\t%.1f\n", service, total, answered,
			unanswered[0], unanswered[1], unanswered[2], unanswered[3], unanswered[4], float64(answered)/float64(max(1, total)),
			quantileMillis(h, 50), quantileMillis(h, 99), quantileMillis(h, 99.9))
	}
	return t.Flush()
}

func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
