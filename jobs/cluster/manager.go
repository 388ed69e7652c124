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

// Directory maps shards to their owners. It is immutable once published.
type Directory map[string]Owner

type memberRow struct {
	record  *jobpb.Member
	version rows.Version
	// firstSeen is when this process first read this version.
	firstSeen time.Duration
}

type ownerRow struct {
	record  *jobpb.Owner
	version rows.Version
}

// Manager renews the lease of this process and takes over vacant shards. All its
// methods run on the loop.
type Manager struct {
	o Options

	ownRowVersion rows.Version
	incarnation   string
	restarts      int
	renewalNumber uint64
	renewalSentAt map[uint64]time.Duration // By renewal number, for renewals without a reply.
	leaseExpiry   time.Duration
	joinedAt      time.Duration
	leaving       bool
	cycleRunning  bool
	// renewalWaits is set if a renewal is due and waits for the end of the cycle.
	renewalWaits  bool
	ticks         int
	renewDue      bool
	retryAt       time.Duration // When a renewal that failed may be repeated.
	lastReadAt    time.Duration // When the last successful read completed.
	readStartedAt time.Duration // When the last read was started.
	outageEndedAt time.Duration // When a read succeeded again after an outage of the store.
	rejections    int           // Consecutive renewals that the store rejected, up to maxDelayDoublings.
	view          view

	shards          map[string]bool
	members         map[string]memberRow
	owners          map[string]ownerRow
	vacantSince     map[string]time.Duration
	heldFences      map[string]uint64   // Fence of each shard that this process owns, by shard.
	ownTakeovers    map[string]ownerRow // The last owner row with which this process took a shard over, by shard.
	takeoverPending map[string]bool
	renouncedFences map[string]uint64 // Fences under which this process no longer acts, by shard.
	directory       Directory
	peerAddresses   []string

	heldSince      map[string]time.Duration // By shard that this process owns.
	knownSince     map[string]time.Duration // By member.
	handingOver    string                   // Shard that is being handed over; empty for none.
	lastHandoverAt time.Duration
	pastHandovers  map[string]pastHandover // By shard.
}

// New returns a manager, or an error when the options are invalid. Call Start to
// begin the renewals.
func New(o Options) (*Manager, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o.setDefaults()
	return &Manager{
		o: o, incarnation: o.Incarnation, renewalSentAt: map[uint64]time.Duration{}, shards: map[string]bool{}, members: map[string]memberRow{}, owners: map[string]ownerRow{},
		vacantSince: map[string]time.Duration{}, heldFences: map[string]uint64{}, ownTakeovers: map[string]ownerRow{}, takeoverPending: map[string]bool{}, renouncedFences: map[string]uint64{},
		heldSince: map[string]time.Duration{}, knownSince: map[string]time.Duration{}, pastHandovers: map[string]pastHandover{},
	}, nil
}

// Start begins the periodic renewals and reads. It runs on the loop.
func (m *Manager) Start() { m.tick() }

// SetShards adds shards that need an owner. Shards are never removed, because jobs
// may outlive the service that they were submitted to.
func (m *Manager) SetShards(names []string) {
	for _, name := range names {
		m.shards[name] = true
	}
}

// LeaseExpiry returns when the lease of this process expires, on the manager's clock. The
// process may act for its shards until then. It is 0 before the first renewal and after
// the lease was given up.
func (m *Manager) LeaseExpiry() time.Duration { return m.leaseExpiry }

// HasLease reports whether this process holds its lease now and may act for its shards.
func (m *Manager) HasLease() bool { return m.o.Clock() < m.leaseExpiry }

// Fence returns the fence of a shard, and false when this process does not own it.
func (m *Manager) Fence(shard string) (uint64, bool) {
	fence, ok := m.heldFences[shard]
	return fence, ok
}

// Renounce gives up a shard that this process no longer acts for. It has no effect
// when the fence is not the current one. Unless the owner row names another process,
// this process takes the shard over again, with a higher fence.
func (m *Manager) Renounce(shard string, fence uint64) {
	if current, ok := m.heldFences[shard]; !ok || current != fence {
		return
	}
	m.renouncedFences[shard] = fence
	m.release(shard)
	m.Refresh()
}

// isRenounced reports whether this process renounced a shard whose owner row has not
// changed since.
func (m *Manager) isRenounced(shard string) bool {
	fence, ok := m.renouncedFences[shard]
	return ok && m.owners[shard].version == fence
}

func (m *Manager) tick() {
	m.o.Loop.After(m.o.Interval, m.tick)
	m.ticks++
	if len(m.heldFences) > 0 || m.ticks%idleRenewalTicks == 0 || m.ownRowVersion == 0 {
		m.renewDue = true
	}
	m.startCycle()
}

