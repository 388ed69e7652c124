package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	// Ports are below the range that the system uses for outgoing connections, so that a
	// process can listen on the same ports again after a restart.
	firstPort     = 20000
	portBlocks    = 30
	portsPerBlock = 400
)

var errNoPorts = errors.New("no free block of ports found")

// portAllocator hands out ports from blocks. It listens on the first port of each block
// that it uses, so that concurrent soaks use separate blocks.
type portAllocator struct {
	mu        sync.Mutex
	locks     []net.Listener
	next, end int // Of the ports that are left in the current block.
}

var ports portAllocator

// takeAddress returns an address on which nothing listens.
func (a *portAllocator) takeAddress() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.next == a.end {
			if err := a.lockBlock(); err != nil {
				return "", err
			}
		}
		address := loopbackAddress(a.next)
		a.next++
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address, nil
		}
	}
}

func (a *portAllocator) lockBlock() error {
	for i := range portBlocks {
		first := firstPort + (os.Getpid()+i)%portBlocks*portsPerBlock
		if lock, err := net.Listen("tcp", loopbackAddress(first)); err == nil {
			a.locks = append(a.locks, lock)
			a.next, a.end = first+1, first+portsPerBlock
			return nil
		}
	}
	return errNoPorts
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
