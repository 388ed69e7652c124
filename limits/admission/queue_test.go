package admission

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotcrank.dev/fleet"
)

var start = time.Unix(1000, 0)

func newQueue(t interface{ Fatal(...any) }, o Options) *Queue[int] {
	q, err := New[int](o)
	if err != nil {
		t.Fatal(err)
	}
	return q
}

// Guards against an entry that is served out of order, lost, or served after
// its removal. A sorted slice of entries is the reference model.
func TestOrderMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(t, Options{RoundSize: 2})
		var model []*Entry[int]
		for i := range 200 {
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				var want *Entry[int]
				if len(model) > 0 {
					want, model = model[0], model[1:]
				}
				assert.Assert(t, q.Dequeue() == want)
			case 1:
				if len(model) > 0 {
					at := rapid.IntRange(0, len(model)-1).Draw(t, "at")
					assert.Assert(t, q.Remove(model[at]))
					assert.Assert(t, !q.Remove(model[at]))
					model = slices.Delete(model, at, at+1)
				}
			default:
				e, _, refused := q.Enqueue(start, Request{
					Customer: fleet.CustomerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")),
					Urgency:  rapid.IntRange(0, 2).Draw(t, "urgency"),
					Deadline: start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "s")) * time.Second),
				}, i)
				assert.Equal(t, refused, Admitted)
				at, _ := slices.BinarySearchFunc(model, e, func(a, b *Entry[int]) int { return a.sortKey.compare(b.sortKey) })
				assert.Equal(t, q.order.rank(e.sortKey), at)
				model = slices.Insert(model, at, e)
			}
			assert.Equal(t, q.Len(), len(model))
		}
	})
}

// Guards against a burst of one customer that delays the others: with 1,000
// requests of one customer waiting, another customer's request is served within
// one round of each, even though its deadline is later.
func TestFloodLeavesOthersInsideTheirBudget(t *testing.T) {
	q := newQueue(t, Options{MaxQueue: 2000})
	for i := range 1000 {
		q.Enqueue(start, Request{Customer: "flood", Deadline: start.Add(time.Second)}, i)
	}
	for round := range 20 {
		for range 3 {
			q.Enqueue(start, Request{Customer: "quiet", Deadline: start.Add(2 * time.Second)}, -1)
		}
		quiet, flood := 0, 0
		for quiet < 3 {
			if q.Dequeue().Value == -1 {
				quiet++
			} else {
				flood++
			}
		}
		assert.Assert(t, flood <= 2*DefaultRoundSize, "round %d: %d requests of the flood were served first", round, flood)
	}
}

// Guards against a burst of one customer that fills the queue, so that the
// requests of other customers are refused.
func TestFullQueueDisplacesTheFlood(t *testing.T) {
	q := newQueue(t, Options{})
	for i := range 20 {
		_, _, refused := q.Enqueue(start, Request{Customer: "flood", MaxQueue: 20}, i)
		assert.Equal(t, refused, Admitted)
	}
	_, _, refused := q.Enqueue(start, Request{Customer: "flood", MaxQueue: 20}, 20)
	assert.Equal(t, refused, QueueFull)
	e, displaced, refused := q.Enqueue(start, Request{Customer: "quiet", MaxQueue: 20}, 21)
	assert.Equal(t, refused, Admitted)
	assert.Equal(t, displaced.Value, 19)
	assert.Assert(t, e.queued && !displaced.queued)
	assert.Equal(t, q.Len(), 20)
}

// Guards against queueing a request that cannot complete before its deadline,
// and against refusing one that can.
func TestEarlyShedding(t *testing.T) {
	q := newQueue(t, Options{})
	q.SetSlots(4)
	q.ObserveServiceTime("s", 100*time.Millisecond)
	for i := range 39 {
		q.Enqueue(start, Request{Service: "s"}, i)
	}
	// 40th in the queue: starts after 40 * 100 ms / 4 = 1 s and ends after 1.1 s.
	late := Request{Service: "s", Deadline: start.Add(1099 * time.Millisecond), Urgency: -1}
	_, _, refused := q.Enqueue(start, late, 0)
	assert.Equal(t, refused, DeadlineUnreachable)
	late.Deadline = start.Add(1100 * time.Millisecond)
	_, _, refused = q.Enqueue(start, late, 0)
	assert.Equal(t, refused, Admitted)
	assert.Equal(t, q.RetryAfter(), 1025*time.Millisecond)
	// An urgent request is served before the others.
	_, _, refused = q.Enqueue(start, Request{Service: "s", Deadline: start.Add(125 * time.Millisecond), Urgency: 1}, 0)
	assert.Equal(t, refused, Admitted)
}

// Guards against a memory leak: the state of idle customers must be removed.
func TestIdleFlowsAreRemoved(t *testing.T) {
	q := newQueue(t, Options{RoundSize: 1})
	for i := range 10_000 {
		q.Enqueue(start, Request{Customer: fleet.CustomerID(fmt.Sprint(i))}, i)
		q.Enqueue(start, Request{Customer: "a"}, i)
		q.Dequeue()
		q.Dequeue()
	}
	assert.Assert(t, len(q.fairRounds.positions) <= minSweepSize, "%d", len(q.fairRounds.positions))
}

func BenchmarkEnqueueDequeue(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := newQueue(b, Options{MaxQueue: n + 1})
			customers := strings.Split(strings.Repeat("abcdefghij", 5), "")
			i := 0
			enter := func() {
				q.Enqueue(start, Request{Customer: fleet.CustomerID(customers[i%50])}, i)
				i++
			}
			for range n {
				enter()
			}
			for b.Loop() {
				enter()
				q.Dequeue()
			}
		})
	}
}
