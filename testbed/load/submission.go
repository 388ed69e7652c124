package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"peridotcrank.dev/testbed/backend"
)

const headerOutcome = "Peridotcrank-Outcome"

// Outcome is what a caller was told about one submission.
type Outcome string

// Outcomes of a submission.
const (
	Answered Outcome = "answered"  // Whole answer with status 2xx.
	Failed   Outcome = "failed"    // The backend server's own error.
	NotRun   Outcome = "not-run"   // Told that it was not run.
	Unknown  Outcome = "unknown"   // Told that the outcome is unknown.
	Broken   Outcome = "broken"    // The connection broke without a whole answer.
	NotSent  Outcome = "not-sent"  // The connection to the entry process was refused.
	Wrong    Outcome = "wrong"     // An answer that belongs to another request.
	NoHeader Outcome = "no-header" // A status without the outcome header.
)

// submission is one attempt of a caller.
type submission struct {
	service, customer, request, key string
	post                            bool
}

func (s submission) send(ctx context.Context, client *http.Client, entry string) Outcome {
	method, body := http.MethodGet, io.Reader(nil)
	if s.post {
		method, body = http.MethodPost, bytes.NewReader([]byte(`{"order":"`+s.key+`"}`))
	}
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/orders", entry, s.service), body)
	if err != nil {
		return NotSent
	}
	// The caller itself must not replay: a body without GetBody stops net/http from doing so.
	r.GetBody = nil
	r.Header.Set("Peridotcrank-Customer", s.customer)
	r.Header.Set(backend.HeaderRequest, s.request)
	if s.key != "" {
		// The lower-case key keeps net/http from reading the header as permission to replay.
		r.Header["idempotency-key"] = []string{s.key}
	}
	response, err := client.Do(r)
	if err != nil {
		return transportOutcome(err)
	}
	defer func() { _ = response.Body.Close() }()
	return s.classify(response)
}

func (s submission) classify(response *http.Response) Outcome {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Broken
	}
	switch response.Header.Get(headerOutcome) {
	case "not-run":
		return NotRun
	case "unknown":
		return Unknown
	case "backend-answered":
	default:
		return NoHeader
	}
	if response.StatusCode/100 != 2 {
		return Failed
	}
	var answer backend.Answer
	if err := json.Unmarshal(body, &answer); err != nil || answer.Request != s.request || answer.Service != s.service {
		return Wrong
	}
	return Answered
}
