package exchange

import (
	"context"
	"slices"
	"sync"
	"time"
)

// pool holds the connections to one address.
type pool struct {
	client *Pooled
	addr   string

	mu      sync.Mutex
	closed  bool
	open    int          // Connections in use, idle or being dialled.
	idle    []*conn      // Least recently used first.
	waiters []chan grant // First come, first served.
	sweeper *time.Timer  // Set while idle connections await their timeout.
}

// grant is what a waiter receives: an idle connection, or the permission to
// dial when conn is nil.
type grant struct{ conn *conn }

// acquire returns a live connection with exclusive use.
func (p *pool) acquire(ctx context.Context) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, p.fail(StepConnect, err)
	}
	for {
		g, err := p.reserve(ctx)
		if err != nil {
			return nil, p.fail(StepConnect, err)
		}
		if g.conn == nil {
			return p.dial(ctx)
		}
		if g.conn.usable() {
			return g.conn, nil
		}
		p.drop(g.conn)
	}
}

func (p *pool) fail(step Step, err error) error {
	return &Error{Step: step, Peer: p.addr, Progress: NotWritten, Err: err}
}

// reserve takes an idle connection or the permission to dial, and waits when
// the limit is reached.
func (p *pool) reserve(ctx context.Context) (grant, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return grant{}, ErrClosed
	}
	if n := len(p.idle); n > 0 {
		cn := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return grant{cn}, nil
	}
	if p.open < p.limit() {
		p.open++
		p.mu.Unlock()
		return grant{}, nil
	}
	w := make(chan grant, 1)
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	return p.wait(ctx, w)
}

func (p *pool) wait(ctx context.Context, w chan grant) (grant, error) {
	select {
	case g := <-w:
		return g, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		p.mu.Unlock()
		return grant{}, ctx.Err()
	}
	p.mu.Unlock()
	// The grant was made at the same time. It goes to the next waiter.
	if g := <-w; g.conn != nil {
		p.put(g.conn)
	} else {
		p.returnPermit()
	}
	return grant{}, ctx.Err()
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.client.options.DialTimeout)
	defer cancel()
	nc, err := p.client.options.Dial(dialCtx, p.addr)
	if err != nil {
		p.returnPermit()
		return nil, p.fail(StepDial, withContext(ctx, err))
	}
	return newConn(p, nc), nil
}

// put makes a connection available for the next exchange.
func (p *pool) put(cn *conn) {
	p.mu.Lock()
	if p.closed || p.open > p.limit() {
		p.mu.Unlock()
		p.drop(cn)
		return
	}
	cn.reused, cn.idleSince = true, time.Now()
	if p.handOver(grant{cn}) {
		p.mu.Unlock()
		return
	}
	p.idle = append(p.idle, cn)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.client.options.IdleTimeout, p.sweep)
	}
	p.mu.Unlock()
}

// drop closes a connection and frees its place.
func (p *pool) drop(cn *conn) {
	cn.nc.Close()
	p.returnPermit()
}

func (p *pool) returnPermit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > p.limit() || !p.handOver(grant{}) {
		p.open--
	}
}

// handOver gives g to the first waiter. The lock is held.
func (p *pool) handOver(g grant) bool {
	if len(p.waiters) == 0 {
		return false
	}
	p.waiters[0] <- g
	p.waiters = slices.Delete(p.waiters, 0, 1)
	return true
}

func (p *pool) limit() int { return int(p.client.limit.Load()) }

// limitChanged lets waiters dial after the limit was raised, and closes idle
// connections after it was lowered.
func (p *pool) limitChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(min(p.open-p.limit(), len(p.idle)))
	for p.open < p.limit() && p.handOver(grant{}) {
		p.open++
	}
}

// sweep closes the connections that have been idle for the idle timeout.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := p.client.options.IdleTimeout
	now := time.Now()
	expired := 0
	for expired < len(p.idle) && now.Sub(p.idle[expired].idleSince) >= timeout {
		expired++
	}
	p.closeIdle(expired)
	if len(p.idle) == 0 || p.closed {
		p.sweeper = nil
		return
	}
	p.sweeper.Reset(p.idle[0].idleSince.Add(timeout).Sub(now))
}

// closeIdle closes the n least recently used idle connections. The lock is held.
func (p *pool) closeIdle(n int) {
	if n <= 0 {
		return
	}
	for _, cn := range p.idle[:n] {
		cn.nc.Close()
	}
	p.idle = slices.Delete(p.idle, 0, n)
	p.open -= n
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle(len(p.idle))
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
}
