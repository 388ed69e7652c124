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
	stepTime      = 50 * time.Millisecond // Simulated time per step.
	maxDelaySteps = 8                     // Maximum delay of a message, in steps.
	clusterSize   = 5
)

type delivery struct {
	at     time.Duration
	to     int
	handle func(now time.Duration)
}

// cluster simulates trackers, the members row and a network.
type cluster struct {
	now        time.Duration
	row        fleet.MemberView
	trackers   []*Tracker
	frozen     [clusterSize]bool
	linkCut    [clusterSize][clusterSize]bool
	storeCut   [clusterSize]bool
	messages   []delivery
	delay      func() time.Duration
	evicted    map[identity]time.Duration
	lapsesSeen int
}

func newCluster(t assert.TestingT, delay func() time.Duration) *cluster {
	c := &cluster{delay: delay, evicted: map[identity]time.Duration{}}
	for i := range clusterSize {
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

func (c *cluster) send(to int, handle func(now time.Duration)) {
	c.messages = append(c.messages, delivery{c.now + c.delay(), to, handle})
}

func (c *cluster) newHeartbeat(i int) Heartbeat {
	t := c.trackers[i]
	return Heartbeat{Member: t.self.id, Incarnation: t.self.incarnation, ViewVersion: t.view.Version, Suspects: t.Suspects(c.now)}
}

func (c *cluster) exchangeHeartbeats(i int) {
	sentAt, h := c.now, c.newHeartbeat(i)
	for j := range clusterSize {
		if j == i || c.linkCut[i][j] {
			continue
		}
		c.send(j, func(now time.Duration) {
			if c.trackers[j].RecordHeartbeat(now, h) && !c.linkCut[j][i] {
				reply := c.newHeartbeat(j)
				c.send(i, func(now time.Duration) { c.trackers[i].RecordAcknowledgement(now, sentAt, reply) })
			}
		})
	}
}

func (c *cluster) readStoreAndEvict(i int) {
	if c.storeCut[i] {
		return
	}
	read := StoreRead{Started: c.now, View: c.row}
	c.send(i, func(now time.Duration) { c.trackers[i].RecordStoreRead(now, read) })
	candidate, ok := c.trackers[i].EvictionCandidate(c.now)
	if ok && c.row.Version == c.trackers[i].View().Version {
		c.row, _ = Evict(c.row, candidate)
		c.evicted[identityOf(candidate)] = c.now
	}
}

// simulateStep simulates one step. It returns an error for an evicted member whose
// view is still valid although another member considers its validity lapsed.
func (c *cluster) simulateStep() error {
	c.now += stepTime
	var waiting []delivery
	due := c.messages
	c.messages = nil
	for _, m := range due {
		if m.at <= c.now && !c.frozen[m.to] {
			m.handle(c.now)
		} else {
			waiting = append(waiting, m)
		}
	}
	c.messages = append(c.messages, waiting...)
	for i := range clusterSize {
		if c.frozen[i] {
			continue
		}
		c.trackers[i].Tick(c.now)
		if c.now%DefaultHeartbeatInterval == 0 {
			c.exchangeHeartbeats(i)
		}
		if c.now%time.Second == 0 {
			c.readStoreAndEvict(i)
		}
	}
	return c.findViolation()
}

func (c *cluster) findViolation() error {
	for member := range c.evicted {
		for i, observer := range c.trackers {
			if c.frozen[i] || observer.self == member {
				continue
			}
			wait, known := observer.TimeUntilLapsed(c.now, member.id, member.incarnation)
			if !known || wait > 0 {
				continue
			}
			c.lapsesSeen++
			for _, other := range c.trackers {
				if other.self == member && other.Valid(c.now) {
					return fmt.Errorf("at %v, %s considers the validity of %s lapsed, but its view is still valid", c.now, observer.self.id, member.id)
				}
			}
		}
	}
	return nil
}

// simulateFaults runs a cluster with random freezes of members, cuts between members
// and cuts from the store. It returns the first violation.
func simulateFaults(t *rapid.T) (*cluster, error) {
	index := rapid.IntRange(0, clusterSize-1)
	delay := rapid.Uint64().Draw(t, "delays")
	c := newCluster(t, func() time.Duration {
		delay = delay*6364136223846793005 + 1442695040888963407
		return time.Duration((delay>>33)%maxDelaySteps) * stepTime
	})
	for range rapid.IntRange(1, 12).Draw(t, "faults") {
		i, j := index.Draw(t, "member"), index.Draw(t, "other")
		switch rapid.SampledFrom([]string{"freeze", "cut", "cut both ways", "no store", "isolate"}).Draw(t, "fault") {
		case "freeze":
			c.frozen[i] = !c.frozen[i]
		case "cut":
			c.linkCut[i][j] = !c.linkCut[i][j]
		case "cut both ways":
			c.linkCut[i][j], c.linkCut[j][i] = !c.linkCut[i][j], !c.linkCut[i][j]
		case "no store":
			c.storeCut[i] = !c.storeCut[i]
		case "isolate":
			for k := range clusterSize {
				c.linkCut[i][k], c.linkCut[k][i] = k != i, k != i
			}
			c.storeCut[i] = true
		}
		for range rapid.IntRange(1, 160).Draw(t, "steps") {
			if err := c.simulateStep(); err != nil {
				return c, err
			}
		}
	}
	return c, nil
}

// Guards against a member whose view is valid after another member considers it
// lapsed. Its slots are then reassigned and drains count as complete, so that it
// would send requests to a drained VM.
func TestNoValidityAfterLapse(t *testing.T) {
	evictions, lapses := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c, err := simulateFaults(t)
		assert.NilError(t, err)
		evictions += len(c.evicted)
		lapses += c.lapsesSeen
	})
	assert.Check(t, evictions > 0 && lapses > 0, "the faults caused no eviction or no lapse")
}

// Guards against an eviction or a loss of validity without a fault, and against a
// dead member that is not evicted, or whose validity does not lapse, within a
// bounded time.
func TestDeadMemberIsEvictedAndLapses(t *testing.T) {
	c := newCluster(t, func() time.Duration { return stepTime })
	for c.now < 20*time.Second {
		assert.NilError(t, c.simulateStep())
		for _, tracker := range c.trackers {
			assert.Check(t, c.now < 2*time.Second || tracker.Valid(c.now))
		}
	}
	assert.Equal(t, len(c.evicted), 0)
	c.frozen[0] = true
	dead, died := c.trackers[0].self, c.now
	for c.now < died+20*time.Second && c.lapsesSeen == 0 {
		assert.NilError(t, c.simulateStep())
	}
	assert.Check(t, c.evicted[dead]-died <= DefaultSuspectAfter+2*time.Second, "evicted after %v", c.evicted[dead]-died)
	assert.Check(t, c.lapsesSeen > 0 && c.now-c.evicted[dead] <= DefaultValidFor+2*time.Second, "lapsed after %v", c.now-c.evicted[dead])
}
