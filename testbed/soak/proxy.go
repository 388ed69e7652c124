package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault is what a proxy does to its connections.
type linkFault int32

const (
	linkUp     linkFault = iota
	linkSlow             // Each piece is delayed.
	linkOneWay           // Answers are dropped.
	linkSilent           // Nothing passes.
	linkFaults
)

const (
	slowDelay  = 150 * time.Millisecond
	pieceBytes = 32 << 10
)

// proxy passes the connections of one process to one address.
type proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for proxy: %w", err)
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(fault linkFault) { p.fault.Store(int32(fault)) }

// reset ends all connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0) // A connection that is already closed needs none.
		}
		conn.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn)
	}
}

func (p *proxy) track(conn net.Conn, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add {
		p.conns[conn] = struct{}{}
	} else {
		delete(p.conns, conn)
	}
}

func (p *proxy) pass(conn net.Conn) {
	defer conn.Close()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	p.track(conn, true)
	defer p.track(conn, false)
	var group sync.WaitGroup
	group.Go(func() { p.copy(upstream, conn, linkSilent); upstream.Close() })
	group.Go(func() { p.copy(conn, upstream, linkOneWay); conn.Close() })
	group.Wait()
}

// copy passes pieces on. It drops them while the fault is dropping or worse.
func (p *proxy) copy(to io.Writer, from io.Reader, dropping linkFault) {
	buffer := make([]byte, pieceBytes)
	dropped := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			fault := linkFault(p.fault.Load())
			if fault == linkSlow {
				time.Sleep(slowDelay)
			}
			// A connection that lost bytes never carries more.
			dropped = dropped || fault >= dropping
			if !dropped {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
