package compare

import (
	"fmt"
	"io"
	"time"
)

// Figures holds the results of one or more runs.
type Figures struct {
	requests, sent, overrun, shed, late, waiting, messages int
	idle                                                   float64
	// P50 and P99 are quantiles of the time from arrival to the start on a
	// worker. For several runs they are the means of the quantiles of each run.
	P50, P99 time.Duration
	runs     int
}

// Overrun returns the share of sent requests whose worker already used all its slots.
func (f Figures) Overrun() float64 { return share(f.overrun, f.sent) }

// Shed returns the share of requests that were refused.
func (f Figures) Shed() float64 { return share(f.shed, f.requests) }

// Late returns the share of requests that completed after their deadline.
func (f Figures) Late() float64 { return share(f.late, f.requests) }

// Idle returns the share of the slot time that was idle while as many requests waited.
func (f Figures) Idle() float64 { return f.idle / float64(max(f.runs, 1)) }

// Messages returns the borrow requests of all processes per second.
func (f Figures) Messages() float64 {
	return float64(f.messages) / float64(max(f.runs, 1)) / runLength.Seconds()
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// Mean runs a scenario with several seeds and returns the combined figures.
func Mean(k Kind, s Scenario, p Parameters, seeds []uint64) Figures {
	var sum Figures
	for _, seed := range seeds {
		f := Run(k, s, p, seed)
		sum.requests += f.requests
		sum.sent += f.sent
		sum.overrun += f.overrun
		sum.shed += f.shed
		sum.late += f.late
		sum.idle += f.idle
		sum.messages += f.messages
		sum.P50 += f.P50
		sum.P99 += f.P99
	}
	sum.runs = len(seeds)
	sum.P50 /= time.Duration(len(seeds))
	sum.P99 /= time.Duration(len(seeds))
	return sum
}

// WritePolicyTable runs all scenarios with all policies and writes the figures as
// a Markdown table.
func WritePolicyTable(w io.Writer, p Parameters, seeds []uint64) error {
	_, err := fmt.Fprintf(w, "| Processes | Workers | Load | Balance | Policy | Overrun %% | Idle while waiting %% | Shed %% | Late %% | Wait p50 ms | Wait p99 ms |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range Scenarios() {
		for _, k := range Kinds() {
			if err != nil {
				return fmt.Errorf("write the table: %w", err)
			}
			f := Mean(k, s, p, seeds)
			_, err = fmt.Fprintf(w, "| %s | %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |\n", s, k,
				100*f.Overrun(), 100*f.Idle(), 100*f.Shed(), 100*f.Late(), milliseconds(f.P50), milliseconds(f.P99))
		}
	}
	return err
}

// WriteParameterTable runs borrowing with several parameters in the scenarios that
// they affect, and writes the figures as a Markdown table.
func WriteParameterTable(w io.Writer, variants []Parameters, seeds []uint64) error {
	loads := Loads()
	scenarios := []Scenario{
		{9, 9, loads[1], Uneven}, {9, 9, loads[1], Shifting}, {9, 9, loads[2], Uneven},
		{9, 9, loads[2], Shifting}, {3, 9, loads[2], Uneven}, {3, 9, loads[2], Shifting},
	}
	_, err := fmt.Fprintf(w, "| Lease | Idle time | Probe | Processes | Workers | Load | Balance | Idle while waiting %% | Shed %% | Wait p99 ms | Requests for slots per s |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, p := range variants {
		for _, s := range scenarios {
			if err != nil {
				return fmt.Errorf("write the table: %w", err)
			}
			f := Mean(Borrow, s, p, seeds)
			_, err = fmt.Fprintf(w, "| %s | %s | %s | %s | %.1f | %.1f | %.1f | %.0f |\n", p.Lease, p.IdleTimeout, p.ProbeInterval, s,
				100*f.Idle(), 100*f.Shed(), milliseconds(f.P99), f.Messages())
		}
	}
	return err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
