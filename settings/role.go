package settings

// Role permits verbs of the administration API.
type Role string

// Roles, each of which includes the ones before it.
const (
	RoleViewer   Role = "viewer"   // Reads.
	RoleOperator Role = "operator" // Creates intents and decides on plans.
	RoleAdmin    Role = "admin"    // Changes the configuration.
)

var ranks = map[Role]int{RoleViewer: 1, RoleOperator: 2, RoleAdmin: 3}

// Includes reports whether r permits everything that other permits. An
// unknown role permits nothing and is included in nothing.
func (r Role) Includes(other Role) bool {
	return ranks[r] > 0 && ranks[other] > 0 && ranks[r] >= ranks[other]
}
