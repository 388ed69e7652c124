package maintenance

import (
	"context"
	"errors"
	"time"

	"peridotcrank.dev/eventlog"
)

const (
	// returnMargin is added to the expected unavailability of a VM before its operation
	// counts as ended.
	returnMargin = 1500 * time.Millisecond
	// moveVacateTimeout is how long a move waits for its VM to be vacated before it is dropped.
	moveVacateTimeout = 2500 * time.Millisecond
	// orderNumberBits is the number of low bits of a VM fence that number the orders of
	// one owner. The upper bits hold the fence of the ownership.
	orderNumberBits = 20
	// maxOrderAge is how long after the check of the ownership an order may be sent. It is less than the time
	// for which others wait after the end of a lease before they take over.
	maxOrderAge = 100 * time.Millisecond
	// backoff is how long a VM gets no new operation after an order was rejected or
	// the VM was not vacated in time.
	backoff = time.Second
)

// errHeldUp reports that an order was not sent, because this process was suspended.
var errHeldUp = errors.New("the order was held up in this process and is not sent")

type phase uint8

const (
	vacating phase = iota
	ordering
	awaitingReturn
)

// operation is a decision that is being carried out.
type operation struct {
	Decision
	machine        Machine
	phase          phase
	startedAt      time.Duration
	fence          uint64
	returnDeadline time.Duration // End of the phase awaitingReturn.
	inFlight       bool
}

// advanceOperations orders the operations whose VM is vacated and removes those that
// have ended or timed out.
func (m *Manager) advanceOperations(now time.Duration) {
	for name, op := range m.operations {
		if current, ok := m.machine(name); ok && op.phase == vacating {
			op.machine = current
		}
		switch op.phase {
		case vacating:
			m.checkVacated(op, now)
		case awaitingReturn:
			if now > op.returnDeadline {
				delete(m.operations, name)
			}
		}
	}
}

// checkVacated orders an operation once its VM is vacated, and drops it if the VM is
// no longer up or a move waits too long.
func (m *Manager) checkVacated(op *operation, now time.Duration) {
	if op.machine.State != Up {
		m.dropOperation(op)
		return
	}
	if m.isVacated(&op.machine, now) {
		m.requestOrder(op)
		return
	}
	if op.Kind == Move && now-op.startedAt > moveVacateTimeout {
		m.dropOperation(op)
		m.backoffUntil[op.Machine] = now + backoff
	}
}

// isVacated reports whether nothing is lost when a VM becomes unavailable.
func (m *Manager) isVacated(machine *Machine, now time.Duration) bool {
	if machine.Pool == m.sparePool {
		return true
	}
	return now-m.reportRequestedAt[machine.Pool] <= maxReportAge && m.demands[machine.Pool].Workers[machine.Worker].Vacated
}

// canRepeat reports whether the order of an operation can be sent again: it has no effect
// any more, or its VM is not up or vacated.
func (m *Manager) canRepeat(op *operation, now time.Duration) bool {
	current, ok := m.machine(op.Machine)
	if !ok {
		return true
	}
	op.machine = current
	moved := op.Kind == Move && current.Pool == op.Pool
	return moved || current.State != Up || m.isVacated(&current, now)
}

// sendOrder sends the order of an operation to the platform. Retries of the same
// operation carry the same fence. A process that was suspended since it has checked its ownership
// sends nothing: another one may have ordered the VM.
func (m *Manager) sendOrder(op *operation) {
	checkedAt := m.o.Clock()
	if !m.o.OwnsShard() {
		m.o.Loop.After(retryDelay, func() { m.retryOrder(op) })
		return
	}
	if op.phase != ordering {
		m.orderCount++
		op.phase, op.fence = ordering, m.o.Fence<<orderNumberBits+m.orderCount
	}
	op.inFlight = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := errHeldUp
		if m.o.Clock()-checkedAt <= maxOrderAge {
			err = m.callMachineService(ctx, op)
		}
		m.o.Loop.Post(func() { m.handleOrderResult(op, err) })
	}()
}

func (m *Manager) callMachineService(ctx context.Context, op *operation) error {
	if op.Kind == Move {
		return m.o.MachineService.Move(ctx, op.Machine, op.Pool, op.fence)
	}
	return m.o.MachineService.Maintain(ctx, op.Machine, op.Wave, op.fence)
}

// handleOrderResult handles the platform's response to an order.
func (m *Manager) handleOrderResult(op *operation, err error) {
	op.inFlight = false
	if m.stopped {
		return
	}
	now := m.o.Clock()
	fields := eventlog.Fields{"machine": op.Machine, "pool": op.machine.Pool, "target": op.Pool, "wave": op.Wave, "reason": op.Reason}
	switch {
	case err == nil:
		m.o.Recorder.Record(eventlog.MachineOrdered, fields)
		m.recordCarriedOut(op, now)
	case errors.Is(err, ErrThrottled), errors.Is(err, errHeldUp):
		m.o.Loop.After(retryDelay, func() { m.retryOrder(op) })
	case errors.Is(err, ErrBusy), errors.Is(err, ErrFenced), errors.Is(err, ErrNotDue), errors.Is(err, ErrInvalid):
		fields["error"] = err
		m.o.Recorder.Record(eventlog.MachineOrderRefused, fields)
		if errors.Is(err, ErrNotDue) || errors.Is(err, ErrInvalid) {
			// The platform refuses an earlier order of the operation as well.
			m.settleOrder(op)
		}
		m.dropOperation(op)
		m.backoffUntil[op.Machine] = now + backoff
		m.listedAt = 0
	default:
		// The order may have been carried out. It is retried with the same fence;
		// later orders for the VM carry a higher one.
		fields["error"] = err
		m.o.Recorder.Record(eventlog.MachineOrderUnanswered, fields)
		m.markUnanswered(op, now)
		m.o.Loop.After(retryDelay, func() { m.retryOrder(op) })
	}
}

func (m *Manager) retryOrder(op *operation) {
	if m.stopped || m.draining || op.inFlight || m.operations[op.Machine] != op {
		return
	}
	if !m.o.OwnsShard() || !m.canRepeat(op, m.o.Clock()) {
		m.o.Loop.After(retryDelay, func() { m.retryOrder(op) })
		return
	}
	m.sendOrder(op)
}

// recordCarriedOut records that the platform carries out an order, so that the VM is
// unavailable for a while.
func (m *Manager) recordCarriedOut(op *operation, now time.Duration) {
	op.phase = awaitingReturn
	away := m.o.MoveDuration
	if op.Kind == Maintain {
		away = m.o.MaintenanceDuration
		if w := m.waves[op.Wave]; w != nil {
			w.done[op.Machine] = true
			w.unsaved = true
			w.settle(op.Machine)
			m.saveWave(w)
		}
	}
	op.returnDeadline = now + away + returnMargin
	for i := range m.machines {
		if m.machines[i].Name == op.Machine {
			m.machines[i].State = Moving
			if op.Kind == Move {
				m.machines[i].Pool = op.Pool
			}
		}
	}
}

// startOperation checks a decision against the current state and starts to carry it
// out. VMs of the spare pool need not be vacated.
func (m *Manager) startOperation(d Decision, now time.Duration) {
	machine, ok := m.machine(d.Machine)
	if !ok || machine.State != Up || m.operations[d.Machine] != nil || now < m.backoffUntil[d.Machine] {
		return
	}
	op := &operation{Decision: d, machine: machine, startedAt: now}
	m.operations[d.Machine] = op
	if machine.Pool == m.sparePool {
		m.requestOrder(op)
	}
}
