package exchange

import (
	"context"
	"slices"
	"sync"
	"time"
)

// pool holds the connections to one address and the callers that wait for one.
type pool struct {
	client *PooledClient
	addr   string

	mu        sync.Mutex
	closed    bool
	open      int          // Connections in use, idle or being dialled.
	idle      []*conn      // Least recently used first.
	waiters   []chan grant // Served in the order of arrival.
	idleTimer *time.Timer  // Set while there are idle connections to close after their timeout.
}

// grant is what a waiter receives: an idle connection, or permission to dial when
// conn is nil.
type grant struct{ conn *conn }

// acquire returns an idle connection that is still usable, or a new one. The
// caller has exclusive use of it.
func (p *pool) acquire(ctx context.Context) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, p.newError(StepAcquire, err)
	}
	for {
		g, err := p.takeGrant(ctx)
		if err != nil {
			return nil, p.newError(StepAcquire, err)
		}
		if g.conn == nil {
			return p.dial(ctx)
		}
		if g.conn.usable() {
			return g.conn, nil
		}
		p.closeConn(g.conn)
	}
}

// newError returns an *Error for a step in which nothing was written.
func (p *pool) newError(step Step, err error) error {
	return &Error{Step: step, Peer: p.addr, Progress: NotWritten, Err: err}
}

// takeGrant takes an idle connection or permission to dial. When the limit is
// reached, it waits for one until the context ends.
func (p *pool) takeGrant(ctx context.Context) (grant, error) {
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
	return p.waitForGrant(ctx, w)
}

// waitForGrant waits for a grant on w until the context ends.
func (p *pool) waitForGrant(ctx context.Context, w chan grant) (grant, error) {
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
	// The grant was made while the context ended. It is passed to the next waiter.
	if g := <-w; g.conn != nil {
		p.put(g.conn)
	} else {
		p.returnPermit()
	}
	return grant{}, ctx.Err()
}

// dial establishes a connection. The caller must hold a permission to dial, which
// dial returns to the pool when it fails.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.client.options.DialTimeout)
	defer cancel()
	nc, err := p.client.options.Dial(dialCtx, p.addr)
	if err != nil {
		p.returnPermit()
		return nil, p.newError(StepDial, withContextError(ctx, err))
	}
	return newConn(p, nc), nil
}

// put passes a connection to the first waiter or adds it to the idle connections.
// It closes the connection when the pool is closed or above its limit.
func (p *pool) put(cn *conn) {
	p.mu.Lock()
	if p.closed || p.open > p.limit() {
		p.mu.Unlock()
		p.closeConn(cn)
		return
	}
	cn.reused, cn.idleSince = true, time.Now()
	if p.grantToWaiter(grant{cn}) {
		p.mu.Unlock()
		return
	}
	p.idle = append(p.idle, cn)
	if p.idleTimer == nil {
		p.idleTimer = time.AfterFunc(p.client.options.IdleTimeout, p.closeExpired)
	}
	p.mu.Unlock()
}

// closeConn closes a connection and returns its permission to the pool.
func (p *pool) closeConn(cn *conn) {
	cn.nc.Close()
	p.returnPermit()
}

// returnPermit passes the permission to dial to the first waiter, or reduces the
// number of open connections.
func (p *pool) returnPermit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > p.limit() || !p.grantToWaiter(grant{}) {
		p.open--
	}
}

// grantToWaiter passes g to the first waiter, or returns false when there is none.
// The caller holds the lock.
func (p *pool) grantToWaiter(g grant) bool {
	if len(p.waiters) == 0 {
		return false
	}
	p.waiters[0] <- g
	p.waiters = slices.Delete(p.waiters, 0, 1)
	return true
}

func (p *pool) limit() int { return int(p.client.limit.Load()) }

// applyLimit lets waiters dial after the limit was raised, and closes surplus idle
// connections after it was lowered.
func (p *pool) applyLimit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(min(p.open-p.limit(), len(p.idle)))
	for p.open < p.limit() && p.grantToWaiter(grant{}) {
		p.open++
	}
}

// closeExpired closes the connections that have been idle for the idle timeout,
// and sets the timer for the next one.
func (p *pool) closeExpired() {
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
		p.idleTimer = nil
		return
	}
	p.idleTimer.Reset(p.idle[0].idleSince.Add(timeout).Sub(now))
}

// closeIdle closes the n least recently used idle connections. The caller holds
// the lock.
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

// close closes the idle connections and makes takeGrant fail.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle(len(p.idle))
	if p.idleTimer != nil {
		p.idleTimer.Stop()
	}
}
