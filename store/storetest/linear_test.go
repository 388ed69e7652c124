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

// input is a read (Write false) or a write of key on condition of a version.
type input struct {
	Key     string
	Write   bool
	Version store.Version
}

// output is the outcome: Version is that of the row read or written, or the one found.
type output struct {
	Applied bool
	Version store.Version
}

// model is one row of the table: its state is its version.
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

// record runs clients concurrently and returns their history.
func record(table *storetest.Table, seed uint64) []porcupine.Operation {
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
		snap, _ := table.Rows(in.Key, 0)
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

// Guards against a table that is not linearizable, on which no other test could rely.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		assert.Assert(t, porcupine.CheckOperations(model, record(storetest.New(), seed)))
	}
}

// Guards against a checker that cannot fail: a table that ignores conditions is not linearizable.
func TestCheckerFindsIgnoredConditions(t *testing.T) {
	table := storetest.New()
	table.IgnoreConditions()
	assert.Assert(t, !porcupine.CheckOperations(model, record(table, 1)))
}
