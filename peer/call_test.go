package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotcrank.dev/peer/peerpb"
)

// pipeCaller returns a caller whose peer is the other end of a connection.
func pipeCaller(t testing.TB) (*caller, net.Conn) {
	near, far := net.Pipe()
	node := &Node{config: Config{Clock: new(countingClock)}.withDefaults()}
	c := newCaller(newStream(context.Background(), node, ClassClaims, near), "b")
	context.AfterFunc(c.ctx, func() { _ = near.Close() })
	go c.readLoop()
	go c.writeLoop()
	t.Cleanup(func() { c.cancel(ErrClosed); _ = far.Close() })
	return c, far
}

func claimEnvelope(id uint64) *peerpb.Envelope {
	return &peerpb.Envelope{RequestId: id, Body: &peerpb.Envelope_Claim{Claim: &peerpb.Claim{ViewVersion: id * 3}}}
}

// disturb answers requests in shuffled order, some twice, some never, some with
// unknown identities, and never a request with another one's content.
func disturb(conn net.Conn, total int, random *rand.Rand, lost float64) error {
	reader := newFrameReader(conn, DefaultMaxFrame, new(classCounters))
	var replies []*peerpb.Envelope
	for range total {
		request, err := reader.read()
		if err != nil {
			return err
		}
		reply := &peerpb.Envelope{RequestId: request.GetRequestId(), Reply: true,
			Body: &peerpb.Envelope_ClaimReply{ClaimReply: &peerpb.ClaimReply{ViewVersion: request.GetClaim().GetViewVersion()}}}
		for random.Float64() > lost && len(replies) < 3*total {
			replies = append(replies, reply)
		}
		replies = append(replies, &peerpb.Envelope{RequestId: random.Uint64(), Reply: true})
	}
	random.Shuffle(len(replies), func(i, j int) { replies[i], replies[j] = replies[j], replies[i] })
	for _, reply := range replies {
		if _, err := protodelim.MarshalTo(conn, reply); err != nil {
			return err
		}
	}
	return nil
}

// A caller must get the reply to its own request or an error, whatever the order
// and number of replies.
func TestRepliesReachTheirCallers(t *testing.T) {
	answered, failed := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		total := rapid.IntRange(1, 60).Draw(r, "calls")
		lost := rapid.Float64Range(0.05, 0.95).Draw(r, "lost")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		c, far := pipeCaller(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			_ = disturb(far, total, random, lost)
			_ = far.Close()
		}()
		var mu sync.Mutex
		var calls sync.WaitGroup
		for id := uint64(1); id <= uint64(total); id++ {
			calls.Go(func() {
				reply, err := c.call(ctx, claimEnvelope(id))
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed++
					assert.Check(r, MaybeSent(err) && errors.Is(err, ErrSessionLost), "%v", err)
					return
				}
				answered++
				assert.Check(r, reply.GetClaimReply().GetViewVersion() == id*3)
			})
		}
		calls.Wait()
		assert.Check(r, len(c.pending) == 0, "calls left behind")
	})
	assert.Check(t, answered > 0 && failed > 0)
}

// A reply that arrives after its caller gave up must be dropped and counted.
func TestLateReplyIsDropped(t *testing.T) {
	c, far := pipeCaller(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := c.call(ctx, claimEnvelope(1))
		done <- err
	}()
	request, err := newFrameReader(far, DefaultMaxFrame, new(classCounters)).read()
	assert.NilError(t, err)
	cancel()
	err = <-done
	assert.Check(t, errors.Is(err, context.Canceled) && MaybeSent(err))
	_, err = protodelim.MarshalTo(far, &peerpb.Envelope{RequestId: request.GetRequestId(), Reply: true})
	assert.NilError(t, err)
	waitUntil(t, testContext(t), func() bool { return c.node.counts.repliesUnmatched.Load() == 1 })
}

// A peer that reads nothing must not block callers, and a request that was not
// written must be reported as not sent.
func TestSlowPeerDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := pipeCaller(t) // Nobody reads the other end.
		queued := 0
		fill := func() {
			for ; c.notify(context.Background(), claimEnvelope(0)) == nil; queued++ {
				assert.Check(t, queued <= DefaultQueueLength+maxBatch+1)
			}
		}
		fill()
		synctest.Wait() // The writer may take a batch off the queue; then it waits for the peer.
		fill()
		began := time.Now()
		_, err := c.call(context.Background(), claimEnvelope(1))
		assert.Check(t, errors.Is(err, ErrQueueFull) && !MaybeSent(err))
		assert.Check(t, time.Since(began) == 0, "the call waited")
	})
}

// Each hop must leave the next one less time, and a request whose time is over
// must not be sent.
func TestDeadlineShrinks(t *testing.T) {
	now := time.Now()
	o := &outgoing{envelope: new(peerpb.Envelope), deadline: now.Add(100 * time.Millisecond)}
	assert.Check(t, o.prepare(now.Add(40*time.Millisecond)))
	assert.Equal(t, o.envelope.GetDeadlineMs(), uint32(59))
	o = &outgoing{envelope: new(peerpb.Envelope), deadline: now.Add(time.Millisecond)}
	assert.Check(t, !o.prepare(now))
	a, b := pair(t, nil)
	left := make(chan time.Duration, 1)
	Handle(b, func(ctx context.Context, _ Sender, _ *peerpb.DrainQuery) (proto.Message, error) {
		deadline, ok := ctx.Deadline()
		assert.Check(t, ok)
		left <- time.Until(deadline)
		return &peerpb.DrainReply{}, nil
	})
	ctx, cancel := context.WithTimeout(testContext(t), time.Second)
	defer cancel()
	_, err := a.Call(ctx, "b", ClassControl, &peerpb.DrainQuery{})
	assert.NilError(t, err)
	assert.Check(t, <-left < time.Second-hopReserve)
}

// Decoding must not panic, nor accept a frame over the limit.
func FuzzFrame(f *testing.F) {
	const limit = 4096
	for _, envelope := range []*peerpb.Envelope{claimEnvelope(1), {Reply: true, Error: "refused"},
		{Body: &peerpb.Envelope_ConfigPush{ConfigPush: &peerpb.ConfigPush{Document: make([]byte, limit)}}}} {
		var frame bytes.Buffer
		_, err := protodelim.MarshalTo(&frame, envelope)
		assert.NilError(f, err)
		f.Add(frame.Bytes())
		f.Add(append(bytes.Clone(frame.Bytes()), frame.Bytes()[:frame.Len()/2]...))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		size, _ := binary.Uvarint(data)
		reader := newFrameReader(bytes.NewReader(data), limit, new(classCounters))
		envelope, err := reader.read()
		assert.Check(t, err != nil || size <= limit, "accepted a frame of %d bytes", size)
		for ; err == nil; envelope, err = reader.read() {
			if message := body(envelope); message != nil {
				assert.NilError(t, setBody(new(peerpb.Envelope), message))
			}
		}
	})
}
