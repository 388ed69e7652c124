package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers that callers set. Backend servers record both and return the request ID in the
// response body.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderRequest = "Testbed-Request"
)

const probePath = "/"

// Mode selects the behaviour of a VM's backend server.
type Mode string

// Modes of a backend server.
const (
	ModeOK       Mode = "ok"
	ModeError    Mode = "error"    // Responds immediately with status 500.
	ModeSlow     Mode = "slow"     // Takes ten times the service time for a request.
	ModeTruncate Mode = "truncate" // Runs the request and closes the connection in the middle of the response.
	ModeDown     Mode = "down"     // Closes all open connections and stops listening.
)

// Options configures a Server.
type Options struct {
	VM      string
	Address string // IP:port to listen on.
	// Slots is the number of requests that run at once; further requests wait. Default 8.
	Slots int
	// Connections is the maximum number of open connections; further ones are closed
	// immediately. Default 64.
	Connections int
	// ServiceTime is the mean time for which a request uses a slot. Default 20 ms.
	ServiceTime time.Duration
	RunLog      *RunLog
	Seed        uint64
}

// Server is the backend server of one VM.
type Server struct {
	options Options
	slots   chan struct{}
	running atomic.Int64
	mode    atomic.Value

	mu              sync.Mutex
	rng             *rand.Rand
	http            *http.Server
	openConnections map[net.Conn]struct{}
}

// NewServer returns a server that does not listen yet.
func NewServer(o Options) *Server {
	s := &Server{
		options:         o,
		slots:           make(chan struct{}, o.Slots),
		rng:             rand.New(rand.NewPCG(o.Seed, 1)),
		openConnections: make(map[net.Conn]struct{}),
	}
	s.mode.Store(ModeOK)
	return s
}

// Start listens on the address and serves requests in the background until Stop.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return fmt.Errorf("listen for VM %s: %w", s.options.VM, err)
	}
	server := &http.Server{Handler: s, ConnState: s.limitConnections, ReadHeaderTimeout: 10 * time.Second}
	s.mu.Lock()
	s.http = server
	s.mu.Unlock()
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			fmt.Printf("serve VM %s: %v\n", s.options.VM, err)
		}
	}()
	return nil
}

// Stop closes the listener and all connections. It does nothing when the server does not listen.
func (s *Server) Stop() error {
	s.mu.Lock()
	server := s.http
	s.http = nil
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	return server.Close()
}

// SetMode changes the behaviour of the server. It stops listening for ModeDown and listens
// again for any other mode that follows.
func (s *Server) SetMode(m Mode) error {
	previous := s.mode.Swap(m).(Mode)
	switch {
	case m == ModeDown:
		return s.Stop()
	case previous == ModeDown:
		return s.Start()
	}
	return nil
}

func (s *Server) limitConnections(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.openConnections) >= s.options.Connections {
			_ = c.Close()
			return
		}
		s.openConnections[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.openConnections, c)
	}
}

// ServeHTTP runs one request in a slot and returns its request ID in the response body.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == probePath {
		return // A health probe uses no slot and is not recorded.
	}
	record := Run{
		VM: s.options.VM, Service: firstSegment(r.URL.Path), Method: r.Method,
		Key: r.Header.Get(HeaderKey), Request: r.Header.Get(HeaderRequest),
	}
	if s.mode.Load() == ModeError {
		record.Failed = true
		s.options.RunLog.recordEnd(s.options.RunLog.recordStart(record))
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	record.Running = int(s.running.Add(1))
	defer s.running.Add(-1)
	run := s.options.RunLog.recordStart(record)
	s.slots <- struct{}{}
	s.sleepServiceTime(r.Context())
	<-s.slots
	s.options.RunLog.recordEnd(run)
	s.writeResponse(w, r)
}

// sleepServiceTime sleeps for a random service time with a mean of Options.ServiceTime,
// or until ctx ends.
func (s *Server) sleepServiceTime(ctx context.Context) {
	s.mu.Lock()
	factor := 0.5 + 0.5*s.rng.ExpFloat64()
	s.mu.Unlock()
	d := time.Duration(factor * float64(s.options.ServiceTime))
	if s.mode.Load() == ModeSlow {
		d *= 10
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ResponseBody is the body of every successful response.
type ResponseBody struct {
	VM      string `json:"vm"`
	Request string `json:"request"`
	Service string `json:"service"`
	Padding string `json:"padding"`
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(ResponseBody{
		VM: s.options.VM, Request: r.Header.Get(HeaderRequest), Service: firstSegment(r.URL.Path),
		Padding: strings.Repeat("x", 256),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.mode.Load() == ModeTruncate {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func firstSegment(path string) string {
	segment, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return segment
}
