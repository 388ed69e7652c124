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

// Record is what one caller saw.
type Record struct {
	Service  string        `json:"service"`
	Key      string        `json:"key,omitempty"`
	Request  string        `json:"request"`
	Outcomes []Outcome     `json:"outcomes"` // One for each submission.
	Entries  []string      `json:"entries"`  // Entry process that each submission was sent to.
	Sent     []int64       `json:"sent_us"`  // Time of each submission, in microseconds since the Unix epoch.
	Intended int64         `json:"intended_us"`
	Latency  time.Duration `json:"latency_ns"` // From the intended start to the last outcome.
}

// Last returns the outcome of the last submission.
func (r Record) Last() Outcome { return r.Outcomes[len(r.Outcomes)-1] }

// Ended returns the time of the last outcome, in microseconds since the Unix epoch.
func (r Record) Ended() int64 { return r.Intended + r.Latency.Microseconds() }

// SubmissionRequest returns the request identity that the backend server sees
// for a submission, counted from 0.
func (r Record) SubmissionRequest(submission int) string {
	return fmt.Sprintf("%s-%d", r.Request, submission)
}

// Report is the result of a run.
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

func (r *Report) add(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Records = append(r.Records, record)
	if record.Last() == Answered {
		_ = r.latency[record.Service].RecordValue(max(1, record.Latency.Microseconds()))
	}
}

// Count returns the number of records of a service whose last outcome is one of the given ones.
func (r *Report) Count(service string, outcomes ...Outcome) int {
	n := 0
	for _, record := range r.Records {
		if record.Service == service && slices.Contains(outcomes, record.Last()) {
			n++
		}
	}
	return n
}

// Print writes the table of requests by outcome. Availability is the share of
// requests that were answered.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "service\trequests\tanswered\tfailed\tnot run\tunknown\tbroken\twrong\tavailability\tp50 ms\tp99 ms\tp99.9 ms")
	for _, service := range r.services {
		answered := r.Count(service, Answered)
		others := []int{
			r.Count(service, Failed), r.Count(service, NotRun), r.Count(service, Unknown),
			r.Count(service, Broken, NotSent), r.Count(service, Wrong, NoHeader),
		}
		total := answered
		for _, n := range others {
			total += n
		}
		h := r.latency[service]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.5f\t%.1f\t%.1f\t%.1f\n", service, total, answered,
			others[0], others[1], others[2], others[3], others[4], float64(answered)/float64(max(1, total)),
			millis(h, 50), millis(h, 99), millis(h, 99.9))
	}
	return t.Flush()
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
