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

// member is a process with a store of its own view, so that faults hit it alone.
type member struct {
	*Manager
	name      string
	store     *faulty
	owns      map[string]bool
	directory Directory
}

// faulty passes calls to a shared store, unless this member is cut off.
type faulty struct {
	*rowstest.Store
	cut   atomic.Uint32 // A rowstest.Fault.
	reads atomic.Int32
}

func (f *faulty) set(fault rowstest.Fault) { f.cut.Store(uint32(fault)) }

func (f *faulty) fault() rowstest.Fault { return rowstest.Fault(f.cut.Load()) }

func (f *faulty) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	switch f.fault() {
	case rowstest.Silent:
		<-ctx.Done()
		return rows.Result{}, rowstest.ErrNoAnswer
	case rowstest.Lost:
		if _, err := f.Store.Commit(ctx, tx); err != nil {
			return rows.Result{}, err
		}
		<-ctx.Done()
		return rows.Result{}, rowstest.ErrNoAnswer
	}
	return f.Store.Commit(ctx, tx)
}

func (f *faulty) Read(ctx context.Context, table, part, from string) (rows.Page, error) {
	f.reads.Add(1)
	if f.fault() == rowstest.Down {
		return rows.Page{}, rows.ErrNotDone
	}
	if f.fault() == rowstest.Silent {
		<-ctx.Done()
		return rows.Page{}, rowstest.ErrNoAnswer
	}
	return f.Store.Read(ctx, table, part, from)
}

func (f *faulty) Feed(ctx context.Context, table string, after rows.Version, wait time.Duration) (rows.Page, error) {
	if f.fault() == rowstest.Silent {
		<-ctx.Done()
		return rows.Page{}, rowstest.ErrNoAnswer
	}
	return f.Store.Feed(ctx, table, after, wait)
}

func (m *member) Acquired(shard string, _ uint64) { m.owns[shard] = true }
func (m *member) Released(shard string)           { delete(m.owns, shard) }
func (m *member) Renewed(error)                   {}
func (m *member) DirectoryChanged(d Directory)    { m.directory = d }
func (m *member) PeersChanged([]string)           {}

// acts reports whether the member may act for a shard.
func (m *member) acts(shard string) bool { return m.owns[shard] && m.HasRight() }

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
	m := &member{name: fmt.Sprintf("m%d", len(g.members)), store: &faulty{Store: g.store}, owns: map[string]bool{}}
	began := time.Now()
	manager, err := New(Options{
		Member: m.name, Incarnation: m.name + "-1", Address: m.name, CPU: 400, Store: m.store, Loop: g.loop, Listener: m,
		Clock: func() time.Duration { return time.Since(began) + time.Second },
	})
	assert.NilError(g.t, err)
	m.Manager = manager
	g.members = append(g.members, m)
	g.do(func() {
		m.SetShards(g.shards)
		m.Start()
	})
	return m
}

func (g *group) do(f func()) { g.loop.Call(context.Background(), f) }

// watch lets time pass and fails when two members may act for one shard.
func (g *group) watch(d time.Duration) {
	g.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		g.do(func() {
			for _, shard := range g.shards {
				if n := len(g.actors(shard)); n > 1 {
					g.t.Errorf("%d members may act for shard %s", n, shard)
				}
			}
		})
	}
}

func (g *group) actors(shard string) (actors []*member) {
	for _, m := range g.members {
		if m.acts(shard) {
			actors = append(actors, m)
		}
	}
	return actors
}

func (g *group) actor(shard string) (actor *member) {
	g.do(func() {
		if actors := g.actors(shard); len(actors) == 1 {
			actor = actors[0]
		}
	})
	return actor
}

const takeoverLimit = 5 * time.Second

// Guards against shards that nobody owns, and against one process that owns all.
func TestShardsAreSpread(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.watch(4 * time.Second)
		for _, m := range g.members {
			assert.Equal(t, len(m.owns), 1, m.name)
			assert.Equal(t, len(m.directory), 3)
		}
	})
}

