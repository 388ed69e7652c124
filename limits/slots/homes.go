package slots

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotcrank.dev/fleet"
)

// noMember is the home of a slot while the member view is empty.
const noMember = -1

// Homes assigns a home to each slot of a set of workers by rendezvous hashing:
// the home is the member with the highest hash of slot and member among the
// members in the worker's availability zone, or among all members when none is
// in that zone. A change of one worker or one member computes only what the
// change can affect. Homes is not safe for concurrent use.
type Homes struct {
	members []candidate // Sorted by ID.
	workers map[fleet.VMID]*homeRow
}

type candidate struct {
	member fleet.Member
	hash   uint64
}

// homeRow holds the homes of one worker's slots.
type homeRow struct {
	zone   fleet.ZoneID
	hash   uint64
	homes  []int // Index into Homes.members, or noMember.
	scores []score
}

// score orders candidates for a slot: a member in the worker's zone beats any
// other member.
type score struct {
	near bool
	hash uint64
}

func (s score) beats(other score) bool {
	if s.near != other.near {
		return s.near
	}
	return s.hash > other.hash
}

// NewHomes returns an assignment without workers and members.
func NewHomes() *Homes {
	return &Homes{workers: map[fleet.VMID]*homeRow{}}
}

// Home returns the home of a slot. It reports false when the slot is not known
// or there is no member.
func (h *Homes) Home(s Slot) (fleet.Member, bool) {
	row, ok := h.workers[s.VM]
	if !ok || s.Index < 0 || s.Index >= len(row.homes) || row.homes[s.Index] == noMember {
		return fleet.Member{}, false
	}
	return h.members[row.homes[s.Index]].member, true
}

// owned returns the slots of a worker whose home is the member, as flags.
func (h *Homes) owned(id fleet.VMID, member fleet.MemberID) uint64 {
	row, ok := h.workers[id]
	self, present := find(h.members, member)
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
		h.elect(row, i)
	}
}

// RemoveWorker removes a worker.
func (h *Homes) RemoveWorker(id fleet.VMID) { delete(h.workers, id) }

// SetMembers replaces the members. A member that joins is compared with the
// present homes; only the slots of a member that leaves are elected anew.
func (h *Homes) SetMembers(members []fleet.Member) {
	next := make([]candidate, len(members))
	for i, m := range members {
		next[i] = candidate{m, xxhash.Sum64String(string(m.ID))}
	}
	slices.SortFunc(next, func(a, b candidate) int { return cmp.Compare(a.member.ID, b.member.ID) })
	moved := h.positions(next)
	joined := joiners(h.members, next)
	h.members = next
	for _, row := range h.workers {
		h.update(row, moved, joined)
	}
}

// positions maps each present member to its index in next, or to noMember when
// it has left or changed zone.
func (h *Homes) positions(next []candidate) []int {
	moved := make([]int, len(h.members))
	for i, c := range h.members {
		moved[i] = noMember
		if j, ok := find(next, c.member.ID); ok && next[j].member.Zone == c.member.Zone {
			moved[i] = j
		}
	}
	return moved
}

// joiners returns the indices of members that are not in old with the same zone.
func joiners(old, next []candidate) []int {
	var joined []int
	for i, c := range next {
		if j, ok := find(old, c.member.ID); !ok || old[j].member.Zone != c.member.Zone {
			joined = append(joined, i)
		}
	}
	return joined
}

func (h *Homes) update(row *homeRow, moved, joined []int) {
	for i, home := range row.homes {
		if home == noMember || moved[home] == noMember {
			h.elect(row, i)
			continue
		}
		row.homes[i] = moved[home]
		for _, j := range joined {
			h.consider(row, i, j)
		}
	}
}

// elect compares all members for a slot.
func (h *Homes) elect(row *homeRow, index int) {
	row.homes[index] = noMember
	for j := range h.members {
		h.consider(row, index, j)
	}
}

// consider makes member j the home of a slot when it beats the present home.
func (h *Homes) consider(row *homeRow, index, j int) {
	c := &h.members[j]
	s := score{near: c.member.Zone == row.zone, hash: rendezvous(row.hash, index, c.hash)}
	if row.homes[index] == noMember || s.beats(row.scores[index]) {
		row.homes[index], row.scores[index] = j, s
	}
}

// rendezvous hashes a slot with a member.
func rendezvous(worker uint64, index int, member uint64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], worker)
	binary.LittleEndian.PutUint64(b[8:], uint64(index))
	binary.LittleEndian.PutUint64(b[16:], member)
	return xxhash.Sum64(b[:])
}

func find(members []candidate, id fleet.MemberID) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(c candidate, id fleet.MemberID) int { return cmp.Compare(c.member.ID, id) })
}
