package exchange

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the request target in origin form, for example "/orders?page=2".
	Target string
	Host   string
	// Header holds the header fields to send. Do removes hop-by-hop fields from
	// it in place.
	Header http.Header
	Body   []byte
	// BeforeWrite, when set, is called immediately before the first byte is
	// written to a connection. When it returns an error, nothing is written and
	// the exchange fails with StepBeforeWrite and NotWritten.
	BeforeWrite func() error
}

// Response is the response of a backend server without its hop-by-hop fields.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, or its first part when RemainingBody is set.
	Body []byte
	// RemainingBody streams the part of a body that exceeds
	// Options.ResponseBufferSize. It is nil for a shorter body. Its errors are of
	// type *Error. The caller must close it.
	RemainingBody io.ReadCloser
}

// Client performs exchanges. It is safe for concurrent use.
type Client interface {
	// Do sends req to addr at most once. Its errors are of type *Error. The context
	// bounds the exchange including Response.RemainingBody.
	Do(ctx context.Context, addr string, req *Request) (*Response, error)
}

// PooledClient is a Client with a bounded connection pool per address.
type PooledClient struct {
	options Options
	limit   atomic.Int64

	mu     sync.RWMutex
	pools  map[string]*pool
	closed bool
}

var _ Client = (*PooledClient)(nil)

// New returns a client, or an error when the options are invalid.
func New(o Options) (*PooledClient, error) {
	o = o.withDefaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	c := &PooledClient{options: o, pools: make(map[string]*pool)}
	c.limit.Store(int64(o.ConnectionsPerAddress))
	return c, nil
}

// SetConnectionLimit changes the maximum number of connections per address, which
// is at least 1. When the limit falls, surplus idle connections are closed at once
// and surplus busy ones when their exchange ends.
func (c *PooledClient) SetConnectionLimit(n int) {
	c.limit.Store(int64(max(n, 1)))
	for _, p := range c.allPools() {
		p.applyLimit()
	}
}

// Close closes the idle connections and makes later exchanges fail with ErrClosed.
// Exchanges in progress continue and close their connections when they end.
func (c *PooledClient) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, p := range c.allPools() {
		p.close()
	}
	return nil
}

// Do implements Client. It tries another connection only when the peer closed a
// reused one before the first byte of the request was written.
func (c *PooledClient) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	out, err := newOutgoingRequest(req)
	if err != nil {
		return nil, &Error{Step: StepPrepare, Peer: addr, Err: err}
	}
	p := c.pool(addr)
	for {
		cn, err := p.acquire(ctx)
		if err != nil {
			return nil, err
		}
		resp, err := cn.exchange(ctx, out, req)
		if err == nil {
			return resp, nil
		}
		if !cn.closedBeforeWrite(err) {
			return nil, err
		}
		out.resetBody(req)
	}
}

// pool returns the connection pool of an address and creates it on first use.
func (c *PooledClient) pool(addr string) *pool {
	c.mu.RLock()
	p := c.pools[addr]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[addr]; p == nil {
		p = &pool{client: c, addr: addr, closed: c.closed}
		c.pools[addr] = p
	}
	return p
}

func (c *PooledClient) allPools() []*pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	all := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		all = append(all, p)
	}
	return all
}
