package cluster

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// Owner is the process that owns a shard.
type Owner struct {
	Member  string
	Address string
	Self    bool
}

// Directory maps shards to their owners. It is not changed after it was handed out.
type Directory map[string]Owner

type memberRow struct {
	record  *jobpb.Member
	version rows.Version
	// seen is when this version was first read.
	seen time.Duration
}

type ownerRow struct {
	record  *jobpb.Owner
	version rows.Version
}

// Manager renews this process's row and takes shards. All its methods run on the loop.
type Manager struct {
	o Options

	ownVersion  rows.Version
	incarnation string
	lives       int
	beat        uint64
	sentAt      map[uint64]time.Duration // By beat, for renewals without an answer.
	rightUntil  time.Duration
	started     time.Duration
	leaving     bool
	busy        bool
	ticks       int
	renewDue    bool
	lastRead    time.Duration
	outageEnded time.Duration // When rows could be read again after a while without.
	rejections  int           // Renewals in a row that the store rejected, up to maxPauseShift.
	view        view

	shards      map[string]bool
	members     map[string]memberRow
	owners      map[string]ownerRow
	vacantSince map[string]time.Duration
	held        map[string]uint64 // Fence of each shard that this process owns.
	taking      map[string]bool
	renounced   map[string]uint64 // Fences under which this process no longer acts.
	directory   Directory
}

// New returns a manager. Start begins the renewals.
func New(o Options) (*Manager, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o.setDefaults()
	return &Manager{
		o: o, incarnation: o.Incarnation, sentAt: map[uint64]time.Duration{}, shards: map[string]bool{}, members: map[string]memberRow{}, owners: map[string]ownerRow{},
		vacantSince: map[string]time.Duration{}, held: map[string]uint64{}, taking: map[string]bool{}, renounced: map[string]uint64{},
	}, nil
}

// Start begins to renew and to read. It runs on the loop.
func (m *Manager) Start() { m.tick() }

// SetShards adds shards that need an owner. Shards are never removed, since
// jobs may outlive the service that they were sent to.
func (m *Manager) SetShards(names []string) {
	for _, name := range names {
		m.shards[name] = true
	}
}

// RightUntil returns until when this process may act for its shards, on the manager's clock.
func (m *Manager) RightUntil() time.Duration { return m.rightUntil }

// HasRight reports whether this process may act for its shards now.
func (m *Manager) HasRight() bool { return m.o.Clock() < m.rightUntil }

// Fence returns the fence of a shard that this process owns.
func (m *Manager) Fence(shard string) (uint64, bool) {
	fence, ok := m.held[shard]
	return fence, ok
}

// Renounce gives up a shard that this process no longer acts for. Unless the
// rows name another owner, the shard is taken anew, with a higher fence.
func (m *Manager) Renounce(shard string, fence uint64) {
	if current, ok := m.held[shard]; !ok || current != fence {
		return
	}
	m.renounced[shard] = fence
	m.drop(shard)
	m.Refresh()
}

func (m *Manager) isRenounced(shard string) bool {
	fence, ok := m.renounced[shard]
	return ok && m.owners[shard].version == fence
}

func (m *Manager) tick() {
	m.o.Loop.After(m.o.Interval, m.tick)
	m.ticks++
	if len(m.held) > 0 || m.ticks%idleTicks == 0 || m.ownVersion == 0 {
		m.renewDue = true
	}
	m.begin()
}

// begin starts a renewal and a reading, unless one is under way.
func (m *Manager) begin() {
	if m.busy {
		return
	}
	m.busy = true
	if m.leaving || !m.renewDue {
		m.read() // Also while it leaves: requests are still passed on to the owners.
	} else {
		m.renew()
	}
}

