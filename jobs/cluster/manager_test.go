package cluster

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
)

// member is a simulated process. It accesses the shared store through its own
// faultyStore, so that faults can affect this member only.
type member struct {
	*Manager
	name  string
	store *faultyStore
	owns  map[string]bool
	// acquiredTwice are the shards that the member acquired while it owned them.
	acquiredTwice []string
	// acquiredFences are the fences of all acquisitions, by shard.
	acquiredFences map[string][]uint64
	directory      Directory
	handovers      int
	// finishHeld ends the last handover; set instead of ending it if holdHandover is true.
	holdHandover bool
	finishHeld   func()
}

// faultyStore forwards calls to the shared store, unless a fault is set for its member.
type faultyStore struct {
	*rowstest.Store
	activeFault atomic.Uint32 // A rowstest.Fault.
	failReads   atomic.Bool   // Reads are rejected, commits are not affected.
	reads       atomic.Int32
	// readReplyTime is how long the reply to a read of changes is on its way.
	readReplyTime atomic.Int64
	draw          func() course // Draws the course of each call; nil for calls without one.
}

func (f *faultyStore) setFault(fault rowstest.Fault) { f.activeFault.Store(uint32(fault)) }

func (f *faultyStore) fault() rowstest.Fault { return rowstest.Fault(f.activeFault.Load()) }

func (f *faultyStore) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	switch f.fault() {
	case rowstest.RequestLost:
		<-ctx.Done()
		return rows.Result{}, rowstest.ErrNoReply
	case rowstest.ResponseLost:
		if _, err := f.Store.Commit(ctx, tx); err != nil {
			return rows.Result{}, err
		}
		<-ctx.Done()
		return rows.Result{}, rowstest.ErrNoReply
	}
	return follow(ctx, f, func(ctx context.Context) (rows.Result, error) { return f.Store.Commit(ctx, tx) })
}

func (f *faultyStore) Read(ctx context.Context, table, part, from string) (rows.Page, error) {
	f.reads.Add(1)
	if f.fault() == rowstest.Rejected || f.failReads.Load() {
		return rows.Page{}, rows.ErrNotExecuted
	}
	if f.fault() == rowstest.RequestLost {
		<-ctx.Done()
		return rows.Page{}, rowstest.ErrNoReply
	}
	return follow(ctx, f, func(ctx context.Context) (rows.Page, error) { return f.Store.Read(ctx, table, part, from) })
}

func (f *faultyStore) Feed(ctx context.Context, table string, after rows.Version, wait time.Duration) (rows.Page, error) {
	if f.failReads.Load() {
		return rows.Page{}, rows.ErrNotExecuted
	}
	if f.fault() == rowstest.RequestLost {
		<-ctx.Done()
		return rows.Page{}, rowstest.ErrNoReply
	}
	page, err := follow(ctx, f, func(ctx context.Context) (rows.Page, error) { return f.Store.Feed(ctx, table, after, wait) })
	time.Sleep(time.Duration(f.readReplyTime.Load()))
	return page, err
}

func (m *member) Acquired(shard string, fence uint64) {
	m.acquiredFences[shard] = append(m.acquiredFences[shard], fence)
	if m.owns[shard] {
		m.acquiredTwice = append(m.acquiredTwice, shard)
	}
	m.owns[shard] = true
}
func (m *member) Released(shard string)   { delete(m.owns, shard) }
func (m *member) Renewed(error)           {}
func (m *member) CanHandOver(string) bool { return true }
func (m *member) HandOver(shard string, fence uint64) {
	m.handovers++
	m.finishHeld = func() { m.FinishHandover(shard, fence) }
	if !m.holdHandover {
		m.finishHeld()
	}
}
func (m *member) DirectoryChanged(d Directory) { m.directory = d }
func (m *member) PeersChanged([]string)        {}

// canAct reports whether the member owns a shard and holds its lease.
func (m *member) canAct(shard string) bool { return m.owns[shard] && m.HasLease() }

type group struct {
	t       *testing.T
	loop    *loop.Loop
	store   *rowstest.Store
	members []*member
	shards  []string
}

func withGroup(t *testing.T, n int, test func(*group)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		g := &group{t: t, loop: loop.New(), store: &rowstest.Store{Latency: 4 * time.Millisecond}, shards: []string{"a", "b", "c"}}
		go g.loop.Run(ctx)
		for range n {
			g.add()
		}
		defer func() {
			cancel()
			time.Sleep(5 * time.Second)
		}()
		test(g)
	})
}

