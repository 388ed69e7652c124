package admission

import "peridotcrank.dev/fleet"

// minSweepSize is the lowest number of flows at which idle ones are removed.
const minSweepSize = 64

// fairRounds assigns requests to rounds, as start-time fair queueing does with
// virtual time. In each round a customer has a fixed number of requests, so
// that a burst of one customer fills later rounds while the requests of other
// customers join the round that is being served.
type fairRounds struct {
	roundSize   int64
	servedRound map[int]int64  // Round being served, by urgency.
	positions   map[flow]int64 // Position after the flow's last request.
	sweepSize   int            // Number of flows at which idle ones are removed.
}

// flow identifies the requests of one customer with one urgency.
type flow struct {
	urgency  int
	customer fleet.CustomerID
}

func newFairRounds(roundSize int) fairRounds {
	return fairRounds{roundSize: int64(roundSize), servedRound: map[int]int64{}, positions: map[flow]int64{}, sweepSize: minSweepSize}
}

// nextPosition returns the position of the flow's next request, in requests
// since round 0. A flow without recent requests joins the round being served.
func (f *fairRounds) nextPosition(r Request) int64 {
	return max(f.positions[flow{r.Urgency, r.Customer}], f.servedRound[r.Urgency]*f.roundSize)
}

// nextRound returns the round of the flow's next request.
func (f *fairRounds) nextRound(r Request) int64 { return f.nextPosition(r) / f.roundSize }

// recordEnqueued advances the flow's position by the request r.
func (f *fairRounds) recordEnqueued(r Request) {
	f.positions[flow{r.Urgency, r.Customer}] = f.nextPosition(r) + 1
	if len(f.positions) >= f.sweepSize {
		f.removeIdleFlows()
	}
}

// recordServed records that a request of the round left the queue to be served.
func (f *fairRounds) recordServed(urgency int, round int64) {
	f.servedRound[urgency] = max(f.servedRound[urgency], round)
}

// removeIdleFlows removes the flows whose next request joins the round being
// served with or without a stored position. The next removal runs at twice the
// number of remaining flows, so that the amortised cost per request is constant.
func (f *fairRounds) removeIdleFlows() {
	for key, position := range f.positions {
		if position <= f.servedRound[key.urgency]*f.roundSize {
			delete(f.positions, key)
		}
	}
	f.sweepSize = max(minSweepSize, 2*len(f.positions))
}
