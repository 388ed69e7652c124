package control

import (
	"maps"

	"peridotcrank.dev/fleet"
)

// nextSnapshot returns the fleet rows with the VMs marked that the VM list or a
// peer reports as leaving. Its delta lists the VMs that differ from the previous
// snapshot.
func (c *Controller) nextSnapshot() *fleet.Snapshot {
	s := c.rows.fleet
	leaving := c.knownLeavingVMs()
	s.Delta = c.nextDelta(leaving)
	if len(leaving) == 0 {
		return &s
	}
	s.VMs = maps.Clone(s.VMs)
	for id := range leaving {
		if vm, ok := s.VMs[id]; ok {
			vm.Leaving = true
			s.VMs[id] = vm
		}
	}
	return &s
}

// nextDelta assigns the next snapshot number, lists the VMs that have changed since
// the previous snapshot and resets the set of changed VMs.
func (c *Controller) nextDelta(leaving map[fleet.VMID]bool) *fleet.Delta {
	d := &fleet.Delta{From: c.snapshotNumber, To: c.snapshotNumber + 1}
	changed := c.rows.changed
	for id := range leaving {
		if !c.publishedLeaving[id] {
			changed[id] = true
		}
	}
	for id := range c.publishedLeaving {
		if !leaving[id] {
			changed[id] = true
		}
	}
	for id := range changed {
		d.VMs = append(d.VMs, id)
	}
	c.snapshotNumber, c.publishedLeaving = d.To, leaving
	c.rows.changed = make(map[fleet.VMID]bool)
	return d
}

// knownLeavingVMs returns the VMs that the VM list or a peer reports as leaving.
func (c *Controller) knownLeavingVMs() map[fleet.VMID]bool {
	all := make(map[fleet.VMID]bool, len(c.leaving))
	for id := range c.leaving {
		all[id] = true
	}
	for _, peer := range c.peers {
		for _, id := range peer.Leaving {
			all[id] = true
		}
	}
	return all
}
