package cluster

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
	lastRead    time.Duration // When a reading was last answered.
	readAt      time.Duration // When a reading last began.
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
	peers       []string
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
	m.readAt = m.o.Clock()
	after, limit := m.view.version, m.o.CallTimeout
	if after == 0 {
		limit *= firstReadFactor // All rows are read.
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
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

// Refresh reads the changes of the rows, for example after a peer said that it does
// not own a shard. The first reading, of all rows, is left to the renewals: many calls
// that wait would repeat it without pause and use up the store's rate.
func (m *Manager) Refresh() {
	if !m.busy && m.view.version > 0 && m.o.Clock()-m.readAt >= refreshGap {
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
	m.publishPeers(now)
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

// publishPeers hands out the addresses of the processes that renewed lately.
func (m *Manager) publishPeers(now time.Duration) {
	var peers []string
	for name := range m.alive(now) {
		if name != m.o.Member {
			peers = append(peers, m.members[name].record.Address)
		}
	}
	slices.Sort(peers)
	if !slices.Equal(peers, m.peers) {
		m.peers = peers
		m.o.Listener.PeersChanged(peers)
	}
}
