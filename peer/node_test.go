package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// testTimeout bounds the wait for a result that normally takes milliseconds.
const testTimeout = 10 * time.Second

// countingClock is a logical clock that advances by one with each call of Now.
type countingClock struct{ now atomic.Uint64 }

func (c *countingClock) Now() uint64 { return c.now.Add(1) }

func (c *countingClock) Observe(t uint64) {
	for now := c.now.Load(); t > now && !c.now.CompareAndSwap(now, t); now = c.now.Load() {
	}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// startNode starts a node on a free loopback port. setup, if not nil, changes
// the configuration first.
func startNode(t testing.TB, id fleet.MemberID, setup func(*Config)) (*Node, fleet.Member) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	member := fleet.Member{ID: id, PeerAddress: listener.Addr().String(), Incarnation: 1}
	config := Config{Self: member, Clock: new(countingClock), Listener: listener}
	if setup != nil {
		setup(&config)
	}
	node, err := NewNode(config)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = node.Close() })
	node.Start()
	return node, member
}

// connect sets the same view on all nodes and waits until all are connected.
func connect(t testing.TB, version uint64, nodes []*Node, members ...fleet.Member) {
	ctx := testContext(t)
	for _, n := range nodes {
		n.SetMembers(fleet.MemberView{Version: version, Members: members})
	}
	for _, n := range nodes {
		for _, m := range members {
			if self, _ := n.identity(); m.ID != self.ID {
				waitUntil(t, ctx, func() bool { return n.Connected(m.ID) })
			}
		}
	}
}

func waitUntil(t testing.TB, ctx context.Context, condition func() bool) {
	t.Helper()
	for !condition() {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

// echoClaims registers a handler that replies to each claim with its view version.
func echoClaims(n *Node) {
	Handle(n, func(_ context.Context, _ Sender, c *peerpb.Claim) (proto.Message, error) {
		return &peerpb.ClaimReply{ViewVersion: c.GetViewVersion()}, nil
	})
}

// startPair starts two connected nodes, a and b. b replies to claims.
func startPair(t testing.TB, setup func(*Config)) (a, b *Node) {
	a, ma := startNode(t, "a", setup)
	b, mb := startNode(t, "b", setup)
	echoClaims(b)
	connect(t, 1, []*Node{a, b}, ma, mb)
	return a, b
}

// Guards against a reply that loses its type or content, and against a logical
// clock that stays behind the timestamp of a received message.
func TestCallReturnsReply(t *testing.T) {
	a, b := startPair(t, nil)
	const later = 1 << 40
	b.config.Clock.Observe(later)
	reply, err := CallTyped[*peerpb.ClaimReply](testContext(t), a, "b", ClassClaims, &peerpb.Claim{ViewVersion: 42})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetViewVersion(), uint64(42))
	assert.Check(t, a.config.Clock.Now() > later)
}
