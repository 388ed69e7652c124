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

// borrow is the state of a pool's borrowing.
type borrow struct {
	asking bool                      // A request to a peer is in progress.
	idle   map[fleet.MemberID]report // Idle slots of peers.
	probed time.Time                 // Last time a peer was asked without a report.
	waited time.Time                 // Last time a request waited.
}

func newBorrow() borrow { return borrow{idle: map[fleet.MemberID]report{}} }

// report is what a peer's latest heartbeat said, less what was borrowed since.
type report struct {
	slots int
	at    time.Time
}

// returnMessage is a return or a handover to be sent to a peer.
type returnMessage struct {
	member fleet.MemberID
	slots.ReturnRequest
}

// IdleSlots returns the number of slots of each pool that this process could
// lend, for heartbeats.
func (r *Router) IdleSlots() map[fleet.PoolID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	idle := map[fleet.PoolID]int{}
	if !r.valid(now) {
		return idle
	}
	for id, p := range r.pools {
		if p.queue.Len() > 0 {
			continue
		}
		for _, w := range p.workers(now) {
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
		p.borrow.idle[member] = report{idle[id], now}
		if idle[id] > 0 && p.queue.Len() > 0 {
			r.ask(now, p)
		}
	}
}

// Lend answers a peer's request for slots. It lends nothing while requests of
// the pool wait here.
func (r *Router) Lend(q slots.BorrowRequest) slots.BorrowReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	p := r.pools[q.Pool]
	if p == nil || p.queue.Len() > 0 || r.closed || !r.valid(now) {
		return slots.BorrowReply{}
	}
	return r.ledger.Lend(now, q, p.workers(now))
}

// TakeBack accepts slots that a peer returns.
func (r *Router) TakeBack(q slots.ReturnRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	if r.ledger.AcceptReturn(q) {
		r.serveAll(now)
	}
}

// ask requests slots from the peer that reports the most idle ones, or now and
// then from a random one, unless a request is in progress.
func (r *Router) ask(now time.Time, p *pool) {
	p.borrow.waited = now
	if r.options.Peers == nil || p.borrow.asking || r.closed {
		return
	}
	lender, most := fleet.MemberID(""), 0
	for id, rep := range p.borrow.idle {
		fresh := now.Sub(rep.at) <= r.options.Borrow.Fresh
		if fresh && (rep.slots > most || rep.slots == most && most > 0 && id < lender) {
			lender, most = id, rep.slots
		}
	}
	if most == 0 {
		if lender = r.probe(now, p); lender == "" {
			return
		}
	}
	p.borrow.asking = true
	q := slots.BorrowRequest{From: r.self.ID, ViewVersion: r.ledger.Version(), Pool: p.id, Count: max(p.queue.Len(), 1)}
	go r.request(p, lender, q)
}

// probe chooses a random peer to ask without a report of idle slots, or returns
// "" when one was asked a short time ago.
func (r *Router) probe(now time.Time, p *pool) fleet.MemberID {
	if now.Sub(p.borrow.probed) < r.options.Borrow.Probe {
		return ""
	}
	p.borrow.probed = now
	peers := slices.DeleteFunc(slices.Clone(r.members), func(m fleet.Member) bool { return m.ID == r.self.ID })
	if len(peers) == 0 {
		return ""
	}
	return peers[r.random.IntN(len(peers))].ID
}

// request sends one request to a peer and serves waiting requests with the reply.
func (r *Router) request(p *pool, lender fleet.MemberID, q slots.BorrowRequest) {
	sent := r.options.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Borrow.Timeout)
	defer cancel()
	reply, err := r.options.Peers.Borrow(ctx, lender, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	p.borrow.asking = false
	got := 0
	if err == nil {
		got = r.ledger.AcceptLoan(now, sent, lender, q, reply)
	}
	rep := p.borrow.idle[lender]
	rep.slots = max(rep.slots-got, 0)
	if got == 0 {
		rep.slots = 0 // Until the next heartbeat.
	}
	p.borrow.idle[lender] = rep
	r.serve(now, p)
	r.schedule(now, p)
	r.send(now)
}

// giveBack returns the idle borrowed slots of pools in which no request has
// waited for some time.
func (r *Router) giveBack(now time.Time) {
	for _, p := range r.pools {
		if now.Sub(p.borrow.waited) < r.options.Borrow.IdleTime {
			continue
		}
		for _, b := range p.backends {
			if b.worker.Borrowed() != 0 {
				r.ledger.ReturnUnused([]*slots.Worker{b.worker})
			}
		}
	}
}

// send passes returns and handovers on to the sending goroutine, which ends
// when there is nothing left to send.
func (r *Router) send(now time.Time) {
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
		go r.deliver(r.delivered)
	}
}

// Flush waits until the returns and handovers so far have been sent. A process
// that has left the member view calls SetView with the view without itself and
// then Flush, so that its slots are usable at once by their new homes.
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

// deliver sends what is in the outbox until it is empty.
func (r *Router) deliver(delivered chan<- struct{}) {
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
		for _, l := range batch {
			// A lost return costs time only. It must not be repeated: it could end a later loan.
			if err := r.deliverOne(l); err != nil && l.ViewVersion != 0 {
				go r.repeatHandover(l)
			}
		}
	}
}

func (r *Router) deliverOne(m returnMessage) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Borrow.Timeout)
	defer cancel()
	return r.options.Peers.Return(ctx, m.member, m.ReturnRequest)
}

const (
	// handoverInterval is the time between attempts to deliver a handover.
	handoverInterval = 100 * time.Millisecond
	// handoverAttempts covers the time after which the new home uses the slots
	// without a handover, which is 5 s with the default limits.
	handoverAttempts = 50
)

// repeatHandover repeats a handover that failed. A member that has just joined
// often has no session yet. Repetitions are harmless, because a handover names
// the view that it is about.
func (r *Router) repeatHandover(m returnMessage) {
	for range handoverAttempts {
		time.Sleep(handoverInterval)
		if r.deliverOne(m) == nil {
			return
		}
	}
}
