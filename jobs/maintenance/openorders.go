package maintenance

import "time"

// maxOrderDelay is how long the platform may take to carry out an order that got no answer.
const maxOrderDelay = 15 * time.Second

// openOrder is the maintenance of a VM that may have been ordered and whose outcome is not known.
// An order is sent only after the stored progress names its VM, because the fence of a next
// owner's order for one VM does not stop a late order for another.
type openOrder struct {
	stored bool // The stored progress names the VM.
	// unanswered means that an order may still be carried out, other than one that an operation
	// awaits. It was sent before unansweredAt.
	unanswered   bool
	unansweredAt time.Duration
}

func (op *operation) isMaintenanceOf(w *waveProgress) bool {
	return op.Kind == Maintain && op.Wave == w.Number
}

// requestOrder orders an operation whose VM is vacated. Maintenance is ordered once the
// progress that names the VM is stored; the names of a tick are stored together.
func (m *Manager) requestOrder(op *operation) {
	if op.Kind != Maintain {
		m.sendOrder(op)
		return
	}
	w := m.waves[op.Wave]
	if w == nil || w.completed {
		m.dropOperation(op)
		return
	}
	known := w.ordered[op.Machine]
	if known == nil {
		w.ordered[op.Machine] = &openOrder{}
		w.unsaved = true
		return
	}
	if known.stored {
		m.sendOrder(op)
	}
}

// handleOrdersRecorded sends the orders that waited for the stored progress.
func (m *Manager) handleOrdersRecorded(w *waveProgress, names []string) {
	for _, name := range names {
		if known := w.ordered[name]; known != nil {
			known.stored = true
		}
	}
	if m.stopped || m.draining || !m.o.OwnsShard() {
		return
	}
	now := m.o.Clock()
	for _, name := range names {
		// The VM may have changed or got tasks while the progress was stored.
		if op := m.operations[name]; op != nil && op.isMaintenanceOf(w) && op.phase == vacating {
			if current, ok := m.machine(name); ok {
				op.machine = current
			}
			m.checkVacated(op, now)
		}
	}
}

// dropOperation ends an operation without an outcome. Its VM remains an ordered one while an
// earlier order may still be carried out.
func (m *Manager) dropOperation(op *operation) {
	delete(m.operations, op.Machine)
	if w := m.waves[op.Wave]; op.Kind == Maintain && w != nil {
		if known := w.ordered[op.Machine]; known != nil && !known.unanswered {
			w.settle(op.Machine)
		}
	}
}

// settle removes the open order for a VM once its outcome is known.
func (w *waveProgress) settle(machine string) {
	if w.ordered[machine] != nil {
		delete(w.ordered, machine)
		w.unsaved = true
	}
}

// settleOrder removes the open order of an operation once its outcome is known.
func (m *Manager) settleOrder(op *operation) {
	if w := m.waves[op.Wave]; op.Kind == Maintain && w != nil {
		w.settle(op.Machine)
	}
}

// markUnanswered records that the order of an operation may be carried out later.
func (m *Manager) markUnanswered(op *operation, now time.Duration) {
	if w := m.waves[op.Wave]; op.Kind == Maintain && w != nil && w.ordered[op.Machine] != nil {
		known := w.ordered[op.Machine]
		known.unanswered, known.unansweredAt = true, now
	}
}

// repeatUnanswered begins operations for the VMs whose orders by a former operation or owner
// have no known outcome. Their new order has a higher fence, so that the platform refuses a
// late one. A VM that was away while another took its place waits for a free one.
func (m *Manager) repeatUnanswered(w *waveProgress, now time.Duration) {
	if len(w.ordered) == 0 {
		return
	}
	free := w.Cap - m.countActive(w)
	for _, name := range sortedKeys(w.ordered) {
		if free <= 0 {
			return
		}
		if w.done[name] || m.operations[name] != nil {
			continue
		}
		m.startOperation(Decision{Machine: name, Kind: Maintain, Wave: w.Number, Reason: "an earlier order may still be carried out"}, now)
		if m.operations[name] != nil {
			free--
		}
	}
}

// countAwaited counts the VMs whose maintenance may still begin by an order without an answer
// and which countActive does not count.
func (m *Manager) countAwaited(w *waveProgress, now time.Duration) (n int) {
	for name, known := range w.ordered {
		v, listed := m.machine(name)
		op := m.operations[name]
		switch {
		case !listed, op != nil && op.isMaintenanceOf(w), op == nil && v.State == InMaintenance:
		case v.State == Down && now-known.unansweredAt > maxOrderDelay:
			// A VM that remains down must not keep the wave from going on.
		default:
			n++
		}
	}
	return n
}
