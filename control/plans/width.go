package plans

import "peridotcrank.dev/fleet"

// movingVMs counts the VMs that a plan is moving, in total and per failure domain.
type movingVMs struct {
	plan  fleet.Plan
	total int
	racks map[fleet.RackID]int
	zones map[fleet.ZoneID]int
}

func countMovingVMs(plan fleet.Plan, s *fleet.Snapshot) movingVMs {
	moving := movingVMs{plan: plan, racks: map[fleet.RackID]int{}, zones: map[fleet.ZoneID]int{}}
	for _, m := range plan.Moves {
		if vm, ok := s.VMs[m.VM]; ok && !m.Done && vm.Phase != fleet.PhaseServing {
			moving.add(vm)
		}
	}
	return moving
}

func (m *movingVMs) add(vm fleet.VM) {
	m.total++
	m.racks[vm.Rack]++
	m.zones[vm.Zone]++
}

// allowsOneMore reports whether the plan's widths permit to move vm as well. A width
// of 0 sets no limit.
func (m *movingVMs) allowsOneMore(vm fleet.VM) bool {
	below := func(n, width int) bool { return width == 0 || n < width }
	return below(m.total, m.plan.Width) && below(m.racks[vm.Rack], m.plan.RackWidth) && below(m.zones[vm.Zone], m.plan.ZoneWidth)
}
