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

// Handler answers a call.
type Handler func(ctx context.Context, request *jobpb.Request) *jobpb.Reply

const (
	// keepAlive finds connections that went silent.
	keepAlive = 2 * time.Second
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = 2 * time.Second
	// defaultTimeout bounds a call that states no timeout.
	defaultTimeout = 3 * time.Second
)

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.LogOutput = io.Discard // Errors reach the caller of each stream.
	return c
}

// Server answers calls of peers.
type Server struct {
	handler  Handler
	failed   func(reason any)
	listener net.Listener
	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
}

// Serve starts to answer calls on a listener. A call whose handler panics gets no
// answer, and failed hears of it.
func Serve(listener net.Listener, handler Handler, failed func(reason any)) *Server {
	s := &Server{handler: handler, failed: failed, listener: listener, sessions: map[*yamux.Session]struct{}{}}
	go s.accept()
	return s
}

// Close ends the listener and all sessions.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for session := range s.sessions {
		session.Close()
	}
	return s.listener.Close()
}

func (s *Server) accept() {
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
		if !s.add(session) {
			session.Close()
			return
		}
		go s.serve(session)
	}
}

func (s *Server) add(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

func (s *Server) serve(session *yamux.Session) {
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
		go s.answer(stream)
	}
}

func (s *Server) answer(stream *yamux.Stream) {
	defer stream.Close()
	defer func() {
		if reason := recover(); reason != nil {
			s.failed(reason)
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
	// A peer that does not get the answer sees the end of the stream instead.
	_ = writeMessage(stream, reply)
}
