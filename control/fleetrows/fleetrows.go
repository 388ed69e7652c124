// Package fleetrows decodes rows of the table service into a snapshot of the fleet.
package fleetrows

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// Apply merges changed rows of one prefix into s. It replaces the map of the prefix
// by a modified copy, so that readers of the previous map are not affected. A row
// that cannot be decoded keeps its previous value and yields an error. Rows of
// unknown prefixes are ignored.
func Apply(s *fleet.Snapshot, prefix string, changed []store.Row) []error {
	if len(changed) == 0 {
		return nil
	}
	switch prefix {
	case fleet.PrefixVM:
		return decodeInto(&s.VMs, prefix, changed, func(v *fleet.VM, n uint64) { v.Version = n })
	case fleet.PrefixPool:
		return decodeInto(&s.Pools, prefix, changed, func(v *fleet.Pool, n uint64) { v.Version = n })
	case fleet.PrefixPlan:
		return decodeInto(&s.Plans, prefix, changed, func(v *fleet.Plan, n uint64) { v.Version = n })
	case fleet.PrefixIntent:
		return decodeInto(&s.Intents, prefix, changed, func(v *fleet.Intent, n uint64) { v.Version = n })
	}
	return nil
}

func decodeInto[K ~string, V any](into *map[K]V, prefix string, changed []store.Row, setVersion func(*V, uint64)) []error {
	var failures []error
	next := maps.Clone(*into)
	if next == nil {
		next = make(map[K]V)
	}
	for _, row := range changed {
		id := K(strings.TrimPrefix(row.Key, prefix))
		if row.Deleted {
			delete(next, id)
			continue
		}
		var value V
		if err := Decode(row, &value); err != nil {
			failures = append(failures, err)
			continue
		}
		setVersion(&value, row.Version)
		next[id] = value
	}
	*into = next
	return failures
}

// Decode decodes the JSON value of one row. The error names the row and its version.
func Decode(row store.Row, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return fmt.Errorf("decode row %s at version %d: %w", row.Key, row.Version, err)
	}
	return nil
}
