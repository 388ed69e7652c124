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

const callTime = time.Second

// serving is a way to a store that may reject calls or leave them without answer.
type serving struct {
	*rowstest.Store
	fault atomic.Uint32 // A rowstest.Fault.
	calls atomic.Int32
}

func (s *serving) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	s.calls.Add(1)
	switch rowstest.Fault(s.fault.Load()) {
	case rowstest.Down:
		return rows.Result{}, rows.ErrNotDone
	case rowstest.Silent:
		<-ctx.Done()
		return rows.Result{}, rowstest.ErrNoAnswer
	}
	return s.Store.Commit(ctx, tx)
}

func (s *serving) set(f rowstest.Fault) { s.fault.Store(uint32(f)) }

type rig struct {
	t          *testing.T
	table      *rowstest.Store
	own, relay *serving
	store      *Store
	version    rows.Version
}

func onFakeTime(t *testing.T, latency time.Duration, test func(*rig)) {
	synctest.Test(t, func(t *testing.T) {
		table := &rowstest.Store{Latency: latency}
		r := &rig{t: t, table: table, own: &serving{Store: table}, relay: &serving{Store: table}}
		store, err := New(Options{Own: r.own, Relay: r.relay, Changed: func(bool) {}})
		assert.NilError(t, err)
		r.store = store
		test(r)
		time.Sleep(2 * callTime) // Tries that nobody waits for end.
	})
}

var key = rows.Key{Table: "t", Name: "row"}

// commit changes the row and returns how long that took.
func (r *rig) commit(value string) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
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
	assert.Equal(r.t, len(result.Found), 1)
	assert.Equal(r.t, string(result.Found[0].Value), value, "another commit changed the row")
	r.version = result.Found[0].Version // An earlier try was applied.
	return time.Since(began), nil
}

// Guards against commits that wait for a timeout while the store loses answers,
// before or after it has applied them: at 40 % lost, 95 of 100 take under 60 ms.
func TestLostAnswersDelayLittle(t *testing.T) {
	for _, lost := range []rowstest.Fault{rowstest.Lost, rowstest.Silent} {
		onFakeTime(t, 4*time.Millisecond, func(r *rig) {
			rng := rand.New(rand.NewPCG(1, 2))
			r.table.SetFault(func(rows.Tx) rowstest.Fault {
				if rng.Float64() < 0.4 {
					return lost
				}
				return rowstest.None
			})
			var took []time.Duration
			for i := range 200 {
				total, err := r.commit(string(rune('a' + i%26)))
				for err != nil { // Made again unchanged, as its outcome is not known.
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

// Guards against a process that stops serving although only it is refused by the
// store, or cut off from it; and against calls that keep going round after that.
func TestRejectedProcessUsesRelay(t *testing.T) {
	for _, fault := range []rowstest.Fault{rowstest.Down, rowstest.Silent} {
		onFakeTime(t, 4*time.Millisecond, func(r *rig) {
			_, err := r.commit("a")
			assert.NilError(t, err)
			r.own.set(fault)
			var total time.Duration
			for range 100 {
				d, err := r.commit("b")
				assert.NilError(t, err)
				total += d
				time.Sleep(50 * time.Millisecond)
			}
			assert.Assert(t, total/100 < 15*time.Millisecond, "mean %v", total/100)
			r.own.set(rowstest.None)
			time.Sleep(refusedFor)
			r.relay.calls.Store(0)
			for range 20 {
				_, err := r.commit("c")
				assert.NilError(t, err)
			}
			assert.Assert(t, r.relay.calls.Load() <= 2, "%d calls through another process", r.relay.calls.Load())
		})
	}
}

// Guards against processes that press a store which serves nobody, and against a
// call that reports a commit as not done although a try may have been.
func TestOutageLimitsRelayedCalls(t *testing.T) {
	onFakeTime(t, 4*time.Millisecond, func(r *rig) {
		r.own.set(rowstest.Down)
		r.relay.set(rowstest.Down)
		for range 200 {
			_, err := r.commit("a")
			assert.Assert(t, errors.Is(err, rows.ErrNotDone))
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, r.relay.calls.Load() < 30, "%d calls through another process in 10 s", r.relay.calls.Load())
		r.own.set(rowstest.Silent)
		_, err := r.commit("a")
		assert.Assert(t, err != nil && !errors.Is(err, rows.ErrNotDone))
	})
}

// Guards against a slow store that is pressed by second tries.
func TestSlowStoreLimitsHedgedCalls(t *testing.T) {
	for _, factor := range []time.Duration{10, 50, 150} {
		onFakeTime(t, 4*time.Millisecond, func(r *rig) {
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
