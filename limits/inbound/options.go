package inbound

import (
	"errors"
	"fmt"
	"time"
)

// Defaults of the limits of an HTTP server.
const (
	DefaultHeaderBytes   = 64 << 10
	DefaultHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout   = 5 * time.Second
	DefaultIdleTimeout   = 60 * time.Second
	DefaultWriteTimeout  = 60 * time.Second
)

// Options bound the connections of a listener.
type Options struct {
	// Connections is the number of connections that are open at a time. Required.
	Connections int
	// Memory is what connections and the requests on them may take together, in bytes. Required.
	Memory int64
	// Closed is called after a connection was closed or refused because of a limit, possibly under
	// a lock of the limiter. Default: no call.
	Closed func(Reason)
}

// Reason says which limit a connection was closed or refused for.
type Reason string

// Limits that close connections.
const (
	TooManyConnections Reason = "connections"
	TooMuchMemory      Reason = "memory"
)

// Validate reports every option that is missing or out of range.
func (o Options) Validate() error {
	return errors.Join(requirePositive("Connections", int64(o.Connections)), requirePositive("Memory", o.Memory))
}

func requirePositive(name string, value int64) error {
	if value <= 0 {
		return fmt.Errorf("inbound options: %s is %d, must be positive", name, value)
	}
	return nil
}
