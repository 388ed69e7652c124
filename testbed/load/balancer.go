package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	readyPath     = "/-/ready"
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
)

// balancer is a stand-in for the platform's balancer: it spreads requests in
// turn over the entry processes whose readiness probe succeeds.
type balancer struct {
	client  *http.Client
	entries []string
	ready   atomic.Pointer[[]string]
	next    atomic.Uint64
}

func newBalancer(entries []string) *balancer {
	b := &balancer{client: &http.Client{Timeout: probeTimeout}, entries: entries}
	b.ready.Store(&entries)
	return b
}

// run probes all entry processes until ctx ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		b.probeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) probeAll(ctx context.Context) {
	results := make([]bool, len(b.entries))
	done := make(chan struct{}, len(b.entries))
	for i, entry := range b.entries {
		go func() {
			results[i] = b.probe(ctx, entry)
			done <- struct{}{}
		}()
	}
	for range b.entries {
		<-done
	}
	var ready []string
	for i, ok := range results {
		if ok {
			ready = append(ready, b.entries[i])
		}
	}
	if len(ready) > 0 {
		b.ready.Store(&ready)
	}
}

func (b *balancer) probe(ctx context.Context, entry string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+readyPath, nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns the next ready entry process that differs from avoid, if there is one.
func (b *balancer) pick(avoid string) string {
	ready := *b.ready.Load()
	for range ready {
		entry := ready[b.next.Add(1)%uint64(len(ready))]
		if entry != avoid {
			return entry
		}
	}
	return ready[0]
}
