package fleet

// Identifiers are distinct string types, so that the compiler rejects, for example, a
// rack ID where a VM ID is expected.
type (
	// VMID identifies a worker VM.
	VMID string
	// RackID identifies a rack. Racks are failure domains within an availability zone.
	RackID string
	// ZoneID identifies an availability zone.
	ZoneID string
	// PoolID identifies a pool of VMs.
	PoolID string
	// ServiceName identifies a service.
	ServiceName string
	// CustomerID identifies a customer, the unit of fair sharing in admission.
	CustomerID string
	// PlanID identifies a plan.
	PlanID string
	// IntentID identifies an intent.
	IntentID string
	// MemberID identifies an entry process.
	MemberID string
)
