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

// pipeCaller returns a caller and the peer's end of its connection.
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

// replyWithFaults reads total requests and replies in shuffled order. Some
// requests get several replies and some none, and some replies have unknown
// request IDs. No reply has the content of another request's reply.
func replyWithFaults(conn net.Conn, total int, random *rand.Rand, lossRate float64) error {
	reader := newFrameReader(conn, DefaultMaxFrame, new(classCounters))
	var replies []*peerpb.Envelope
	for range total {
		request, err := reader.read()
		if err != nil {
			return err
		}
		reply := &peerpb.Envelope{RequestId: request.GetRequestId(), Reply: true,
			Body: &peerpb.Envelope_ClaimReply{ClaimReply: &peerpb.ClaimReply{ViewVersion: request.GetClaim().GetViewVersion()}}}
		for random.Float64() > lossRate && len(replies) < 3*total {
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

// Guards against a call that gets the reply to another call, or never returns,
// when replies arrive out of order, more than once or not at all.
func TestRepliesReachTheirCallers(t *testing.T) {
	answered, failed := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		total := rapid.IntRange(1, 60).Draw(r, "calls")
		lossRate := rapid.Float64Range(0.05, 0.95).Draw(r, "lost")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		c, far := pipeCaller(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			_ = replyWithFaults(far, total, random, lossRate)
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

// Guards against a late reply that is not dropped and counted: it arrives after
// its call was cancelled.
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

// Guards against calls that block when the peer reads nothing, and against a
// request that was never written but is reported as possibly sent.
func TestSlowPeerDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := pipeCaller(t) // Nothing reads the peer's end.
		queued := 0
		fill := func() {
			for ; c.notify(context.Background(), claimEnvelope(0)) == nil; queued++ {
				assert.Check(t, queued <= DefaultQueueLength+maxBatch+1)
			}
		}
		fill()
		synctest.Wait() // The writer can take one batch from the queue and then blocks on the peer.
		fill()
		began := time.Now()
		_, err := c.call(context.Background(), claimEnvelope(1))
		assert.Check(t, errors.Is(err, ErrQueueFull) && !MaybeSent(err))
		assert.Check(t, time.Since(began) == 0, "the call waited")
	})
}

// Guards against a hop that passes on all of its remaining time, so that the
// reply arrives too late, and against sending a request after its deadline.
func TestDeadlineShrinks(t *testing.T) {
	now := time.Now()
	o := &outgoingMessage{envelope: new(peerpb.Envelope), deadline: now.Add(100 * time.Millisecond)}
	assert.Check(t, o.beginWrite(now.Add(40*time.Millisecond)))
	assert.Equal(t, o.envelope.GetDeadlineMs(), uint32(59))
	o = &outgoingMessage{envelope: new(peerpb.Envelope), deadline: now.Add(time.Millisecond)}
	assert.Check(t, !o.beginWrite(now))
	a, b := startPair(t, nil)
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

// Guards against malformed frames that make the decoder panic, and against
// accepting a frame that exceeds the limit.
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
