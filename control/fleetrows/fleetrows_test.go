package fleetrows

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// Guards against one row that cannot be decoded and blocks all others, and against
// the modification of a map that other goroutines read.
func TestApplyKeepsGoodRowsAndFormerMaps(t *testing.T) {
	former := map[fleet.VMID]fleet.VM{"a": {ID: "a", Pool: "p"}, "gone": {ID: "gone"}}
	s := fleet.Snapshot{VMs: former}
	failures := Apply(&s, fleet.PrefixVM, []store.Row{
		{Key: "vm/a", Version: 5, Value: []byte(`{"id":"a","pool":"q"}`)},
		{Key: "vm/bad", Version: 6, Value: []byte(`{"id":`)},
		{Key: "vm/gone", Version: 7, Deleted: true},
	})
	assert.Equal(t, len(failures), 1)
	assert.ErrorContains(t, failures[0], "row vm/bad at version 6")
	assert.DeepEqual(t, s.VMs, map[fleet.VMID]fleet.VM{"a": {ID: "a", Pool: "q", Version: 5}})
	assert.Equal(t, former["a"].Pool, fleet.PoolID("p"))
	assert.Equal(t, len(former), 2)
}
