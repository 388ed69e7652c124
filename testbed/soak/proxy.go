package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault is the fault that a proxy applies to its connections. Each kind from
// linkDropResponses on includes the loss of the kinds before it.
type linkFault int32

const (
	linkHealthy       linkFault = iota
	linkDelayed                 // Each read is forwarded after a delay.
	linkDropResponses           // Bytes from the store are dropped.
	linkDropAll                 // Bytes in both directions are dropped.
	linkFaults
)

const (
	slowDelay   = 150 * time.Millisecond
	bufferBytes = 32 << 10
)

// proxy forwards the connections of one process to one address.
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

func (p *proxy) setFault(fault linkFault) { p.fault.Store(int32(fault)) }

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0) // It fails only for a connection that is already closed.
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
		go p.forward(conn)
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

func (p *proxy) forward(conn net.Conn) {
	defer conn.Close()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	p.track(conn, true)
	defer p.track(conn, false)
	var group sync.WaitGroup
	group.Go(func() { p.copyUnderFault(upstream, conn, linkDropAll); upstream.Close() })
	group.Go(func() { p.copyUnderFault(conn, upstream, linkDropResponses); conn.Close() })
	group.Wait()
}

// copyUnderFault copies bytes until an error, delayed or dropped according to the fault in
// force. It drops them from the first read on at which the fault is dropFrom or higher.
func (p *proxy) copyUnderFault(to io.Writer, from io.Reader, dropFrom linkFault) {
	buffer := make([]byte, bufferBytes)
	dropped := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			fault := linkFault(p.fault.Load())
			if fault == linkDelayed {
				time.Sleep(slowDelay)
			}
			// A connection that has lost bytes forwards nothing more.
			dropped = dropped || fault >= dropFrom
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
