package cluster

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// vacant reports whether a shard may be taken over.
func (m *Manager) vacant(shard string, now time.Duration) bool {
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
	// After an outage of the store, owners that live renew before others take over.
	return now-member.seen > m.o.RightFor+takeoverMargin && now-m.outageEnded > returnTime
}

// alive returns the members that may take shards, with their processor.
func (m *Manager) alive(now time.Duration) map[string]int64 {
	members := map[string]int64{}
	for name, row := range m.members {
		if !row.record.Leaving && (now-row.seen < aliveWindow || name == m.o.Member) {
			members[name] = max(row.record.CpuMilli, 1)
		}
	}
	return members
}

func (m *Manager) takeVacant(now time.Duration) {
	if m.leaving || m.started == 0 || now-m.started < settleTime || now >= m.rightUntil {
		return
	}
	var vacant []string
	owned := map[string]int{}
	for shard := range m.shards {
		if m.vacant(shard, now) {
			vacant = append(vacant, shard)
			if _, ok := m.vacantSince[shard]; !ok {
				m.vacantSince[shard] = now
			}
			continue
		}
		delete(m.vacantSince, shard)
		owned[m.owners[shard].record.Member]++
	}
	alive := m.alive(now)
	assigned := assign(vacant, alive, owned)
	for _, shard := range vacant {
		// The process that it is assigned to may have failed too, so that the
		// others follow, one after the other.
		turn := time.Duration(rank(shard, m.o.Member, alive, owned)+1) * takeoverStep
		overdue := now-m.vacantSince[shard] > min(turn, vacancyLimit)
		// Other processes do not know that the shard was renounced.
		if (assigned[shard] == m.o.Member || overdue || m.isRenounced(shard)) && !m.taking[shard] {
			m.take(shard)
		}
	}
}

func (m *Manager) take(shard string) {
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
		m.evictFormer(&tx, former.record)
	}
	m.taking[shard] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), m.o.CallTimeout)
		defer cancel()
		result, err := m.o.Store.Commit(ctx, tx)
		if err == nil && !result.Applied || err != nil && !errors.Is(err, rows.ErrNotDone) {
			// An earlier try may have been applied.
			result, err = m.settle(ctx, key, owner, former.version)
		}
		m.o.Loop.Post(func() { m.taken(shard, result, err) })
	}()
}

// evictFormer deletes the row of a former owner that did not renew it.
func (m *Manager) evictFormer(tx *rows.Tx, former *jobpb.Owner) {
	row, ok := m.members[former.Member]
	if !ok || row.record.Incarnation != former.Incarnation || former.Member == m.o.Member {
		return
	}
	key := memberKey(former.Member)
	tx.Across = true
	tx.Expect = append(tx.Expect, rows.Expectation{Key: key, Version: row.version})
	tx.Delete = append(tx.Delete, key)
}

// settle finds out whether a takeover without an answer took effect. When it
// did not yet, the next reading of the owner row will show it if it does later.
// A row of the former version says nothing, since it may name this process too.
func (m *Manager) settle(ctx context.Context, key rows.Key, owner *jobpb.Owner, former rows.Version) (rows.Result, error) {
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

func (m *Manager) taken(shard string, result rows.Result, err error) {
	delete(m.taking, shard)
	if err != nil || !result.Applied || m.leaving {
		return
	}
	m.acquire(shard, result.Version)
}

func (m *Manager) acquire(shard string, fence uint64) {
	delete(m.vacantSince, shard)
	delete(m.renounced, shard)
	m.owners[shard] = ownerRow{&jobpb.Owner{Member: m.o.Member, Incarnation: m.incarnation}, fence}
	m.held[shard] = fence
	m.publish()
	m.o.Listener.Acquired(shard, fence)
}
