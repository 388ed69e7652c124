package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/claims"
	"peridotcrank.dev/exchange"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/retry"
	"peridotcrank.dev/routing"
)

// fault selects how a test backend server handles a request.
type fault string

const (
	answers                 fault = "answers"
	closesUnread            fault = "closes before reading"
	closesAfterHeader       fault = "closes after the header"
	closesAfterBody         fault = "closes after the body"
	closesMidAnswer         fault = "closes half-way through the answer"
	answersOverlong         fault = "answers more than declared"
	closesWhenIdle          fault = "closes after the answer without saying so"
	streamsTruncated        fault = "closes half-way through a long answer"
	streamsChunkedTruncated fault = "closes half-way through a long chunked answer"
	streamsOverlong         fault = "sends a long answer longer than declared"
	answersLate             fault = "answers when released"
	varies                  fault = "varies with the target"
)

const longAnswerBytes = 1 << 20

// variedFaults holds the faults of varies, indexed by the last character of the
// target modulo the number of faults.
var variedFaults = []fault{answers, answers, answers, closesAfterHeader, answers, closesAfterBody, closesMidAnswer, answersOverlong}

// backend is a raw TCP server that counts the requests whose header arrived.
type backend struct {
	net.Listener
	release chan struct{} // Closed to let answersLate respond.
	closed  chan struct{} // Receives a value for each connection closed by closesWhenIdle.

	mu       sync.Mutex
	next     fault
	arrivals map[string]int // By target.
	header   http.Header    // Of the last request.
}

func newBackend(t testing.TB) *backend {
	b := &backend{next: answers, arrivals: map[string]int{}, release: make(chan struct{}), closed: make(chan struct{}, 1)}
	b.Listener = serveConnections(t, b.serve)
	return b
}

// refusingListener has the address of a backend server that refuses connections.
// Nothing listens on this loopback address, whereas the port of a closed listener
// could be reused by a test that runs at the same time.
type refusingListener struct{ net.Listener }

func (refusingListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2), Port: 1} }

func newRefusingBackend() *backend { return &backend{Listener: refusingListener{}} }

// serveConnections starts a listener and serves each of its connections.
func serveConnections(t testing.TB, serve func(net.Conn)) net.Listener {
	l := listen(t)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer nc.Close(); serve(nc) }()
		}
	}()
	return l
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func (b *backend) setFault(f fault) { b.mu.Lock(); b.next = f; b.mu.Unlock() }

func (b *backend) currentFault() fault { b.mu.Lock(); defer b.mu.Unlock(); return b.next }

func (b *backend) count(target string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrivals[target]
}

func (b *backend) serve(nc net.Conn) {
	br := bufio.NewReader(nc)
	for {
		if _, err := br.Peek(1); err != nil || b.currentFault() == closesUnread {
			return
		}
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.arrivals[r.RequestURI]++
		b.header = r.Header
		b.mu.Unlock()
		f := b.currentFault()
		if f == varies {
			f = variedFaults[int(r.RequestURI[len(r.RequestURI)-1])%len(variedFaults)]
		}
		if f == closesAfterHeader {
			return
		}
		if body, _ := io.ReadAll(r.Body); !b.writeResponse(nc, r, f, body) {
			return
		}
	}
}

// writeResponse writes the response and reports whether the connection stays open.
func (b *backend) writeResponse(nc net.Conn, r *http.Request, f fault, body []byte) bool {
	head, sent, keep := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", r.RequestURI+" "+string(body), true
	declared := len(sent)
	switch f {
	case closesAfterBody:
		return false
	case closesMidAnswer:
		declared, keep = declared+10, false
	case answersOverlong:
		declared--
	case streamsTruncated:
		declared, sent, keep = longAnswerBytes, strings.Repeat("x", longAnswerBytes/2), false
	case streamsChunkedTruncated:
		head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n"
		declared, sent, keep = longAnswerBytes, strings.Repeat("x", longAnswerBytes), false
	case streamsOverlong:
		declared, sent = longAnswerBytes, strings.Repeat("x", longAnswerBytes+1)
	case answersLate:
		<-b.release
	}
	fmt.Fprintf(nc, head, declared, sent)
	if f == closesWhenIdle {
		nc.Close()
		b.closed <- struct{}{}
	}
	return keep
}

// dispatcher is a routing.Dispatcher that prefers the first target whose rack has
// no target to avoid.
type dispatcher struct {
	targets  []routing.Target
	invalid  func() bool
	queueing bool // Requests wait until their context ends.

	mu       sync.Mutex
	results  []routing.Result
	requests []routing.Request
}

