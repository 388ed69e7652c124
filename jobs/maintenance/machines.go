package maintenance

import (
	"context"
	"errors"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// MachineState is the state of a VM in the platform's list.
type MachineState uint8

// States of a VM.
const (
	Up MachineState = iota + 1
	Moving
	InUpkeep
	Down
)

// Machine is a VM of the fleet.
type Machine struct {
	Name     string
	Pool     string
	State    MachineState
	Zone     string
	Rack     string
	Capacity job.Resources
	// Worker is the VM's current worker; empty while it has none.
	Worker worker.ID
}

// Errors of orders for VMs. They prove that the order was not carried out.
var (
	ErrFenced  = errors.New("the platform has seen a higher fence for the VM")
	ErrBusy    = errors.New("the VM is not up or is leaving")
	ErrNotDue  = errors.New("the VM does not belong to the wave")
	ErrInvalid = errors.New("the platform refused the order as invalid")
	ErrLimited = errors.New("the platform accepts no further orders at the moment")
)

// Orders gives orders for VMs. After an error other than those above the
// outcome is unknown; an order may be repeated.
type Orders interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, machine, pool string, fence uint64) error
	Upkeep(ctx context.Context, machine string, wave int64, fence uint64) error
}

// Wave asks for the maintenance of VMs within a period, with at most Cap at once.
type Wave struct {
	Number   int64
	Machines []string
	Period   time.Duration
	Cap      int
}

// Use is what runs on a worker.
type Use struct {
	Tasks   int
	Lasting int
	Vacated bool
}

// Demand is what a pool's owner reports.
type Demand struct {
	Used    job.Resources
	Waiting job.Resources // Of jobs that can be in time.
	Late    job.Resources // Of other jobs.
	// Arriving is the work that came in the last second.
	Arriving job.Resources
	Workers  map[worker.ID]Use
	// Unaccounted are workers of former owners that may still run tasks.
	Unaccounted []worker.ID
}

// PoolOrders are told to the owner of a pool with each question.
type PoolOrders struct {
	// Vacate are workers that are to run nothing for a while.
	Vacate []worker.ID
	// Ended are unaccounted workers that no VM has any more.
	Ended []worker.ID
	// Due are workers whose VMs are due for maintenance.
	Due []worker.ID
}

// Owners asks the owners of pools.
type Owners interface {
	Report(ctx context.Context, pool string, orders PoolOrders) (Demand, error)
}
