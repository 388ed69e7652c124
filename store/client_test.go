package store_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
)

func newClient(t testing.TB, table *storetest.Table, o store.Options) *store.Client {
	t.Helper()
	c, err := store.NewClient(table.Transport("a"), o)
	assert.NilError(t, err)
	return c
}

func singleWrite(key string) store.Transaction {
	return store.Transaction{Writes: []store.Write{{Key: key, Value: json.RawMessage(`1`)}}}
}

// Guards against safety writes that wait behind progress writes in the write
// budget.
func TestSafetyWritesGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := store.NewWriteBudget(store.Options{WritesPerSecond: 1, WriteBurst: 1, WriteQueue: 3})
		assert.NilError(t, budget.Wait(t.Context(), store.PrioritySafety)) // Uses up the burst.
		var mu sync.Mutex
		var order []string
		var done sync.WaitGroup
		for _, p := range []store.Priority{store.PriorityProgress, store.PriorityProgress, store.PriorityOperator, store.PrioritySafety} {
			done.Go(func() {
				err := budget.Wait(t.Context(), p)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, fmt.Sprint(p, " ", err))
			})
			synctest.Wait()
		}
		done.Wait()
		// The queue holds three writes, so that the last progress write is rejected.
		assert.DeepEqual(t, order, []string{"2 write budget exhausted", "0 <nil>", "1 <nil>", "2 <nil>"})
	})
}

// Guards against a burst of delayed writes when the store recovers from an
// outage, and against requests that are still sent to a store that is down.
func TestNoWriteBurstAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		start := time.Now()
		perSecond := map[int]int{}
		table.OnCommit(func(store.Transaction, store.Version) { perSecond[int(time.Since(start)/time.Second)]++ })
		c := newClient(t, table, store.Options{})
		table.SetFaults(storetest.Fault{Kind: storetest.Down})
		time.AfterFunc(30*time.Second, func() { table.SetFaults() })
		var done sync.WaitGroup
		for i := range 100 {
			done.Go(func() {
				for {
					if r, err := c.Commit(t.Context(), singleWrite(fmt.Sprint("vm/", i))); err == nil && r.Applied() {
						return
					}
					time.Sleep(250 * time.Millisecond)
				}
			})
		}
		done.Wait()
		assert.Assert(t, perSecond[29] == 0)
		for second, n := range perSecond {
			// The rate starts at a tenth of 30 writes per second and rises by a tenth each second; the burst of 2 is extra.
			limit := 3*min(10, max(1, second-30+1)) + 2
			assert.Assert(t, n <= limit, "%d writes in second %d, limit %d: %v", n, second, limit, perSecond)
		}
		snap, _ := table.ReadRows("vm/", 0)
		assert.Equal(t, len(snap.Rows), 100)
	})
}

// Guards against reporting a known outcome while the store cannot be read, and
// against resolving an outcome by sending the transaction again.
func TestOutcomeIsUnknownUntilStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		c := newClient(t, table, store.Options{})
		table.SetFaults(storetest.Fault{Kind: storetest.ReplyLost, Method: storetest.Commits}, storetest.Fault{Kind: storetest.Down, Method: storetest.Reads})
		_, err := c.Commit(t.Context(), singleWrite("config"))
		assert.Assert(t, errors.Is(err, store.ErrOutcomeUnknown))
		var detail *store.Error
		assert.Assert(t, errors.As(err, &detail))
		assert.Equal(t, detail.Step+" at "+detail.Peer, "resolve the outcome at storetest")
		table.SetFaults()
		time.Sleep(2 * time.Second) // The circuit breaker closes.
		commits := table.Counts().Commits
		r, err := c.Resolve(t.Context(), detail.Operation)
		assert.NilError(t, err)
		assert.Assert(t, r.Applied())
		assert.Equal(t, r.Revision, store.Version(1))
		assert.Equal(t, table.Counts().Commits, commits)
	})
}

