package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a shutdown that cuts off a request in progress or does not turn
// readiness off.
func TestShutdownWaitsForRequestsInProgress(t *testing.T) {
	b := newBackend(t)
	b.setFault(answersLate)
	s := startTestGateway(t, nil, b)
	handedOver := make(chan struct{})
	server, url := s.serve(t, ServerOptions{ListenerOpen: time.Millisecond, BeforeDrain: func(context.Context) error {
		close(handedOver)
		return nil
	}}, listen(t))
	answered := make(chan Outcome)
	go func() {
		resp, _, _ := send(t, "POST", url+"/order", "")
		answered <- outcome(resp)
	}()
	for s.InFlight("vm0", 1) == 0 || b.count("/order") == 0 {
		time.Sleep(time.Millisecond)
	}
	down := make(chan error, 1)
	go func() { down <- server.Shutdown(t.Context()) }()
	<-handedOver
	assert.Assert(t, !s.Ready())
	assert.Equal(t, s.InFlight("vm0", 1), 1)
	assert.Equal(t, len(down), 0, "shutdown returned with a request in progress")
	close(b.release)
	assert.Equal(t, <-answered, OutcomeAnswered)
	assert.NilError(t, <-down)
	assert.Equal(t, s.InFlight("vm0", 1), 0)
}

// Guards against failed requests while a process shuts down under load. Callers
// switch to another process when the readiness endpoint reports not ready.
func TestDrainUnderLoadLosesNothing(t *testing.T) {
	b := newBackend(t)
	leaving, staying := startTestGateway(t, nil, b), startTestGateway(t, nil, b)
	server, url := leaving.serve(t, ServerOptions{ListenerOpen: time.Second}, listen(t))
	var served, moved atomic.Int64
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for target := url; !stop.Load(); {
				if target == url && get(t, client, url+ReadyPath) == http.StatusServiceUnavailable {
					target = staying.url
					moved.Add(1)
				}
				if assert.Check(t, get(t, client, target+"/order") == http.StatusOK) {
					served.Add(1)
				}
			}
		})
	}
	for served.Load() < 500 {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, server.Shutdown(t.Context()))
	stop.Store(true)
	wg.Wait()
	assert.Equal(t, moved.Load(), int64(32))
	assert.Equal(t, int64(b.count("/order")), served.Load())
}

// get returns the status of a GET request, or 0 when it failed.
func get(t *testing.T, client *http.Client, url string) int {
	resp, err := client.Get(url)
	if !assert.Check(t, err) {
		return 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.Check(t, err)
	assert.Check(t, outcome(resp) != "")
	assert.Check(t, resp.Close || resp.StatusCode == http.StatusOK, "callers are not asked to leave")
	return resp.StatusCode
}
