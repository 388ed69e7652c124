package compare

import "time"

// ParameterSeeds returns the seeds of the table of parameters.
func ParameterSeeds() []uint64 { return []uint64{1, 2, 3} }

// PolicySeeds returns the seeds of the table of policies.
func PolicySeeds() []uint64 { return []uint64{101, 102, 103, 104, 105} }

// DefaultParameters returns the default parameters of packages slots and routing.
func DefaultParameters() Parameters {
	return Parameters{Lease: 2 * time.Second, IdleTimeout: 50 * time.Millisecond, ProbeInterval: 100 * time.Millisecond}
}

// ParameterVariants returns the rows of the table of parameters.
func ParameterVariants() []Parameters {
	var all []Parameters
	for _, probe := range []time.Duration{0, 100, 25} {
		for _, lease := range []time.Duration{250, 500, 1000, 2000} {
			all = append(all, Parameters{lease * time.Millisecond, 50 * time.Millisecond, probe * time.Millisecond})
		}
	}
	for _, idle := range []time.Duration{10, 200} {
		p := DefaultParameters()
		p.IdleTimeout = idle * time.Millisecond
		all = append(all, p)
	}
	return all
}
