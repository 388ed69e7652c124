package maintenance

import (
	"context"
	"errors"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// MachineState is the state of a VM as reported by the platform.
type MachineState uint8

// States of a VM.
const (
	Up MachineState = iota + 1
	Moving
	InMaintenance
	Down
)

// Machine describes a VM of the fleet as listed by the platform.
type Machine struct {
	Name     string
	Pool     string
	State    MachineState
	Zone     string
	Rack     string
	Capacity job.Resources
	// Worker is the worker that runs on the VM. It is empty while there is none.
	Worker worker.ID
}

// Errors returned by [MachineService] for orders that were certainly not carried out.
var (
	ErrFenced    = errors.New("the platform has seen a higher fence for the VM")
	ErrBusy      = errors.New("the VM is not up or is leaving")
	ErrNotDue    = errors.New("the VM is not part of the maintenance wave")
	ErrInvalid   = errors.New("the platform rejected the order as invalid")
	ErrThrottled = errors.New("the platform accepts no further orders at the moment")
)

// MachineService lists the platform's VMs and orders their moves and maintenance.
// After an error other than those above, the outcome of an order is unknown.
// Repeating an order with the same fence is safe.
type MachineService interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, machine, pool string, fence uint64) error
	Maintain(ctx context.Context, machine string, wave int64, fence uint64) error
}

// Wave is an operator's request to service VMs within Period, with at most Cap VMs
// in maintenance at the same time.
type Wave struct {
	Number   int64
	Machines []string
	Period   time.Duration
	Cap      int
}

// WorkerUsage is the usage of one worker.
type WorkerUsage struct {
	Tasks       int
	LongRunning int // Tasks that run until their job is cancelled.
	Vacated     bool
}

// Demand is the resource demand that a pool's owner reports, with the usage of its workers.
type Demand struct {
	Used    job.Resources // Running tasks, except of jobs past their objective.
	Waiting job.Resources // Waiting tasks of jobs that can still complete in time.
	Late    job.Resources // Other waiting tasks, and running tasks of jobs past their objective.
	// ArrivalRate is the work that arrives per second, measured over the last second
	// and extrapolated while it grows.
	ArrivalRate job.Resources
	Workers     map[worker.ID]WorkerUsage
	// Unaccounted lists workers of former pool owners that may still run tasks.
	Unaccounted []worker.ID
}

// PoolInstructions are sent to a pool's owner with every report request.
type PoolInstructions struct {
	// Vacate lists the workers that must get no new tasks and hand over their
	// long-running ones.
	Vacate []worker.ID
	// Ended lists the unaccounted workers that no longer exist on any VM.
	Ended []worker.ID
	// MaintenanceDue lists the workers whose VMs are due for maintenance.
	MaintenanceDue []worker.ID
}

// PoolOwners sends instructions to the owners of pools and returns their reports.
type PoolOwners interface {
	RequestReport(ctx context.Context, pool string, instructions PoolInstructions) (Demand, error)
}
