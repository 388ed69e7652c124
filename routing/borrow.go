package routing

import (
	"context"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/slots"
)

// borrow is the state of borrowing slots for one pool.
type borrow struct {
	requestInFlight bool                          // A request to a peer is in progress.
	idle            map[fleet.MemberID]idleReport // Latest reports of peers.
	lastProbe       time.Time                     // Last request to a random peer.
	lastWait        time.Time                     // Last time a request had to wait.
}

func newBorrow() borrow { return borrow{idle: map[fleet.MemberID]idleReport{}} }

// idleReport is the number of idle slots in a peer's latest heartbeat, less those
// borrowed since.
type idleReport struct {
	slots      int
	receivedAt time.Time
}

// returnMessage is a return or a handover of slots that waits to be sent. A
// handover has a ViewVersion other than 0.
type returnMessage struct {
	member fleet.MemberID
	slots.ReturnRequest
}

// IdleSlots returns the number of slots of each pool that this process could
// lend. Heartbeats carry it to the peers.
func (r *Router) IdleSlots() map[fleet.PoolID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	idle := map[fleet.PoolID]int{}
	if !r.viewValid(now) {
		return idle
	}
	for id, p := range r.pools {
		if p.queue.Len() > 0 {
			continue
		}
		for _, w := range p.availableWorkers(now) {
			idle[id] += bits.OnesCount64(w.Idle())
		}
	}
	return idle
}

// ReportIdle records the idle slots by pool that a peer's heartbeat announced.
func (r *Router) ReportIdle(member fleet.MemberID, idle map[fleet.PoolID]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	for id, p := range r.pools {
		p.borrow.idle[member] = idleReport{idle[id], now}
		if idle[id] > 0 && p.queue.Len() > 0 {
			r.requestSlots(now, p)
		}
	}
}

// Lend answers a peer's request for slots. It lends nothing while requests of the
// pool wait in this process.
func (r *Router) Lend(request slots.BorrowRequest) slots.BorrowReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	p := r.pools[request.Pool]
	if p == nil || p.queue.Len() > 0 || r.closed || !r.viewValid(now) {
		return slots.BorrowReply{}
	}
	return r.ledger.Lend(now, request, p.availableWorkers(now))
}

// TakeBack accepts slots that a peer returns or hands over, and gives them to waiting
// requests.
func (r *Router) TakeBack(request slots.ReturnRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	if r.ledger.AcceptReturn(request) {
		r.serveAllQueues(now)
	}
}

// requestSlots starts a request for slots to the peer with the most reported idle
// slots, or to a random peer once per ProbeInterval if no peer has reported any.
// It does nothing while a request for the pool is in progress.
func (r *Router) requestSlots(now time.Time, p *pool) {
	p.borrow.lastWait = now
	if r.options.Peers == nil || p.borrow.requestInFlight || r.closed {
		return
	}
	lender, mostIdle := fleet.MemberID(""), 0
	for id, rep := range p.borrow.idle {
		fresh := now.Sub(rep.receivedAt) <= r.options.Borrow.MaxReportAge
		if fresh && (rep.slots > mostIdle || rep.slots == mostIdle && mostIdle > 0 && id < lender) {
			lender, mostIdle = id, rep.slots
		}
	}
	if mostIdle == 0 {
		if lender = r.chooseProbePeer(now, p); lender == "" {
			return
		}
	}
	p.borrow.requestInFlight = true
	request := slots.BorrowRequest{From: r.self.ID, ViewVersion: r.ledger.Version(), Pool: p.id, Count: max(p.queue.Len(), 1)}
	go r.borrowFrom(p, lender, request)
}

// chooseProbePeer returns a random peer, or "" if there is none or less than
// ProbeInterval has passed since the last choice.
func (r *Router) chooseProbePeer(now time.Time, p *pool) fleet.MemberID {
	if now.Sub(p.borrow.lastProbe) < r.options.Borrow.ProbeInterval {
		return ""
	}
	p.borrow.lastProbe = now
	peers := slices.DeleteFunc(slices.Clone(r.members), func(m fleet.Member) bool { return m.ID == r.self.ID })
	if len(peers) == 0 {
		return ""
	}
	return peers[r.random.IntN(len(peers))].ID
}

