package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"peridotcrank.dev/jobs/worker"
)

// incarnation is a worker from one of its starts until the next.
type incarnation struct {
	info       worker.Info
	ctx        context.Context // Ends with the connections of this incarnation.
	disconnect context.CancelFunc
	ended      bool // The next incarnation has not started yet.
	process    *process
}

// process has the connections of one or more incarnations.
type process struct {
	ctx              context.Context // Ends when the connections are closed.
	closeConnections context.CancelFunc
	ended            bool
}

func newProcess() *process {
	ctx, cancel := context.WithCancel(context.Background())
	return &process{ctx: ctx, closeConnections: cancel}
}

func newIncarnation(info worker.Info, of *process) *incarnation {
	ctx, cancel := context.WithCancel(context.Background())
	return &incarnation{info: info, ctx: ctx, disconnect: cancel, process: of}
}

// Restart describes how a worker restarts.
type Restart struct {
	// CloseConnections closes the connections of the calls in flight. Otherwise these
	// calls get no reply.
	CloseConnections bool
	// Down is the time from the end of the former incarnation to the start of the next one.
	// Calls that are sent to the worker meanwhile fail like those in flight.
	Down time.Duration
	// NewProcess makes the next incarnation another process: no call reaches it over the connections that
	// were opened before it has started. If CloseConnections is set, they are closed; otherwise they stay
	// open without replies, as those of a host that is gone.
	NewProcess bool
	// RegisterAfter is the time from the start of the new incarnation until the registry lists it.
	RegisterAfter time.Duration
}

// RestartWorker restarts a worker under its ID with a later start time. It does nothing to a worker
// that is already restarting.
func (p *Platform) RestartWorker(id worker.ID, restart Restart) error {
	p.mu.Lock()
	former := p.workers[id]
	if former.ended {
		p.mu.Unlock()
		return nil
	}
	if restart.Down > 0 {
		former.ended = true
		p.Fleet.Kill(id)
	}
	former.process.ended = restart.NewProcess
	p.mu.Unlock()
	if restart.CloseConnections && restart.NewProcess {
		defer former.process.closeConnections()
	}
	if restart.CloseConnections {
		defer former.disconnect()
	}
	if restart.Down == 0 {
		return p.startNext(id, former, restart)
	}
	// The entry of every incarnation can be encoded.
	time.AfterFunc(restart.Down, func() { _ = p.startNext(id, former, restart) })
	return nil
}

// startNext starts the next incarnation of a worker.
func (p *Platform) startNext(id worker.ID, former *incarnation, restart Restart) error {
	info := former.info
	info.StartedUnixMs++
	p.mu.Lock()
	next := newIncarnation(info, former.process)
	if former.process.ended {
		next.process = newProcess()
	}
	p.workers[id] = next
	p.Fleet.Add(info)
	p.mu.Unlock()
	if restart.RegisterAfter == 0 {
		return p.register(info)
	}
	time.AfterFunc(restart.RegisterAfter, func() {
		if p.incarnation(id) == next {
			_ = p.register(info) // The entry of every incarnation can be encoded.
		}
	})
	return nil
}

func (p *Platform) incarnation(id worker.ID) *incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id]
}

// acceptorKey is the key of the incarnation in the context of a connection to a worker.
type acceptorKey struct{}

// bindConnections returns a function that binds a connection to a worker to the incarnation that is up.
func (p *Platform) bindConnections(id worker.ID) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, conn net.Conn) context.Context {
		acceptor := p.incarnation(id)
		context.AfterFunc(acceptor.process.ctx, func() { conn.Close() })
		return context.WithValue(ctx, acceptorKey{}, acceptor)
	}
}

// receiver returns the incarnation that a call reaches, and false if its process has ended.
func (p *Platform) receiver(r *http.Request, id worker.ID) (*incarnation, bool) {
	acceptor := r.Context().Value(acceptorKey{}).(*incarnation)
	p.mu.Lock()
	defer p.mu.Unlock()
	if acceptor.process.ended {
		return acceptor, false
	}
	return p.workers[id], true
}

