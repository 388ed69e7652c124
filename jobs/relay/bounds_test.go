package relay

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/limits/inbound"
)

// listenBounded serves calls on a bounded listener.
func listenBounded(t *testing.T, o inbound.Options, handler Handler) (address string, limiter *inbound.Limiter) {
	t.Helper()
	limiter, err := inbound.NewLimiter(o)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := Serve(limiter.Listen(listener), handler, func(any) {})
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String(), limiter
}

func openSession(t *testing.T, address string) *yamux.Session {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	session, err := yamux.Client(conn, sessionConfig())
	assert.NilError(t, err)
	t.Cleanup(func() { session.Close() })
	return session
}

func echo(_ context.Context, r *jobpb.Request) *jobpb.Reply { return &jobpb.Reply{Detail: r.Id} }

// Guards against peers whose messages stop short of their end, or which open streams without end, and take the memory of the process.
func TestUnfinishedMessagesOfPeersAreBounded(t *testing.T) {
	const memory, streams = 8 << 20, 40
	address, limiter := listenBounded(t, inbound.Options{Connections: 20, Memory: memory}, echo)
	message := make([]byte, 1<<20)
	binary.BigEndian.PutUint32(message, uint32(len(message)))
	for range 4 {
		session := openSession(t, address)
		for range streams {
			stream, err := session.OpenStream()
			if err != nil {
				break // The session was closed.
			}
			go stream.Write(message)
		}
	}
	c := NewClient()
	for deadline := time.Now().Add(longTimeout); ; {
		used, _ := limiter.Used()
		assert.Assert(t, used <= memory, "%d bytes", used)
		if reply, err := call(t, c, address, "sound", time.Second); err == nil {
			assert.Equal(t, reply.Detail, "sound")
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "no call is answered")
	}
}

// Guards against bytes after a request, which nobody reads and which stay in memory.
func TestSessionWithExcessBytesIsClosed(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address, _ := listenBounded(t, inbound.Options{Connections: 2, Memory: 1 << 20}, func(ctx context.Context, r *jobpb.Request) *jobpb.Reply {
		<-release
		return echo(ctx, r)
	})
	session := openSession(t, address)
	stream, err := session.OpenStream()
	assert.NilError(t, err)
	assert.NilError(t, writeMessage(stream, &jobpb.Request{Id: "a", TimeoutMs: longTimeout.Milliseconds()}))
	_ = writeMessage(stream, &jobpb.Request{Id: "b"}) // It fails if the session is closed at its first bytes.
	select {
	case <-session.CloseChan():
	case <-time.After(longTimeout):
		t.Fatal("the session is open")
	}
}

// Guards against pings without end, each of which takes a goroutine until it is answered.
func TestSessionWithTooManyPingsIsClosed(t *testing.T) {
	address, _ := listenBounded(t, inbound.Options{Connections: 2, Memory: 1 << 20}, echo)
	session := openSession(t, address)
	for range 10 * maxPings {
		if _, err := session.Ping(); err != nil {
			_, err = call(t, NewClient(), address, "sound", longTimeout)
			assert.NilError(t, err)
			return
		}
	}
	t.Fatal("the session is open")
}

// Guards against a message of legal size that takes a hundred times its size once decoded.
func TestDecodedFormOfMessagesIsCounted(t *testing.T) {
	const steps = 100_000
	request := &jobpb.Request{Job: &jobpb.Job{}}
	for range steps {
		request.Job.Steps = append(request.Job.Steps, &jobpb.Step{})
	}
	address, _ := listenBounded(t, inbound.Options{Connections: 2, Memory: steps * messageCost}, echo)
	ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
	defer cancel()
	_, err := NewClient().Call(ctx, address, request)
	assert.Assert(t, err != nil)
	_, err = call(t, NewClient(), address, "sound", longTimeout)
	assert.NilError(t, err)
}
