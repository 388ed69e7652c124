package control

import (
	"context"
	"encoding/json"

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
	c.options.Log.Record(eventlog.ConfigInForce, eventlog.Fields{"config_version": adopted.Version})
}

// configurationPushed is a configuration that a peer or this process has accepted.
type configurationPushed struct {
	config fleet.Configuration
}

func (e configurationPushed) apply(c *Controller) { c.adoptConfiguration(&e.config) }

// Spread puts an accepted configuration in force and sends it to every other
// member. The configuration must have been committed.
func (c *Controller) Spread(ctx context.Context, config fleet.Configuration) {
	c.send(ctx, configurationPushed{config: config})
	document, err := json.Marshal(config)
	if err != nil {
		return // Peers read the row instead.
	}
	push := &peerpb.ConfigPush{Version: config.Version, Document: document}
	for _, member := range c.State().Members.Members {
		if member.ID == c.options.Self.ID {
			continue
		}
		c.work.goDo(func() {
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.Timeout)
			defer cancel()
			// A lost push costs at most one poll interval: the peer reads the row.
			_ = c.options.Peers.PushConfiguration(call, member.ID, push)
		})
	}
}
