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
			if prefers(shard, candidate{m, cpu, load[m]}, candidate{best, members[best], load[best]}) {
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

// candidate is a process that may take a shard.
type candidate struct {
	member string
	cpu    int64
	load   int64 // Shards that it has.
}

// prefers reports whether a shard goes to a rather than to b.
func prefers(shard string, a, b candidate) bool {
	// Compares cpu/(load+1) without division.
	if mine, others := a.cpu*(b.load+1), b.cpu*(a.load+1); mine != others {
		return mine > others
	}
	return before(shard, a.member, b.member)
}

// rank returns how many processes a shard goes to rather than to a member.
func rank(shard, member string, members map[string]int64, owned map[string]int) (n int) {
	own := candidate{member, members[member], int64(owned[member])}
	for m, cpu := range members {
		if m != member && prefers(shard, candidate{m, cpu, int64(owned[m])}, own) {
			n++
		}
	}
	return n
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
