package cluster

import (
	"hash/fnv"
	"slices"
	"strings"
)

// assignVacantShards distributes vacant shards over members. Each shard goes to the
// member with the most CPU per shard after the assignment; ties are broken by a hash
// of both names. All processes with the same view compute the same assignment.
func assignVacantShards(vacant []string, members map[string]int64, owned map[string]int) map[string]string {
	load := map[string]int64{}
	for m := range members {
		load[m] = int64(owned[m])
	}
	assignment := map[string]string{}
	for _, shard := range slices.Sorted(slices.Values(vacant)) {
		best := ""
		for m, cpu := range members {
			if best == "" {
				best = m
				continue
			}
			if isPreferred(shard, candidate{m, cpu, load[m]}, candidate{best, members[best], load[best]}) {
				best = m
			}
		}
		if best != "" {
			assignment[shard] = best
			load[best]++
		}
	}
	return assignment
}

// candidate is a process that is eligible to take over a shard.
type candidate struct {
	member string
	cpu    int64
	load   int64 // Number of shards that it owns.
}

// isPreferred reports whether a shard is assigned to a rather than to b.
func isPreferred(shard string, a, b candidate) bool {
	// Equivalent to comparing cpu/(load+1), without division.
	if scoreA, scoreB := a.cpu*(b.load+1), b.cpu*(a.load+1); scoreA != scoreB {
		return scoreA > scoreB
	}
	return winsTie(shard, a.member, b.member)
}

// preferenceRank returns the number of processes that are preferred to a member as
// owner of a shard.
func preferenceRank(shard, member string, members map[string]int64, owned map[string]int) (n int) {
	self := candidate{member, members[member], int64(owned[member])}
	for m, cpu := range members {
		if m != member && isPreferred(shard, candidate{m, cpu, int64(owned[m])}, self) {
			n++
		}
	}
	return n
}

func winsTie(shard, a, b string) bool {
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
