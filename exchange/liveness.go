package exchange

import (
	"net"
	"syscall"
)

// arrival is what a connection holds for reading.
type arrival uint8

const (
	arrivalNone   arrival = iota // Nothing; the connection is open as far as known.
	arrivalData                  // At least one byte.
	arrivalClosed                // The end of the stream or an error.
)

// prober looks at the receive buffer of a connection without blocking and
// without consuming anything.
type prober struct {
	raw    syscall.RawConn // Nil when the connection has no file descriptor.
	peek   func(fd uintptr) bool
	buf    [1]byte
	result arrival
}

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
	p.peek = p.recv
}

func (p *prober) recv(fd uintptr) bool {
	n, _, err := syscall.Recvfrom(int(fd), p.buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		p.result = arrivalNone
	case err == nil && n > 0:
		p.result = arrivalData
	default:
		p.result = arrivalClosed
	}
	return true
}

func (p *prober) probe() arrival {
	if p.raw == nil {
		return arrivalNone
	}
	if err := p.raw.Read(p.peek); err != nil {
		return arrivalClosed
	}
	return p.result
}
