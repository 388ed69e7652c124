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

// Headers that callers set and backend servers record or echo.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderRequest = "Testbed-Request"
)

const probePath = "/"

// Mode is the behaviour of a VM's backend server.
type Mode string

// Modes of a backend server.
const (
	ModeOK       Mode = "ok"
	ModeError    Mode = "error"    // Answers at once with status 500.
	ModeSlow     Mode = "slow"     // Takes ten times the service time.
	ModeTruncate Mode = "truncate" // Runs the request and closes in the middle of the answer.
	ModeDown     Mode = "down"     // Does not listen; open connections are closed.
)

// Options configures a Server.
type Options struct {
	VM      string
	Address string // IP:port to listen on.
	// Slots is the number of requests run at once; more wait. Default 8.
	Slots int
	// Connections is the number of connections accepted; more are closed at once. Default 64.
	Connections int
	// ServiceTime is the mean time of a request. Default 20 ms.
	ServiceTime time.Duration
	Ledger      *Ledger
	Seed        uint64
}

// Server is the backend server of one VM.
type Server struct {
	options Options
	slots   chan struct{}
	running atomic.Int64
	mode    atomic.Value

	mu     sync.Mutex
	rng    *rand.Rand
	http   *http.Server
	active map[net.Conn]struct{}
}

// NewServer returns a server that does not listen yet.
func NewServer(o Options) *Server {
	s := &Server{
		options: o,
		slots:   make(chan struct{}, o.Slots),
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
		active:  make(map[net.Conn]struct{}),
	}
	s.mode.Store(ModeOK)
	return s
}

// Start listens and serves until Stop.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return fmt.Errorf("listen for VM %s: %w", s.options.VM, err)
	}
	server := &http.Server{Handler: s, ConnState: s.countConnections, ReadHeaderTimeout: 10 * time.Second}
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

// Stop closes the listener and all connections.
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

// SetMode changes the behaviour of the server.
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

func (s *Server) countConnections(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.active) >= s.options.Connections {
			_ = c.Close()
			return
		}
		s.active[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.active, c)
	}
}

// ServeHTTP runs one request in a slot and echoes its identity.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == probePath {
		return // A probe runs nothing and is not recorded.
	}
	entry := Run{
		VM: s.options.VM, Service: firstSegment(r.URL.Path), Method: r.Method,
		Key: r.Header.Get(HeaderKey), Request: r.Header.Get(HeaderRequest),
	}
	if s.mode.Load() == ModeError {
		entry.Failed = true
		s.options.Ledger.end(s.options.Ledger.start(entry))
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	entry.Running = int(s.running.Add(1))
	defer s.running.Add(-1)
	run := s.options.Ledger.start(entry)
	s.slots <- struct{}{}
	s.work(r.Context())
	<-s.slots
	s.options.Ledger.end(run)
	s.answer(w, r)
}

// work sleeps for a service time with a mean of Options.ServiceTime.
func (s *Server) work(ctx context.Context) {
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

// Answer is the body of every answer.
type Answer struct {
	VM      string `json:"vm"`
	Request string `json:"request"`
	Service string `json:"service"`
	Padding string `json:"padding"`
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(Answer{
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
