package compare

import (
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/slots"
)

// lending moves slots between the processes by the rules of package routing: a
// process with waiting requests borrows from the peer that reported the most idle
// slots, with one borrow request in progress at a time.
type lending struct {
	run          *run
	homesPolicy  *homesPolicy
	parameters   Parameters
	requesting   []bool
	lastWait     []time.Time
	lastProbe    []time.Time
	reportedIdle [][]int // Idle slots by process, as last reported to each process.
}

// newLending returns the lending between all processes and starts its reviews.
func newLending(r *run, p Parameters) *lending {
	n := r.scenario.Processes
	l := &lending{run: r, homesPolicy: r.policy.(*homesPolicy), parameters: p, requesting: make([]bool, n), lastWait: make([]time.Time, n), lastProbe: make([]time.Time, n)}
	for range n {
		l.reportedIdle = append(l.reportedIdle, make([]int, n))
	}
	l.review()
	return l
}

// shareIdleCounts reports the number of idle slots of each process to the others.
// A process with waiting requests reports none.
func (l *lending) shareIdleCounts() {
	for from := range l.reportedIdle {
		n := 0
		if from != l.run.crashed && l.run.queues[from].Len() == 0 {
			n = l.homesPolicy.idle(from)
		}
		for to := range l.reportedIdle {
			if to != from {
				l.reportedIdle[to][from] = n
			}
		}
	}
}

// requestSlots sends a borrow request for process p, unless one is in progress or
// there is no peer to send it to. It is called whenever requests wait at p.
func (l *lending) requestSlots(p int) {
	l.lastWait[p] = l.run.now
	lender, most := -1, 0
	for other, n := range l.reportedIdle[p] {
		if n > most {
			lender, most = other, n
		}
	}
	if l.requesting[p] {
		return
	}
	if lender < 0 {
		if lender = l.probePeer(p); lender < 0 {
			return
		}
	}
	l.run.messages++
	l.requesting[p] = true
	ledger, sent := l.homesPolicy.ledgers[p], l.run.now
	q := slots.BorrowRequest{From: memberID(p), ViewVersion: ledger.Version(), Pool: poolID, Count: max(l.run.queues[p].Len(), 1)}
	l.run.after(interZoneLatency, func() {
		reply := l.handleRequest(lender, q)
		l.run.after(interZoneLatency, func() { l.handleReply(p, lender, sent, q, reply) })
	})
}

// probePeer returns a random peer to send a borrow request to when no peer has
// reported idle slots, or -1 when the probe interval has not passed.
func (l *lending) probePeer(p int) int {
	n := len(l.reportedIdle)
	if l.parameters.ProbeInterval == 0 || l.run.now.Sub(l.lastProbe[p]) < l.parameters.ProbeInterval {
		return -1
	}
	l.lastProbe[p] = l.run.now
	return (p + 1 + l.run.random.IntN(n-1)) % n
}

// handleRequest returns the reply of a lender. A lender with waiting requests, or
// one that has crashed, lends nothing.
func (l *lending) handleRequest(lender int, q slots.BorrowRequest) slots.BorrowReply {
	if lender == l.run.crashed || l.run.queues[lender].Len() > 0 {
		return slots.BorrowReply{}
	}
	l.homesPolicy.ledgers[lender].Advance(l.run.now)
	return l.homesPolicy.ledgers[lender].Lend(l.run.now, q, l.homesPolicy.workers[lender])
}

// handleReply records the lent slots at process p and serves its waiting requests.
func (l *lending) handleReply(p, lender int, sent time.Time, q slots.BorrowRequest, reply slots.BorrowReply) {
	l.requesting[p] = false
	if p == l.run.crashed {
		return
	}
	accepted := l.homesPolicy.ledgers[p].AcceptLoan(l.run.now, sent, memberID(lender), q, reply)
	l.reportedIdle[p][lender] = max(l.reportedIdle[p][lender]-accepted, 0)
	if accepted == 0 {
		l.reportedIdle[p][lender] = 0
	}
	l.run.serveQueue(p)
}

// reviewInterval is the interval between two calls of review.
const reviewInterval = 5 * time.Millisecond

// review ends expired leases, returns the unused borrowed slots of processes in
// which no request has waited for the idle time, and schedules the next review.
func (l *lending) review() {
	for p, ledger := range l.homesPolicy.ledgers {
		if p == l.run.crashed {
			continue
		}
		freed := ledger.Advance(l.run.now)
		if l.run.now.Sub(l.lastWait[p]) >= l.parameters.IdleTimeout {
			ledger.ReturnUnused(l.homesPolicy.workers[p])
		}
		l.sendReturns(memberID(p), ledger.DrainReturns(l.run.now))
		if freed {
			l.run.serveQueue(p)
		}
	}
	l.run.after(reviewInterval, l.review)
}

// sendReturns delivers returned slots to their lenders.
func (l *lending) sendReturns(from fleet.MemberID, returns map[fleet.MemberID][]slots.Slot) {
	for p, ledger := range l.homesPolicy.ledgers {
		given := returns[memberID(p)]
		if len(given) == 0 || p == l.run.crashed {
			continue
		}
		l.run.after(interZoneLatency, func() {
			if ledger.AcceptReturn(slots.ReturnRequest{From: from, Slots: given}) {
				l.run.serveQueue(p)
			}
		})
	}
}