func (g *group) add() *member {
	m := &member{name: fmt.Sprintf("m%d", len(g.members)), store: &faultyStore{Store: g.store}, owns: map[string]bool{}, acquiredFences: map[string][]uint64{}}
	began := time.Now()
	manager, err := New(Options{
		Member: m.name, Incarnation: m.name + "-1", Address: m.name, CPU: 400, Store: m.store, Loop: g.loop, Listener: m,
		Clock: func() time.Duration { return time.Since(began) + time.Second },
	})
	assert.NilError(g.t, err)
	m.Manager = manager
	g.members = append(g.members, m)
	g.runOnLoop(func() {
		m.SetShards(g.shards)
		m.Start()
	})
	return m
}

func (g *group) runOnLoop(f func()) { g.loop.Call(context.Background(), f) }

// checkSingleOwnerFor lets time pass and fails the test whenever two members may act
// for the same shard.
func (g *group) checkSingleOwnerFor(d time.Duration) {
	g.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		g.runOnLoop(func() {
			for _, shard := range g.shards {
				if n := len(g.activeOwners(shard)); n > 1 {
					g.t.Errorf("%d members may act for shard %s", n, shard)
				}
			}
		})
	}
}

func (g *group) activeOwners(shard string) (owners []*member) {
	for _, m := range g.members {
		if m.canAct(shard) {
			owners = append(owners, m)
		}
	}
	return owners
}

func (g *group) activeOwner(shard string) (owner *member) {
	g.runOnLoop(func() {
		if owners := g.activeOwners(shard); len(owners) == 1 {
			owner = owners[0]
		}
	})
	return owner
}

const takeoverLimit = 5 * time.Second

// Guards against shards without an owner, and against one process that owns all shards.
func TestShardsAreSpread(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.checkSingleOwnerFor(4 * time.Second)
		for _, m := range g.members {
			assert.Equal(t, len(m.owns), 1, m.name)
			assert.Equal(t, len(m.directory), 3)
		}
	})
}

// Guards against two simultaneous owners of a shard when its owner is partitioned from
// the store, and against a shard that has no owner afterwards.
func TestPartitionedMemberLosesItsShards(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.checkSingleOwnerFor(4 * time.Second)
		former := g.activeOwner("a")
		former.store.setFault(rowstest.RequestLost)
		g.checkSingleOwnerFor(takeoverLimit)
		next := g.activeOwner("a")
		assert.Assert(t, next != nil && next != former)
		former.store.setFault(rowstest.NoFault)
		g.checkSingleOwnerFor(takeoverLimit)
		assert.Assert(t, !former.owns["a"])
	})
}

// Guards against a member that loses its lease because the replies to its renewals are
// lost, although the renewals are applied.
func TestLostRepliesDoNotEndTheLease(t *testing.T) {
	withGroup(t, 2, func(g *group) {
		g.checkSingleOwnerFor(4 * time.Second)
		owner := g.activeOwner("a")
		n := 0
		for range 10 {
			n++
			owner.store.setFault(rowstest.ResponseLost)
			g.checkSingleOwnerFor(1200 * time.Millisecond)
			owner.store.setFault(rowstest.NoFault)
			g.checkSingleOwnerFor(800 * time.Millisecond)
		}
		assert.Assert(t, g.activeOwner("a") == owner, "the shard changed its owner")
	})
}

// Guards against shards that remain assigned to a process that has left.
func TestLeaveHandsOver(t *testing.T) {
	withGroup(t, 2, func(g *group) {
		g.checkSingleOwnerFor(4 * time.Second)
		owner := g.activeOwner("a")
		g.runOnLoop(func() { owner.Leave(func() {}) })
		g.checkSingleOwnerFor(2 * time.Second)
		next := g.activeOwner("a")
		assert.Assert(t, next != nil && next != owner)
	})
}

