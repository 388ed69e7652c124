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

// balancer is a stand-in for the platform's load balancer. It distributes requests round
// robin over the entry processes whose readiness probe succeeds.
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

// probeLoop probes all entry processes at each probe interval until ctx ends.
func (b *balancer) probeLoop(ctx context.Context) {
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

// pickEntry returns the next ready entry process other than avoid, or the first ready one
// when there is no other.
func (b *balancer) pickEntry(avoid string) string {
	ready := *b.ready.Load()
	for range ready {
		entry := ready[b.next.Add(1)%uint64(len(ready))]
		if entry != avoid {
			return entry
		}
	}
	return ready[0]
}
