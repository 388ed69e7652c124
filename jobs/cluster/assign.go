package cluster

import (
	"hash/fnv"
	"slices"
	"strings"
)

// assign spreads vacant shards over members: each goes to the member that then
// has the most processor for each of its shards, ties by a hash of both names,
// so that all processes with the same view agree.
func assign(vacant []string, members map[string]int64, owned map[string]int) map[string]string {
	load := map[string]int64{}
	for m := range members {
		load[m] = int64(owned[m])
	}
	to := map[string]string{}
	for _, shard := range slices.Sorted(slices.Values(vacant)) {
		best := ""
		for m, cpu := range members {
			if best == "" {
				best = m
				continue
			}
			// Compares cpu/(load+1) without division.
			mine, others := cpu*(load[best]+1), members[best]*(load[m]+1)
			if mine > others || mine == others && before(shard, m, best) {
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
