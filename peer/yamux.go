package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// keepAliveInterval and the write timeout of 1 s together detect a dead
	// connection within the suspicion timeout of 2 s.
	keepAliveInterval = time.Second
	// streamBacklog bounds the streams that are opened but not yet accepted.
	streamBacklog = 8
)

// yamuxConfig returns the yamux settings of a session. It takes a pointer and
// reads only fields that never change, because copying the whole Config would
// read Self.Incarnation without holding the node's lock.
func yamuxConfig(c *Config) *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = streamBacklog
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = c.WriteTimeout
	config.StreamOpenTimeout = c.HelloTimeout
	config.StreamCloseTimeout = c.WriteTimeout
	config.LogOutput = io.Discard // SessionEvent reports the errors of sessions.
	return config
}