// Guards against two owners at a time when one is cut off from the store, and
// against a shard without owner afterwards.
func TestCutMemberLosesItsShards(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.watch(4 * time.Second)
		former := g.actor("a")
		former.store.set(rowstest.Silent)
		g.watch(takeoverLimit)
		next := g.actor("a")
		assert.Assert(t, next != nil && next != former)
		former.store.set(rowstest.None)
		g.watch(takeoverLimit)
		assert.Assert(t, !former.owns["a"])
	})
}

// Guards against a member that loses its right because the answers to its
// renewals are lost, although they take effect.
func TestLostAnswersDoNotEndTheRight(t *testing.T) {
	withGroup(t, 2, func(g *group) {
		g.watch(4 * time.Second)
		owner := g.actor("a")
		n := 0
		for range 10 {
			n++
			owner.store.set(rowstest.Lost)
			g.watch(1200 * time.Millisecond)
			owner.store.set(rowstest.None)
			g.watch(800 * time.Millisecond)
		}
		assert.Assert(t, g.actor("a") == owner, "the shard changed its owner")
	})
}

// Guards against shards that stay with a process that has left.
func TestLeaveHandsOver(t *testing.T) {
	withGroup(t, 2, func(g *group) {
		g.watch(4 * time.Second)
		owner := g.actor("a")
		g.do(func() { owner.Leave(func() {}) })
		g.watch(2 * time.Second)
		next := g.actor("a")
		assert.Assert(t, next != nil && next != owner)
	})
}

// Guards against a shard without owner after its owner stopped acting for it
// although no other process took it, and against an old fence afterwards.
func TestRenouncedShardIsTakenAgain(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.watch(4 * time.Second)
		owner := g.actor("a")
		var former uint64
		g.do(func() {
			former, _ = owner.Fence("a")
			owner.Renounce("a", former)
			assert.Assert(t, !owner.owns["a"])
		})
		g.watch(takeoverLimit)
		next := g.actor("a")
		assert.Assert(t, next != nil, "nobody owns the shard")
		g.do(func() {
			fence, _ := next.Fence("a")
			assert.Assert(t, fence > former, "fence %d after %d", fence, former)
		})
	})
}

// Guards against a store outage after which shards have two owners or none.
func TestOutageOfTheStore(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.watch(4 * time.Second)
		for _, m := range g.members {
			m.store.set(rowstest.Silent)
		}
		g.watch(9 * time.Second)
		for _, m := range g.members {
			m.store.set(rowstest.None)
		}
		g.watch(takeoverLimit)
		for _, shard := range g.shards {
			assert.Assert(t, g.actor(shard) != nil, shard)
		}
	})
}

// Guards against shards without owner while the store is slow: it carries out
// the transactions of a part one after the other, and rejects those that wait long.
func TestSlowStoreKeepsRights(t *testing.T) {
	const members = 40
	withGroup(t, members, func(g *group) {
		g.watch(6 * time.Second)
		g.store.Locked(func() { g.store.PartTime = 150 * time.Millisecond })
		owners := map[string]*member{}
		for _, shard := range g.shards {
			owners[shard] = g.actor(shard)
		}
		for range 12 {
			g.watch(time.Second)
			for _, shard := range g.shards {
				assert.Assert(t, owners[shard] != nil && g.actor(shard) == owners[shard], "shard %s has lost its owner", shard)
			}
		}
	})
}

// Guards against shards that change their owner after each outage of the store,
// during which nobody could renew: the first process to return would take all.
func TestOutageKeepsOwners(t *testing.T) {
	for _, outage := range []time.Duration{4200 * time.Millisecond, 9 * time.Second} {
		withGroup(t, 5, func(g *group) {
			g.watch(5 * time.Second)
			owners := map[string]*member{}
			for _, shard := range g.shards {
				owners[shard] = g.actor(shard)
			}
			for _, m := range g.members {
				m.store.set(rowstest.Silent)
			}
			g.watch(outage)
			for _, m := range g.members {
				m.store.set(rowstest.None)
				g.watch(50 * time.Millisecond)
			}
			g.watch(takeoverLimit)
			for _, shard := range g.shards {
				assert.Assert(t, g.actor(shard) == owners[shard], "shard %s changed its owner", shard)
			}
		})
	}
}

