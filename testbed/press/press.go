// Package press measures throughput and latency of one HTTP address with a
// fixed number of connections, closed-loop or at a fixed rate.
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
	// Rate is the number of requests a second over all connections; 0 sends the
	// next request as soon as the former one is answered.
	Rate   float64
	Warmup time.Duration // Not measured.
	Length time.Duration
	// Keyed sends POST requests with an idempotency key, otherwise GET.
	Keyed bool
}

// Result is what was measured.
type Result struct {
	Requests, Failed int64
	PerSecond        float64
	Latency          *hdrhistogram.Histogram // Microseconds; from the intended start at a fixed rate.
}

const (
	maxMicros = 60_000_000
	digits    = 3
	timeout   = 10 * time.Second
)

// Run measures an address.
func Run(ctx context.Context, o Options) Result {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: o.Connections, MaxConnsPerHost: o.Connections, DisableCompression: true,
	}}
	start := time.Now()
	workers := make([]worker, o.Connections)
	var wait sync.WaitGroup
	for i := range workers {
		workers[i] = worker{options: o, client: client, index: i, start: start, latency: hdrhistogram.New(1, maxMicros, digits)}
		wait.Go(func() { workers[i].run(ctx) })
	}
	wait.Wait()
	client.CloseIdleConnections()
	result := Result{Latency: hdrhistogram.New(1, maxMicros, digits)}
	for i := range workers {
		result.Failed += workers[i].failed
		result.Latency.Merge(workers[i].latency)
	}
	result.Requests = result.Latency.TotalCount()
	result.PerSecond = float64(result.Requests) / o.Length.Seconds()
	return result
}

// worker sends the requests of one connection.
type worker struct {
	options Options
	client  *http.Client
	index   int
	start   time.Time
	sent    int
	failed  int64
	latency *hdrhistogram.Histogram
}

func (w *worker) run(ctx context.Context) {
	measured := w.start.Add(w.options.Warmup)
	end := measured.Add(w.options.Length)
	for ctx.Err() == nil {
		intended := w.next()
		if intended.After(end) {
			return
		}
		time.Sleep(time.Until(intended))
		err := w.send(ctx)
		now := time.Now()
		if now.After(end) {
			return
		}
		if intended.Before(measured) {
			continue
		}
		if err != nil {
			w.failed++
			continue
		}
		_ = w.latency.RecordValue(max(1, now.Sub(intended).Microseconds()))
	}
}

// next returns the intended start of the next request.
func (w *worker) next() time.Time {
	if w.options.Rate == 0 {
		return time.Now()
	}
	interval := float64(time.Second) * float64(w.options.Connections) / w.options.Rate
	offset := float64(w.index) / float64(w.options.Connections)
	return w.start.Add(time.Duration((float64(w.sent) + offset) * interval))
}

func (w *worker) send(ctx context.Context) error {
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
