package fleet

// IntentKind says which kind of change an operator requests.
type IntentKind string

// Kinds of intents.
const (
	IntentPoolCapacity IntentKind = "pool-capacity" // A pool should have a given number of VMs.
	IntentEmptyRack    IntentKind = "empty-rack"    // A rack should be emptied for maintenance.
	IntentConfigure    IntentKind = "configure"     // A service should have a given configuration.
)

// Intent is a desired state requested by an operator.
type Intent struct {
	ID       IntentID   `json:"id"`
	Kind     IntentKind `json:"kind"`
	Operator string     `json:"operator"`

	Pool     PoolID   `json:"pool,omitempty"`     // IntentPoolCapacity
	Capacity int      `json:"capacity,omitempty"` // IntentPoolCapacity: number of VMs.
	Rack     RackID   `json:"rack,omitempty"`     // IntentEmptyRack
	Service  *Service `json:"service,omitempty"`  // IntentConfigure

	Version uint64 `json:"-"`
}

// PlanState is the state of a plan.
type PlanState string

// States of a plan.
const (
	PlanProposed  PlanState = "proposed"
	PlanConfirmed PlanState = "confirmed"
	PlanRejected  PlanState = "rejected"
	// PlanCancelling means that an operator has cancelled the plan and its driver is
	// returning the VMs to service.
	PlanCancelling PlanState = "cancelling"
	PlanCancelled  PlanState = "cancelled"
	PlanDone       PlanState = "done"
	PlanBlocked    PlanState = "blocked" // Cannot continue without an operator; Reason says why.
)

// NeedsDriver reports whether a driver must execute a plan in this state.
func (s PlanState) NeedsDriver() bool { return s == PlanConfirmed || s == PlanCancelling }

// Ended reports whether a plan in this state is final and changes no VM any more.
func (s PlanState) Ended() bool {
	return s == PlanRejected || s == PlanCancelled || s == PlanDone
}

// MoveStep moves one VM to a pool. From and To are equal when the VM is only rebooted.
type MoveStep struct {
	VM         VMID   `json:"vm"`
	From       PoolID `json:"from"`
	To         PoolID `json:"to"`
	Generation uint64 `json:"generation"` // Generation of the VM before the step.
	Reboot     bool   `json:"reboot"`
	Reason     string `json:"reason"`
	Done       bool   `json:"done"`
	// Failed says why the step cannot continue without an operator. It is empty while
	// the step has not failed.
	Failed string `json:"failed,omitempty"`
	// After lists the indices of the steps that must be done before this one starts.
	After []int `json:"after,omitempty"`
}

// RowVersion identifies a version of a row.
type RowVersion struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Plan is the list of steps that fulfils an intent, with its limits and warnings.
type Plan struct {
	ID     PlanID     `json:"id"`
	Intent Intent     `json:"intent"`
	State  PlanState  `json:"state"`
	Moves  []MoveStep `json:"moves,omitempty"`
	// Width is the maximum number of VMs moved at once.
	Width int `json:"width"`
	// RackWidth and ZoneWidth limit the number of VMs moved at once in one rack or
	// availability zone.
	RackWidth int `json:"rack_width,omitempty"`
	ZoneWidth int `json:"zone_width,omitempty"`
	// Floors are the minimum numbers of serving VMs that the plan keeps in each pool.
	Floors map[PoolID]int `json:"floors,omitempty"`
	// Preconditions lists the rows that must be unchanged when the plan is confirmed.
	Preconditions []RowVersion `json:"preconditions"`
	// Warnings describe the limits that the plan would violate, with reasons.
	Warnings []string `json:"warnings,omitempty"`
	Reason   string   `json:"reason,omitempty"`

	// Driver is the process that holds the lease on the plan. Each of its transactions is
	// conditional on Epoch.
	Driver MemberID `json:"driver,omitempty"`
	Epoch  uint64   `json:"epoch"`
	// Renewal changes with each renewal of the lease.
	Renewal uint64 `json:"renewal"`

	Version uint64 `json:"-"`
}
