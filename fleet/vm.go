package fleet

// Phase is the stored phase of a VM's move.
type Phase string

// Phases of a move, in order. A VM accepts requests only while serving.
const (
	PhaseServing  Phase = "serving"
	PhaseDraining Phase = "draining"
	PhaseDrained  Phase = "drained"
	PhaseMoved    Phase = "moved"
	PhaseRebooted Phase = "rebooted"
	PhaseProbed   Phase = "probed"
)

// VM is a worker VM as recorded in its row of the table service, joined with
// the platform's VM list.
type VM struct {
	ID      VMID   `json:"id"`
	Address string `json:"address"` // IP:port of the backend server.
	Rack    RackID `json:"rack"`
	Zone    ZoneID `json:"zone"`

	// Slots is the number of requests the backend server runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections the backend server accepts.
	Connections int `json:"connections"`

	Pool PoolID `json:"pool"`
	// Generation increases by one each time the VM changes pool.
	Generation uint64 `json:"generation"`
	Phase      Phase  `json:"phase"`
	// Plan is the confirmed plan that has reserved the VM. A reserved VM keeps serving
	// until its step starts.
	Plan PlanID `json:"plan,omitempty"`
	// Operation identifies the reboot in progress, so that requesting it again is safe.
	Operation string `json:"operation,omitempty"`
	// Attempt is the number of the reboot in progress within the move, from 1.
	Attempt int `json:"attempt,omitempty"`

	// Version is the row's version in the table service. It is not stored in the row.
	Version uint64 `json:"-"`
	// Leaving reports that the platform's VM list or a peer has announced the shutdown
	// of the backend server. It is not stored in the row.
	Leaving bool `json:"-"`
}

// RebootState is the state of a reboot operation on the platform.
type RebootState string

// States of a reboot operation.
const (
	RebootUnknown RebootState = "" // The platform does not know the operation.
	RebootRunning RebootState = "running"
	RebootDone    RebootState = "done"
	RebootFailed  RebootState = "failed"
)

// Routable reports whether new requests may be sent to the VM.
func (v VM) Routable() bool { return v.Phase == PhaseServing && !v.Leaving }

// Pool is a named set of VMs that run the same service, or the spare pool.
type Pool struct {
	ID PoolID `json:"id"`
	// Service is the service that the pool runs. Empty for the spare pool.
	Service ServiceName `json:"service,omitempty"`
	// Capacity is the number of VMs that the pool needs.
	Capacity int `json:"capacity"`
	// Spare marks the pool that replacements are taken from and returned to.
	Spare bool `json:"spare,omitempty"`
	// Plan is the confirmed plan that changes the pool. Plans on one pool run
	// one after the other; the spare pool is not reserved.
	Plan PlanID `json:"plan,omitempty"`

	Version uint64 `json:"-"`
}

// Member is an entry process as named in the members row.
type Member struct {
	ID           MemberID `json:"id"`
	Zone         ZoneID   `json:"zone"`
	PeerAddress  string   `json:"peer_address"`
	AdminAddress string   `json:"admin_address"`
	// Incarnation increases each time the process joins.
	Incarnation uint64 `json:"incarnation"`
}

// MemberView is the members row: the live entry processes of a site.
type MemberView struct {
	// Version increases by one with each change of the view.
	Version uint64   `json:"version"`
	Members []Member `json:"members"` // Sorted by ID.
}

// Snapshot is an immutable view of the fleet. It must not be modified after it is
// published.
type Snapshot struct {
	// Revision is the revision of the table service that the snapshot reflects.
	Revision uint64
	VMs      map[VMID]VM
	Pools    map[PoolID]Pool
	Plans    map[PlanID]Plan
	Intents  map[IntentID]Intent
	// Delta lists the VMs that differ from an earlier snapshot of this process. It is
	// nil if the difference is not known.
	Delta *Delta
}

// Delta is the difference between two consecutive snapshots of a process. A consumer
// that has processed the earlier one needs to process only the VMs listed here.
type Delta struct {
	// From and To are the sequence numbers of the snapshots, from 1. They differ from
	// revisions, because changes of the VM list create snapshots as well.
	From, To uint64
	VMs      []VMID
}