// Guards against a shard that stays without an owner after its owner renounced it and
// no other process took it over, and against a new owner that reuses an old fence.
func TestRenouncedShardIsTakenAgain(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.checkSingleOwnerFor(4 * time.Second)
		owner := g.activeOwner("a")
		var former uint64
		g.runOnLoop(func() {
			former, _ = owner.Fence("a")
			owner.Renounce("a", former)
			assert.Assert(t, !owner.owns["a"])
		})
		g.checkSingleOwnerFor(takeoverLimit)
		next := g.activeOwner("a")
		assert.Assert(t, next != nil, "nobody owns the shard")
		g.runOnLoop(func() {
			fence, _ := next.Fence("a")
			assert.Assert(t, fence > former, "fence %d after %d", fence, former)
		})
	})
}

// Guards against a process that acts for a shard whose owner row names its former incarnation.
func TestLateTakeoverIsOfFormerIncarnation(t *testing.T) {
	withGroup(t, 1, func(g *group) {
		time.Sleep(5 * time.Second)
		m := g.members[0]
		g.runOnLoop(func() {
			m.startTakeover("late")
			m.startNewIncarnation()
		})
		time.Sleep(3 * g.store.Latency)
		var owns bool
		var rowIncarnation, incarnation string
		g.runOnLoop(func() { owns = m.owns["late"] })
		assert.Assert(t, !owns)
		time.Sleep(5 * time.Second)
		g.runOnLoop(func() {
			owns, rowIncarnation, incarnation = m.canAct("late"), m.owners["late"].record.Incarnation, m.incarnation
		})
		assert.Assert(t, owns, "the shard has no owner")
		assert.Equal(t, rowIncarnation, incarnation)
	})
}

// Guards against shards that have two owners or none after a store outage.
func TestOutageOfTheStore(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.checkSingleOwnerFor(4 * time.Second)
		for _, m := range g.members {
			m.store.setFault(rowstest.RequestLost)
		}
		g.checkSingleOwnerFor(9 * time.Second)
		for _, m := range g.members {
			m.store.setFault(rowstest.NoFault)
		}
		g.checkSingleOwnerFor(takeoverLimit)
		for _, shard := range g.shards {
			assert.Assert(t, g.activeOwner(shard) != nil, shard)
		}
	})
}

// Guards against shards that lose their owner while the store is slow: it executes the
// transactions of a part sequentially and rejects those that would wait too long.
func TestSlowStoreKeepsLeases(t *testing.T) {
	const members = 40
	withGroup(t, members, func(g *group) {
		g.checkSingleOwnerFor(6 * time.Second)
		g.store.WithLock(func() { g.store.PartServiceTime = 150 * time.Millisecond })
		owners := map[string]*member{}
		for _, shard := range g.shards {
			owners[shard] = g.activeOwner(shard)
		}
		for range 12 {
			g.checkSingleOwnerFor(time.Second)
			for _, shard := range g.shards {
				assert.Assert(t, owners[shard] != nil && g.activeOwner(shard) == owners[shard], "shard %s has lost its owner", shard)
			}
		}
	})
}

// Guards against shards that change owner after each store outage: nobody can renew
// during the outage, so the first process to reconnect would take over all shards.
func TestOutageKeepsOwners(t *testing.T) {
	for _, outage := range []time.Duration{4200 * time.Millisecond, 9 * time.Second} {
		withGroup(t, 5, func(g *group) {
			g.checkSingleOwnerFor(5 * time.Second)
			owners := map[string]*member{}
			for _, shard := range g.shards {
				owners[shard] = g.activeOwner(shard)
			}
			for _, m := range g.members {
				m.store.setFault(rowstest.RequestLost)
			}
			g.checkSingleOwnerFor(outage)
			for _, m := range g.members {
				m.store.setFault(rowstest.NoFault)
				g.checkSingleOwnerFor(50 * time.Millisecond)
			}
			g.checkSingleOwnerFor(takeoverLimit)
			for _, shard := range g.shards {
				assert.Assert(t, g.activeOwner(shard) == owners[shard], "shard %s changed its owner", shard)
			}
		})
	}
}

// Guards against processes that never finish their first read while the store is slow,
// because they read the parts sequentially: no shard would get an owner.
func TestFirstReadOfSlowStore(t *testing.T) {
	withGroup(t, 0, func(g *group) {
		g.store.Latency = 60 * time.Millisecond
		for range 3 {
			g.add()
		}
		g.checkSingleOwnerFor(3 * time.Second)
		g.runOnLoop(func() {
			for _, shard := range g.shards {
				assert.Equal(t, len(g.activeOwners(shard)), 1, "shard %s has no owner", shard)
			}
		})
	})
}

