package cluster

import (
	"hash/fnv"
	"slices"
	"strings"
)

// assign spreads vacant shards over members: each goes to the member with the
// fewest shards, ties by a hash of both names, so that all processes with the
// same view agree.
func assign(vacant, members []string, owned map[string]int) map[string]string {
	load := map[string]int{}
	for _, m := range members {
		load[m] = owned[m]
	}
	vacant = slices.Sorted(slices.Values(vacant))
	to := map[string]string{}
	for _, shard := range vacant {
		best := ""
		for _, m := range members {
			if best == "" || load[m] < load[best] || load[m] == load[best] && before(shard, m, best) {
				best = m
			}
		}
		if best != "" {
			to[shard] = best
			load[best]++
		}
	}
	return to
}

func before(shard, a, b string) bool {
	if ha, hb := hash(shard, a), hash(shard, b); ha != hb {
		return ha < hb
	}
	return strings.Compare(a, b) < 0
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
