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

// configurationAccepted is the event that a peer or this process has accepted a
// configuration.
type configurationAccepted struct {
	config    fleet.Configuration
	published chan<- struct{} // Receives a value once the configuration, or a newer one, is published.
}

func (e configurationAccepted) apply(c *Controller) {
	c.adoptConfiguration(&e.config)
	c.afterPublish = append(c.afterPublish, func() { e.published <- struct{}{} })
}

// rollOutStarted is the event that starts the measurement of a roll-out at the
// process that accepted the configuration.
type rollOutStarted struct {
	version  uint64
	accepted time.Duration
}

func (e rollOutStarted) apply(c *Controller) {
	c.rollOut = &e
	c.completeRollOut()
}

// configurationConfirmed is the event that a member has acknowledged a push.
type configurationConfirmed struct {
	member      fleet.MemberID
	incarnation uint64 // Incarnation to which the push was sent.
	version     uint64
}

func (e configurationConfirmed) apply(c *Controller) {
	if incarnationIn(c.tracker.View(), e.member) != e.incarnation {
		return // The member has left or restarted since the push.
	}
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

// completeRollOut records the duration of the roll-out once every member of the
// view has confirmed the configuration.
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

// RollOutConfiguration puts an accepted configuration in force at this process and
// pushes it to every other member. The configuration must have been committed.
func (c *Controller) RollOutConfiguration(ctx context.Context, config fleet.Configuration) {
	accepted := c.options.Now()
	if err := c.activateConfiguration(ctx, config); err != nil {
		return
	}
	c.send(ctx, rollOutStarted{version: config.Version, accepted: accepted})
	document, err := encodeDocument(config)
	if err != nil {
		return // Peers read the configuration from its row instead.
	}
	push := &peerpb.ConfigPush{Version: config.Version, Document: document}
	for _, member := range c.State().Members.Members {
		if member.ID == c.options.Self.ID {
			continue
		}
		c.background.Go(func() {
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.Timeout)
			defer cancel()
			if err := c.options.Peers.PushConfiguration(call, member.ID, push); err != nil {
				// A lost push delays the peer by at most one poll interval: it then
				// reads the row.
				c.options.Log.Record(eventlog.ConfigPushFailed, eventlog.Fields{"peer": member.ID, "error": err.Error()})
				return
			}
			c.send(call, configurationConfirmed{member: member.ID, incarnation: member.Incarnation, version: push.Version})
		})
	}
}

// activateConfiguration puts a configuration in force at this process and returns when it is published.
func (c *Controller) activateConfiguration(ctx context.Context, config fleet.Configuration) error {
	published := make(chan struct{}, 1)
	c.send(ctx, configurationAccepted{config: config, published: published})
	_, err := awaitReply(ctx, published)
	return err
}