// Guards against waiting calls that repeat the first read without pause: after an outage
// they used up the store's rate limit, and no shard got an owner for seconds.
func TestRefreshDoesNotRepeatTheFirstRead(t *testing.T) {
	withGroup(t, 0, func(g *group) {
		m := g.add()
		m.store.setFault(rowstest.Rejected)
		m.store.reads.Store(0)
		for range 100 {
			g.runOnLoop(m.Refresh)
			time.Sleep(20 * time.Millisecond)
		}
		assert.Assert(t, m.store.reads.Load() <= 20, "%d readings in 2 s", m.store.reads.Load())
	})
}

// Guards against shards that stay without an owner for seconds because they were
// assigned to processes that failed together with the former owner.
func TestManyFailTogether(t *testing.T) {
	const longest = 4600 * time.Millisecond // Lease duration, expiry margin, one read and two takeover delays.
	for first := range 4 {
		withGroup(t, 12, func(g *group) {
			g.checkSingleOwnerFor(6 * time.Second)
			for i, m := range g.members {
				owns := false
				g.runOnLoop(func() { owns = len(m.owns) > 0 })
				if owns || (i+first)%2 == 0 {
					m.store.setFault(rowstest.RequestLost)
				}
			}
			g.checkSingleOwnerFor(longest)
			g.runOnLoop(func() {
				for _, shard := range g.shards {
					assert.Equal(g.t, len(g.activeOwners(shard)), 1, "shard %s has no owner %v after half of the processes failed", shard, longest)
				}
			})
		})
	}
}

// Guards against shards that have no owner for seconds after all processes restarted,
// because they are assigned to a dead process whose member row still exists.
func TestRestartBesideRowOfLostProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		g := &group{t: t, loop: loop.New(), store: &rowstest.Store{Latency: 4 * time.Millisecond}, shards: []string{"a", "b", "c"}}
		lost, err := proto.Marshal(&jobpb.Member{Incarnation: "lost-1", Address: "lost", CpuMilli: 4000})
		assert.NilError(t, err)
		g.store.Put(rows.Row{Key: memberKey("lost"), Value: lost})
		go g.loop.Run(ctx)
		for range 4 {
			g.add()
		}
		g.checkSingleOwnerFor(1700 * time.Millisecond)
		g.runOnLoop(func() {
			for _, shard := range g.shards {
				assert.Equal(t, len(g.activeOwners(shard)), 1, "shard %s has no owner", shard)
			}
		})
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// Guards against a small process that takes over a shard it cannot serve, because the
// large processes renew late while the store is slow.
func TestSmallProcessLeavesShardsToLateLargeOnes(t *testing.T) {
	members := map[string]int64{"small": 192}
	for i := range 5 {
		members[fmt.Sprint("large-", i)] = 800
	}
	assert.Equal(t, preferenceRank("a", "small", members, map[string]int{}), 5)
	for i := range 5 {
		assert.Assert(t, preferenceRank("a", fmt.Sprint("large-", i), members, map[string]int{}) < 5)
	}
	m := &Manager{o: Options{Member: "small"}, members: map[string]memberRow{}}
	now := 10 * time.Second
	for name, cpu := range members {
		m.members[name] = memberRow{&jobpb.Member{CpuMilli: cpu}, 1, now - 3*time.Second}
	}
	assert.DeepEqual(t, m.liveMembers(now), members)
}

// Guards against an unbalanced assignment, and against processes that disagree on who
// takes over a vacant shard.
func TestAssignIsBalanced(t *testing.T) {
	members := map[string]int64{"x": 400, "y": 400}
	to := assignVacantShards([]string{"a", "b", "c", "d"}, members, map[string]int{"x": 2})
	load := map[string]int{"x": 2}
	for _, m := range to {
		load[m]++
	}
	assert.DeepEqual(t, load, map[string]int{"x": 3, "y": 3})
	assert.DeepEqual(t, assignVacantShards([]string{"b", "a"}, members, nil), assignVacantShards([]string{"a", "b"}, members, nil))
}

// Guards against shards assigned to small processes while large ones have few shards.
func TestAssignPrefersLargeProcesses(t *testing.T) {
	members := map[string]int64{"large": 800, "small": 192, "other": 192}
	for _, m := range assignVacantShards([]string{"a", "b", "c", "d"}, members, nil) {
		assert.Equal(t, m, "large")
	}
}
