package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"peridotcrank.dev/testbed/site"
)

// Options configures a load run.
type Options struct {
	Site        site.Site
	Entries     []string // Addresses of the entry processes for callers.
	ServiceTime time.Duration
	// Surge is the length of each surge. With 0 the run sends the mean load for Length.
	Surge  time.Duration
	Length time.Duration
	// Scale multiplies all rates. Default 1.
	Scale float64
	// OrderShare is the share of non-idempotent requests. Default 0.5.
	OrderShare float64
	// Resubmissions is the maximum number of times that a caller sends the same key again
	// while the outcome is in doubt. Default 2.
	Resubmissions int
	Seed          uint64
}

const (
	callerTimeout      = 4 * time.Second
	maxIdleConnections = 512
	resubmissionDelay  = 100 * time.Millisecond
	customerCount      = 40
)

// Run sends the load and returns the outcomes that callers received. When ctx ends it
// starts no new request and waits for those in progress.
func Run(ctx context.Context, o Options) *Report {
	requestCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	b := newBalancer(o.Entries)
	b.probeAll(requestCtx)
	go b.probeLoop(requestCtx)

	rng := rand.New(rand.NewPCG(o.Seed, 2))
	var services []string
	for _, service := range o.Site.Services() {
		services = append(services, string(service.Name))
	}
	phases := surgePhases(o.Site, o.ServiceTime, o.Surge, o.Scale)
	if o.Surge == 0 {
		phases = steadyPhases(o.Site, o.ServiceTime, o.Length, o.Scale)
	}
	r := &loadRun{options: o, balancer: b, report: newReport(o, services), client: &http.Client{
		Timeout:   callerTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxIdleConns: 0},
	}}
	r.sendArrivals(ctx, requestCtx, drawArrivals(phases, services, rng), rng)
	return r.report
}

type loadRun struct {
	options  Options
	balancer *balancer
	client   *http.Client
	report   *Report
	inFlight sync.WaitGroup
}

func (r *loadRun) sendArrivals(ctx, requestCtx context.Context, arrivals []arrival, rng *rand.Rand) {
	start := time.Now()
	for i, a := range arrivals {
		pause(ctx, time.Until(start.Add(a.at)))
		if ctx.Err() != nil {
			break
		}
		s := submission{
			service:  a.service,
			customer: fmt.Sprintf("customer-%02d", rng.IntN(customerCount)),
			request:  fmt.Sprintf("%d-%d", r.options.Seed, i),
			isPost:   rng.Float64() < r.options.OrderShare,
		}
		if s.isPost {
			s.key = "order-" + s.request
		}
		r.inFlight.Add(1)
		go func() {
			defer r.inFlight.Done()
			r.sendWithResubmissions(requestCtx, s, start.Add(a.at))
		}()
	}
	r.inFlight.Wait()
}

// pause sleeps for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sendWithResubmissions sends a request and records its outcomes. While the outcome is in
// doubt, it sends the same key again through another entry process.
func (r *loadRun) sendWithResubmissions(ctx context.Context, s submission, intended time.Time) {
	record := Record{Service: s.service, Key: s.key, Request: s.request, Intended: intended.UnixMicro()}
	entry := ""
	for attempt := 0; ; attempt++ {
		entry = r.balancer.pickEntry(entry)
		sent := s
		sent.request = record.SubmissionRequest(attempt)
		record.Entries = append(record.Entries, entry)
		record.Sent = append(record.Sent, time.Now().UnixMicro())
		outcome := sent.send(ctx, r.client, entry)
		record.Outcomes = append(record.Outcomes, outcome)
		inDoubt := outcome == Unknown || outcome == Broken || outcome == NotSent
		if !inDoubt || attempt >= r.options.Resubmissions || (s.isPost && s.key == "") {
			break
		}
		time.Sleep(resubmissionDelay)
	}
	record.Latency = time.Since(intended)
	r.report.addRecord(record)
}

// transportOutcome returns NotSent for a refused connection and Broken for one that failed later.
func transportOutcome(err error) Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED) {
		return NotSent
	}
	return Broken
}
