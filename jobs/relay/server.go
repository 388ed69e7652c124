package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"peridotcrank.dev/jobs/bounded"
	"peridotcrank.dev/jobs/jobpb"
)

// Handler executes a call and returns the reply. ctx ends at the timeout of the request.
type Handler func(ctx context.Context, request *jobpb.Request) *jobpb.Reply

const (
	// keepAliveInterval is the time between probes that detect dead connections.
	keepAliveInterval = 2 * time.Second
	// writeTimeout limits a write to a peer that does not read.
	writeTimeout = 2 * time.Second
	// defaultTimeout limits a call whose request has no timeout, maxTimeout all others.
	defaultTimeout = 3 * time.Second
	maxTimeout     = 5 * time.Minute
	// closeTimeout is how long a peer may take to close a stream after the reply.
	closeTimeout = 10 * time.Second
	// acceptRetryDelay is the time until connections are accepted again after a failure.
	acceptRetryDelay = 50 * time.Millisecond
	// streamCost is the memory of a stream: its goroutines and its state.
	streamCost = 16 << 10
)

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.LogOutput = io.Discard // Errors reach the caller of each stream.
	return c
}

// Server accepts sessions from peers and handles their calls.
type Server struct {
	handler  Handler
	onPanic  func(reason any)
	listener net.Listener
	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
}

// Serve starts to handle calls on a listener and returns immediately. A call whose
// handler panics gets no reply, and onPanic is called with the panic value.
func Serve(listener net.Listener, handler Handler, onPanic func(reason any)) *Server {
	s := &Server{handler: handler, onPanic: onPanic, listener: listener, sessions: map[*yamux.Session]struct{}{}}
	go s.acceptSessions()
	return s
}

// Close closes the listener and all sessions.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for session := range s.sessions {
		session.Close()
	}
	return s.listener.Close()
}

func (s *Server) acceptSessions() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // For example, there are no descriptors left.
			continue
		}
		account := accountOf(conn)
		session, err := yamux.Server(&frameLimit{Conn: conn, account: account}, sessionConfig())
		if err != nil {
			conn.Close()
			continue
		}
		if !s.addSession(session) {
			session.Close()
			return
		}
		go s.serveSession(session, account)
	}
}

func (s *Server) addSession(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

func (s *Server) serveSession(session *yamux.Session, account account) {
	defer func() {
		session.Close()
		s.mu.Lock()
		delete(s.sessions, session)
		s.mu.Unlock()
	}()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		if !account.Reserve(streamCost) {
			return // The peer connects again.
		}
		go func() {
			defer account.Release(streamCost)
			s.handleStream(session, stream, account)
		}()
	}
}

func (s *Server) handleStream(session *yamux.Session, stream *yamux.Stream, account account) {
	defer stream.Close()
	defer func() {
		if reason := recover(); reason != nil {
			s.onPanic(reason)
		}
	}()
	stream.SetReadDeadline(time.Now().Add(defaultTimeout))
	request := &jobpb.Request{}
	size, err := readMessage(stream, request, account)
	defer func() { account.Release(size) }()
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			session.Close() // What the stream has received and still receives would stay in memory.
		}
		return
	}
	account.MarkServed()
	timeout := bounded.Milliseconds(request.TimeoutMs)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	timeout = min(timeout, maxTimeout)
	end := watchEnd(session, stream, timeout)
	defer func() { stream.Close(); <-end }()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply := s.handler(ctx, request)
	stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	// If the write fails, the peer sees the end of the stream instead of the reply.
	_ = writeMessage(stream, reply)
}

// watchEnd waits until the peer closes a stream whose request was read, and closes the channel then. It closes the
// session if the peer sends more, or does not close the stream after the reply: nobody reads that, and it
// would stay in memory.
func watchEnd(session *yamux.Session, stream *yamux.Stream, timeout time.Duration) <-chan struct{} {
	end := make(chan struct{})
	stream.SetReadDeadline(time.Now().Add(timeout + writeTimeout + closeTimeout))
	go func() {
		defer close(end)
		var excess [1]byte
		if n, err := stream.Read(excess[:]); n > 0 || errors.Is(err, yamux.ErrTimeout) {
			session.Close()
		}
	}()
	return end
}
