package caps

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
)

// Share is a part of a cap in parts per million.
type Share int64

// Whole is the share that stands for the whole cap.
const Whole Share = 1_000_000

// Errors of a record.
var (
	// ErrNewerOwner means that a newer owner of the pool has written the pool's entry.
	ErrNewerOwner = errors.New("the entry was written by a newer owner of the pool")
	errInvalid    = errors.New("the record of a cap is invalid")
)

// Entry is the part of a record that belongs to the owner of one pool.
type Entry struct {
	Pool string
	// Fence is the fencing token of the owner that wrote the entry.
	Fence uint64
	// Held is the share that the owner may use.
	Held Share
	// Need is the share for all runs and all tasks that could start now.
	Need Share
	// NextStart is the share that the next task or gang takes. A smaller share would
	// leave a pool without runs waiting forever.
	NextStart Share
	// Ticket orders the pools that wait for a share, lowest first; 0 for a pool that does
	// not wait.
	Ticket uint64
	// Overuse is the share in use while it is above the share held, as after the cap was
	// lowered; 0 otherwise.
	Overuse Share
}

// unmet reports whether the pool needs more than it holds.
func (e *Entry) unmet() bool { return e.Need > e.Held }

// Record is the division of a cap among pools. The entries are in the order of their
// pools.
type Record struct {
	Entries    []Entry
	LastTicket uint64
}

// Entry returns the entry of a pool; its amounts are 0 if the record has none.
func (r Record) Entry(pool string) Entry {
	if i, ok := r.find(pool); ok {
		return r.Entries[i]
	}
	return Entry{Pool: pool}
}

func (r Record) find(pool string) (int, bool) {
	return slices.BinarySearchFunc(r.Entries, pool, func(e Entry, pool string) int { return cmp.Compare(e.Pool, pool) })
}

// Free returns the share that no pool holds.
func (r Record) Free() Share {
	free := Whole
	for i := range r.Entries {
		free -= r.Entries[i].Held
	}
	return free
}

// with returns a copy of the record in which an entry is replaced or added.
func (r Record) with(e Entry) Record {
	r.Entries = slices.Clone(r.Entries)
	if i, ok := r.find(e.Pool); ok {
		r.Entries[i] = e
	} else {
		r.Entries = slices.Insert(r.Entries, i, e)
	}
	r.LastTicket = max(r.LastTicket, e.Ticket)
	return r
}

// othersUnmet reports whether a pool other than the given one needs more than it holds.
func (r Record) othersUnmet(pool string) bool {
	for i := range r.Entries {
		if e := &r.Entries[i]; e.unmet() && e.Pool != pool {
			return true
		}
	}
	return false
}

// usedByOthers returns the share that other pools hold or use above what they hold.
func (r Record) usedByOthers(pool string) Share {
	used := Share(0)
	for i := range r.Entries {
		if r.Entries[i].Pool != pool {
			used += max(r.Entries[i].Held, r.Entries[i].Overuse)
		}
	}
	return used
}

func (r Record) validate() error {
	sum := Share(0)
	for i, e := range r.Entries {
		if e.Held < 0 || e.Held > Whole || e.Need < 0 || e.Need > Whole || e.NextStart < 0 || e.NextStart > Whole || e.Overuse < 0 {
			return fmt.Errorf("%w: a share of pool %s is out of range", errInvalid, e.Pool)
		}
		if i > 0 && r.Entries[i-1].Pool >= e.Pool {
			return fmt.Errorf("%w: the entries are not in the order of their pools", errInvalid)
		}
		sum += e.Held
	}
	if sum > Whole {
		return fmt.Errorf("%w: the pools hold %d parts per million", errInvalid, sum)
	}
	return nil
}

// Marshal encodes a record for its row.
func Marshal(r Record) ([]byte, error) {
	m := &jobpb.CapShares{LastTicket: r.LastTicket}
	for _, e := range r.Entries {
		m.Shares = append(m.Shares, &jobpb.CapShare{
			Pool: e.Pool, Fence: e.Fence, Held: int64(e.Held), Need: int64(e.Need), NextStart: int64(e.NextStart), Ticket: e.Ticket, Overuse: int64(e.Overuse),
		})
	}
	return proto.Marshal(m)
}

// Unmarshal decodes a record from its row.
func Unmarshal(value []byte) (Record, error) {
	m := &jobpb.CapShares{}
	if err := proto.Unmarshal(value, m); err != nil {
		return Record{}, err
	}
	r := Record{LastTicket: m.LastTicket}
	for _, s := range m.Shares {
		r.Entries = append(r.Entries, Entry{
			Pool: s.Pool, Fence: s.Fence, Held: Share(s.Held), Need: Share(s.Need), NextStart: Share(s.NextStart), Ticket: s.Ticket, Overuse: Share(s.Overuse),
		})
	}
	return r, r.validate()
}

// ShareOf returns the share of a cap that an amount takes: the largest over the resources
// that the cap limits. It is greater than Whole for an amount above the cap. It is rounded
// down, so that pools which use a cap in full together hold at most the whole cap; each
// pool thereby exceeds its share by less than one part per million.
func ShareOf(amount, limit job.Resources) Share {
	return max(shareOf(amount.CPU, limit.CPU), shareOf(amount.MemoryMB, limit.MemoryMB), shareOf(amount.GPU, limit.GPU))
}

// AmountOf returns the amount of each limited resource that a share of a cap stands for.
func AmountOf(share Share, limit job.Resources) job.Resources {
	return job.Resources{CPU: amountOf(share, limit.CPU), MemoryMB: amountOf(share, limit.MemoryMB), GPU: amountOf(share, limit.GPU)}
}

func amountOf(share Share, limit int64) int64 {
	if limit <= 0 {
		return 0
	}
	whole, rest := limit/int64(Whole), limit%int64(Whole)
	return whole*int64(share) + (rest*int64(share)+int64(Whole)-1)/int64(Whole)
}

// maxShare bounds the share of an amount above the cap, so that sums do not overflow.
const maxShare = 1_000_000 * Whole

func shareOf(amount, limit int64) Share {
	if limit <= 0 || amount <= 0 {
		return 0
	}
	if amount/limit >= int64(maxShare/Whole) {
		return maxShare
	}
	whole, rest := amount/limit, amount%limit
	return Share(whole)*Whole + Share(rest*int64(Whole)/limit)
}
