package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// Node is the messaging endpoint of one entry process. It is safe for concurrent
// use.
type Node struct {
	config   Config // Self.Incarnation is guarded by mu.
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	nextID   atomic.Uint64
	counts   counters

	mu          sync.Mutex
	handlers    map[protoreflect.FullName]handlerFunc
	viewVersion uint64
	links       map[fleet.MemberID]*link
	sessions    map[*session]struct{}
	// incarnations holds the lowest acceptable incarnation of each member seen so
	// far. Members that left remain in it, so that their old incarnations are
	// still refused.
	incarnations map[fleet.MemberID]uint64
}

// NewNode returns a node that listens for connections but does not accept them
// until Start. Register handlers with Handle before Start. It returns an error
// when config is invalid or the address cannot be listened on.
func NewNode(config Config) (*Node, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	n := &Node{
		config: config.withDefaults(), listener: config.Listener,
		handlers:     make(map[protoreflect.FullName]handlerFunc),
		links:        make(map[fleet.MemberID]*link),
		sessions:     make(map[*session]struct{}),
		incarnations: make(map[fleet.MemberID]uint64),
	}
	// Request IDs start at a random number, so that they do not match those of an
	// earlier process.
	n.nextID.Store(rand.Uint64() >> 1)
	if n.listener == nil {
		listener, err := net.Listen("tcp", config.Self.PeerAddress)
		if err != nil {
			return nil, fmt.Errorf("peer: listen: %w", err)
		}
		n.listener = listener
	}
	limiter, err := n.newLimiter()
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	n.listener = limiter.Listen(n.listener)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n, nil
}

// Start begins accepting sessions. Outgoing sessions begin with SetMembers.
func (n *Node) Start() { n.running.Go(n.acceptLoop) }

// Addr returns the address on which the node listens.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// Close ends all sessions and waits for the node's goroutines. It cancels the
// contexts of running handlers but does not wait for the handlers.
func (n *Node) Close() error {
	n.cancel()
	err := n.listener.Close()
	n.running.Wait()
	return err
}

// identity returns this process as a member and the version of the current view.
func (n *Node) identity() (self fleet.Member, view uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Self, n.viewVersion
}

// Call sends a request to a member and waits for its reply. The time left until
// the context's deadline is sent with the request. Call fails immediately when
// there is no session or the send queue is full. MaybeSent tells whether a
// failed request may have reached the member.
func (n *Node) Call(ctx context.Context, member fleet.MemberID, class Class, message proto.Message) (proto.Message, error) {
	c, envelope, err := n.prepareOutgoing(member, class, message)
	if err != nil {
		return nil, err
	}
	envelope.RequestId = n.nextID.Add(1)
	reply, err := c.call(ctx, envelope)
	if err != nil {
		return nil, err
	}
	if reply.GetError() != "" {
		return nil, c.errorAt(StepHandle, true, fmt.Errorf("%w: %s", ErrRemote, reply.GetError()))
	}
	return body(reply), nil
}

// Notify queues a message that has no reply. A nil error means that the message
// was queued, not that it was received.
func (n *Node) Notify(ctx context.Context, member fleet.MemberID, class Class, message proto.Message) error {
	c, envelope, err := n.prepareOutgoing(member, class, message)
	if err != nil {
		return err
	}
	return c.notify(ctx, envelope)
}

// Connected reports whether an outgoing session to the member is established.
func (n *Node) Connected(member fleet.MemberID) bool {
	_, err := n.callerFor(member, ClassControl)
	return err == nil
}

// prepareOutgoing returns the caller for the member and class, and an envelope
// with the message. It returns an error when there is no session or the message
// cannot be sent.
func (n *Node) prepareOutgoing(member fleet.MemberID, class Class, message proto.Message) (*caller, *peerpb.Envelope, error) {
	fail := func(err error) (*caller, *peerpb.Envelope, error) {
		return nil, nil, &Error{Step: StepQueue, Peer: member, Err: err}
	}
	c, err := n.callerFor(member, class)
	if err != nil {
		return fail(err)
	}
	envelope := new(peerpb.Envelope)
	if err := setBody(envelope, message); err != nil {
		return fail(err)
	}
	if err := checkSize(envelope, n.config.MaxFrame); err != nil {
		return fail(err)
	}
	return c, envelope, nil
}

// callerFor returns the caller for the member and class, or ErrClosed,
// ErrUnknownMember or ErrNotConnected.
func (n *Node) callerFor(member fleet.MemberID, class Class) (*caller, error) {
	n.mu.Lock()
	l := n.links[member]
	n.mu.Unlock()
	switch {
	case n.ctx.Err() != nil:
		return nil, ErrClosed
	case l == nil:
		return nil, ErrUnknownMember
	}
	if c := l.callers[class].Load(); c != nil {
		return c, nil
	}
	return nil, ErrNotConnected
}
