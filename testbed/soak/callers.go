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

// submission is a job with the result of its submission as the caller knows it.
type submission struct {
	id       job.ID
	tasks    int
	accepted bool
	// refused is set when every attempt was refused with status 429 or 503.
	refused bool
}

// callers submit jobs, keep the results and record violations of the guarantees.
type callers struct {
	run    *run
	client *http.Client

	mu   sync.Mutex
	jobs []*submission
	// violations describes the broken guarantees that callers have observed.
	violations []string
}

const (
	requestTimeout = 3 * time.Second
	maxAttempts    = 4
	retryPause     = 300 * time.Millisecond
)

func newCallers(r *run) *callers {
	return &callers{run: r, client: &http.Client{Timeout: requestTimeout}}
}

func (c *callers) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// submitJobs submits jobs until ctx ends.
func (c *callers) submitJobs(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		s := &submission{id: job.ID(fmt.Sprintf("%016x", rng.Uint64())), tasks: 1 + rng.IntN(4)}
		c.mu.Lock()
		c.jobs = append(c.jobs, s)
		c.mu.Unlock()
		c.submitWithRetries(s, rng)
		pause(ctx, time.Duration(rng.IntN(150))*time.Millisecond)
	}
}

func (c *callers) submitWithRetries(s *submission, rng *rand.Rand) {
	steps := []map[string]any{
		{"count": s.tasks, "cpu": 500, "mem-mb": 100, "est-ms": 300},
		{"count": 1, "cpu": 500, "mem-mb": 100, "est-ms": 300, "after": []int{0}},
	}
	body, err := json.Marshal(map[string]any{"spec": string(s.id), "steps": steps})
	if err != nil {
		c.recordViolation("encode job: %v", err)
		return
	}
	refusals := 0
	for range maxAttempts {
		status, _ := c.sendRequest(rng, http.MethodPost, s.id, body)
		switch {
		case status == http.StatusOK:
			s.accepted = true
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			refusals++
		case status == http.StatusNotFound || status == http.StatusBadRequest:
			c.recordViolation("job %s got status %d", s.id, status)
			return
		}
		time.Sleep(retryPause)
	}
	s.refused = refusals == maxAttempts
}

// sendRequest sends a request to a random process and returns status and body. The status
// is 0 when no complete response arrives.
func (c *callers) sendRequest(rng *rand.Rand, method string, id job.ID, body []byte) (int, []byte) {
	p := c.run.processes[rng.IntN(len(c.run.processes))]
	request, err := http.NewRequest(method, "http://"+p.callersAddress+prefix+string(id), bytes.NewReader(body))
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

// awaitCompletion waits until all accepted jobs are completed, and records a violation for each
// that is not before the limit. It also checks that no refused job ran.
func (c *callers) awaitCompletion(limit time.Duration, rng *rand.Rand) {
	deadline := time.Now().Add(limit)
	for _, s := range c.jobs {
		for s.accepted {
			status, data := c.sendRequest(rng, http.MethodGet, s.id, nil)
			if status == http.StatusOK && bytes.Contains(data, []byte(`"completed"`)) {
				break
			}
			if status == http.StatusGone {
				c.recordViolation("job %s was accepted, but its status is gone", s.id)
				break
			}
			if time.Now().After(deadline) {
				c.recordViolation("job %s was accepted, but is not completed: status %d %s", s.id, status, data)
				break
			}
			time.Sleep(retryPause)
		}
		if starts := c.run.platform.Fleet.Starts(job.TaskRef{Job: s.id}); s.refused && starts > 0 {
			c.recordViolation("job %s was refused, but ran", s.id)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
