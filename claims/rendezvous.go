package claims

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"peridotcrank.dev/fleet"
)

// rendezvous ranks members by key (rendezvous hashing). All processes compute the
// same ranking from the same member IDs.
type rendezvous struct {
	members []fleet.Member
	hashes  []uint64
}

func newRendezvous(members []fleet.Member) *rendezvous {
	r := &rendezvous{members: members, hashes: make([]uint64, len(members))}
	for i, m := range members {
		r.hashes[i] = xxhash.Sum64String(string(m.ID))
	}
	return r
}

// highestRanked returns the highest ranked member for which accept returns true, or
// nil if there is none. A nil accept accepts all members.
func (r *rendezvous) highestRanked(keyHash uint64, accept func(fleet.Member) bool) *fleet.Member {
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:], keyHash)
	var best *fleet.Member
	var highest uint64
	for i := range r.members {
		if accept != nil && !accept(r.members[i]) {
			continue
		}
		binary.LittleEndian.PutUint64(input[8:], r.hashes[i])
		if score := xxhash.Sum64(input[:]); best == nil || score > highest {
			best, highest = &r.members[i], score
		}
	}
	return best
}

// owner returns the ID of the member that owns the key, or "" if there are no
// members.
func (r *rendezvous) owner(keyHash uint64) fleet.MemberID {
	if best := r.highestRanked(keyHash, nil); best != nil {
		return best.ID
	}
	return ""
}
