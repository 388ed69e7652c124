package operations

import (
	"context"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// Configuration implements admin.Backend.
func (b *Backend) Configuration(context.Context) (fleet.Configuration, error) {
	return *b.state().Config, nil
}

// SetConfiguration implements admin.Backend. The configuration is accepted when its
// row has been committed. It is then pushed to all members.
func (b *Backend) SetConfiguration(ctx context.Context, w admin.Write, base uint64, services []fleet.Service) (fleet.Configuration, error) {
	const step = "set configuration"
	state := b.state()
	if err := checkPools(state.Fleet, services); err != nil {
		return fleet.Configuration{}, err
	}
	if state.Config.Version != base {
		return fleet.Configuration{}, admin.Errorf(admin.CodeConflict, step, "the configuration has version %d, not %d", state.Config.Version, base)
	}
	next := fleet.Configuration{Version: base + 1, Services: services}
	write, err := store.Put(fleet.KeyConfiguration, next)
	if err != nil {
		return fleet.Configuration{}, err
	}
	result, err := b.options.Table.Commit(ctx, store.Transaction{
		Operation:  w.Operation,
		Conditions: []store.Condition{{Key: fleet.KeyConfiguration, Version: state.ConfigVersion}},
		Writes:     []store.Write{write},
		Priority:   store.PriorityOperator,
	})
	if err != nil {
		return fleet.Configuration{}, toAPIError(step, err)
	}
	if !result.Applied() {
		b.options.Controller.Refresh()
		b.record(eventlog.ConfigRefused, eventlog.Fields{"config_version": next.Version, "operator": w.Operator})
		return fleet.Configuration{}, admin.Errorf(admin.CodeConflict, step, "another configuration was accepted after version %d", base)
	}
	b.record(eventlog.ConfigAccepted, eventlog.Fields{"config_version": next.Version, "operator": w.Operator})
	b.options.Controller.RollOutConfiguration(ctx, next)
	return next, nil
}

// checkPools returns an error for the first service whose pool does not exist.
func checkPools(s *fleet.Snapshot, services []fleet.Service) error {
	for _, service := range services {
		if _, ok := s.Pools[service.Pool]; !ok {
			return admin.Errorf(admin.CodeInvalid, "set configuration", "service %s: there is no pool %q", service.Name, service.Pool)
		}
	}
	return nil
}

// ConfigurationStatus implements admin.Backend.
func (b *Backend) ConfigurationStatus(context.Context) (admin.ConfigurationStatus, error) {
	state, now := b.state(), b.options.Now()
	status := admin.ConfigurationStatus{Version: state.Config.Version, InForce: len(state.Members.Members) > 0}
	for _, member := range state.Members.Members {
		confirmed := state.Config.Version
		entry := admin.ConfigurationMember{Member: member.ID}
		if member.ID != state.Self.ID {
			peer := state.Peers[member.ID]
			confirmed = peer.ConfigVersion
			if peer.ConfigBehind > 0 {
				entry.LagMS = (now - peer.ConfigBehind).Milliseconds()
			}
		}
		entry.Version = confirmed
		if confirmed < status.Version {
			entry.Lag = status.Version - confirmed
			status.InForce = false
		}
		status.Members = append(status.Members, entry)
	}
	return status, nil
}
