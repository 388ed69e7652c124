package relay

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/jobpb"
)

func listen(t *testing.T, handler Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := Serve(listener, handler, func(any) {})
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

func call(t *testing.T, c *Client, address, id string, timeout time.Duration) (*jobpb.Reply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return c.Call(ctx, address, &jobpb.Request{Call: jobpb.Call_CALL_STATE, Id: id})
}

const longTimeout = 5 * time.Second

// Guards against a reply that is delivered to the caller of another request.
func TestRepliesReachTheirCallers(t *testing.T) {
	address := listen(t, func(_ context.Context, r *jobpb.Request) *jobpb.Reply {
		return &jobpb.Reply{Code: jobpb.Code_CODE_OK, Detail: r.Id}
	})
	c := NewClient()
	var group sync.WaitGroup
	for i := range 50 {
		group.Go(func() {
			id := string(rune('a' + i))
			reply, err := call(t, c, address, id, longTimeout)
			if err != nil || reply.Detail != id {
				t.Errorf("call %s: %v, %v", id, reply, err)
			}
		})
	}
	group.Wait()
}

// Guards against a reply that arrives after the timeout of its call and is taken for the reply
// to a later call to the same peer.
func TestLateRepliesDoNotReachOtherCalls(t *testing.T) {
	const (
		timeout = 50 * time.Millisecond
		late    = 2 * timeout
		rounds  = 10
	)
	address := listen(t, func(_ context.Context, r *jobpb.Request) *jobpb.Reply {
		if strings.HasPrefix(r.Id, "late") {
			time.Sleep(late)
		}
		return &jobpb.Reply{Code: jobpb.Code_CODE_OK, Detail: r.Id}
	})
	c := NewClient()
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			for round := range rounds {
				if i%2 == 0 {
					id, sentAt := fmt.Sprintf("late %d %d", i, round), time.Now()
					reply, err := call(t, c, address, id, timeout)
					// A process without processor time may find the reply when it looks at the time limit.
					ownReply := err == nil && reply.Detail == id && time.Since(sentAt) >= late
					assert.Check(t, ownReply || err != nil && !errors.Is(err, ErrNotSent), "%v, %v", id, err)
					continue
				}
				id := fmt.Sprintf("call %d %d", i, round)
				reply, err := call(t, c, address, id, longTimeout)
				assert.Check(t, err == nil && reply.Detail == id, "call %s: %v, %v", id, reply, err)
				time.Sleep(timeout)
			}
		})
	}
	group.Wait()
}

// Guards against a call that is reported as not sent although the peer may have received it.
func TestCallsWithoutReplyAreNotReportedAsUnsent(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := listen(t, func(_ context.Context, r *jobpb.Request) *jobpb.Reply {
		if r.Id == "stuck" {
			<-release
		}
		return &jobpb.Reply{Code: jobpb.Code_CODE_OK}
	})
	c := NewClient()
	_, err := call(t, c, address, "stuck", 100*time.Millisecond)
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%v", err)
	_, err = call(t, c, address, "next", longTimeout)
	assert.NilError(t, err)
}

// Guards against a refused connection that is reported as an unknown outcome.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = call(t, NewClient(), address, "x", longTimeout)
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

// Guards against a panic in the handler of one call that ends the process.
func TestPanicInOneCallDoesNotAffectOthers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	failures := make(chan any, 1)
	server := Serve(listener, func(_ context.Context, r *jobpb.Request) *jobpb.Reply {
		if r.Id == "poison" {
			panic("unexpected")
		}
		return &jobpb.Reply{Code: jobpb.Code_CODE_OK}
	}, func(reason any) { failures <- reason })
	defer server.Close()
	c, address := NewClient(), listener.Addr().String()
	_, err = call(t, c, address, "poison", longTimeout)
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent))
	assert.Equal(t, <-failures, "unexpected")
	_, err = call(t, c, address, "sound", longTimeout)
	assert.NilError(t, err)
}

// Guards against a peer that makes this process allocate memory by announcing a large
// message without sending it.
func TestAnnouncedLengthAllocatesNoMemory(t *testing.T) {
	var length [lengthPrefixBytes]byte
	binary.BigEndian.PutUint32(length[:], maxMessageBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 10 {
		_, err := readMessage(bytes.NewReader(length[:]), &jobpb.Reply{}, unlimited{})
		assert.Assert(t, err != nil)
	}
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxMessageBytes, "%d bytes for messages without body", after.TotalAlloc-before.TotalAlloc)
}
