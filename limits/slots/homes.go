package slots

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotcrank.dev/fleet"
)

// noMember is the member index of a slot without home and of a member that has
// left.
const noMember = -1

// Homes assigns a home to each slot of a set of workers by rendezvous hashing:
// the home is the member with the highest hash of slot and member among the
// members in the worker's availability zone, or among all members when none is
// in that zone. A change of one worker or one member recomputes only the homes
// that it can affect. Homes is not safe for concurrent use.
type Homes struct {
	members []candidate // Sorted by ID.
	workers map[fleet.VMID]*homeRow
}

// candidate is a member with the hash of its ID.
type candidate struct {
	member fleet.Member
	hash   uint64
}

// homeRow holds the homes of one worker's slots.
type homeRow struct {
	zone   fleet.ZoneID
	hash   uint64
	homes  []int // By slot: index into Homes.members, or noMember.
	scores []score
}

// score ranks the candidates for a slot: a member in the worker's zone ranks
// above any member in another zone, then the higher hash wins.
type score struct {
	sameZone bool
	hash     uint64
}

// beats reports whether s ranks above other.
func (s score) beats(other score) bool {
	if s.sameZone != other.sameZone {
		return s.sameZone
	}
	return s.hash > other.hash
}

// NewHomes returns an assignment without workers and members.
func NewHomes() *Homes {
	return &Homes{workers: map[fleet.VMID]*homeRow{}}
}

// Home returns the home of a slot, or false when the slot is unknown or there is
// no member.
func (h *Homes) Home(s Slot) (fleet.Member, bool) {
	row, ok := h.workers[s.VM]
	if !ok || s.Index < 0 || s.Index >= len(row.homes) || row.homes[s.Index] == noMember {
		return fleet.Member{}, false
	}
	return h.members[row.homes[s.Index]].member, true
}

// ownedBy returns the slots of a worker whose home is the member, one bit per slot.
func (h *Homes) ownedBy(id fleet.VMID, member fleet.MemberID) uint64 {
	row, ok := h.workers[id]
	self, present := findMember(h.members, member)
	if !ok || !present {
		return 0
	}
	var flags uint64
	for i, home := range row.homes {
		if home == self {
			flags |= 1 << i
		}
	}
	return flags
}

// PutWorker adds a worker or changes its zone and number of slots.
func (h *Homes) PutWorker(id fleet.VMID, zone fleet.ZoneID, slots int) {
	row, ok := h.workers[id]
	if ok && row.zone == zone && len(row.homes) == slots {
		return
	}
	row = &homeRow{zone: zone, hash: xxhash.Sum64String(string(id)), homes: make([]int, slots), scores: make([]score, slots)}
	h.workers[id] = row
	for i := range row.homes {
		h.electHome(row, i)
	}
}

// RemoveWorker removes a worker and the homes of its slots.
func (h *Homes) RemoveWorker(id fleet.VMID) { delete(h.workers, id) }

// SetMembers replaces the members. A member that joins is compared with the
// current homes, and all members are compared only for the slots of a member that
// has left.
func (h *Homes) SetMembers(members []fleet.Member) {
	next := make([]candidate, len(members))
	for i, m := range members {
		next[i] = candidate{m, xxhash.Sum64String(string(m.ID))}
	}
	slices.SortFunc(next, func(a, b candidate) int { return cmp.Compare(a.member.ID, b.member.ID) })
	newIndex := h.newIndices(next)
	joined := joinedIndices(h.members, next)
	h.members = next
	for _, row := range h.workers {
		h.reassign(row, newIndex, joined)
	}
}

// newIndices maps the index of each current member to its index in next, or to
// noMember when it has left or changed zone.
func (h *Homes) newIndices(next []candidate) []int {
	newIndex := make([]int, len(h.members))
	for i, c := range h.members {
		newIndex[i] = noMember
		if j, ok := findMember(next, c.member.ID); ok && next[j].member.Zone == c.member.Zone {
			newIndex[i] = j
		}
	}
	return newIndex
}

// joinedIndices returns the indices in next of the members that have joined or
// changed zone since old.
func joinedIndices(old, next []candidate) []int {
	var joined []int
	for i, c := range next {
		if j, ok := findMember(old, c.member.ID); !ok || old[j].member.Zone != c.member.Zone {
			joined = append(joined, i)
		}
	}
	return joined
}

// reassign updates the homes of a worker's slots after the members have changed.
// newIndex maps old member indices to new ones, and joined lists the new indices
// of the members that have joined.
func (h *Homes) reassign(row *homeRow, newIndex, joined []int) {
	for i, home := range row.homes {
		if home == noMember || newIndex[home] == noMember {
			h.electHome(row, i)
			continue
		}
		row.homes[i] = newIndex[home]
		for _, j := range joined {
			h.considerMember(row, i, j)
		}
	}
}

// electHome chooses the home of a slot among all members.
func (h *Homes) electHome(row *homeRow, index int) {
	row.homes[index] = noMember
	for j := range h.members {
		h.considerMember(row, index, j)
	}
}

// considerMember makes the member with index j the home of a slot when it ranks
// above the current home.
func (h *Homes) considerMember(row *homeRow, index, j int) {
	c := &h.members[j]
	s := score{sameZone: c.member.Zone == row.zone, hash: rendezvousHash(row.hash, index, c.hash)}
	if row.homes[index] == noMember || s.beats(row.scores[index]) {
		row.homes[index], row.scores[index] = j, s
	}
}

// rendezvousHash returns the hash of a slot and a member.
func rendezvousHash(workerHash uint64, index int, memberHash uint64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], workerHash)
	binary.LittleEndian.PutUint64(b[8:], uint64(index))
	binary.LittleEndian.PutUint64(b[16:], memberHash)
	return xxhash.Sum64(b[:])
}

// findMember returns the index of the member in a list sorted by ID, and whether
// the list holds it.
func findMember(members []candidate, id fleet.MemberID) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(c candidate, id fleet.MemberID) int { return cmp.Compare(c.member.ID, id) })
}