// Guards against failed reads that do not report the age of the last read, and
// against a slow store that blocks every caller for the full request timeout.
func TestSlowStoreOpensTheBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		c := newClient(t, table, store.Options{})
		snap, err := c.Read(t.Context(), "vm/", 0)
		assert.NilError(t, err)
		table.SetFaults(storetest.Fault{Kind: storetest.Slow, DelayMS: 60_000})
		for range store.DefaultBreakerFailures {
			_, err = c.Read(t.Context(), "vm/", 0)
			assert.Assert(t, errors.Is(err, store.ErrUnavailable))
		}
		assert.Assert(t, !c.Reachable())
		start := time.Now()
		_, err = c.Read(t.Context(), "vm/", 0)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.ErrorContains(t, err, "read vm/ at storetest (last read 5s ago)")
		assert.Equal(t, snap.Age(time.Now()), 5*time.Second)
		age, ok := c.LastReadAge("vm/", time.Now())
		assert.Assert(t, ok && age == 5*time.Second)
	})
}

// Guards against operation rows that are never deleted and fill the table.
func TestOperationRowsAreDeleted(t *testing.T) {
	table := storetest.New()
	c := table.Client("a")
	for i := range 100 {
		_, err := c.Commit(context.Background(), singleWrite(fmt.Sprint("vm/", i)))
		assert.NilError(t, err)
	}
	snap, _ := table.ReadRows(store.PrefixOperation, 0)
	assert.Equal(t, len(snap.Rows), 1)
}

// Guards against a write that is applied twice, or reported with the wrong
// outcome, under any sequence of faults. The writes have no conditions, so that
// only the operation row can stop a delayed write.
func TestReportedOutcomeMatchesEffect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var faults []storetest.Fault
		for range rapid.IntRange(0, 8).Draw(rt, "faults") {
			faults = append(faults, storetest.Fault{
				Kind:   rapid.SampledFrom([]storetest.Kind{storetest.Down, storetest.Slow, storetest.ReplyLost}).Draw(rt, "kind"),
				Client: rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "client"), DelayMS: int64(rapid.IntRange(0, 3000).Draw(rt, "delay")),
				Skip: rapid.IntRange(0, 20).Draw(rt, "skip"), Count: rapid.IntRange(1, 8).Draw(rt, "count"),
			})
		}
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			table.SetFaults(faults...)
			effects := map[string]int{} // Updated while the table is locked.
			table.OnCommit(func(tx store.Transaction, _ store.Version) { effects[tx.Writes[0].Key]++ })
			reported := []map[string]bool{{}, {}}
			var clients sync.WaitGroup
			for i, name := range []string{"a", "b"} {
				c, err := store.NewClient(table.Transport(name), store.Options{})
				assert.NilError(t, err)
				clients.Go(func() { writeAll(t, c, name, reported[i]) })
			}
			clients.Wait()
			time.Sleep(time.Minute) // Until all delayed requests have arrived.
			maps.Copy(reported[1], reported[0])
			for key, applied := range reported[1] {
				want := map[bool]int{true: 1}[applied]
				assert.Equal(t, effects[key], want, "%s", key)
			}
		})
	})
}

// writeAll writes ten rows and records for each whether it was reported as applied.
func writeAll(t *testing.T, c *store.Client, name string, reported map[string]bool) {
	for i := range 10 {
		key := fmt.Sprintf("vm/%s%d", name, i)
		r, err := c.Commit(t.Context(), singleWrite(key))
		for detail := new(store.Error); errors.Is(err, store.ErrOutcomeUnknown) && errors.As(err, &detail); {
			time.Sleep(time.Second)
			r, err = c.Resolve(t.Context(), detail.Operation)
		}
		reported[key] = err == nil && r.Applied()
	}
}

// Guards against invalid options or addresses that are accepted.
func TestValidate(t *testing.T) {
	err := store.Options{WriteBurst: -1, RetryMin: -1}.Validate()
	assert.Assert(t, strings.Contains(err.Error(), "write_burst") && strings.Contains(err.Error(), "retry_min"))
	_, err = store.New("10.0.0.5:7000", "a", store.Options{})
	assert.ErrorContains(t, err, "http://host:port")
}
