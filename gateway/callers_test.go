package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/exchange"
	"peridotcrank.dev/routing"
)

// pipeListener is a listener of in-memory connections, for tests with fake time.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	if nc, ok := <-p; ok {
		return nc, nil
	}
	return nil, net.ErrClosed
}
func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// runWithCaller runs a test in fake time. The caller has sent one request on its
// connection, and the gateway reports the observation to ended.
func runWithCaller(t *testing.T, method, body string, f fault, run func(s *testGateway, b *backend, caller net.Conn, ended chan Observation)) {
	synctest.Test(t, func(t *testing.T) {
		b := &backend{next: f, arrivals: map[string]int{}, release: make(chan struct{})}
		client, err := exchange.New(exchange.Options{Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { defer far.Close(); b.serve(far) }()
			return near, nil
		}})
		assert.NilError(t, err)
		ended := make(chan Observation, 1)
		s := newTestGateway(t, func(o *Options) { o.Exchange, o.Observe = client, func(o Observation) { ended <- o } })
		s.dispatcher.targets = []routing.Target{{VM: "vm0"}}
		listener := make(pipeListener)
		server, _ := s.serve(t, ServerOptions{}, listener)
		caller, far := net.Pipe()
		listener <- far
		s.dispatcher.queueing = method == "QUEUED"
		_, err = fmt.Fprintf(caller, "%s / HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", method, len(body), body)
		assert.NilError(t, err)
		synctest.Wait()
		run(s, b, caller, ended)
		caller.Close()
		client.Close()
		close(listener)
		server.http.Close()
	})
}

// Guards against a caller that does not read the response and thereby occupies a
// slot, or stays connected without a time limit.
func TestSlowReaderHoldsNoSlot(t *testing.T) {
	body := strings.Repeat("x", 100_000)
	runWithCaller(t, "GET", body, answers, func(s *testGateway, b *backend, caller net.Conn, ended chan Observation) {
		assert.Equal(t, s.InFlight("vm0", 0), 0)
		assert.DeepEqual(t, s.dispatcher.results, []routing.Result{routing.ResultAnswered})
		assert.Equal(t, s.bufferedBytes.used.Load(), int64(len("/ ")+len(body)))
		time.Sleep(DefaultSlowReaderLimit)
		assert.Assert(t, (<-ended).Err != nil)
		answer, err := io.ReadAll(caller)
		assert.NilError(t, err)
		assert.Assert(t, len(answer) < len(body))
		assert.Equal(t, s.bufferedBytes.used.Load(), int64(0))
	})
}

// Guards against a slot that is released when the caller disconnects, although
// the backend server still runs the request.
func TestCallerGoneWhileTheRequestRuns(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		runWithCaller(t, method, "", answersLate, func(s *testGateway, b *backend, caller net.Conn, ended chan Observation) {
			caller.Close()
			synctest.Wait()
			assert.Equal(t, s.InFlight("vm0", 0), 1)
			close(b.release)
			<-ended
			assert.Equal(t, s.InFlight("vm0", 0), 0)
			assert.DeepEqual(t, s.dispatcher.results, []routing.Result{routing.ResultAnswered})
		})
	}
}

// Guards against counting a caller's disconnect during a streamed response as a
// failure of the backend server.
func TestCallerGoneDuringAStream(t *testing.T) {
	runWithCaller(t, "GET", strings.Repeat("x", 500_000), answers, func(s *testGateway, _ *backend, caller net.Conn, ended chan Observation) {
		caller.Close()
		assert.Assert(t, (<-ended).Aborted)
		assert.DeepEqual(t, s.dispatcher.results, []routing.Result{routing.ResultAnswered})
	})
}

// Guards against a queued request that stays in the queue, or keeps its claim,
// after the caller has disconnected.
func TestCallerGoneWhileQueued(t *testing.T) {
	runWithCaller(t, "QUEUED", "body", answers, func(s *testGateway, _ *backend, caller net.Conn, ended chan Observation) {
		time.Sleep(DefaultSlowSenderLimit + time.Second)
		synctest.Wait()
		assert.Equal(t, len(ended), 0, "the limit for slow senders ended a request that had arrived")
		caller.Close()
		assert.Equal(t, (<-ended).Outcome, OutcomeNotRun)
		s.registry.seen.Range(func(key, _ any) bool { t.Error("claim kept", key); return false })
	})
}
