package relay

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/limits/inbound"
)

// defaultOptions are the limits for peers of a process with 284 MiB and 4,100 descriptors, the defaults.
var defaultOptions = inbound.Options{Connections: 4100 / 16, Memory: 284 << 20 / 8}

// largeTransaction returns a call to the store of about 1 MB, the most that the store accepts.
func largeTransaction() *jobpb.Request {
	const rows, rowBytes = 16, 60_000
	tx := &jobpb.Transaction{}
	for i := range rows {
		key := &jobpb.RowKey{Table: "jobs", Part: "p", Name: fmt.Sprint(i)}
		tx.Set = append(tx.Set, &jobpb.StoredRow{Key: key, Value: make([]byte, rowBytes)})
	}
	return &jobpb.Request{Store: &jobpb.StoreCall{Call: &jobpb.StoreCall_Commit{Commit: tx}}}
}

// Guards against a limit that cuts relayed store calls of legal size, and with them all calls of their sessions.
func TestConcurrentLargeStoreCallsAreServed(t *testing.T) {
	for _, peers := range []int{1, 2, 4, 8} {
		t.Run(fmt.Sprint(peers), func(t *testing.T) {
			var arrived sync.WaitGroup
			arrived.Add(peers)
			address, _ := listenBounded(t, defaultOptions, func(ctx context.Context, r *jobpb.Request) *jobpb.Reply {
				arrived.Done()
				all := make(chan struct{})
				go func() { arrived.Wait(); close(all) }()
				select {
				case <-all:
				case <-ctx.Done():
				}
				return echo(ctx, r)
			})
			errs := make(chan error, peers)
			for range peers {
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
					defer cancel()
					_, err := NewClient().Call(ctx, address, largeTransaction())
					errs <- err
				}()
			}
			for range peers {
				assert.NilError(t, <-errs)
			}
		})
	}
}

// Guards against streams whose message is refused and which the peer does not close: what they have received stays
// in memory for minutes, and is counted no longer.
func TestRefusedMessagesDoNotStayInMemory(t *testing.T) {
	const (
		streams     = 200
		streamBytes = 256 << 10 // The receive window of a stream.
		bound       = streams * streamBytes / 2
	)
	address, limiter := listenBounded(t, inbound.Options{Connections: 2, Memory: 8 << 20}, echo)
	session := openSession(t, address)
	message := make([]byte, streamBytes)
	binary.BigEndian.PutUint32(message, maxMessageBytes+1)
	before := heapBytes()
	for range streams {
		stream, err := session.OpenStream()
		if err != nil {
			break // The session was closed.
		}
		if _, err := stream.Write(message); err != nil {
			break
		}
	}
	// A ping is answered after the frames before it.
	_, _ = session.Ping() // It fails if the session was closed.
	for deadline := time.Now().Add(longTimeout); ; time.Sleep(10 * time.Millisecond) {
		grown := heapBytes() - before
		if grown <= bound {
			return
		}
		used, _ := limiter.Used()
		assert.Assert(t, time.Now().Before(deadline), "the heap has grown by %d bytes, of which %d are counted", grown, used)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

const (
	unfinishedSessions = 64
	unfinishedMemory   = 4 << 20
)

// startUnfinishedFrames opens sessions that send all but the last byte of a frame, and returns how much the heap
// has grown since, and what is counted.
func startUnfinishedFrames(t *testing.T) (growth func() (grown, counted int64)) {
	const frameBytes = 256 << 10
	address, limiter := listenBounded(t, inbound.Options{Connections: 2 * unfinishedSessions, Memory: unfinishedMemory}, echo)
	frame := make([]byte, frameHeaderBytes+frameBytes-1)
	frame[3] = 1 // SYN
	binary.BigEndian.PutUint32(frame[4:], 1)
	binary.BigEndian.PutUint32(frame[frameLengthOffset:], frameBytes)
	before := heapBytes()
	for range unfinishedSessions {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		_, _ = conn.Write(frame) // The server may have closed the connection.
	}
	return func() (grown, counted int64) {
		counted, _ = limiter.Used()
		return heapBytes() - before, counted
	}
}

// Guards against frames that stop short of their end: a session buffers what it receives of a frame before
// a stream is read, and that is not counted.
func TestUnfinishedFramesAreCounted(t *testing.T) {
	growth := startUnfinishedFrames(t)
	// As much again as the limit may be garbage or state that is not proportional to what a peer sends.
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		grown, counted := growth()
		assert.Assert(t, grown <= 2*unfinishedMemory, "the heap has grown by %d bytes, of which %d are counted; the limit is %d", grown, counted, unfinishedMemory)
	}
}

// Guards against the same, once the sessions that were closed for others have ended.
func TestUnfinishedFramesDoNotStayInMemory(t *testing.T) {
	growth := startUnfinishedFrames(t)
	for deadline := time.Now().Add(longTimeout); ; time.Sleep(10 * time.Millisecond) {
		grown, counted := growth()
		if grown <= 2*unfinishedMemory {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "the heap has grown by %d bytes, of which %d are counted; the limit is %d", grown, counted, unfinishedMemory)
	}
}

// Guards against connections that send nothing and, at the limit of sessions, cut those with calls in progress.
func TestSilentSessionsDoNotCutCalls(t *testing.T) {
	const sessions = 10
	arrived, release := make(chan struct{}), make(chan struct{})
	var closed atomic.Int64
	options := inbound.Options{Connections: sessions, Memory: 1 << 20, Closed: func(inbound.Reason) { closed.Add(1) }}
	address, _ := listenBounded(t, options, func(ctx context.Context, r *jobpb.Request) *jobpb.Reply {
		close(arrived)
		<-release
		return echo(ctx, r)
	})
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
		defer cancel()
		_, err := NewClient().Call(ctx, address, &jobpb.Request{Id: "a", TimeoutMs: longTimeout.Milliseconds()})
		result <- err
	}()
	<-arrived
	for range 3*sessions - 1 {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
	}
	for deadline := time.Now().Add(longTimeout / 2); closed.Load() < 2*sessions; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d connections were closed", closed.Load())
	}
	close(release)
	assert.NilError(t, <-result)
}