// cut is an owner that is cut off from the workers of its pool. The fences that it has up to the cut
// are not above fence, and those of the next owner are.
type cut struct {
	fence       uint64
	repliesOnly bool // Its orders are executed.
}

// CutOwner cuts the current owner of a pool off from the pool's workers: its orders are
// not executed, and its calls get no reply.
func (p *Platform) CutOwner(pool string) { p.cutOwner(pool, false) }

// CutReplies cuts off the replies to the current owner of a pool: its orders are executed,
// and its calls get no reply.
func (p *Platform) CutReplies(pool string) { p.cutOwner(pool, true) }

func (p *Platform) cutOwner(pool string, repliesOnly bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[pool] = cut{p.Store.TakeVersion(), repliesOnly}
}

// ReconnectOwner ends the effect of CutOwner and CutReplies.
func (p *Platform) ReconnectOwner(pool string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cuts, pool)
}

// SetReplyDelay sets how long the replies to all orders to workers are on their way.
func (p *Platform) SetReplyDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replyDelay = delay
}

// ClearReplyDelay ends the effect of SetReplyDelay unless another delay was set since.
func (p *Platform) ClearReplyDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.replyDelay == delay {
		p.replyDelay = 0
	}
}

// delayReply waits while a reply is on its way, until its receiver gives up.
func (p *Platform) delayReply(ctx context.Context) {
	p.mu.Lock()
	delay := p.replyDelay
	p.mu.Unlock()
	if delay == 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// findCut reports whether the sender of an order gets no replies from the pool's workers, and
// whether its orders do not reach them either.
func (p *Platform) findCut(pool string, fence uint64) (replies, orders bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.cuts[pool]
	replies = fence <= found.fence
	return replies, replies && !found.repliesOnly
}

// HoldUpCalls holds up the calls to workers and their replies, as a cut does, until release is
// called. The calls are then executed by the incarnations that are up, although their senders
// may have given up.
func (p *Platform) HoldUpCalls(ids []worker.ID) (release func()) {
	released := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	var held []worker.ID
	for _, id := range ids {
		if p.heldUp[id] == nil {
			p.heldUp[id] = released
			held = append(held, id)
		}
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, id := range held {
			delete(p.heldUp, id)
		}
		close(released)
	}
}

// CutWorkers holds up the calls to workers until release is called, as HoldUpCalls does, and lets their
// entries expire meanwhile.
func (p *Platform) CutWorkers(ids []worker.ID, expiry time.Duration) (release func()) {
	releaseCalls, restoreEntries := p.HoldUpCalls(ids), p.ExpireEntries(ids, expiry)
	return func() {
		releaseCalls()
		restoreEntries()
	}
}

// ExpireEntries lets the registry drop the entries of workers after expiry, unless restore is called
// before. It has those of the current incarnations from restore on.
func (p *Platform) ExpireEntries(ids []worker.ID, expiry time.Duration) (restore func()) {
	expired := time.AfterFunc(expiry, func() {
		for _, id := range ids {
			p.deregister(id)
		}
	})
	return func() {
		if expired.Stop() {
			return
		}
		for _, id := range ids {
			_ = p.register(p.incarnation(id).info) // The entry of every incarnation can be encoded.
		}
	}
}

// awaitPath waits while the calls to a worker are held up.
func (p *Platform) awaitPath(id worker.ID) {
	p.mu.Lock()
	released := p.heldUp[id]
	p.mu.Unlock()
	if released != nil {
		<-released
	}
}

// SetReplyLoss sets the number of replies of a pool's workers of which one is lost; 0 for no loss.
func (p *Platform) SetReplyLoss(pool string, interval int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replyLoss[pool] = interval
}

// losesReply reports whether the reply that a worker of a pool is about to send is lost.
func (p *Platform) losesReply(pool string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies++
	interval := p.replyLoss[pool]
	return interval > 0 && p.replies%interval == 0
}