func (m *Manager) renew() {
	m.beat++
	record := &jobpb.Member{Incarnation: m.incarnation, Address: m.o.Address, Beat: m.beat, Leaving: m.leaving, CpuMilli: m.o.CPU}
	value, err := proto.Marshal(record)
	if err != nil {
		m.renewed(0, rows.Result{}, err)
		return
	}
	key := memberKey(m.o.Member)
	tx := rows.Tx{
		Expect: []rows.Expectation{{Key: key, Version: m.ownVersion}},
		Set:    []rows.Row{{Key: key, Value: value}},
	}
	sent := m.o.Clock()
	m.sentAt[m.beat] = sent
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), m.o.CallTimeout)
		defer cancel()
		result, err := m.o.Store.Commit(ctx, tx)
		m.o.Loop.Post(func() { m.renewed(sent, result, err) })
	}()
}

func (m *Manager) renewed(sent time.Duration, result rows.Result, err error) {
	if m.started == 0 && err == nil && result.Applied {
		m.started = m.o.Clock()
	}
	switch {
	case m.leaving: // The row is given up; a right would be worth nothing.
	case err != nil:
		m.o.Listener.Renewed(fmt.Errorf("renew member row: %w", err))
	case result.Applied:
		m.confirm(result.Version, sent)
	default:
		m.adopt(result.Found)
	}
	m.renewDue = err != nil || !result.Applied
	if errors.Is(err, rows.ErrNotDone) {
		m.rejections = min(m.rejections+1, maxPauseShift)
	} else {
		m.rejections = 0
	}
	if m.renewDue {
		m.o.Loop.After(m.retryPause(), m.begin)
	}
	m.read()
}

// retryPause grows while the store rejects renewals, so that they do not keep it
// from catching up; a random part spreads the processes.
func (m *Manager) retryPause() time.Duration {
	pause := renewPause << m.rejections
	return pause/2 + rand.N(pause)
}

func (m *Manager) confirm(version rows.Version, sent time.Duration) {
	m.ownVersion = version
	m.rightUntil = max(m.rightUntil, sent+m.o.RightFor)
	clear(m.sentAt)
	m.o.Listener.Renewed(nil)
}

// adopt reads the own row after a renewal was rejected. An earlier renewal
// whose answer was lost counts from when it was sent. A row that is missing
// was deleted by a process that took shards over: all shards are given up, and
// this process goes on as a new incarnation, so that no owner row names it.
func (m *Manager) adopt(found []rows.Row) {
	for _, row := range found {
		record := &jobpb.Member{}
		if row.Deleted || row.Version == 0 || proto.Unmarshal(row.Value, record) != nil {
			continue
		}
		if sent, ok := m.sentAt[record.Beat]; ok && record.Incarnation == m.incarnation {
			m.confirm(row.Version, sent)
			return
		}
		m.ownVersion = row.Version
		if record.Incarnation == m.incarnation || m.rightUntil == 0 {
			return // The row of an earlier life of this process is replaced by the next renewal.
		}
	}
	if m.rightUntil != 0 {
		m.restart()
	}
}

func (m *Manager) restart() {
	m.ownVersion, m.rightUntil = 0, 0
	m.lives++
	m.incarnation = fmt.Sprintf("%s-%d", m.o.Incarnation, m.lives)
	clear(m.sentAt)
	for shard := range m.held {
		m.drop(shard)
	}
}

func (m *Manager) read() {
	after := m.view.version
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), m.o.CallTimeout)
		defer cancel()
		read, err := readChanges(ctx, m.o.Store, after)
		m.o.Loop.Post(func() {
			m.busy = false
			if err != nil {
				m.o.Listener.Renewed(fmt.Errorf("read members: %w", err))
				return
			}
			m.view.merge(read)
			m.apply()
		})
	}()
}

// Refresh reads the rows again, for example after a peer said that it does not own a shard.
func (m *Manager) Refresh() {
	if !m.busy {
		m.busy = true
		m.read()
	}
}

