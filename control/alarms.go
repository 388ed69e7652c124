package control

import (
	"slices"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
)

const (
	// vmListStaleAfter is the age of the VM list at which leaving VMs are no
	// longer guaranteed to be noticed within 3 s.
	vmListStaleAfter = 3 * time.Second
	// configLagThreshold is the time within which a configuration should be in
	// force at every member.
	configLagThreshold = 13 * time.Second
)

// alarms holds the conditions found by the previous check, so that each
// condition is recorded only when it begins.
type alarms struct {
	lastTick     time.Duration
	suspects     []fleet.MemberID
	lagging      map[fleet.MemberID]bool
	vmListStale  bool
	vmListReadAt time.Duration // Time of the last read that returned a new VM list.
}

// checkAlarms records the alarm conditions that have begun since the last tick,
// and the suspicions that have ended.
func (c *Controller) checkAlarms(now time.Duration) {
	a := &c.alarms
	if a.lastTick > 0 && now-a.lastTick > c.options.Params.PauseAfter {
		c.options.Log.Record(eventlog.ProcessPaused, eventlog.Fields{"paused_ms": (now - a.lastTick).Milliseconds()})
	}
	a.lastTick = now
	c.checkSuspects(now)
	c.checkConfigLag(now)
	stale := a.vmListReadAt > 0 && now-a.vmListReadAt > vmListStaleAfter
	if stale && !a.vmListStale {
		c.options.Log.Record(eventlog.VMListStale, eventlog.Fields{"age_ms": (now - a.vmListReadAt).Milliseconds()})
	}
	a.vmListStale = stale
}

func (c *Controller) checkSuspects(now time.Duration) {
	suspects := c.tracker.Suspects(now)
	for _, id := range suspects {
		if !slices.Contains(c.alarms.suspects, id) {
			c.options.Log.Record(eventlog.MemberSuspected, eventlog.Fields{"peer": id})
		}
	}
	for _, id := range c.alarms.suspects {
		if !slices.Contains(suspects, id) && incarnationIn(c.tracker.View(), id) > 0 {
			c.options.Log.Record(eventlog.MemberRecovered, eventlog.Fields{"peer": id})
		}
	}
	c.alarms.suspects = suspects
}

func (c *Controller) checkConfigLag(now time.Duration) {
	lagging := make(map[fleet.MemberID]bool)
	for id, peer := range c.peers {
		if peer.ConfigBehind == 0 || now-peer.ConfigBehind <= configLagThreshold {
			continue
		}
		lagging[id] = true
		if !c.alarms.lagging[id] {
			c.options.Log.Record(eventlog.ConfigLagging, eventlog.Fields{
				"peer": id, "config_version": peer.ConfigVersion, "behind_ms": (now - peer.ConfigBehind).Milliseconds(),
			})
		}
	}
	c.alarms.lagging = lagging
}
