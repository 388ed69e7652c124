package control

import (
	"slices"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
)

const (
	// listStaleAfter is the age of the VM list at which leaving VMs may go
	// unnoticed for longer than the 3 s of the guarantee.
	listStaleAfter = 3 * time.Second
	// configLagAfter is the target for a configuration to be in force everywhere.
	configLagAfter = 13 * time.Second
)

// alarms is what the control loop compares to record conditions once each.
type alarms struct {
	lastTick  time.Duration
	suspects  []fleet.MemberID
	lagging   map[fleet.MemberID]bool
	listStale bool
	listRead  time.Duration // Last successful read of the VM list.
}

// checkAlarms records conditions that began or ended since the last tick.
func (c *Controller) checkAlarms(now time.Duration) {
	a := &c.alarms
	if a.lastTick > 0 && now-a.lastTick > c.options.Params.PauseAfter {
		c.options.Log.Record(eventlog.ProcessPaused, eventlog.Fields{"paused_ms": (now - a.lastTick).Milliseconds()})
	}
	a.lastTick = now
	c.checkSuspects(now)
	c.checkLag(now)
	stale := a.listRead > 0 && now-a.listRead > listStaleAfter
	if stale && !a.listStale {
		c.options.Log.Record(eventlog.VMListStale, eventlog.Fields{"age_ms": (now - a.listRead).Milliseconds()})
	}
	a.listStale = stale
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

func (c *Controller) checkLag(now time.Duration) {
	lagging := make(map[fleet.MemberID]bool)
	for id, peer := range c.peers {
		if peer.ConfigBehind == 0 || now-peer.ConfigBehind <= configLagAfter {
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
