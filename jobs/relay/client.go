package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"peridotcrank.dev/jobs/jobpb"
)

// ErrNotSent means that a call did not reach the peer.
var ErrNotSent = errors.New("the call was not sent")

const dialTimeout = 400 * time.Millisecond

// Client calls peers over one session per address. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	mu      sync.Mutex
	session *yamux.Session
}

// NewClient returns a client without sessions.
func NewClient() *Client { return &Client{peers: map[string]*peer{}} }

// Call sends a request to the peer at an address and returns its reply. After an error
// that does not wrap [ErrNotSent], the call may have been executed.
func (c *Client) Call(ctx context.Context, address string, request *jobpb.Request) (*jobpb.Reply, error) {
	p := c.peer(address)
	session, err := p.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", address, ErrNotSent, err)
	}
	reply, err := exchange(ctx, session, request)
	if err != nil && !errors.Is(err, context.Canceled) {
		// A session on which a call got no reply may be dead.
		p.discardSession(session)
	}
	if err != nil {
		return nil, fmt.Errorf("call %v of %s: %w", request.Call, address, err)
	}
	return reply, nil
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peer{}
		c.peers[address] = p
	}
	return p
}

// connect returns the open session, or dials the peer if there is none.
func (p *peer) connect(ctx context.Context, address string) (*yamux.Session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && !p.session.IsClosed() {
		return p.session, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	p.session = session
	return session, nil
}

func (p *peer) discardSession(session *yamux.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == session {
		p.session = nil
	}
	// Other calls on the session may still get their replies.
	time.AfterFunc(defaultTimeout, func() { session.Close() })
}

func exchange(ctx context.Context, session *yamux.Session, request *jobpb.Request) (*jobpb.Reply, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer stream.Close()
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Now()) })
	defer stop()
	if err := writeMessage(stream, request); err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	reply := &jobpb.Reply{}
	if _, err := readMessage(stream, reply, unlimited{}); err != nil {
		return nil, fmt.Errorf("receive: %w", err)
	}
	return reply, nil
}
