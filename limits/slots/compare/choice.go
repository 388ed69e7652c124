package compare

import "time"

// ChoosingSeeds returns the seeds with which the parameters were chosen.
func ChoosingSeeds() []uint64 { return []uint64{1, 2, 3} }

// ReportingSeeds returns the seeds of the published table of policies.
func ReportingSeeds() []uint64 { return []uint64{101, 102, 103, 104, 105} }

// Chosen returns the parameters that were chosen, which are the defaults of
// packages slots and routing.
func Chosen() Parameters {
	return Parameters{Lease: 2 * time.Second, IdleTime: 50 * time.Millisecond, Probe: 100 * time.Millisecond}
}

// Choices returns the parameters that were tried.
func Choices() []Parameters {
	var all []Parameters
	for _, probe := range []time.Duration{0, 100, 25} {
		for _, lease := range []time.Duration{250, 500, 1000, 2000} {
			all = append(all, Parameters{lease * time.Millisecond, 50 * time.Millisecond, probe * time.Millisecond})
		}
	}
	for _, idle := range []time.Duration{10, 200} {
		p := Chosen()
		p.IdleTime = idle * time.Millisecond
		all = append(all, p)
	}
	return all
}
