package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"peridotcrank.dev/jobs/jobpb"
)

// Handler executes a call and returns the reply. ctx ends at the timeout of the request.
type Handler func(ctx context.Context, request *jobpb.Request) *jobpb.Reply

const (
	// keepAliveInterval is the time between probes that detect dead connections.
	keepAliveInterval = 2 * time.Second
	// writeTimeout limits a write to a peer that does not read.
	writeTimeout = 2 * time.Second
	// defaultTimeout limits a call whose request has no timeout.
	defaultTimeout = 3 * time.Second
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
		if err != nil {
			return
		}
		session, err := yamux.Server(conn, sessionConfig())
		if err != nil {
			conn.Close()
			continue
		}
		if !s.addSession(session) {
			session.Close()
			return
		}
		go s.serveSession(session)
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

func (s *Server) serveSession(session *yamux.Session) {
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
		go s.handleStream(stream)
	}
}

func (s *Server) handleStream(stream *yamux.Stream) {
	defer stream.Close()
	defer func() {
		if reason := recover(); reason != nil {
			s.onPanic(reason)
		}
	}()
	stream.SetReadDeadline(time.Now().Add(defaultTimeout))
	request := &jobpb.Request{}
	if readMessage(stream, request) != nil {
		return
	}
	timeout := time.Duration(request.TimeoutMs) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply := s.handler(ctx, request)
	stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	// If the write fails, the peer sees the end of the stream instead of the reply.
	_ = writeMessage(stream, reply)
}
