package exchange

import (
	"net"
	"syscall"
)

// receiveState is the state of the receive buffer of a connection.
type receiveState uint8

const (
	receiveEmpty  receiveState = iota // No bytes; the connection is open as far as is known.
	receiveData                       // At least one byte.
	receiveClosed                     // The end of the stream or an error.
)

// prober checks the receive buffer of a connection without blocking and without
// consuming bytes.
type prober struct {
	raw    syscall.RawConn // Nil when the connection has no file descriptor.
	peek   func(fd uintptr) bool
	buf    [1]byte
	result receiveState
}

// init prepares the prober. For a connection without file descriptor, probe always
// returns receiveEmpty.
func (p *prober) init(nc net.Conn) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	p.raw = raw
	p.peek = p.peekByte
}

// peekByte stores the receive state in result. It returns true, so that
// RawConn.Read doesn't wait for data.
func (p *prober) peekByte(fd uintptr) bool {
	n, _, err := syscall.Recvfrom(int(fd), p.buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		p.result = receiveEmpty
	case err == nil && n > 0:
		p.result = receiveData
	default:
		p.result = receiveClosed
	}
	return true
}

// probe returns the current state of the receive buffer.
func (p *prober) probe() receiveState {
	if p.raw == nil {
		return receiveEmpty
	}
	if err := p.raw.Read(p.peek); err != nil {
		return receiveClosed
	}
	return p.result
}
