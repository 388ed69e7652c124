package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
)

// Serve serves a handler on a free loopback port.
func Serve(h http.Handler) (*http.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(listener) // Returns after Close.
	return server, listener.Addr().String()
}

// Ports of processes are below the range of outgoing connections, so that a process finds its
// ports free again when it starts again.
const (
	firstPort = 20000
	lastPort  = 32000
)

var (
	takenMutex sync.Mutex
	taken      = map[int]bool{}
)

// FreeAddress returns a loopback address on which nothing listens. It returns each only once.
func FreeAddress() string {
	takenMutex.Lock()
	defer takenMutex.Unlock()
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if taken[port] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		taken[port] = true
		return address
	}
}