// isRenewalDue reports whether a renewal is to be sent now.
func (m *Manager) isRenewalDue() bool {
	return m.renewDue && !m.leaving && m.o.Clock() >= m.retryAt
}

// startCycle starts a renewal, if one is due, followed by a read. While a cycle is running, a
// renewal that is due waits for its end, and reads that are requested meanwhile do not precede it.
func (m *Manager) startCycle() {
	if m.cycleRunning {
		m.renewalWaits = m.renewalWaits || m.isRenewalDue()
		return
	}
	m.cycleRunning = true
	if !m.isRenewalDue() {
		m.startRead() // Needed while leaving too: requests are still forwarded to the owners.
	} else {
		m.sendRenewal()
	}
}

func (m *Manager) sendRenewal() {
	m.renewDue = false // A tick meanwhile makes the next one due.
	m.renewalNumber++
	record := &jobpb.Member{Incarnation: m.incarnation, Address: m.o.Address, Beat: m.renewalNumber, Leaving: m.leaving, CpuMilli: m.o.CPU}
	value, err := proto.Marshal(record)
	if err != nil {
		m.handleRenewalResult(0, rows.Result{}, err)
		return
	}
	key := memberKey(m.o.Member)
	tx := rows.Tx{
		Expect: []rows.Expectation{{Key: key, Version: m.ownRowVersion}},
		Set:    []rows.Row{{Key: key, Value: value}},
	}
	sent := m.o.Clock()
	m.renewalSentAt[m.renewalNumber] = sent
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), m.o.callTimeout())
		defer cancel()
		result, err := m.o.Store.Commit(ctx, tx)
		m.o.Loop.Post(func() { m.handleRenewalResult(sent, result, err) })
	}()
}

// handleRenewalResult processes the result of a renewal, schedules a retry if it failed,
// and continues the cycle with a read.
func (m *Manager) handleRenewalResult(sent time.Duration, result rows.Result, err error) {
	if m.joinedAt == 0 && err == nil && result.Applied {
		m.joinedAt = m.o.Clock()
	}
	switch {
	case m.leaving: // The member row is being deleted, so the lease must not be extended.
	case err != nil:
		m.o.Listener.Renewed(fmt.Errorf("renew member row: %w", err))
	case result.Applied:
		m.extendLease(result.Version, sent)
	default:
		m.reconcileRejectedRenewal(result.CurrentRows)
	}
	failed := err != nil || !result.Applied
	m.renewDue = m.renewDue || failed
	if errors.Is(err, rows.ErrNotExecuted) {
		m.rejections = min(m.rejections+1, maxDelayDoublings)
	} else {
		m.rejections = 0
	}
	if failed {
		delay := m.renewalRetryDelay()
		m.retryAt = m.o.Clock() + delay
		m.o.Loop.After(delay, m.startCycle)
	}
	m.startRead()
}

// renewalRetryDelay doubles with each renewal that the store rejects, so that retries
// do not keep an overloaded store from recovering. Jitter spreads the processes.
func (m *Manager) renewalRetryDelay() time.Duration {
	delay := renewalRetryBase << m.rejections
	return delay/2 + rand.N(delay)
}

func (m *Manager) extendLease(version rows.Version, sent time.Duration) {
	m.ownRowVersion = version
	m.leaseExpiry = max(m.leaseExpiry, sent+m.o.LeaseDuration)
	clear(m.renewalSentAt)
	m.o.Listener.Renewed(nil)
}

// reconcileRejectedRenewal handles a renewal rejected because the member row had
// another version. If the row comes from an earlier renewal whose reply was lost, the
// lease is extended from the time when that renewal was sent. Otherwise a process that
// took shards over has deleted the row, even if there is one of this incarnation: a late
// copy of the renewal that created it can do so again. This process releases all shards
// and continues as a new incarnation, so that no owner row names it.
func (m *Manager) reconcileRejectedRenewal(currentRows []rows.Row) {
	for _, row := range currentRows {
		record := &jobpb.Member{}
		if row.Deleted || row.Version == 0 || proto.Unmarshal(row.Value, record) != nil {
			continue
		}
		if sent, ok := m.renewalSentAt[record.Beat]; ok && record.Incarnation == m.incarnation {
			m.extendLease(row.Version, sent)
			return
		}
		m.ownRowVersion = row.Version
		if m.leaseExpiry == 0 {
			return // The next renewal replaces the row of an earlier incarnation.
		}
	}
	if m.leaseExpiry != 0 {
		m.startNewIncarnation()
	}
}

