package control

import (
	"maps"

	"peridotcrank.dev/fleet"
)

// snapshot joins the VM rows with what the VM list and peers say about leaving
// VMs, and names the VMs that differ from the snapshot before.
func (c *Controller) snapshot() *fleet.Snapshot {
	s := c.rows.fleet
	leaving := c.leavingVMs()
	s.Delta = c.delta(leaving)
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

// delta numbers the next snapshot and notes what it is made from.
func (c *Controller) delta(leaving map[fleet.VMID]bool) *fleet.Delta {
	d := &fleet.Delta{From: c.edition, To: c.edition + 1}
	changed := c.rows.changed
	for id := range leaving {
		if !c.marked[id] {
			changed[id] = true
		}
	}
	for id := range c.marked {
		if !leaving[id] {
			changed[id] = true
		}
	}
	for id := range changed {
		d.VMs = append(d.VMs, id)
	}
	c.edition, c.marked = d.To, leaving
	c.rows.changed = make(map[fleet.VMID]bool)
	return d
}

// leavingVMs returns the VMs that the VM list or a peer names as leaving.
func (c *Controller) leavingVMs() map[fleet.VMID]bool {
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
