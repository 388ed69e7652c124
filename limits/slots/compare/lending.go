package compare

import (
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/slots"
)

// lending moves slots between the processes by the rules of package routing:
// a process in which requests wait asks the peer that reported the most idle
// slots, one request at a time.
type lending struct {
	run        *run
	homes      *homes
	parameters Parameters
	asking     []bool
	waited     []time.Time
	probed     []time.Time
	idle       [][]int // Idle slots by process, as each process knows them.
}

func newLending(r *run, p Parameters) *lending {
	n := r.scenario.Processes
	l := &lending{run: r, homes: r.policy.(*homes), parameters: p, asking: make([]bool, n), waited: make([]time.Time, n), probed: make([]time.Time, n)}
	for range n {
		l.idle = append(l.idle, make([]int, n))
	}
	l.review()
	return l
}

// report spreads the idle slots of each process to the others.
func (l *lending) report() {
	for from := range l.idle {
		n := 0
		if from != l.run.dead && l.run.queues[from].Len() == 0 {
			n = l.homes.idle(from)
		}
		for to := range l.idle {
			if to != from {
				l.idle[to][from] = n
			}
		}
	}
}

func (l *lending) ask(p int) {
	l.waited[p] = l.run.now
	lender, most := -1, 0
	for other, n := range l.idle[p] {
		if n > most {
			lender, most = other, n
		}
	}
	if l.asking[p] {
		return
	}
	if lender < 0 {
		if lender = l.probe(p); lender < 0 {
			return
		}
	}
	l.run.messages++
	l.asking[p] = true
	ledger, sent := l.homes.ledgers[p], l.run.now
	q := slots.BorrowRequest{From: memberID(p), ViewVersion: ledger.Version(), Pool: poolID, Count: max(l.run.queues[p].Len(), 1)}
	l.run.after(hop, func() {
		reply := l.answer(lender, q)
		l.run.after(hop, func() { l.accept(p, lender, sent, q, reply) })
	})
}

// probe chooses a peer to ask without a report, or returns -1.
func (l *lending) probe(p int) int {
	n := len(l.idle)
	if l.parameters.Probe == 0 || l.run.now.Sub(l.probed[p]) < l.parameters.Probe {
		return -1
	}
	l.probed[p] = l.run.now
	return (p + 1 + l.run.random.IntN(n-1)) % n
}

func (l *lending) answer(lender int, q slots.BorrowRequest) slots.BorrowReply {
	if lender == l.run.dead || l.run.queues[lender].Len() > 0 {
		return slots.BorrowReply{}
	}
	l.homes.ledgers[lender].Advance(l.run.now)
	return l.homes.ledgers[lender].Lend(l.run.now, q, l.homes.workers[lender])
}

func (l *lending) accept(p, lender int, sent time.Time, q slots.BorrowRequest, reply slots.BorrowReply) {
	l.asking[p] = false
	if p == l.run.dead {
		return
	}
	got := l.homes.ledgers[p].AcceptLoan(l.run.now, sent, memberID(lender), q, reply)
	l.idle[p][lender] = max(l.idle[p][lender]-got, 0)
	if got == 0 {
		l.idle[p][lender] = 0
	}
	l.run.serve(p)
}

// reviewInterval is the interval at which leases and idle slots are reviewed.
const reviewInterval = 5 * time.Millisecond

// review ends leases, gives idle borrowed slots back and sends the returns.
func (l *lending) review() {
	for p, ledger := range l.homes.ledgers {
		if p == l.run.dead {
			continue
		}
		freed := ledger.Advance(l.run.now)
		if l.run.now.Sub(l.waited[p]) >= l.parameters.IdleTime {
			ledger.ReturnUnused(l.homes.workers[p])
		}
		l.send(memberID(p), ledger.DrainReturns(l.run.now))
		if freed {
			l.run.serve(p)
		}
	}
	l.run.after(reviewInterval, l.review)
}

func (l *lending) send(from fleet.MemberID, returns map[fleet.MemberID][]slots.Slot) {
	for p, ledger := range l.homes.ledgers {
		given := returns[memberID(p)]
		if len(given) == 0 || p == l.run.dead {
			continue
		}
		l.run.after(hop, func() {
			if ledger.AcceptReturn(slots.ReturnRequest{From: from, Slots: given}) {
				l.run.serve(p)
			}
		})
	}
}
