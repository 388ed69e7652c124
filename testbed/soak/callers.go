package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"peridotcrank.dev/jobs/job"
)

// submission is a job as its caller knows it.
type submission struct {
	id       job.ID
	tasks    int
	accepted bool
	// refused is set when each attempt was answered with a refusal.
	refused bool
}

// callers send jobs and keep what they were told.
type callers struct {
	run    *run
	client *http.Client

	mu   sync.Mutex
	jobs []*submission
	// broken are answers that no caller may get.
	broken []string
}

const (
	callTimeout   = 3 * time.Second
	retryAttempts = 4
	retryPause    = 300 * time.Millisecond
)

func newCallers(r *run) *callers {
	return &callers{run: r, client: &http.Client{Timeout: callTimeout}}
}

func (c *callers) breach(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// send submits jobs until ctx ends.
func (c *callers) send(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		s := &submission{id: job.ID(fmt.Sprintf("%016x", rng.Uint64())), tasks: 1 + rng.IntN(4)}
		c.mu.Lock()
		c.jobs = append(c.jobs, s)
		c.mu.Unlock()
		c.submit(s, rng)
		pause(ctx, time.Duration(rng.IntN(150))*time.Millisecond)
	}
}

func (c *callers) submit(s *submission, rng *rand.Rand) {
	steps := []map[string]any{
		{"count": s.tasks, "cpu": 500, "mem-mb": 100, "est-ms": 300},
		{"count": 1, "cpu": 500, "mem-mb": 100, "est-ms": 300, "after": []int{0}},
	}
	body, err := json.Marshal(map[string]any{"spec": string(s.id), "steps": steps})
	if err != nil {
		c.breach("encode job: %v", err)
		return
	}
	refusals := 0
	for range retryAttempts {
		status, _ := c.call(rng, http.MethodPost, s.id, body)
		switch {
		case status == http.StatusOK:
			s.accepted = true
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			refusals++
		case status == http.StatusNotFound || status == http.StatusBadRequest:
			c.breach("job %s got status %d", s.id, status)
			return
		}
		time.Sleep(retryPause)
	}
	s.refused = refusals == retryAttempts
}

// call sends a request to any process and returns the status, or 0 without an answer.
func (c *callers) call(rng *rand.Rand, method string, id job.ID, body []byte) (int, []byte) {
	p := c.run.processes[rng.IntN(len(c.run.processes))]
	request, err := http.NewRequest(method, "http://"+p.callers+prefix+string(id), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// settle waits until all accepted jobs are completed, and checks the refused ones.
func (c *callers) settle(limit time.Duration, rng *rand.Rand) {
	deadline := time.Now().Add(limit)
	for _, s := range c.jobs {
		for s.accepted {
			status, data := c.call(rng, http.MethodGet, s.id, nil)
			if status == http.StatusOK && bytes.Contains(data, []byte(`"completed"`)) {
				break
			}
			if status == http.StatusGone {
				c.breach("job %s was accepted and is not known", s.id)
				break
			}
			if time.Now().After(deadline) {
				c.breach("job %s was accepted and is not completed: status %d %s", s.id, status, data)
				break
			}
			time.Sleep(retryPause)
		}
		if starts := c.run.platform.Fleet.Starts(job.TaskRef{Job: s.id}); s.refused && starts > 0 {
			c.breach("job %s was refused and ran", s.id)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
