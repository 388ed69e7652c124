package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// keepAliveInterval finds a connection without a living peer within the
	// suspicion timeout of 2 s, together with the write timeout of 1 s.
	keepAliveInterval = time.Second
	// streamBacklog bounds streams that were opened and not yet accepted.
	streamBacklog = 8
)

// yamuxConfig reads only settings that never change. It takes a pointer, since a
// copy of the whole configuration would read the incarnation without its lock.
func yamuxConfig(c *Config) *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = streamBacklog
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = c.WriteTimeout
	config.StreamOpenTimeout = c.HelloTimeout
	config.StreamCloseTimeout = c.WriteTimeout
	config.LogOutput = io.Discard // Sessions report through SessionEvent.
	return config
}
