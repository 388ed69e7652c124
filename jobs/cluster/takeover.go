package cluster

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// isVacant reports whether a shard can be taken over: it has no owner, this process
// renounced it, or its owner has restarted, left or lost its lease. A shard that this process
// holds is not vacant, even if its own member row is missing.
func (m *Manager) isVacant(shard string, now time.Duration) bool {
	if _, held := m.heldFences[shard]; held {
		return false
	}
	if m.isRenounced(shard) {
		return true
	}
	owner, ok := m.owners[shard]
	if !ok || owner.record.Member == "" {
		return true
	}
	member, ok := m.members[owner.record.Member]
	if !ok || member.record.Incarnation != owner.record.Incarnation {
		return true
	}
	// After an outage of the store, live owners get time to renew before others take over.
	return now-member.firstSeen > m.o.LeaseDuration+leaseExpiryMargin && now-m.outageEndedAt > m.o.postOutageGrace()
}

// liveMembers returns the CPU of each member that is eligible to take shards.
func (m *Manager) liveMembers(now time.Duration) map[string]int64 {
	members := map[string]int64{}
	for name, row := range m.members {
		if !row.record.Leaving && (now-row.firstSeen < livenessWindow || name == m.o.Member) {
			members[name] = max(row.record.CpuMilli, 1)
		}
	}
	return members
}

// takeVacantShards starts the takeover of vacant shards that are assigned to this
// process, that it renounced, or that no preferred process took in time.
func (m *Manager) takeVacantShards(now time.Duration) {
	if m.leaving || m.joinedAt == 0 || now-m.joinedAt < joinGrace || now >= m.leaseExpiry {
		return
	}
	var vacant []string
	owned := map[string]int{}
	for shard := range m.shards {
		if m.isVacant(shard, now) {
			vacant = append(vacant, shard)
			if _, ok := m.vacantSince[shard]; !ok {
				m.vacantSince[shard] = now
			}
			continue
		}
		delete(m.vacantSince, shard)
		owned[m.owners[shard].record.Member]++
	}
	liveMembers := m.liveMembers(now)
	assigned := assignVacantShards(vacant, liveMembers, owned)
	for _, shard := range vacant {
		// The assigned process may have failed too, so the others try after it, in
		// order of their rank.
		rankDelay := time.Duration(preferenceRank(shard, m.o.Member, liveMembers, owned)+1) * takeoverStagger
		overdue := now-m.vacantSince[shard] > min(rankDelay, maxVacancy)
		// Other processes do not know that this one renounced the shard.
		if (assigned[shard] == m.o.Member || overdue || m.isRenounced(shard)) && !m.takeoverPending[shard] {
			m.startTakeover(shard)
		}
	}
}

// startTakeover sends a transaction that makes this process the owner of a shard.
func (m *Manager) startTakeover(shard string) {
	owner := &jobpb.Owner{Member: m.o.Member, Incarnation: m.incarnation}
	value, err := proto.Marshal(owner)
	if err != nil {
		return
	}
	key := OwnerKey(shard)
	former := m.owners[shard]
	tx := rows.Tx{
		Expect: []rows.Expectation{{Key: key, Version: former.version}},
		Set:    []rows.Row{{Key: key, Value: value}},
	}
	if former.record != nil {
		m.evictFormerOwner(&tx, former.record)
	}
	m.takeoverPending[shard] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), m.o.callTimeout())
		defer cancel()
		result, err := m.o.Store.Commit(ctx, tx)
		if err == nil && !result.Applied || err != nil && !errors.Is(err, rows.ErrNotExecuted) {
			// An earlier attempt may have been applied.
			result, err = m.resolveTakeover(ctx, key, owner, former.version)
		}
		m.o.Loop.Post(func() { m.handleTakeoverResult(shard, owner.Incarnation, result, err) })
	}()
}

// evictFormerOwner extends a takeover transaction to delete the member row of the
// former owner, which did not renew it.
func (m *Manager) evictFormerOwner(tx *rows.Tx, former *jobpb.Owner) {
	row, ok := m.members[former.Member]
	if !ok || row.record.Incarnation != former.Incarnation || former.Member == m.o.Member {
		return
	}
	key := memberKey(former.Member)
	tx.CrossPart = true
	tx.Expect = append(tx.Expect, rows.Expectation{Key: key, Version: row.version})
	tx.Delete = append(tx.Delete, key)
}

// resolveTakeover reads the owner row to determine whether a takeover with an unknown
// outcome was applied. If it is applied later, a later read of the owner row shows it.
// A row with the former version is ignored, because it may name this process too.
func (m *Manager) resolveTakeover(ctx context.Context, key rows.Key, owner *jobpb.Owner, former rows.Version) (rows.Result, error) {
	page, err := m.o.Store.Read(ctx, key.Table, key.Part, key.Name)
	if err != nil {
		return rows.Result{}, err
	}
	for _, row := range page.Rows {
		record := &jobpb.Owner{}
		if row.Name == key.Name && row.Version != former && proto.Unmarshal(row.Value, record) == nil && proto.Equal(record, owner) {
			return rows.Result{Applied: true, Version: row.Version}, nil
		}
	}
	return rows.Result{}, nil
}

// handleTakeoverResult acquires a shard whose owner row names the given incarnation of this
// process, unless this process has started a new one since. The shard is then vacant.
func (m *Manager) handleTakeoverResult(shard, incarnation string, result rows.Result, err error) {
	delete(m.takeoverPending, shard)
	switch {
	case err != nil || m.leaving:
	case result.Applied && incarnation == m.incarnation:
		m.acquire(shard, result.Version)
	default:
		// Another takeover has changed the rows, for example that of another shard of the
		// same former owner.
		m.o.Loop.After(minRefreshInterval, m.Refresh)
	}
}

// acquire makes this process the owner of a shard under a fence, which is higher than any it had for this
// shard before: an ownership that has ended does not begin again. The listener has at most one at a time.
func (m *Manager) acquire(shard string, fence uint64) {
	if fence <= m.ownTakeovers[shard].version {
		return
	}
	if _, held := m.heldFences[shard]; held {
		m.release(shard)
	}
	delete(m.vacantSince, shard)
	delete(m.renouncedFences, shard)
	m.ownTakeovers[shard] = ownerRow{&jobpb.Owner{Member: m.o.Member, Incarnation: m.incarnation}, fence}
	m.owners[shard] = m.ownTakeovers[shard]
	m.heldFences[shard] = fence
	m.heldSince[shard] = m.o.Clock()
	m.publishDirectory()
	m.o.Listener.Acquired(shard, fence)
}
