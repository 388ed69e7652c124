package maintenance

import (
	"context"
	"time"

	"peridotcrank.dev/eventlog"
)

const (
	listInterval    = time.Second
	minListInterval = 300 * time.Millisecond
	// formerOrderWindow is how long after a takeover the platform may still start
	// orders that the former owner sent.
	formerOrderWindow = 400 * time.Millisecond
)

// needsFreshList reports whether the VM list must be fetched before its regular
// interval: after a takeover, or because a pool's owner waits to learn which
// unaccounted workers have ended.
func (m *Manager) needsFreshList(now time.Duration) bool {
	if now-m.listedAt < minListInterval {
		return false
	}
	if !m.listIsCurrent() && now-m.ownerSince >= formerOrderWindow {
		return true
	}
	for pool, d := range m.demands {
		if len(d.Unaccounted) > 0 && m.listRequestedAt < m.unaccountedAt[pool] {
			return true
		}
	}
	return false
}

// listIsCurrent reports whether the VM list includes the effects of all orders
// of former owners.
func (m *Manager) listIsCurrent() bool { return m.listRequestedAt >= m.ownerSince+formerOrderWindow }

// refreshMachines requests the platform's VM list.
func (m *Manager) refreshMachines() {
	m.listInFlight = true
	sent := m.o.Clock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		machines, err := m.o.MachineService.List(ctx)
		m.o.Loop.Post(func() {
			m.listInFlight, m.listedAt = false, m.o.Clock()
			if err != nil {
				m.o.Recorder.Record(eventlog.MachineListFailed, eventlog.Fields{"error": err})
				return
			}
			m.machines, m.listRequestedAt = machines, sent
		})
	}()
}

func (m *Manager) machine(name string) (Machine, bool) {
	for _, machine := range m.machines {
		if machine.Name == name {
			return machine, true
		}
	}
	return Machine{}, false
}
