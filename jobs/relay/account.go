package relay

import (
	"net"

	"peridotcrank.dev/limits/inbound"
)

// account is what a session takes of the memory for peers. [inbound.Conn] is the implementation.
type account interface {
	inbound.Account
	Release(n int64)
	// MarkServed marks that the peer has sent a request, so that sessions without one are closed first.
	MarkServed()
}

// accountOf returns the account of a connection; one without a limit if the listener is not bounded.
func accountOf(conn net.Conn) account {
	if c, ok := conn.(*inbound.Conn); ok {
		return c
	}
	return unlimited{}
}

type unlimited struct{}

func (unlimited) Reserve(int64) bool { return true }
func (unlimited) Release(int64)      {}
func (unlimited) MarkServed()        {}
