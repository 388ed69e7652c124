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
	// BeforeWrite, when set, is called directly before the first byte is
	// written to a connection. Its error ends the exchange with NotWritten.
	BeforeWrite func() error
}

// Response is the answer of a backend server without its hop-by-hop fields.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, or its first part when Rest is set.
	Body []byte
	// Rest is the remainder of a body that exceeds the buffer, nil otherwise.
	// Its errors are of type *Error. It must be closed.
	Rest io.ReadCloser
}

// Client performs exchanges. It is safe for concurrent use.
type Client interface {
	// Do sends req to addr at most once. On error, *Error carries Step, Peer and
	// Progress. The context bounds the exchange including Response.Rest.
	Do(ctx context.Context, addr string, req *Request) (*Response, error)
}

// Pooled is a Client with a bounded connection pool per address.
type Pooled struct {
	options Options
	limit   atomic.Int64

	mu     sync.RWMutex
	pools  map[string]*pool
	closed bool
}

var _ Client = (*Pooled)(nil)

// New returns a client, or an error when the options are invalid.
func New(o Options) (*Pooled, error) {
	o = o.withDefaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	c := &Pooled{options: o, pools: make(map[string]*pool)}
	c.limit.Store(int64(o.ConnectionsPerAddress))
	return c, nil
}

// SetConnectionLimit changes the number of connections per address. Above a
// lower limit, idle connections are closed at once and others when their
// exchange ends.
func (c *Pooled) SetConnectionLimit(n int) {
	c.limit.Store(int64(max(n, 1)))
	for _, p := range c.allPools() {
		p.limitChanged()
	}
}

// Close closes the idle connections. Exchanges in progress continue and close
// their connections when they end.
func (c *Pooled) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, p := range c.allPools() {
		p.close()
	}
	return nil
}

// Do implements Client.
func (c *Pooled) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	outgoing, err := newOutgoing(req)
	if err != nil {
		return nil, &Error{Step: StepPrepare, Peer: addr, Err: err}
	}
	p := c.pool(addr)
	for {
		cn, err := p.acquire(ctx)
		if err != nil {
			return nil, err
		}
		resp, err := cn.exchange(ctx, outgoing, req)
		if err == nil {
			return resp, nil
		}
		if !cn.staleBeforeWrite(err) {
			return nil, err
		}
		outgoing.rewind(req)
	}
}

func (c *Pooled) pool(addr string) *pool {
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

func (c *Pooled) allPools() []*pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	all := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		all = append(all, p)
	}
	return all
}
