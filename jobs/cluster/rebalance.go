package cluster

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

const (
	// handoverFactor is the factor by which another process must have more CPU, and more CPU
	// per shard, before a shard is handed over to it. A handover costs the callers of the
	// shard about half a second, so processes of one size keep their shards.
	handoverFactor = 2
	// handoverSettleTime is how long this process must have owned a shard, and have known
	// the other process, before a handover. Processes that start together join within it.
	handoverSettleTime = 3 * time.Second
	// handoverInterval is the minimum time between two handovers of this process.
	handoverInterval = 2 * time.Second
	// recentRenewal is the maximum age of the last renewal of a process that takes a shard
	// over.
	recentRenewal = 2 * time.Second
	// minHandoverBackoff is the time until a shard that came back after a handover is handed
	// over again. It doubles up to maxHandoverBackoff while nobody else keeps the shard.
	minHandoverBackoff = 5 * time.Second
	maxHandoverBackoff = time.Minute
)

// pastHandover is the last handover of a shard by this process.
type pastHandover struct {
	at      time.Duration
	backoff time.Duration // From then until the next one.
}

// planHandover asks the listener to hand over a shard when another live process has much
// more CPU for it. A small process can own shards after larger ones were late, for example
// while the store was slow; without a handover it would keep them.
func (m *Manager) planHandover(now time.Duration) {
	if m.leaving || m.handingOver != "" || !m.HasLease() || len(m.vacantSince) > 0 || now-m.lastHandoverAt < handoverInterval {
		return
	}
	owned := map[string]int{}
	for _, owner := range m.owners {
		owned[owner.record.Member]++
	}
	for _, shard := range slices.Sorted(maps.Keys(m.heldFences)) {
		past := m.pastHandovers[shard]
		if now-m.heldSince[shard] < handoverSettleTime || now < past.at+past.backoff || !m.o.Listener.CanHandOver(shard) || !m.hasMuchLargerMember(now, owned) {
			continue
		}
		m.handingOver, m.lastHandoverAt = shard, now
		m.recordHandover(shard, now)
		m.o.Listener.HandOver(shard, m.heldFences[shard])
		return
	}
}

// recordHandover starts the backoff of a shard. A handover long after the last one starts
// with the minimum again.
func (m *Manager) recordHandover(shard string, now time.Duration) {
	backoff := minHandoverBackoff
	if past, ok := m.pastHandovers[shard]; ok && now-past.at < 2*maxHandoverBackoff {
		backoff = min(2*past.backoff, maxHandoverBackoff)
	}
	m.pastHandovers[shard] = pastHandover{now, backoff}
}

// hasMuchLargerMember reports whether a live process has handoverFactor times the CPU of
// this one, and would have as much more per shard.
func (m *Manager) hasMuchLargerMember(now time.Duration, owned map[string]int) bool {
	load := int64(owned[m.o.Member])
	for name, row := range m.members {
		if name == m.o.Member || row.record.Leaving || now-row.firstSeen > recentRenewal || now-m.knownSince[name] < handoverSettleTime {
			continue
		}
		cpu := row.record.CpuMilli
		if cpu >= handoverFactor*m.o.CPU && cpu*load >= handoverFactor*m.o.CPU*int64(owned[name]+1) {
			return true
		}
	}
	return false
}

// noIncarnation is stored in the owner row of a shard without an owner. The platform's store
// rejects a row without a value, and a record without any field has none.
const noIncarnation = "none"

// FinishHandover gives up a shard after the listener has stopped acting for it. The owner
// row is cleared, so that other processes take the shard over at once. It has no effect
// when the fence is not the current one.
func (m *Manager) FinishHandover(shard string, fence uint64) {
	if current, ok := m.heldFences[shard]; !ok || current != fence {
		return
	}
	value, err := proto.Marshal(&jobpb.Owner{Incarnation: noIncarnation})
	if err != nil {
		m.Renounce(shard, fence)
		return
	}
	m.renouncedFences[shard] = fence
	m.takeoverPending[shard] = true // This process must not take the shard before its row is cleared.
	m.release(shard)
	tx := rows.Tx{
		Expect: []rows.Expectation{{Key: OwnerKey(shard), Version: fence}},
		Set:    []rows.Row{{Key: OwnerKey(shard), Value: value}},
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), m.o.callTimeout())
		defer cancel()
		_, err := m.o.Store.Commit(ctx, tx)
		m.o.Loop.Post(func() {
			delete(m.takeoverPending, shard)
			if err != nil {
				m.o.Listener.Renewed(err)
			}
			m.Refresh()
		})
	}()
}

// trackMembers records since when each member is known.
func (m *Manager) trackMembers(now time.Duration) {
	for name := range m.members {
		if _, ok := m.knownSince[name]; !ok {
			m.knownSince[name] = now
		}
	}
	for name := range m.knownSince {
		if _, ok := m.members[name]; !ok {
			delete(m.knownSince, name)
		}
	}
}
