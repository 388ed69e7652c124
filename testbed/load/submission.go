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

// Outcome is the result of one submission as the caller knows it.
type Outcome string

// Outcomes of a submission.
const (
	Answered Outcome = "answered"  // A complete response with status 2xx.
	Failed   Outcome = "failed"    // An error response of the backend server.
	NotRun   Outcome = "not-run"   // The entry process reports that the request was not run.
	Unknown  Outcome = "unknown"   // The entry process reports that the outcome is unknown.
	Broken   Outcome = "broken"    // The connection failed before a complete response.
	NotSent  Outcome = "not-sent"  // The connection to the entry process was refused.
	Wrong    Outcome = "wrong"     // A response that belongs to another request.
	NoHeader Outcome = "no-header" // A response without the outcome header.
)

// submission is one attempt of a caller to send its request.
type submission struct {
	service, customer, request, key string
	isPost                          bool
}

func (s submission) send(ctx context.Context, client *http.Client, entry string) Outcome {
	method, body := http.MethodGet, io.Reader(nil)
	if s.isPost {
		method, body = http.MethodPost, bytes.NewReader([]byte(`{"order":"`+s.key+`"}`))
	}
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/orders", entry, s.service), body)
	if err != nil {
		return NotSent
	}
	// The client must not replay a request on its own; net/http cannot replay a body without GetBody.
	r.GetBody = nil
	r.Header.Set("Peridotcrank-Customer", s.customer)
	r.Header.Set(backend.HeaderRequest, s.request)
	if s.key != "" {
		// net/http replays requests with an Idempotency-Key header, but does not recognize the
		// header in lower case.
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
	var decoded backend.ResponseBody
	if err := json.Unmarshal(body, &decoded); err != nil || decoded.Request != s.request || decoded.Service != s.service {
		return Wrong
	}
	return Answered
}
