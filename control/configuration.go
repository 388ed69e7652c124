package control

import (
	"context"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// adoptConfiguration puts a newer configuration in force. An older one is ignored.
func (c *Controller) adoptConfiguration(config *fleet.Configuration) {
	if config.Version <= c.config.Version {
		return
	}
	adopted := *config
	c.config = &adopted
	c.dirty = true
	c.options.Log.Record(eventlog.ConfigReceived, eventlog.Fields{"config_version": adopted.Version})
}

// configurationPushed is a configuration that a peer or this process has accepted.
type configurationPushed struct {
	config fleet.Configuration
	done   chan<- struct{} // Gets a value once the configuration, or a newer one, is published.
}

func (e configurationPushed) apply(c *Controller) {
	c.adoptConfiguration(&e.config)
	c.afterPublish = append(c.afterPublish, func() { e.done <- struct{}{} })
}

// configurationSpread starts the measurement of a roll-out at the accepting process.
type configurationSpread struct {
	version  uint64
	accepted time.Duration
}

func (e configurationSpread) apply(c *Controller) {
	c.rollOut = &e
	c.completeRollOut()
}

// configurationConfirmed is a member's acknowledgement of a push.
type configurationConfirmed struct {
	member  fleet.MemberID
	version uint64
}

func (e configurationConfirmed) apply(c *Controller) {
	state := c.peers[e.member]
	if e.version > state.ConfigVersion {
		state.ConfigVersion = e.version
		if e.version >= c.config.Version {
			state.ConfigBehind = 0
		}
		c.peers[e.member] = state
		c.dirty = true
	}
	c.completeRollOut()
}

// completeRollOut records the time to in force once every live member has confirmed.
func (c *Controller) completeRollOut() {
	if c.rollOut == nil || c.config.Version < c.rollOut.version {
		return
	}
	for _, member := range c.tracker.View().Members {
		if member.ID != c.self.ID && c.peers[member.ID].ConfigVersion < c.rollOut.version {
			return
		}
	}
	elapsed := c.options.Now() - c.rollOut.accepted
	c.options.Log.Record(eventlog.ConfigInForce, eventlog.Fields{
		"config_version": c.rollOut.version, "roll_out_us": elapsed.Microseconds(),
	})
	c.rollOut = nil
}

// Spread puts an accepted configuration in force and sends it to every other
// member. The configuration must have been committed.
func (c *Controller) Spread(ctx context.Context, config fleet.Configuration) {
	accepted := c.options.Now()
	if err := c.enforce(ctx, config); err != nil {
		return
	}
	c.send(ctx, configurationSpread{version: config.Version, accepted: accepted})
	document, err := encodeDocument(config)
	if err != nil {
		return // Peers read the row instead.
	}
	push := &peerpb.ConfigPush{Version: config.Version, Document: document}
	for _, member := range c.State().Members.Members {
		if member.ID == c.options.Self.ID {
			continue
		}
		c.work.Go(func() {
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.Timeout)
			defer cancel()
			if err := c.options.Peers.PushConfiguration(call, member.ID, push); err != nil {
				// A lost push costs at most one poll interval: the peer reads the row.
				c.options.Log.Record(eventlog.ConfigPushFailed, eventlog.Fields{"peer": member.ID, "error": err.Error()})
				return
			}
			c.send(call, configurationConfirmed{member: member.ID, version: push.Version})
		})
	}
}

// enforce puts a configuration in force at this process and returns when it is published.
func (c *Controller) enforce(ctx context.Context, config fleet.Configuration) error {
	done := make(chan struct{}, 1)
	c.send(ctx, configurationPushed{config: config, done: done})
	_, err := receive(ctx, done)
	return err
}
