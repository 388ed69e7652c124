package cluster

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/rows/rowstest"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the random histories")
	seeds     = flag.Uint64("seeds", 20, "number of seeds of the random histories")
)

const (
	randomHistory = 30 * time.Second // Time with faults.
	maxDowntime   = 4 * time.Second
	fastCall      = 20 * time.Millisecond
	// maxSlowCall is below the call timeout, so that a slow call does not fail.
	maxSlowCall = defaultCallTimeout - 100*time.Millisecond
	// maxLateCall is the longest time until a call that was given up is executed.
	maxLateCall = 3 * time.Second
	// settleLimit is the longest time without an owner after the last call with a fault: the
	// lease of an owner expires, ranks below the first wait, and the others read three times.
	settleLimit = defaultLeaseDuration + leaseExpiryMargin + maxVacancy + 3*defaultInterval
)

// Guards against two owners of a shard, a shard that is acquired twice or with an old fence, a
// lost lease of a process whose calls are only slow, and shards that stay without an owner, when
// calls overtake each other while processes fail, leave, restart and renounce shards.
func TestRandomOwnership(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newHistory(t, seed).run() })
		})
	}
}

// history is a random history of a group of processes with separate loops.
type history struct {
	t         *testing.T
	rng       *rand.Rand
	store     *rowstest.Store
	startedAt time.Time
	shards    []string
	slots     []*slot
	// faultsEnded lets calls of processes be fast and succeed from then on.
	faultsEnded bool

	mu       sync.Mutex        // Also guards the processes of the slots.
	fences   map[string]uint64 // Highest fence so far, by shard.
	reported map[string]bool   // Violated invariants.
}

// slot is a member name with its current process.
type slot struct {
	*process  // Nil while the member is down.
	name      string
	cpu       int64
	sound     bool // The calls of its processes can be slow, but do not fail.
	starts    int
	restartAt time.Time
}

// process is one start of a member.
type process struct {
	*member
	h     *history
	loop  *loop.Loop
	calls *drawnCalls
	kill  context.CancelFunc
	// The following fields are guarded by the mutex of the history. Those of the member that
	// its methods use are not used.
	held      map[string]bool
	lease     time.Duration
	directory Directory
	killed    bool
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{
		t: t, rng: rand.New(rand.NewPCG(seed, 0)), store: &rowstest.Store{}, startedAt: time.Now(),
		fences: map[string]uint64{}, reported: map[string]bool{},
	}
	for n := range 2 + h.rng.IntN(4) {
		h.shards = append(h.shards, fmt.Sprint("shard-", n))
	}
	for n := range 2 + h.rng.IntN(4) {
		h.slots = append(h.slots, &slot{name: fmt.Sprint("m", n), cpu: 200 << h.rng.IntN(3), sound: h.rng.IntN(2) == 0})
	}
	return h
}

func (h *history) now() time.Duration { return time.Since(h.startedAt) + time.Second }

func (h *history) run() {
	for _, s := range h.slots {
		h.start(s)
	}
	for end := time.Now().Add(randomHistory); time.Now().Before(end); {
		h.injectFault(h.slots[h.rng.IntN(len(h.slots))])
		h.wait(time.Duration(50+h.rng.IntN(1200)) * time.Millisecond)
	}
	h.faultsEnded = true
	for _, s := range h.slots {
		if s.process != nil {
			s.store.setFault(rowstest.NoFault)
			h.drawCalls(s)
		}
	}
	h.wait(maxDowntime)
	h.wait(maxLateCall)
	h.checkSettled()
	for _, s := range h.slots {
		h.stop(s)
	}
	time.Sleep(maxLateCall)
}

// start starts a process of a member under a new incarnation.
func (h *history) start(s *slot) {
	s.starts++
	ctx, kill := context.WithCancel(context.Background())
	calls := &drawnCalls{rng: rand.New(rand.NewPCG(h.rng.Uint64(), 1))}
	p := &process{
		member: &member{name: s.name, store: &faultyStore{Store: h.store, draw: calls.next}},
		h:      h, loop: loop.New(), calls: calls, kill: kill, held: map[string]bool{},
	}
	manager, err := New(Options{
		Member: s.name, Incarnation: fmt.Sprintf("%s-%d", s.name, s.starts), Address: s.name, CPU: s.cpu,
		Store: p.store, Loop: p.loop, Listener: p, Clock: h.now,
	})
	assert.NilError(h.t, err)
	p.Manager = manager
	h.mu.Lock()
	s.process = p
	h.mu.Unlock()
	h.drawCalls(s)
	go p.loop.Run(ctx)
	p.loop.Post(func() {
		p.SetShards(h.shards)
		p.Start()
	})
	if h.rng.IntN(3) > 0 {
		go p.refresh(ctx, time.Duration(5+h.rng.IntN(56))*time.Millisecond)
	}
}

// refresh requests a read again and again, as callers without an owner do.
func (p *process) refresh(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		p.loop.Post(p.Refresh)
		time.Sleep(interval)
	}
}

