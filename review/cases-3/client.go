package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// queueConfig is a queue of the operator's configuration.
type queueConfig struct {
	name, host, prefix, service string
	attempts, prio              int
	advised                     bool
}

// configure writes op/config.
func configure(s *store, version int, services []string, queues []queueConfig) {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "rejects-overload": false})
	}
	routes := []map[string]any{}
	for _, q := range queues {
		route := map[string]any{
			"name": q.name, "host": q.host, "prefix": q.prefix, "service": q.service, "timeout-ms": 3000, "slo-ms": 600,
			"prio": q.prio, "attempts": q.attempts, "stretch": 1.6,
		}
		if q.advised {
			route["advice"] = map[string]any{"decide-ms": decideTime.Milliseconds(), "each-ms": eachTime.Milliseconds(), "valid-ms": ticketValid.Milliseconds()}
		}
		routes = append(routes, route)
	}
	data, _ := json.Marshal(map[string]any{"version": version, "services": list, "routes": routes, "limits": map[string]any{"max-body-bytes": 262144}})
	s.put("op", "config", data)
}

// caller sends the requests of a client. Each attempt goes to a process drawn at random.
type caller struct {
	processes []*process
	rec       *recorder
	client    *http.Client
}

func newCaller(processes []*process, rec *recorder) *caller {
	return &caller{processes, rec, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

const clientDeadline = 3 * time.Second

// send sends one request and returns the status, 0 without an answer, and the body.
func (c *caller) send(method string, q queueConfig, path string, body []byte) (int, []byte, string) {
	p := c.processes[rand.IntN(len(c.processes))]
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.callers+q.prefix+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, p.name
	}
	r.Host = q.host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Peridotcrank-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	response, err := c.client.Do(r)
	if err != nil {
		return 0, nil, p.name
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, p.name
	}
	return response.StatusCode, data, p.name
}

// submit hands a job in, with up to the given number of attempts until an end, and reports whether it
// was accepted.
func (c *caller) submit(q queueConfig, j *jobSpec, attempts int, end time.Time) bool {
	body, _ := json.Marshal(j)
	for range attempts {
		if time.Now().After(end) {
			return false
		}
		status, _, name := c.send(http.MethodPost, q, j.id, body)
		c.rec.printf("POST %s at %s -> %d", j.id, name, status)
		switch {
		case status/100 == 2:
			return true
		case status == 429 || status == 503:
			time.Sleep(time.Second)
		case status == 400 || status == 404 || status == 409 || status == 413:
			return false
		default:
			time.Sleep(200 * time.Millisecond)
		}
	}
	return false
}

// state asks for the state of a job once; it is empty without an answer, and "gone" after 410.
func (c *caller) state(q queueConfig, id string) string {
	status, data, name := c.send(http.MethodGet, q, id, nil)
	var body struct {
		State string `json:"state"`
	}
	switch {
	case status == http.StatusGone:
		c.rec.printf("GET %s at %s -> 410", id, name)
		return "gone"
	case status != http.StatusOK || json.Unmarshal(data, &body) != nil:
		c.rec.printf("GET %s at %s -> %d", id, name, status)
		return ""
	}
	return body.State
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
