package admission

import "peridotcrank.dev/fleet"

// sweepAbove is the number of customers at which shares that no longer matter
// are first removed.
const sweepAbove = 64

// shares assigns requests to rounds, as start-time fair queueing does with
// virtual time. In each round a customer has a fixed number of requests, so
// that a customer's flood fills later rounds while the requests of others join
// the round that is being served.
type shares struct {
	roundSize int64
	current   map[int]int64 // Round being served, by urgency.
	next      map[share]int64
	sweepAt   int
}

type share struct {
	urgency  int
	customer fleet.CustomerID
}

func newShares(roundSize int) shares {
	return shares{roundSize: int64(roundSize), current: map[int]int64{}, next: map[share]int64{}, sweepAt: sweepAbove}
}

// place returns the customer's next place, counted in requests.
func (s *shares) place(t Ticket) int64 {
	return max(s.next[share{t.Urgency, t.Customer}], s.current[t.Urgency]*s.roundSize)
}

// round returns the round of the customer's next request.
func (s *shares) round(t Ticket) int64 { return s.place(t) / s.roundSize }

// charge records that the customer's next request has entered.
func (s *shares) charge(t Ticket) {
	s.next[share{t.Urgency, t.Customer}] = s.place(t) + 1
	if len(s.next) >= s.sweepAt {
		s.sweep()
	}
}

// serve records that a request of a round is served.
func (s *shares) serve(urgency int, round int64) {
	s.current[urgency] = max(s.current[urgency], round)
}

// sweep removes the customers whose next request would join the current round
// in any case. The limit doubles with the number of customers that remain, so
// that the cost per request stays constant.
func (s *shares) sweep() {
	for k, place := range s.next {
		if place <= s.current[k.urgency]*s.roundSize {
			delete(s.next, k)
		}
	}
	s.sweepAt = max(sweepAbove, 2*len(s.next))
}