// stop kills the process of a member. Its calls in flight can still be executed.
func (h *history) stop(s *slot) {
	if s.process == nil {
		return
	}
	s.kill()
	h.mu.Lock()
	defer h.mu.Unlock()
	s.killed = true
	s.process, s.restartAt = nil, time.Now().Add(time.Duration(h.rng.Int64N(int64(maxDowntime))))
}

func (h *history) injectFault(s *slot) {
	if s.process == nil {
		return
	}
	p := s.process
	switch h.rng.IntN(8) {
	case 0, 1, 2:
		h.drawCalls(s)
	case 3, 4:
		if !s.sound {
			p.store.setFault([]rowstest.Fault{rowstest.NoFault, rowstest.RequestLost}[h.rng.IntN(2)])
		}
	case 5:
		h.stop(s)
	case 6:
		p.loop.Call(context.Background(), func() {
			h.mu.Lock()
			p.lease = 0
			h.mu.Unlock()
			p.Leave(func() {})
		})
		h.wait(defaultCallTimeout)
		h.stop(s)
	case 7:
		shard := h.shards[h.rng.IntN(len(h.shards))]
		p.loop.Call(context.Background(), func() {
			if fence, ok := p.Fence(shard); ok {
				p.Renounce(shard, fence)
			}
		})
	}
}

// drawCalls draws how slow the calls of a process are from now on and whether they fail.
func (h *history) drawCalls(s *slot) {
	slowest, failing := []time.Duration{fastCall, 150 * time.Millisecond, maxSlowCall}[h.rng.IntN(3)], !s.sound && h.rng.IntN(2) == 0
	if h.faultsEnded {
		slowest, failing = fastCall, false
	}
	s.calls.set(slowest, failing)
}

// wait lets time pass, starts the members that are due, and checks the leases.
func (h *history) wait(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, s := range h.slots {
			switch {
			case s.process == nil && !time.Now().Before(s.restartAt):
				h.start(s)
			case s.process != nil && s.sound:
				h.checkLease(s)
			}
		}
	}
}

// checkLease reports a process whose lease has expired although its calls were only slow.
func (h *history) checkLease(s *slot) {
	p := s.process
	p.loop.Call(context.Background(), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if p.joinedAt > 0 && !p.leaving && (!p.HasLease() || p.restarts > 0) {
			h.violation("lease", "%s has lost its lease, holding %d shards", p.incarnation, len(p.heldFences))
		}
	})
}

// checkSettled reports shards without an owner, and directories that differ from the owners,
// settleLimit after the last fault.
func (h *history) checkSettled() {
	problem := ""
	for end := time.Now().Add(settleLimit); time.Now().Before(end); h.wait(20 * time.Millisecond) {
		if problem = h.settlementProblem(); problem == "" {
			return
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violation("settled", "%s", problem)
}

func (h *history) settlementProblem() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, shard := range h.shards {
		owner := ""
		for _, s := range h.slots {
			if s.process != nil && s.canAct(shard) {
				owner = s.name
			}
		}
		if owner == "" {
			return shard + " has no owner"
		}
		for _, s := range h.slots {
			if s.process != nil && s.process.directory[shard].Member != owner {
				return fmt.Sprintf("the directory of %s does not have %s as owner of %s", s.name, owner, shard)
			}
		}
	}
	return ""
}

// violation reports each invariant once. The mutex is held.
func (h *history) violation(invariant, format string, args ...any) {
	if !h.reported[invariant] {
		h.reported[invariant] = true
		h.t.Errorf("%s at %v: %s", invariant, h.now(), fmt.Sprintf(format, args...))
	}
}

// canAct reports whether the process may act for a shard. The mutex of the history is held.
func (p *process) canAct(shard string) bool {
	return p.held[shard] && !p.killed && p.h.now() < p.lease
}

// checkSingleOwner reports another process that may act for a shard for which this one may act
// from now on. The mutex of the history is held.
func (p *process) checkSingleOwner(shard string) {
	for _, s := range p.h.slots {
		if s.process != nil && s.process != p && s.canAct(shard) && p.canAct(shard) {
			p.h.violation("single-owner", "%s and %s may act for %s", p.name, s.name, shard)
		}
	}
}

func (p *process) Acquired(shard string, fence uint64) {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	if p.killed {
		return
	}
	if p.held[shard] {
		p.h.violation("acquired-twice", "%s has acquired %s again, with fence %d after %d", p.name, shard, fence, p.h.fences[shard])
	} else if fence <= p.h.fences[shard] {
		p.h.violation("fence", "%s has acquired %s with fence %d after %d", p.name, shard, fence, p.h.fences[shard])
	}
	p.h.fences[shard] = max(p.h.fences[shard], fence)
	p.held[shard], p.lease = true, p.LeaseExpiry()
	p.checkSingleOwner(shard)
}

func (p *process) Released(shard string) {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	delete(p.held, shard)
}

func (p *process) Renewed(error) {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	p.lease = p.LeaseExpiry()
	for shard := range p.held {
		p.checkSingleOwner(shard)
	}
}

func (p *process) HandOver(shard string, fence uint64) {
	p.loop.After(200*time.Millisecond, func() { p.FinishHandover(shard, fence) })
}

func (p *process) DirectoryChanged(d Directory) {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	p.directory = d
}
