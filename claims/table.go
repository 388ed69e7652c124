package claims

import (
	"time"

	"peridotcrank.dev/fleet"
)

// bucketWidth is the granularity of expiry. A claim is stored for the window and at
// most bucketWidth longer.
const bucketWidth = time.Second

// state tells whose claim a record is and how far it has got.
type state uint8

const (
	stateCopy      state = iota // Copy of another member's claim.
	stateClaiming               // Own claim, not decided yet.
	stateGranted                // Own claim whose request is allowed to be dispatched.
	stateAbandoned              // Own claim whose request was not and will not be dispatched.
)

// claimID identifies a claim by the dispatching process and a sequence number of
// that process.
type claimID struct {
	identity
	sequence uint64
}

// record is one claim in the table.
type record struct {
	claimID
	hash      uint64
	createdAt time.Duration
	state     state
	// contested is set if claims of different processes for the key are known. The
	// key then stays claimed until the window has passed.
	contested bool
}

// isOwn reports whether the record is a claim of this process.
func (r *record) isOwn() bool { return r.state != stateCopy }

// abandon marks an own claim as abandoned. If another member's claim of the key has
// become known in the meantime, the record becomes a copy of that claim.
func (r *record) abandon() {
	if r.contested {
		r.state = stateCopy
		return
	}
	r.state = stateAbandoned
}

// table holds the records of this process. It is not safe for concurrent use.
type table struct {
	records     map[string]*record
	expiry      map[int64][]string // Keys by the bucket in which they expire.
	lastSwept   int64
	window      time.Duration
	capacity    int
	internedIDs map[fleet.MemberID]fleet.MemberID // One string per member ID, to save memory.
}

func newTable(window time.Duration, capacity int) *table {
	return &table{
		records: make(map[string]*record), expiry: make(map[int64][]string),
		window: window, capacity: capacity, internedIDs: make(map[fleet.MemberID]fleet.MemberID),
	}
}

func (t *table) full() bool { return len(t.records) >= t.capacity }

// put stores a record, replaces an existing one of the key, and schedules the expiry.
func (t *table) put(key string, r record) *record {
	if interned, ok := t.internedIDs[r.id]; ok {
		r.id = interned
	} else {
		t.internedIDs[r.id] = r.id
	}
	stored := t.records[key]
	if stored == nil {
		stored = new(record)
		t.records[key] = stored
	}
	*stored = r
	bucket := t.expiryBucket(r.createdAt)
	t.expiry[bucket] = append(t.expiry[bucket], key)
	return stored
}

// expiryBucket returns the bucket in which a record expires.
func (t *table) expiryBucket(createdAt time.Duration) int64 {
	return int64((createdAt + t.window) / bucketWidth)
}

// sweep removes the records whose window has passed. A record that was stored again is
// also listed in a later bucket and stays until that one expires.
func (t *table) sweep(now time.Duration) {
	current := int64(now / bucketWidth)
	if current <= t.lastSwept {
		return
	}
	t.lastSwept = current
	for bucket, keys := range t.expiry {
		if bucket >= current {
			continue
		}
		for _, key := range keys {
			if r := t.records[key]; r != nil && t.expiryBucket(r.createdAt) < current {
				delete(t.records, key)
			}
		}
		delete(t.expiry, bucket)
	}
}

// merge adds a record that another member sent in a recovery or handover. It returns
// false if the table already holds twice its capacity. This limit is higher than
// that of new claims, because a record that is not merged would be lost.
func (t *table) merge(key string, incoming record) bool {
	existing := t.records[key]
	switch {
	case existing == nil:
		if len(t.records) >= 2*t.capacity {
			return false
		}
		t.put(key, incoming)
	case existing.identity == incoming.identity:
		t.mergeSameClaimant(key, existing, incoming)
	case existing.state == stateAbandoned:
		t.put(key, incoming)
	default:
		// A key claimed by two processes is neither granted nor released until the
		// window of the later claim has passed.
		contested := *existing
		contested.contested, contested.createdAt = true, max(existing.createdAt, incoming.createdAt)
		t.put(key, contested)
	}
	return true
}

// mergeSameClaimant keeps the newer of two claims of the same process. For claims of
// this process that is always the existing record.
func (t *table) mergeSameClaimant(key string, existing *record, incoming record) {
	if existing.isOwn() {
		if existing.contested = existing.contested || incoming.contested; existing.state == stateAbandoned {
			existing.abandon() // A contested record is also a copy of another member's claim.
		}
		return
	}
	contested := existing.contested || incoming.contested
	if incoming.sequence > existing.sequence || incoming.createdAt > existing.createdAt {
		incoming.sequence = max(incoming.sequence, existing.sequence)
		incoming.createdAt = max(incoming.createdAt, existing.createdAt)
		existing = t.put(key, incoming)
	}
	existing.contested = contested
}
