package claims

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

func hashKey(key string) uint64 { return xxhash.Sum64String(key) }

// wireRecord encodes a record with its age. Ages are rounded down, so that a
// record expires later rather than earlier at the receiver.
func wireRecord(key string, r record, age time.Duration) *peerpb.ClaimRecord {
	return &peerpb.ClaimRecord{
		Key: key, AgeMs: milliseconds(age), Member: string(r.id), Incarnation: r.incarnation,
		Sequence: r.sequence, Contested: r.contested,
	}
}

// fromWire decodes a record as a copy. The time in transit makes it look younger.
func fromWire(m *peerpb.ClaimRecord, now time.Duration) (string, record) {
	return m.GetKey(), record{
		holder:    holder{identity{fleet.MemberID(m.GetMember()), m.GetIncarnation()}, m.GetSequence()},
		hash:      hashKey(m.GetKey()),
		createdAt: now - duration(m.GetAgeMs()), contested: m.GetContested(),
	}
}

func milliseconds(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// maxAge bounds ages from other processes; everything of interest is younger.
const maxAge = 24 * time.Hour

func duration(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond
}
