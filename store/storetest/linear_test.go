package storetest_test

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
)

// input is a read of Key, or a write of Key on condition that it has Version.
type input struct {
	Key     string
	Write   bool
	Version store.Version
}

// output is the outcome of an input. Version is that of the row read or written,
// or the actual version when the write was rejected.
type output struct {
	Applied bool
	Version store.Version
}

// model specifies one row of the table, whose state is its version.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(input).Key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return store.Version(0) },
	Step: func(state, in, out any) (bool, any) {
		version, i, o := state.(store.Version), in.(input), out.(output)
		switch {
		case !i.Write || !o.Applied:
			return o.Version == version && (!i.Write || i.Version != version), version
		default:
			return i.Version == version && o.Version > version, o.Version
		}
	},
}

// recordHistory runs random operations of 4 concurrent clients and returns them
// with their outcomes.
func recordHistory(table *storetest.Table, seed uint64) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var clients sync.WaitGroup
	start := time.Now()
	for client := range 4 {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			seen := map[string]store.Version{}
			for range 50 {
				in := input{Key: []string{"vm/1", "vm/2"}[random.IntN(2)], Write: random.IntN(2) == 0}
				in.Version = seen[in.Key]
				call := time.Since(start)
				out := perform(table, in)
				end := time.Since(start)
				seen[in.Key] = out.Version
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Output: out, Return: int64(end)})
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return history
}

func perform(table *storetest.Table, in input) output {
	if !in.Write {
		snap, _ := table.ReadRows(in.Key, 0)
		for _, row := range snap.Rows {
			return output{Version: row.Version}
		}
		return output{}
	}
	r := table.Apply(store.Transaction{
		Conditions: []store.Condition{{Key: in.Key, Version: in.Version}},
		Writes:     []store.Write{{Key: in.Key, Value: json.RawMessage(`1`)}},
	})
	if r.Applied() {
		return output{Applied: true, Version: r.Revision}
	}
	return output{Version: r.Failed[0].Version}
}

// Guards against a test table that is not linearizable, which would invalidate
// every test that uses it.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		assert.Assert(t, porcupine.CheckOperations(model, recordHistory(storetest.New(), seed)))
	}
}

// Guards against a checker that never fails: it must reject a table that ignores
// conditions, because that table is not linearizable.
func TestCheckerFindsIgnoredConditions(t *testing.T) {
	table := storetest.New()
	table.IgnoreConditions()
	assert.Assert(t, !porcupine.CheckOperations(model, recordHistory(table, 1)))
}