func (d *dispatcher) Acquire(ctx context.Context, r routing.Request) (routing.Reservation, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, r)
	if d.queueing {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if len(d.targets) == 0 {
		return nil, &routing.ShedError{Step: "admission", Reason: routing.ShedQueueFull, RetryAfter: 1500 * time.Millisecond}
	}
	preferred := func(t routing.Target) bool {
		return !slices.ContainsFunc(r.Avoid, func(a routing.Target) bool { return a.Rack == t.Rack })
	}
	return &reservation{d: d, target: d.targets[max(slices.IndexFunc(d.targets, preferred), 0)]}, nil
}

type reservation struct {
	d      *dispatcher
	target routing.Target
	once   sync.Once
}

func (r *reservation) Target() routing.Target { return r.target }
func (r *reservation) Valid() bool            { return r.d.invalid == nil || !r.d.invalid() }
func (r *reservation) Done(result routing.Result) {
	r.once.Do(func() {
		r.d.mu.Lock()
		defer r.d.mu.Unlock()
		r.d.results = append(r.d.results, result)
	})
}

// registry is a claims.Registry in memory.
type registry struct {
	verdict      *claims.Verdict // Returned instead of the actual verdict.
	seen         sync.Map
	claimsTooOld atomic.Bool // Requests with a claim are no longer dispatchable.
}

func (g *registry) Claim(_ context.Context, k claims.Key) (claims.Verdict, error) {
	if g.verdict != nil {
		return *g.verdict, nil
	}
	if _, seen := g.seen.LoadOrStore(k, true); seen {
		return claims.VerdictSeen, nil
	}
	return claims.VerdictFresh, nil
}

func (g *registry) Dispatchable(k claims.Key) bool { return !g.claimsTooOld.Load() }

func (g *registry) Release(_ context.Context, k claims.Key) { g.seen.Delete(k) }

// testGateway is a gateway with its test dependencies.
type testGateway struct {
	*Gateway
	dispatcher *dispatcher
	registry   *registry
	config     fleet.Configuration
	url        string
}

func (s *testGateway) Configuration() *fleet.Configuration { return &s.config }

// startTestGateway starts a server for a gateway whose backend servers are each
// in a separate rack.
func startTestGateway(t testing.TB, change func(*Options), backends ...*backend) *testGateway {
	s := newTestGateway(t, change, backends...)
	_, s.url = s.serve(t, ServerOptions{ListenerOpen: time.Millisecond}, listen(t))
	return s
}

// newTestGateway returns a gateway without a server.
func newTestGateway(t testing.TB, change func(*Options), backends ...*backend) *testGateway {
	s := &testGateway{dispatcher: &dispatcher{}, registry: &registry{}}
	s.config.Services = []fleet.Service{
		{Name: "orders", PathPrefix: "/", Pool: "webshop", Timeout: 10 * time.Second},
		{Name: "short", PathPrefix: "/short", Pool: "webshop", Timeout: 50 * time.Millisecond, MaxBodyBytes: 10},
	}
	for i, b := range backends {
		s.dispatcher.targets = append(s.dispatcher.targets, routing.Target{
			VM: fleet.VMID(fmt.Sprint("vm", i)), Generation: 1, Address: b.Addr().String(), Rack: fleet.RackID(fmt.Sprint("rack", i)),
		})
	}
	client, err := exchange.New(exchange.Options{})
	assert.NilError(t, err)
	o := Options{Dispatcher: s.dispatcher, Claims: s.registry, Exchange: client, Configuration: s, Retry: retry.Options{Ratio: 1}}
	if change != nil {
		change(&o)
	}
	s.Gateway, err = New(o)
	assert.NilError(t, err)
	t.Cleanup(func() { client.Close() })
	return s
}

func (s *testGateway) serve(t testing.TB, o ServerOptions, l net.Listener) (*Server, string) {
	server, err := NewServer(s.Gateway, o)
	assert.NilError(t, err)
	go server.Serve(l)
	t.Cleanup(func() { server.http.Close() })
	return server, "http://" + l.Addr().String()
}

// send sends a request on a new connection. It returns the response, the part of
// the body that it could read and the error of that read.
func send(t testing.TB, method, url, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp, string(answer), err
}

func outcome(r *http.Response) Outcome { return Outcome(r.Header.Get(HeaderOutcome)) }
