package plans

import "peridotcrank.dev/fleet"

// widths counts the VMs of a plan that are being moved, in total and per
// failure domain.
type widths struct {
	plan  fleet.Plan
	total int
	racks map[fleet.RackID]int
	zones map[fleet.ZoneID]int
}

func newWidths(plan fleet.Plan, s *fleet.Snapshot) widths {
	w := widths{plan: plan, racks: map[fleet.RackID]int{}, zones: map[fleet.ZoneID]int{}}
	for _, m := range plan.Moves {
		if vm, ok := s.VMs[m.VM]; ok && !m.Done && vm.Phase != fleet.PhaseServing {
			w.start(vm)
		}
	}
	return w
}

func (w *widths) start(vm fleet.VM) {
	w.total++
	w.racks[vm.Rack]++
	w.zones[vm.Zone]++
}

// room reports whether one more VM may be moved. A width of 0 sets no limit.
func (w *widths) room(vm fleet.VM) bool {
	below := func(n, width int) bool { return width == 0 || n < width }
	return below(w.total, w.plan.Width) && below(w.racks[vm.Rack], w.plan.RackWidth) && below(w.zones[vm.Zone], w.plan.ZoneWidth)
}
