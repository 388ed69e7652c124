// Package press measures the throughput and latency of one HTTP address with a
// fixed number of connections, in a closed loop or at a fixed rate.
package press

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options configures a measurement.
type Options struct {
	URL         string
	Connections int
	// Rate is the number of requests a second over all connections. With 0 each connection
	// sends its next request as soon as the previous one is answered.
	Rate   float64
	Warmup time.Duration // Requests in this time are not measured.
	Length time.Duration
	// Keyed selects POST requests with an idempotency key in place of GET requests.
	Keyed bool
}

// Result holds the requests, rate and latency within the measured time.
type Result struct {
	Requests, Failed int64
	PerSecond        float64
	Latency          *hdrhistogram.Histogram // In microseconds. At a fixed rate it counts from the intended start.
}

const (
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	requestTimeout    = 10 * time.Second
)

// Run sends requests for the warm-up time and the measured time, or until ctx ends, and
// returns the result.
func Run(ctx context.Context, o Options) Result {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: o.Connections, MaxConnsPerHost: o.Connections, DisableCompression: true,
	}}
	start := time.Now()
	senders := make([]sender, o.Connections)
	var wait sync.WaitGroup
	for i := range senders {
		senders[i] = sender{options: o, client: client, index: i, start: start, latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
		wait.Go(func() { senders[i].run(ctx) })
	}
	wait.Wait()
	client.CloseIdleConnections()
	result := Result{Latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
	for i := range senders {
		result.Failed += senders[i].failed
		result.Latency.Merge(senders[i].latency)
	}
	result.Requests = result.Latency.TotalCount()
	result.PerSecond = float64(result.Requests) / o.Length.Seconds()
	return result
}

// sender sends the requests of one connection.
type sender struct {
	options Options
	client  *http.Client
	index   int
	start   time.Time
	sent    int
	failed  int64
	latency *hdrhistogram.Histogram
}

func (w *sender) run(ctx context.Context) {
	measureFrom := w.start.Add(w.options.Warmup)
	end := measureFrom.Add(w.options.Length)
	for ctx.Err() == nil {
		intended := w.nextStart()
		if intended.After(end) {
			return
		}
		time.Sleep(time.Until(intended))
		err := w.send(ctx)
		now := time.Now()
		if now.After(end) {
			return
		}
		if intended.Before(measureFrom) {
			continue
		}
		if err != nil {
			w.failed++
			continue
		}
		_ = w.latency.RecordValue(max(1, now.Sub(intended).Microseconds()))
	}
}

// nextStart returns the intended start of the next request. At a fixed rate, the starts of
// all connections are spread evenly.
func (w *sender) nextStart() time.Time {
	if w.options.Rate == 0 {
		return time.Now()
	}
	interval := float64(time.Second) * float64(w.options.Connections) / w.options.Rate
	offset := float64(w.index) / float64(w.options.Connections)
	return w.start.Add(time.Duration((float64(w.sent) + offset) * interval))
}

func (w *sender) send(ctx context.Context) error {
	w.sent++
	method, body := http.MethodGet, io.Reader(nil)
	if w.options.Keyed {
		method, body = http.MethodPost, strings.NewReader(`{"order":1}`)
	}
	request, err := http.NewRequestWithContext(ctx, method, w.options.URL, body)
	if err != nil {
		return err
	}
	if w.options.Keyed {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("press-%d-%d-%d", w.start.UnixNano(), w.index, w.sent))
		request.GetBody = nil
	}
	response, err := w.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
