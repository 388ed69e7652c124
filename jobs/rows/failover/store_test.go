package failover

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
)

const callTimeout = time.Second

// faultyRoute is a route to the shared store that can reject commits or drop them
// without a reply.
type faultyRoute struct {
	*rowstest.Store
	fault atomic.Uint32 // A rowstest.Fault.
	calls atomic.Int32
}

func (s *faultyRoute) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	s.calls.Add(1)
	switch rowstest.Fault(s.fault.Load()) {
	case rowstest.Rejected:
		return rows.Result{}, rows.ErrNotExecuted
	case rowstest.RequestLost:
		<-ctx.Done()
		return rows.Result{}, rowstest.ErrNoReply
	}
	return s.Store.Commit(ctx, tx)
}

func (s *faultyRoute) setFault(f rowstest.Fault) { s.fault.Store(uint32(f)) }

type rig struct {
	t          *testing.T
	table      *rowstest.Store
	own, relay *faultyRoute
	store      *Store
	version    rows.Version
}

func withRig(t *testing.T, latency time.Duration, test func(*rig)) {
	synctest.Test(t, func(t *testing.T) {
		table := &rowstest.Store{Latency: latency}
		r := &rig{t: t, table: table, own: &faultyRoute{Store: table}, relay: &faultyRoute{Store: table}}
		store, err := New(Options{Direct: r.own, Relay: r.relay, RouteChanged: func(bool) {}})
		assert.NilError(t, err)
		r.store = store
		test(r)
		time.Sleep(2 * callTimeout) // Lets abandoned attempts finish.
	})
}

var key = rows.Key{Table: "t", Name: "row"}

// commit writes the row and returns how long the commit took.
func (r *rig) commit(value string) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, err := r.store.Commit(ctx, rows.Tx{
		Expect: []rows.Expectation{{Key: key, Version: r.version}}, Set: []rows.Row{{Key: key, Value: []byte(value)}},
	})
	if err != nil {
		return time.Since(began), err
	}
	if result.Applied {
		r.version = result.Version
		return time.Since(began), nil
	}
	assert.Equal(r.t, len(result.CurrentRows), 1)
	assert.Equal(r.t, string(result.CurrentRows[0].Value), value, "another commit changed the row")
	r.version = result.CurrentRows[0].Version // An earlier attempt was applied.
	return time.Since(began), nil
}

// Guards against commits that wait for a timeout when the store loses requests or
// replies: with 40 % of them lost, 95 of 100 commits must take less than 60 ms.
func TestLostRepliesAddLittleDelay(t *testing.T) {
	for _, lost := range []rowstest.Fault{rowstest.ResponseLost, rowstest.RequestLost} {
		withRig(t, 4*time.Millisecond, func(r *rig) {
			rng := rand.New(rand.NewPCG(1, 2))
			r.table.SetFault(func(rows.Tx) rowstest.Fault {
				if rng.Float64() < 0.4 {
					return lost
				}
				return rowstest.NoFault
			})
			var took []time.Duration
			for i := range 200 {
				total, err := r.commit(string(rune('a' + i%26)))
				for err != nil { // Repeated unchanged, because its outcome is unknown.
					var d time.Duration
					d, err = r.commit(string(rune('a' + i%26)))
					total += d
				}
				took = append(took, total)
				time.Sleep(100 * time.Millisecond)
			}
			slices.Sort(took)
			t.Logf("median %v, p90 %v, p95 %v, p99 %v", took[100], took[180], took[190], took[198])
			assert.Assert(t, took[190] < 60*time.Millisecond, "p95 is %v", took[190])
		})
	}
}

// Guards against a process that stops serving when the store rejects only this process,
// or is unreachable only for it; and against calls that are still relayed after the
// direct route has recovered.
func TestRejectedProcessUsesRelay(t *testing.T) {
	for _, fault := range []rowstest.Fault{rowstest.Rejected, rowstest.RequestLost} {
		withRig(t, 4*time.Millisecond, func(r *rig) {
			_, err := r.commit("a")
			assert.NilError(t, err)
			r.own.setFault(fault)
			var total time.Duration
			for range 100 {
				d, err := r.commit("b")
				assert.NilError(t, err)
				total += d
				time.Sleep(50 * time.Millisecond)
			}
			assert.Assert(t, total/100 < 15*time.Millisecond, "mean %v", total/100)
			r.own.setFault(rowstest.NoFault)
			time.Sleep(relayPreferenceTime)
			r.relay.calls.Store(0)
			for range 20 {
				_, err := r.commit("c")
				assert.NilError(t, err)
			}
			assert.Assert(t, r.relay.calls.Load() <= 2, "%d calls through another process", r.relay.calls.Load())
		})
	}
}

// Guards against relayed attempts that overload a store which serves nobody, and against
// a commit that is reported as not executed although one attempt may have been executed.
func TestOutageLimitsRelayedCalls(t *testing.T) {
	withRig(t, 4*time.Millisecond, func(r *rig) {
		r.own.setFault(rowstest.Rejected)
		r.relay.setFault(rowstest.Rejected)
		for range 200 {
			_, err := r.commit("a")
			assert.Assert(t, errors.Is(err, rows.ErrNotExecuted))
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, r.relay.calls.Load() < 30, "%d calls through another process in 10 s", r.relay.calls.Load())
		r.own.setFault(rowstest.RequestLost)
		_, err := r.commit("a")
		assert.Assert(t, err != nil && !errors.Is(err, rows.ErrNotExecuted))
	})
}

// Guards against hedged attempts that overload a slow store.
func TestSlowStoreLimitsHedgedCalls(t *testing.T) {
	for _, factor := range []time.Duration{10, 50, 150} {
		withRig(t, 4*time.Millisecond, func(r *rig) {
			_, err := r.commit("a")
			assert.NilError(t, err)
			r.table.Latency *= factor
			r.own.calls.Store(0)
			for range 100 {
				d, err := r.commit("b")
				assert.NilError(t, err)
				assert.Assert(t, d <= r.table.Latency*13/10)
			}
			calls := r.own.calls.Load() + r.relay.calls.Load()
			assert.Assert(t, calls <= 130, "%d calls for 100 commits at %d times the latency", calls, factor)
		})
	}
}
