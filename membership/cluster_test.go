package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotcrank.dev/fleet"
)

const (
	step     = 50 * time.Millisecond // of simulated time
	maxDelay = 8                     // steps that a message may take
	size     = 5
)

type delivery struct {
	at time.Duration
	to int
	do func(now time.Duration)
}

// cluster simulates trackers, the members row and a network.
type cluster struct {
	now      time.Duration
	row      fleet.MemberView
	trackers []*Tracker
	frozen   [size]bool
	cut      [size][size]bool
	noStore  [size]bool
	messages []delivery
	delay    func() time.Duration
	evicted  map[identity]time.Duration
	lapsed   int
}

func newCluster(t assert.TestingT, delay func() time.Duration) *cluster {
	c := &cluster{delay: delay, evicted: map[identity]time.Duration{}}
	for i := range size {
		c.row = Join(c.row, fleet.Member{ID: memberID(i)})
		tracker, err := NewTracker(memberID(i), DefaultParams())
		assert.NilError(t, err)
		tracker.SetIncarnation(c.row.Version)
		c.trackers = append(c.trackers, tracker)
	}
	for _, tracker := range c.trackers {
		tracker.SetView(0, c.row)
	}
	return c
}

func memberID(i int) fleet.MemberID { return fleet.MemberID(fmt.Sprintf("m%d", i)) }

func (c *cluster) send(to int, do func(now time.Duration)) {
	c.messages = append(c.messages, delivery{c.now + c.delay(), to, do})
}

func (c *cluster) heartbeatOf(i int) Heartbeat {
	t := c.trackers[i]
	return Heartbeat{Member: t.self.id, Incarnation: t.self.incarnation, ViewVersion: t.view.Version, Suspects: t.Suspects(c.now)}
}

func (c *cluster) exchangeHeartbeats(i int) {
	sentAt, h := c.now, c.heartbeatOf(i)
	for j := range size {
		if j == i || c.cut[i][j] {
			continue
		}
		c.send(j, func(now time.Duration) {
			if c.trackers[j].Heard(now, h) && !c.cut[j][i] {
				answer := c.heartbeatOf(j)
				c.send(i, func(now time.Duration) { c.trackers[i].Acknowledged(now, sentAt, answer) })
			}
		})
	}
}

func (c *cluster) useStore(i int) {
	if c.noStore[i] {
		return
	}
	read := StoreRead{Started: c.now, View: c.row}
	c.send(i, func(now time.Duration) { c.trackers[i].ReadStore(now, read) })
	candidate, ok := c.trackers[i].EvictionCandidate(c.now)
	if ok && c.row.Version == c.trackers[i].View().Version {
		c.row, _ = Evict(c.row, candidate)
		c.evicted[identityOf(candidate)] = c.now
	}
}

// advance simulates one step and returns a violation: an evicted member whose
// view is valid although another member holds that its validity has lapsed.
func (c *cluster) advance() error {
	c.now += step
	var waiting []delivery
	due := c.messages
	c.messages = nil
	for _, m := range due {
		if m.at <= c.now && !c.frozen[m.to] {
			m.do(c.now)
		} else {
			waiting = append(waiting, m)
		}
	}
	c.messages = append(c.messages, waiting...)
	for i := range size {
		if c.frozen[i] {
			continue
		}
		c.trackers[i].Tick(c.now)
		if c.now%DefaultHeartbeatInterval == 0 {
			c.exchangeHeartbeats(i)
		}
		if c.now%time.Second == 0 {
			c.useStore(i)
		}
	}
	return c.check()
}

func (c *cluster) check() error {
	for who := range c.evicted {
		for i, observer := range c.trackers {
			if c.frozen[i] || observer.self == who {
				continue
			}
			wait, known := observer.WaitUntilLapsed(c.now, who.id, who.incarnation)
			if !known || wait > 0 {
				continue
			}
			c.lapsed++
			for _, other := range c.trackers {
				if other.self == who && other.Valid(c.now) {
					return fmt.Errorf("%v: %s holds that the validity of %s has lapsed", c.now, observer.self.id, who.id)
				}
			}
		}
	}
	return nil
}

// runFaults draws freezes, cuts between members and cuts from the store.
func runFaults(t *rapid.T) (*cluster, error) {
	index := rapid.IntRange(0, size-1)
	delay := rapid.Uint64().Draw(t, "delays")
	c := newCluster(t, func() time.Duration {
		delay = delay*6364136223846793005 + 1442695040888963407
		return time.Duration((delay>>33)%maxDelay) * step
	})
	for range rapid.IntRange(1, 12).Draw(t, "faults") {
		i, j := index.Draw(t, "member"), index.Draw(t, "other")
		switch rapid.SampledFrom([]string{"freeze", "cut", "cut both ways", "no store", "isolate"}).Draw(t, "fault") {
		case "freeze":
			c.frozen[i] = !c.frozen[i]
		case "cut":
			c.cut[i][j] = !c.cut[i][j]
		case "cut both ways":
			c.cut[i][j], c.cut[j][i] = !c.cut[i][j], !c.cut[i][j]
		case "no store":
			c.noStore[i] = !c.noStore[i]
		case "isolate":
			for k := range size {
				c.cut[i][k], c.cut[k][i] = k != i, k != i
			}
			c.noStore[i] = true
		}
		for range rapid.IntRange(1, 160).Draw(t, "steps") {
			if err := c.advance(); err != nil {
				return c, err
			}
		}
	}
	return c, nil
}

// Slots and drains are handed on once a validity has lapsed; a member that is
// still valid then would send to a drained VM.
func TestNoValidityAfterLapse(t *testing.T) {
	evictions, lapses := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c, err := runFaults(t)
		assert.NilError(t, err)
		evictions += len(c.evicted)
		lapses += c.lapsed
	})
	assert.Check(t, evictions > 0 && lapses > 0, "the faults caused no eviction or no lapse")
}

// Without a fault nobody may be evicted or lose validity; a dead member must be
// evicted, and its validity must lapse, within a bounded time.
func TestDeathIsNoticed(t *testing.T) {
	c := newCluster(t, func() time.Duration { return step })
	for c.now < 20*time.Second {
		assert.NilError(t, c.advance())
		for _, tracker := range c.trackers {
			assert.Check(t, c.now < 2*time.Second || tracker.Valid(c.now))
		}
	}
	assert.Equal(t, len(c.evicted), 0)
	c.frozen[0] = true
	dead, died := c.trackers[0].self, c.now
	for c.now < died+20*time.Second && c.lapsed == 0 {
		assert.NilError(t, c.advance())
	}
	assert.Check(t, c.evicted[dead]-died <= DefaultSuspectAfter+2*time.Second, "evicted after %v", c.evicted[dead]-died)
	assert.Check(t, c.lapsed > 0 && c.now-c.evicted[dead] <= DefaultValidFor+2*time.Second, "lapsed after %v", c.now-c.evicted[dead])
}