// Guards against processes that never finish their first reading, one part after the
// other, while the store is slow: nobody would own anything.
func TestFirstReadingOfSlowStore(t *testing.T) {
	withGroup(t, 0, func(g *group) {
		g.store.Latency = 60 * time.Millisecond
		for range 3 {
			g.add()
		}
		g.watch(3 * time.Second)
		g.do(func() {
			for _, shard := range g.shards {
				assert.Equal(t, len(g.actors(shard)), 1, "shard %s has no owner", shard)
			}
		})
	})
}

// Guards against processes whose waiting calls repeat the first reading without pause:
// after an outage they used up the store's rate, and nobody got an owner for seconds.
func TestCallsDoNotRepeatTheFirstReading(t *testing.T) {
	withGroup(t, 0, func(g *group) {
		m := g.add()
		m.store.set(rowstest.Down)
		m.store.reads.Store(0)
		for range 100 {
			g.do(m.Refresh)
			time.Sleep(20 * time.Millisecond)
		}
		assert.Assert(t, m.store.reads.Load() <= 20, "%d readings in 2 s", m.store.reads.Load())
	})
}

// Guards against shards that stay without owner for seconds since they were
// assigned to processes that failed together with their owner.
func TestManyFailTogether(t *testing.T) {
	const longest = 4600 * time.Millisecond // A right, its margin, a reading and two turns.
	for first := range 4 {
		withGroup(t, 12, func(g *group) {
			g.watch(6 * time.Second)
			for i, m := range g.members {
				owns := false
				g.do(func() { owns = len(m.owns) > 0 })
				if owns || (i+first)%2 == 0 {
					m.store.set(rowstest.Silent)
				}
			}
			g.watch(longest)
			g.do(func() {
				for _, shard := range g.shards {
					assert.Equal(g.t, len(g.actors(shard)), 1, "shard %s has no owner %v after half of the processes failed", shard, longest)
				}
			})
		})
	}
}

// Guards against shards without owner for seconds after a restart of everything,
// since they are assigned to a process that is gone but whose row is still there.
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
		g.watch(1700 * time.Millisecond)
		g.do(func() {
			for _, shard := range g.shards {
				assert.Equal(t, len(g.actors(shard)), 1, "shard %s has no owner", shard)
			}
		})
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// Guards against a small process that takes a shard which it cannot serve, since the
// large ones renew late while the store is slow.
func TestSmallProcessLetsLateLargeOnesTake(t *testing.T) {
	members := map[string]int64{"small": 192}
	for i := range 5 {
		members[fmt.Sprint("large-", i)] = 800
	}
	assert.Equal(t, rank("a", "small", members, map[string]int{}), 5)
	for i := range 5 {
		assert.Assert(t, rank("a", fmt.Sprint("large-", i), members, map[string]int{}) < 5)
	}
	m := &Manager{o: Options{Member: "small"}, members: map[string]memberRow{}}
	now := 10 * time.Second
	for name, cpu := range members {
		m.members[name] = memberRow{&jobpb.Member{CpuMilli: cpu}, 1, now - 3*time.Second}
	}
	assert.DeepEqual(t, m.alive(now), members)
}

// Guards against processes that disagree on who takes a vacant shard.
func TestAssignIsBalanced(t *testing.T) {
	members := map[string]int64{"x": 400, "y": 400}
	to := assign([]string{"a", "b", "c", "d"}, members, map[string]int{"x": 2})
	load := map[string]int{"x": 2}
	for _, m := range to {
		load[m]++
	}
	assert.DeepEqual(t, load, map[string]int{"x": 3, "y": 3})
	assert.DeepEqual(t, assign([]string{"b", "a"}, members, nil), assign([]string{"a", "b"}, members, nil))
}

// Guards against shards on small processes while large ones have few.
func TestAssignPrefersLargeProcesses(t *testing.T) {
	members := map[string]int64{"large": 800, "small": 192, "other": 192}
	for _, m := range assign([]string{"a", "b", "c", "d"}, members, nil) {
		assert.Equal(t, m, "large")
	}
}
