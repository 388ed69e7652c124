package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testBodyLimit = 64 << 10
	// settleTime bounds the wait until a server has noticed what a client did.
	settleTime = 5 * time.Second
)

// testServer is an HTTP server whose handler reads the body, and waits for release if the path says so.
type testServer struct {
	t       *testing.T
	limiter *Limiter
	address string
	release chan struct{}
	serving chan struct{}
}

func startServer(t *testing.T, o Options) *testServer {
	limiter, err := NewLimiter(o)
	assert.NilError(t, err)
	s := &testServer{t: t, limiter: limiter, release: make(chan struct{}), serving: make(chan struct{}, 1)}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = inner.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	limiter.Configure(server)
	go server.Serve(limiter.Listen(inner))
	t.Cleanup(func() { server.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := ReadBody(w, r, testBodyLimit, settleTime); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/wait" {
		s.serving <- struct{}{}
		<-s.release
	}
}

// open sends text on a new connection and leaves it open.
func (s *testServer) open(text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { conn.Close() })
	_, _ = io.WriteString(conn, text) // The server may have closed the connection.
	return conn
}

// awaitUse waits until the connections take at least so much.
func (s *testServer) awaitUse(memory int64, connections int) {
	s.t.Helper()
	for deadline := time.Now().Add(settleTime); ; time.Sleep(time.Millisecond) {
		m, n := s.limiter.Used()
		if m >= memory && n >= connections {
			return
		}
		assert.Assert(s.t, time.Now().Before(deadline), "%d bytes and %d connections, want %d and %d", m, n, memory, connections)
	}
}

// status returns the status of the response on a connection, or 0 if it was closed.
func (s *testServer) status(conn net.Conn) int {
	s.t.Helper()
	assert.NilError(s.t, conn.SetReadDeadline(time.Now().Add(settleTime)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		assert.Assert(s.t, !strings.Contains(err.Error(), "timeout"), "no response, and the connection is open")
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func post(path string, declared, sent int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, declared, strings.Repeat("x", sent))
}

// Guards against bodies that stop short of their end and take the memory of requests that are complete.
func TestStalledBodiesLeaveRoomForSmallRequests(t *testing.T) {
	s := startServer(t, Options{Connections: 100, Memory: MemoryFor(20, 3*3*testBodyLimit)})
	var stalled []net.Conn
	for range 6 {
		stalled = append(stalled, s.open(post("/", testBodyLimit, testBodyLimit-1)))
	}
	s.awaitUse(MemoryFor(4, 3*2*testBodyLimit), 4)
	assert.Equal(t, s.status(s.open(post("/", 10, 10))), http.StatusOK)
	memory, _ := s.limiter.Used()
	assert.Assert(t, memory <= s.limiter.options.Memory)
	for _, conn := range stalled {
		conn.Close()
	}
}

// Guards against heads of many short lines, which take far more memory than bytes on the wire.
func TestLinesOfHeadsAreCounted(t *testing.T) {
	const lines = 4000
	s := startServer(t, Options{Connections: 100, Memory: MemoryFor(20, 5*lines*headLineCost)})
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", lines)
	assert.Equal(t, s.status(s.open(head+"\r\n")), http.StatusOK, "one such request is served")
	for range 20 {
		s.open(head)
	}
	s.awaitUse(4*lines*headLineCost, 4)
	memory, _ := s.limiter.Used()
	assert.Assert(t, memory <= s.limiter.options.Memory)
	assert.Equal(t, s.status(s.open(post("/", 10, 10))), http.StatusOK)
}

// Guards against connections that send nothing and keep others out, and against a limit that closes
// those which were served before.
func TestSilentConnectionsAreClosedFirst(t *testing.T) {
	const most = 10
	s := startServer(t, Options{Connections: most, Memory: MemoryFor(2*most, 1<<20)})
	served := s.open(post("/", 1, 1))
	assert.Equal(t, s.status(served), http.StatusOK)
	for range 3 * most {
		s.open("")
	}
	s.awaitUse(0, most)
	assert.Equal(t, s.status(s.open(post("/", 1, 1))), http.StatusOK)
	_, err := io.WriteString(served, post("/", 1, 1))
	assert.NilError(t, err)
	assert.Equal(t, s.status(served), http.StatusOK, "the connection was closed")
	_, connections := s.limiter.Used()
	assert.Assert(t, connections <= most)
}

// Guards against a request that is broken off while it is served.
func TestRequestInProgressIsNotClosed(t *testing.T) {
	const most = 3
	s := startServer(t, Options{Connections: most, Memory: MemoryFor(most, 1<<20)})
	conn := s.open(post("/wait", 1, 1))
	<-s.serving
	for range 3 * most {
		s.open(post("/", testBodyLimit, testBodyLimit-1))
	}
	s.awaitUse(0, most)
	close(s.release)
	assert.Equal(t, s.status(conn), http.StatusOK)
}

// Guards against what a request takes and never returns.
func TestAnsweredRequestsReturnTheirMemory(t *testing.T) {
	s := startServer(t, Options{Connections: 2, Memory: MemoryFor(2, 4*testBodyLimit)})
	conn := s.open("")
	for range 20 {
		_, err := io.WriteString(conn, post("/", testBodyLimit, testBodyLimit))
		assert.NilError(t, err)
		assert.Equal(t, s.status(conn), http.StatusOK)
	}
	conn.Close()
	for deadline := time.Now().Add(settleTime); ; time.Sleep(time.Millisecond) {
		if memory, connections := s.limiter.Used(); memory == 0 && connections == 0 {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "a closed connection still takes memory")
	}
}

// Guards against a body above the limit that is buffered, with or without a declared length.
func TestBodyAboveTheLimitIsRefused(t *testing.T) {
	s := startServer(t, Options{Connections: 10, Memory: MemoryFor(10, 1<<20)})
	assert.Equal(t, s.status(s.open(post("/", testBodyLimit+1, 0))), http.StatusServiceUnavailable)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", testBodyLimit+1, strings.Repeat("x", testBodyLimit+1))
	assert.Equal(t, s.status(s.open("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk)), http.StatusServiceUnavailable)
}
