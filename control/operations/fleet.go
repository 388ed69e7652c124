package operations

import (
	"context"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/fleet"
)

// Pools implements admin.Backend.
func (b *Backend) Pools(context.Context) ([]admin.Pool, error) {
	state := b.state()
	pools := make(map[fleet.PoolID]*admin.Pool, len(state.Fleet.Pools))
	for id, pool := range state.Fleet.Pools {
		pools[id] = &admin.Pool{ID: id, Version: pool.Version}
	}
	for _, vm := range state.Fleet.VMs {
		if pool := pools[vm.Pool]; pool != nil {
			addVM(pool, vm)
		}
	}
	for _, service := range state.Config.Services {
		if pool := pools[service.Pool]; pool != nil {
			pool.Services = append(pool.Services, service.Name)
		}
	}
	list := make([]admin.Pool, 0, len(pools))
	for _, pool := range pools {
		list = append(list, *pool)
	}
	return list, nil
}

// addVM adds a VM to the totals of its pool.
func addVM(pool *admin.Pool, vm fleet.VM) {
	pool.VMs++
	if vm.Phase != fleet.PhaseServing {
		pool.Moving++
	}
	if vm.Routable() {
		pool.Routable++
		pool.Slots += vm.Slots
	}
}

// VMs implements admin.Backend.
func (b *Backend) VMs(context.Context) ([]fleet.VM, error) { return values(b.state().Fleet.VMs), nil }

// Members implements admin.Backend.
func (b *Backend) Members(context.Context) ([]admin.Member, error) {
	state, now := b.state(), b.options.Now()
	list := make([]admin.Member, 0, len(state.Members.Members))
	for _, member := range state.Members.Members {
		entry := admin.Member{Member: member, State: admin.MemberLive, Self: member.ID == state.Self.ID}
		if peer, ok := state.Peers[member.ID]; ok && !entry.Self {
			entry.SilenceMS = (now - peer.HeardAt).Milliseconds()
			if peer.Suspected {
				entry.State = admin.MemberSuspected
			}
		}
		list = append(list, entry)
	}
	return list, nil
}
