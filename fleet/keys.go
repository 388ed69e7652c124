package fleet

// Keys and key prefixes of rows in the table service.
const (
	KeyMembers       = "members"
	KeyConfiguration = "config"

	PrefixVM     = "vm/"
	PrefixPool   = "pool/"
	PrefixPlan   = "plan/"
	PrefixIntent = "intent/"
)

// VMKey returns the key of a VM's row.
func VMKey(id VMID) string { return PrefixVM + string(id) }

// PoolKey returns the key of a pool's row.
func PoolKey(id PoolID) string { return PrefixPool + string(id) }

// PlanKey returns the key of a plan's row.
func PlanKey(id PlanID) string { return PrefixPlan + string(id) }

// IntentKey returns the key of an intent's row.
func IntentKey(id IntentID) string { return PrefixIntent + string(id) }