// borrowFrom sends a borrow request to a peer and gives the borrowed slots to
// waiting requests.
func (r *Router) borrowFrom(p *pool, lender fleet.MemberID, request slots.BorrowRequest) {
	sent := r.options.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Borrow.Timeout)
	defer cancel()
	reply, err := r.options.Peers.Borrow(ctx, lender, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	p.borrow.requestInFlight = false
	borrowed := 0
	if err == nil {
		borrowed = r.ledger.AcceptLoan(now, sent, lender, request, reply)
	}
	rep := p.borrow.idle[lender]
	rep.slots = max(rep.slots-borrowed, 0)
	if borrowed == 0 {
		rep.slots = 0 // Until the next heartbeat.
	}
	p.borrow.idle[lender] = rep
	r.serveQueue(now, p)
	r.scheduleTimer(now, p)
	r.queueReturns(now)
}

// returnIdleSlots returns the idle borrowed slots of pools in which no request has
// waited for IdleTimeout.
func (r *Router) returnIdleSlots(now time.Time) {
	for _, p := range r.pools {
		if now.Sub(p.borrow.lastWait) < r.options.Borrow.IdleTimeout {
			continue
		}
		for _, b := range p.backends {
			if b.worker.Borrowed() != 0 {
				r.ledger.ReturnUnused([]*slots.Worker{b.worker})
			}
		}
	}
}

// queueReturns moves the ledger's returns and handovers to the outbox and starts
// the sending goroutine if it is not running. That goroutine ends when the outbox
// is empty.
func (r *Router) queueReturns(now time.Time) {
	returns, handovers := r.ledger.DrainReturns(now), r.ledger.DrainHandovers()
	if r.options.Peers == nil {
		return
	}
	for id, s := range returns {
		r.outbox = append(r.outbox, returnMessage{id, slots.ReturnRequest{From: r.self.ID, Slots: s}})
	}
	for _, h := range handovers {
		r.outbox = append(r.outbox, returnMessage{h.To, slots.ReturnRequest{From: r.self.ID, ViewVersion: h.ViewVersion, Slots: h.Slots}})
	}
	if len(r.outbox) > 0 && !r.sending {
		r.sending, r.delivered = true, make(chan struct{})
		go r.sendOutbox(r.delivered)
	}
}

// Flush waits until the sending goroutine has emptied the outbox, or returns an
// error when ctx ends. A process that has left the member view calls SetView with
// the view without itself and then Flush, so that the new homes of its slots can
// use them at once.
func (r *Router) Flush(ctx context.Context) error {
	r.mu.Lock()
	sending, delivered := r.sending, r.delivered
	r.mu.Unlock()
	if !sending {
		return nil
	}
	select {
	case <-delivered:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("routing: send returned slots: %w", ctx.Err())
	}
}

// sendOutbox sends the messages in the outbox until it is empty, then closes
// delivered.
func (r *Router) sendOutbox(delivered chan<- struct{}) {
	defer close(delivered)
	for {
		r.mu.Lock()
		batch := r.outbox
		r.outbox = nil
		r.sending = len(batch) > 0
		r.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		for _, message := range batch {
			// A return is not retried: its loss only delays the use of the slots until
			// the lease ends, and a repeated return could end a later loan.
			if err := r.sendReturn(message); err != nil && message.ViewVersion != 0 {
				go r.retryHandover(message)
			}
		}
	}
}

// sendReturn sends one return or handover to its member.
func (r *Router) sendReturn(m returnMessage) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Borrow.Timeout)
	defer cancel()
	return r.options.Peers.Return(ctx, m.member, m.ReturnRequest)
}

const (
	// handoverRetryInterval is the time between attempts to deliver a handover.
	handoverRetryInterval = 100 * time.Millisecond
	// maxHandoverRetries covers the time after which the new home uses the slots
	// without a handover, which is 5 s with the default limits.
	maxHandoverRetries = 50
)

// retryHandover retries a handover that failed, often because a member that has
// just joined has no session yet. Duplicates are harmless, because a handover
// names the view to which it belongs.
func (r *Router) retryHandover(m returnMessage) {
	for range maxHandoverRetries {
		time.Sleep(handoverRetryInterval)
		if r.sendReturn(m) == nil {
			return
		}
	}
}
