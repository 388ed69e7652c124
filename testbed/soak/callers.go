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
	id        job.ID
	workspace int
	tasks     int
	accepted  bool
	// refused is set when every attempt was refused with status 429 or 503, and when the
	// key never existed.
	refused bool
}

// newSubmission returns a job of a random workspace, which is the first digit of its ID.
func newSubmission(rng *rand.Rand) *submission {
	workspace := rng.IntN(workspaceCount)
	return &submission{id: job.ID(fmt.Sprintf("%x%015x", workspace, rng.Uint64()>>4)), workspace: workspace, tasks: 1 + rng.IntN(4)}
}

// workspaceOf returns the workspace of a job by its ID.
func workspaceOf(id job.ID) int { return int(id[0] - '0') }

// callers submit jobs, keep the results and record violations of the guarantees.
type callers struct {
	run    *run
	client *http.Client

	mu   sync.Mutex
	jobs []*submission
	// accepted lists the jobs whose submission was accepted so far.
	accepted []job.ID
	// violations describes the broken guarantees that callers have observed.
	violations []string
}

const (
	requestTimeout = 3 * time.Second
	maxAttempts    = 4
	retryPause     = 300 * time.Millisecond
	taskCPU        = 500 // Thousandths of a core.
	taskMemoryMB   = 100
	// unknownKeyInterval is one more than the number of jobs with a valid key between two
	// without.
	unknownKeyInterval = 8
	// repeatInterval is the number of submissions for each repeated call, on average.
	repeatInterval = 4
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
		c.run.awaitLoad(ctx)
		s := newSubmission(rng)
		c.mu.Lock()
		c.jobs = append(c.jobs, s)
		c.mu.Unlock()
		if c.run.keys != nil && n%unknownKeyInterval == unknownKeyInterval-1 {
			c.submitWithUnknownKey(s, rng)
		} else {
			c.submitWithRetries(s, rng)
		}
		c.repeatCalls(rng)
		pause(ctx, time.Duration(rng.IntN(150))*time.Millisecond)
	}
}

// repeatCalls sends the submission of an accepted job again, as late copies do, and asks for
// the state of another one.
func (c *callers) repeatCalls(rng *rand.Rand) {
	if id, ok := c.randomAccepted(rng); ok && rng.IntN(repeatInterval) == 0 {
		c.sendRequest(rng, http.MethodPost, id, c.run.keys.valid(workspaceOf(id), rng), jobBody(id, 1))
	}
	if id, ok := c.randomAccepted(rng); ok && rng.IntN(repeatInterval) == 0 {
		if status, _ := c.sendRequest(rng, http.MethodGet, id, c.run.keys.valid(workspaceOf(id), rng), nil); status == http.StatusGone {
			c.recordViolation("job %s was accepted, but its status is gone", id)
		}
	}
}

// jobBody returns the body of a submission.
func jobBody(id job.ID, tasks int) []byte {
	steps := []map[string]any{
		{"count": tasks, "cpu": taskCPU, "mem-mb": taskMemoryMB, "est-ms": 300},
		{"count": 1, "cpu": taskCPU, "mem-mb": taskMemoryMB, "est-ms": 300, "after": []int{0}},
	}
	body, err := json.Marshal(map[string]any{"spec": string(id), "steps": steps})
	if err != nil {
		panic(err) // Only values that JSON supports are encoded.
	}
	return body
}

// submitWithUnknownKey submits a job with a key that no configuration has. The job must
// not run, whatever the response.
func (c *callers) submitWithUnknownKey(s *submission, rng *rand.Rand) {
	c.sendRequest(rng, http.MethodPost, s.id, unknownKey, jobBody(s.id, s.tasks))
	s.refused = true
}

func (c *callers) submitWithRetries(s *submission, rng *rand.Rand) {
	body := jobBody(s.id, s.tasks)
	refusals := 0
	for range maxAttempts {
		status, _ := c.sendRequest(rng, http.MethodPost, s.id, c.run.keys.valid(s.workspace, rng), body)
		switch {
		case isSuccess(status):
			c.mu.Lock()
			s.accepted = true
			c.accepted = append(c.accepted, s.id)
			c.mu.Unlock()
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			refusals++
		case status == http.StatusNotFound || status == http.StatusBadRequest || status == http.StatusConflict:
			c.recordViolation("job %s got status %d", s.id, status)
			return
		}
		time.Sleep(retryPause)
	}
	s.refused = refusals == maxAttempts
}

// sendRequest sends a request to a random process, checks that the status is allowed for
// the key, and returns status and body. The status is 0 when no complete response arrives.
func (c *callers) sendRequest(rng *rand.Rand, method string, id job.ID, key string, body []byte) (int, []byte) {
	p := c.run.processes[rng.IntN(len(c.run.processes))]
	request, err := http.NewRequest(method, "http://"+p.callersAddress+poolPath(c.run.poolOf(id))+string(id), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	sent := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if fault := c.run.keys.checkStatus(key, sent, response.StatusCode); fault != "" {
		c.recordViolation("%s of job %s at %s: %s", method, id, p.name, fault)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// awaitCompletion waits until all accepted jobs are completed, and records a violation for each
// that is not before the limit. It also checks that no refused job ran.
func (c *callers) awaitCompletion(limit time.Duration, seed uint64) {
	deadline := time.Now().Add(limit)
	var group sync.WaitGroup
	for n := range completionCheckers {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(99+n)))
			for i := n; i < len(c.jobs); i += completionCheckers {
				c.awaitJob(c.jobs[i], deadline, rng)
			}
		})
	}
	group.Wait()
}

// awaitJob waits until a job is completed if it was accepted, and checks that it did not run
// if it was refused.
func (c *callers) awaitJob(s *submission, deadline time.Time, rng *rand.Rand) {
	for s.accepted {
		status, data := c.sendRequest(rng, http.MethodGet, s.id, c.run.keys.valid(s.workspace, rng), nil)
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

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
