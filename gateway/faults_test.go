package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/limits/retry"
)

var brokenFaults = []fault{closesUnread, closesAfterHeader, closesAfterBody, closesMidAnswer, answersOverlong}

// Guards against a request that runs twice and against a wrong outcome. The first
// backend server fails each request at one point, on a fresh and on a reused
// connection. A non-idempotent request must not be sent again; an idempotent one
// must be retried on the other rack.
func TestNoReplayAfterAByteWasWritten(t *testing.T) {
	for _, f := range brokenFaults {
		for i := range 3 * 2 * 2 * 2 {
			method, reused := []string{"GET", "PUT", "POST"}[i%3], i/3%2 == 1
			body, key := []string{"", "payload"}[i/6%2], []string{"", "k1"}[i/12]
			t.Run(fmt.Sprintf("%s/reused=%t/%s/body=%q/key=%q", f, reused, method, body, key), func(t *testing.T) {
				checkFault(t, f, reused, method, body, key)
			})
		}
	}
}

func checkFault(t *testing.T, f fault, reused bool, method, body, key string) {
	first, second := newBackend(t), newBackend(t)
	s := startTestGateway(t, nil, first, second)
	if reused {
		resp, _, err := send(t, "GET", s.url+"/warm-up", "")
		assert.NilError(t, err)
		assert.Equal(t, outcome(resp), OutcomeAnswered)
	}
	first.setFault(f)
	var header []string
	if key != "" {
		header = []string{HeaderIdempotencyKey, key}
	}
	resp, answer, err := send(t, method, s.url+"/order", body, header...)
	assert.NilError(t, err)
	arrived := 1
	if f == closesUnread {
		arrived = 0
	}
	assert.Equal(t, first.count("/order"), arrived)
	if method == "POST" {
		assert.Equal(t, second.count("/order"), 0)
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		assert.Equal(t, outcome(resp), OutcomeUnknown)
	} else {
		assert.Equal(t, second.count("/order"), 1)
		assert.Equal(t, answer, "/order "+body)
		assert.Equal(t, outcome(resp), OutcomeAnswered)
	}
	assert.Equal(t, s.InFlight("vm0", 1)+s.InFlight("vm1", 1), 0)
	if method == "POST" && key != "" {
		resp, _, _ = send(t, method, s.url+"/order", body, header...)
		assert.Equal(t, resp.StatusCode, http.StatusConflict)
		assert.Equal(t, outcome(resp), OutcomeUnknown)
	}
}

// Verifies that the test backend server detects a replay: the default Transport
// resends a POST with an idempotency key after the backend server has read it.
func TestReverseProxyReplaysAKeyedRequest(t *testing.T) {
	b := newBackend(t)
	proxy := httptest.NewServer(httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: b.Addr().String()}))
	defer proxy.Close()
	_, _, err := send(t, "GET", proxy.URL+"/warm-up", "")
	assert.NilError(t, err)
	b.setFault(closesAfterBody)
	_, _, err = send(t, "POST", proxy.URL+"/order", "", HeaderIdempotencyKey, "k1")
	assert.NilError(t, err)
	assert.Equal(t, b.count("/order"), 2)
}

// Guards against retries of idempotent requests after the retry budget is used up.
func TestRetriesEndWithTheBudget(t *testing.T) {
	first, second := newBackend(t), newBackend(t)
	s := startTestGateway(t, func(o *Options) { o.Retry = retry.Options{Ratio: 0.1} }, first, second)
	first.setFault(closesAfterBody)
	answered := 0
	for range 30 {
		resp, _, err := send(t, "GET", s.url+"/stock", "")
		assert.NilError(t, err)
		if outcome(resp) == OutcomeAnswered {
			answered++
		} else {
			assert.Equal(t, outcome(resp), OutcomeUnknown)
		}
	}
	assert.Equal(t, answered, 3)
	assert.Equal(t, second.count("/stock"), 3)
}

// Guards against a failed POST when the backend server has closed an idle
// connection. No byte was written, so the request is sent on a new connection.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	b := newBackend(t)
	s := startTestGateway(t, nil, b)
	b.setFault(closesWhenIdle)
	for range 20 {
		resp, _, err := send(t, "POST", s.url+"/order", "")
		assert.NilError(t, err)
		assert.Equal(t, outcome(resp), OutcomeAnswered)
		<-b.closed
	}
	assert.Equal(t, b.count("/order"), 20)
}

// Guards against an outcome other than not-run when no byte could be written, and
// against a claim that is not released afterwards.
func TestUnreachableBackendServerMeansNotRun(t *testing.T) {
	down, up := newRefusingBackend(), newBackend(t)
	s := startTestGateway(t, nil, down)
	for range 2 {
		resp, _, _ := send(t, "POST", s.url+"/order", "", HeaderIdempotencyKey, "k1")
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, outcome(resp), OutcomeNotRun)
	}
	s = startTestGateway(t, nil, down, up)
	resp, _, _ := send(t, "POST", s.url+"/order", "", HeaderIdempotencyKey, "k1")
	assert.Equal(t, outcome(resp), OutcomeAnswered)
	assert.Equal(t, up.count("/order"), 1)
}

// Guards against refusing a request because all backend servers of an
// availability zone refuse connections, although one in another zone would respond.
func TestRefusalsOfAZoneDoNotEndARequest(t *testing.T) {
	var backends []*backend
	for range 6 {
		backends = append(backends, newRefusingBackend())
	}
	up := newBackend(t)
	s := startTestGateway(t, nil, append(backends, up)...)
	resp, _, err := send(t, "POST", s.url+"/order", "")
	assert.NilError(t, err)
	assert.Equal(t, outcome(resp), OutcomeAnswered)
	assert.Equal(t, up.count("/order"), 1)
}
