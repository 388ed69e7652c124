package settings

// Role is a set of permitted operations of the administration API.
type Role string

// Roles in ascending order; each includes all previous ones.
const (
	RoleViewer   Role = "viewer"   // Reads state.
	RoleOperator Role = "operator" // Creates intents; confirms, rejects and cancels plans.
	RoleAdmin    Role = "admin"    // Changes the configuration.
)

var ranks = map[Role]int{RoleViewer: 1, RoleOperator: 2, RoleAdmin: 3}

// Includes reports whether r permits everything that other permits. An
// unknown role permits nothing and is included in nothing.
func (r Role) Includes(other Role) bool {
	return ranks[r] > 0 && ranks[other] > 0 && ranks[r] >= ranks[other]
}
