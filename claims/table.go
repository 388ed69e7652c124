package claims

import (
	"time"

	"peridotcrank.dev/fleet"
)

// bucketWidth is the granularity of expiry. A claim is remembered for the
// window and at most this much longer.
const bucketWidth = time.Second

// state tells what a record stands for at this process.
type state uint8

const (
	stateCopy      state = iota // Claim of another member.
	stateClaiming               // Own claim, not decided yet.
	stateGranted                // Own claim that may be dispatched.
	stateAbandoned              // Own claim that was not and will not be dispatched.
)

// holder identifies a claim: the dispatching process and its number of the claim.
type holder struct {
	identity
	sequence uint64
}

// record is one claim in the table.
type record struct {
	holder
	hash      uint64
	createdAt time.Duration
	state     state
	// contested is set when claims of different holders met. Such a key stays
	// claimed until the window has passed.
	contested bool
}

func (r *record) own() bool { return r.state != stateCopy }

// abandon gives up an own claim. When another member's claim of the key became
// known meanwhile, the record goes on to stand for that one.
func (r *record) abandon() {
	if r.contested {
		r.state = stateCopy
		return
	}
	r.state = stateAbandoned
}

// table holds the records of this process. Its owner serialises access.
type table struct {
	records  map[string]*record
	expiry   map[int64][]string // Keys by the bucket in which they expire.
	swept    int64
	window   time.Duration
	capacity int
	members  map[fleet.MemberID]fleet.MemberID // Shares the memory of equal IDs.
}

func newTable(window time.Duration, capacity int) *table {
	return &table{
		records: make(map[string]*record), expiry: make(map[int64][]string),
		window: window, capacity: capacity, members: make(map[fleet.MemberID]fleet.MemberID),
	}
}

func (t *table) full() bool { return len(t.records) >= t.capacity }

// put stores a record and schedules its expiry.
func (t *table) put(key string, r record) *record {
	if shared, ok := t.members[r.id]; ok {
		r.id = shared
	} else {
		t.members[r.id] = r.id
	}
	stored := t.records[key]
	if stored == nil {
		stored = new(record)
		t.records[key] = stored
	}
	*stored = r
	bucket := t.lastBucket(r.createdAt)
	t.expiry[bucket] = append(t.expiry[bucket], key)
	return stored
}

func (t *table) lastBucket(createdAt time.Duration) int64 {
	return int64((createdAt + t.window) / bucketWidth)
}

// sweep removes records whose window has passed. A record that was renewed is
// found again in a later bucket.
func (t *table) sweep(now time.Duration) {
	current := int64(now / bucketWidth)
	if current <= t.swept {
		return
	}
	t.swept = current
	for bucket, keys := range t.expiry {
		if bucket >= current {
			continue
		}
		for _, key := range keys {
			if r := t.records[key]; r != nil && t.lastBucket(r.createdAt) < current {
				delete(t.records, key)
			}
		}
		delete(t.expiry, bucket)
	}
}

// merge takes in a record that another member reported. It returns false when
// the table is beyond its bound; recovery may use twice the capacity, since a
// claim that is not taken in would be lost.
func (t *table) merge(key string, incoming record) bool {
	existing := t.records[key]
	switch {
	case existing == nil:
		if len(t.records) >= 2*t.capacity {
			return false
		}
		t.put(key, incoming)
	case existing.identity == incoming.identity:
		t.mergeSameHolder(key, existing, incoming)
	case existing.state == stateAbandoned:
		t.put(key, incoming)
	default:
		// A key claimed by two holders is never granted or released again, until the
		// window of the later claim has passed.
		contested := *existing
		contested.contested, contested.createdAt = true, max(existing.createdAt, incoming.createdAt)
		t.put(key, contested)
	}
	return true
}

// mergeSameHolder keeps the newer claim. What this process knows about its own
// claims is never older than what others know.
func (t *table) mergeSameHolder(key string, existing *record, incoming record) {
	if existing.own() {
		if existing.contested = existing.contested || incoming.contested; existing.state == stateAbandoned {
			existing.abandon() // The contested record stands for another member's claim, too.
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
