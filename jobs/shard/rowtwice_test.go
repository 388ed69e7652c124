package shard

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/rows"
)

// keyStore counts the transactions that name a key twice.
type keyStore struct {
	rows.Store
	mu    sync.Mutex
	twice []rows.Key
}

func (c *keyStore) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	seen := map[rows.Key]bool{}
	c.mu.Lock()
	for _, row := range tx.Set {
		if seen[row.Key] {
			c.twice = append(c.twice, row.Key)
		}
		seen[row.Key] = true
	}
	for _, key := range tx.Delete {
		if seen[key] {
			c.twice = append(c.twice, key)
		}
		seen[key] = true
	}
	c.mu.Unlock()
	return c.Store.Commit(ctx, tx)
}

// Guards against a transaction that names a row twice: the platform does not say what it does
// with it, and a rejected transaction would be repeated forever.
func TestTransactionsNameEachRowOnce(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		c := &keyStore{Store: r.store}
		r.ownerStore = c
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		for range 3 { // The later two restarts while a transaction is in flight or the store is down.
			r.setRegistryEntry(o, 0, r.restartInFleet(0, r.workerInfos[0].Capacity))
		}
		time.Sleep(time.Second)
		assert.Equal(t, len(c.twice), 0, "%v", c.twice)
	})
}
