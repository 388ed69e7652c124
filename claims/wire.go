package claims

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

func hashKey(key string) uint64 { return xxhash.Sum64String(key) }

// recordToWire encodes a record with its age. The age is rounded down, so that the
// record does not expire earlier at the receiver.
func recordToWire(key string, r record, age time.Duration) *peerpb.ClaimRecord {
	return &peerpb.ClaimRecord{
		Key: key, AgeMs: milliseconds(age), Member: string(r.id), Incarnation: r.incarnation,
		Sequence: r.sequence, Contested: r.contested,
	}
}

// recordFromWire decodes a record as a copy. Its age does not include the time in
// transit, so the record may expire later than at the sender.
func recordFromWire(m *peerpb.ClaimRecord, now time.Duration) (string, record) {
	return m.GetKey(), record{
		claimID:   claimID{identity{fleet.MemberID(m.GetMember()), m.GetIncarnation()}, m.GetSequence()},
		hash:      hashKey(m.GetKey()),
		createdAt: now - durationFromMs(m.GetAgeMs()), contested: m.GetContested(),
	}
}

func milliseconds(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// maxAge limits the ages in messages of other processes. Older records are not
// relevant.
const maxAge = 24 * time.Hour

func durationFromMs(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond
}