// startNewIncarnation releases all shards and continues under a new incarnation.
func (m *Manager) startNewIncarnation() {
	m.ownRowVersion, m.leaseExpiry = 0, 0
	m.restarts++
	m.incarnation = fmt.Sprintf("%s-%d", m.o.Incarnation, m.restarts)
	clear(m.renewalSentAt)
	for shard := range m.heldFences {
		m.release(shard)
	}
}

// startRead reads the rows that changed since the last read and ends the cycle when it
// completes.
func (m *Manager) startRead() {
	m.readStartedAt = m.o.Clock()
	after, limit := m.view.version, m.o.callTimeout()
	if after == 0 {
		limit *= firstReadTimeoutFactor // The first read fetches all rows.
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		read, err := readChanges(ctx, m.o.Store, after)
		m.o.Loop.Post(func() {
			m.endCycle()
			if err != nil {
				m.o.Listener.Renewed(fmt.Errorf("read members: %w", err))
				return
			}
			m.view.merge(read)
			m.applyView()
		})
	}()
}

// endCycle ends a cycle and starts the next one if a renewal has waited for it.
func (m *Manager) endCycle() {
	m.cycleRunning = false
	waited := m.renewalWaits && m.isRenewalDue()
	m.renewalWaits = false
	if waited {
		m.startCycle()
	}
}

// Refresh reads the changed rows, for example after a peer replied that it does not own
// a shard. It does nothing before the first read, of all rows, has succeeded: many
// waiting calls would repeat that read without pause and use up the store's rate limit.
func (m *Manager) Refresh() {
	if !m.cycleRunning && m.view.version > 0 && m.o.Clock()-m.readStartedAt >= minRefreshInterval {
		m.cycleRunning = true
		m.startRead()
	}
}

// applyView updates members, owners and shards from the cached rows and acts on the
// changes.
func (m *Manager) applyView() {
	now := m.o.Clock()
	if now-m.lastReadAt > outageThreshold {
		m.outageEndedAt = now
	}
	m.lastReadAt = now
	members, owners := map[string]memberRow{}, map[string]ownerRow{}
	for _, row := range m.view.rows {
		if name, ok := strings.CutPrefix(row.Name, memberPrefix); ok {
			record := &jobpb.Member{}
			if proto.Unmarshal(row.Value, record) != nil {
				continue
			}
			firstSeen := now
			if last, ok := m.members[name]; ok && last.version == row.Version {
				firstSeen = last.firstSeen
			}
			members[name] = memberRow{record, row.Version, firstSeen}
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
	m.releaseLostShards(m.view.version)
	m.keepOwnTakeovers()
	m.acquireDelayedTakeovers()
	m.publishDirectory()
	m.publishPeers(now)
	m.takeVacantShards(now)
	m.trackMembers(now)
	m.planHandover(now)
}

// releaseLostShards releases shards whose owner row was changed or deleted by another
// process. Reads older than this process's own takeover are ignored.
func (m *Manager) releaseLostShards(readVersion rows.Version) {
	for shard, fence := range m.heldFences {
		row, ok := m.owners[shard]
		if row.version > fence || !ok && readVersion >= fence {
			m.release(shard)
		}
	}
}

// keepOwnTakeovers keeps the owner rows of takeovers that are newer than the last read: the store may
// have executed that read before the takeover.
func (m *Manager) keepOwnTakeovers() {
	for shard, row := range m.ownTakeovers {
		if m.owners[shard].version < row.version {
			m.owners[shard] = row
		}
	}
}

// acquireDelayedTakeovers acquires shards whose owner row names this process because of
// a takeover that got no reply but was applied later.
func (m *Manager) acquireDelayedTakeovers() {
	for shard, row := range m.owners {
		_, held := m.heldFences[shard]
		if !held && !m.takeoverPending[shard] && !m.leaving && !m.isRenounced(shard) && row.record.Incarnation == m.incarnation {
			m.acquire(shard, row.version)
		}
	}
}

func (m *Manager) release(shard string) {
	delete(m.heldFences, shard)
	delete(m.heldSince, shard)
	if m.handingOver == shard {
		m.handingOver = ""
	}
	m.o.Listener.Released(shard)
}

func (m *Manager) publishDirectory() {
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

// publishPeers passes the addresses of the other live members to the listener.
func (m *Manager) publishPeers(now time.Duration) {
	var peerAddresses []string
	for name := range m.liveMembers(now) {
		if name != m.o.Member {
			peerAddresses = append(peerAddresses, m.members[name].record.Address)
		}
	}
	slices.Sort(peerAddresses)
	if !slices.Equal(peerAddresses, m.peerAddresses) {
		m.peerAddresses = peerAddresses
		m.o.Listener.PeersChanged(peerAddresses)
	}
}