func (m *Manager) apply() {
	now := m.o.Clock()
	if now-m.lastRead > outageGap {
		m.outageEnded = now
	}
	m.lastRead = now
	members, owners := map[string]memberRow{}, map[string]ownerRow{}
	for _, row := range m.view.rows {
		if name, ok := strings.CutPrefix(row.Name, memberPrefix); ok {
			record := &jobpb.Member{}
			if proto.Unmarshal(row.Value, record) != nil {
				continue
			}
			seen := now
			if last, ok := m.members[name]; ok && last.version == row.Version {
				seen = last.seen
			}
			members[name] = memberRow{record, row.Version, seen}
		}
		if name, ok := strings.CutPrefix(row.Name, ownerPrefix); ok {
			record := &jobpb.Owner{}
			if proto.Unmarshal(row.Value, record) != nil {
				continue
			}
			owners[name] = ownerRow{record, row.Version}
			m.shards[name] = true
		}
	}
	m.members, m.owners = members, owners
	m.dropLost(m.view.version)
	m.adoptDelayed()
	m.publish()
	m.takeVacant(now)
}

// dropLost releases shards whose owner row names another process, by a
// reading that is not older than the own takeover.
func (m *Manager) dropLost(read rows.Version) {
	for shard, fence := range m.held {
		row, ok := m.owners[shard]
		if row.version > fence || !ok && read >= fence {
			m.drop(shard)
		}
	}
}

// adoptDelayed takes shards that the rows give to this process by a takeover
// that had no answer when it was sent.
func (m *Manager) adoptDelayed() {
	for shard, row := range m.owners {
		_, held := m.held[shard]
		if !held && !m.taking[shard] && !m.leaving && !m.isRenounced(shard) && row.record.Incarnation == m.incarnation {
			m.acquire(shard, row.version)
		}
	}
}

func (m *Manager) drop(shard string) {
	delete(m.held, shard)
	m.o.Listener.Released(shard)
}

func (m *Manager) publish() {
	directory := Directory{}
	for shard, row := range m.owners {
		member, ok := m.members[row.record.Member]
		if !ok || member.record.Incarnation != row.record.Incarnation {
			continue
		}
		directory[shard] = Owner{row.record.Member, member.record.Address, row.record.Incarnation == m.incarnation}
	}
	if !maps.Equal(directory, m.directory) {
		m.directory = directory
		m.o.Listener.DirectoryChanged(directory)
	}
}

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
	assigned := assign(vacant, m.alive(now), owned)
	for _, shard := range vacant {
		overdue := now-m.vacantSince[shard] > vacancyLimit
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
		if err != nil && !errors.Is(err, rows.ErrNotDone) {
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

// leaveAttempts bounds the tries to delete the own row.
const leaveAttempts = 3

// Leave stops taking shards and gives up the own row; done runs on the loop.
func (m *Manager) Leave(done func()) {
	m.leaving = true
	m.rightUntil = 0
	version, incarnation := m.ownVersion, m.incarnation
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), m.o.CallTimeout)
		defer cancel()
		// Without success the others take over once the right has passed.
		err := m.deleteRow(ctx, version, incarnation)
		m.o.Loop.Post(func() {
			m.o.Listener.Renewed(err)
			done()
		})
	}()
}

// deleteRow deletes the own row. A renewal that was under way may have changed
// its version meanwhile.
func (m *Manager) deleteRow(ctx context.Context, version rows.Version, incarnation string) error {
	key := memberKey(m.o.Member)
	for range leaveAttempts {
		tx := rows.Tx{Expect: []rows.Expectation{{Key: key, Version: version}}, Delete: []rows.Key{key}}
		result, err := m.o.Store.Commit(ctx, tx)
		if err != nil || result.Applied {
			return err
		}
		found := false
		for _, row := range result.Found {
			record := &jobpb.Member{}
			if proto.Unmarshal(row.Value, record) == nil && record.Incarnation == incarnation {
				version, found = row.Version, true
			}
		}
		if !found {
			return nil // The row belongs to another life or is gone.
		}
	}
	return errRowChanges
}

var errRowChanges = errors.New("the row of this process kept changing")
