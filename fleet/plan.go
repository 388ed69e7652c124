package fleet

// IntentKind is the kind of an intent.
type IntentKind string

// Kinds of intents.
const (
	IntentPoolCapacity IntentKind = "pool-capacity" // A pool should hold this many VMs.
	IntentEmptyRack    IntentKind = "empty-rack"    // A rack should be emptied for maintenance.
	IntentConfigure    IntentKind = "configure"     // A service should take this configuration.
)

// Intent is what an operator wants to be true.
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
	// PlanCancelling means that an operator has cancelled the plan and its
	// driver is returning the VMs to service.
	PlanCancelling PlanState = "cancelling"
	PlanCancelled  PlanState = "cancelled"
	PlanDone       PlanState = "done"
	PlanBlocked    PlanState = "blocked" // Needs an operator; Reason says why.
)

// Driven reports whether a plan in this state needs a driver.
func (s PlanState) Driven() bool { return s == PlanConfirmed || s == PlanCancelling }

// Ended reports whether a plan in this state never changes a VM again.
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
	// Failed says why the step cannot go on without an operator.
	Failed string `json:"failed,omitempty"`
	// After lists the indices of the steps that must be done before this one starts.
	After []int `json:"after,omitempty"`
}

// RowVersion names a row at a version.
type RowVersion struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Plan is the system's answer to an intent.
type Plan struct {
	ID     PlanID     `json:"id"`
	Intent Intent     `json:"intent"`
	State  PlanState  `json:"state"`
	Moves  []MoveStep `json:"moves,omitempty"`
	// Width is the number of VMs moved at once.
	Width int `json:"width"`
	// RackWidth and ZoneWidth bound the VMs moved at once in one failure domain.
	RackWidth int `json:"rack_width,omitempty"`
	ZoneWidth int `json:"zone_width,omitempty"`
	// Floors are the numbers of serving VMs that the plan keeps in each pool.
	Floors map[PoolID]int `json:"floors,omitempty"`
	// Preconditions are the rows that must be unchanged when the plan is confirmed.
	Preconditions []RowVersion `json:"preconditions"`
	// Warnings say what the plan would break, with reasons.
	Warnings []string `json:"warnings,omitempty"`
	Reason   string   `json:"reason,omitempty"`

	// Driver holds the lease of the plan; Epoch is a condition in each of its transactions.
	Driver MemberID `json:"driver,omitempty"`
	Epoch  uint64   `json:"epoch"`
	// Renewal changes with each renewal of the lease.
	Renewal uint64 `json:"renewal"`

	Version uint64 `json:"-"`
}
