package compare

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// choosing are the seeds with which the parameters were chosen; reporting are
// those of the published table.
var (
	choosing  = []uint64{1, 2, 3}
	reporting = []uint64{101, 102, 103, 104, 105}
)

var (
	report = flag.String("report", "", "file to which the table is written; - for standard output")
	choice = flag.Bool("choice", false, "write the table of parameters to standard output")
	chosen = Parameters{Lease: 2 * time.Second, IdleTime: 50 * time.Millisecond, Probe: 100 * time.Millisecond}
)

// TestChoice writes the table with which the parameters were chosen, when
// asked to with -choice.
func TestChoice(t *testing.T) {
	if !*choice {
		t.Skip("no -choice")
	}
	var choices []Parameters
	for _, probe := range []time.Duration{0, 100, 25} {
		for _, lease := range []time.Duration{250, 500, 1000, 2000} {
			choices = append(choices, Parameters{lease * time.Millisecond, 50 * time.Millisecond, probe * time.Millisecond})
		}
	}
	for _, idle := range []time.Duration{10, 200} {
		choices = append(choices, Parameters{500 * time.Millisecond, idle * time.Millisecond, 100 * time.Millisecond})
	}
	assert.NilError(t, WriteChoice(os.Stdout, choices, choosing))
}

// TestReport writes the table when asked to with -report.
func TestReport(t *testing.T) {
	if *report == "" {
		t.Skip("no -report")
	}
	out := os.Stdout
	if *report != "-" {
		var err error
		out, err = os.Create(*report)
		assert.NilError(t, err)
		defer out.Close()
	}
	assert.NilError(t, WriteTable(out, chosen, reporting))
}

// Guards against a comparison that loses requests, is not reproducible, or
// cannot tell the policies apart.
func TestPoliciesDiffer(t *testing.T) {
	surge := Scenario{Processes: 9, Workers: 9, Load: Loads()[2], Balance: Uneven}
	figures := map[Kind]Figures{}
	for _, k := range Kinds() {
		f := Run(k, surge, chosen, 1)
		assert.Equal(t, f.requests, f.sent+f.shed+f.waiting, string(k))
		assert.Equal(t, f, Run(k, surge, chosen, 1), string(k))
		figures[k] = f
	}
	assert.Assert(t, figures[TwoWay].Overrun() > 0.5)
	for _, k := range []Kind{Static, Homes, Borrow} {
		assert.Equal(t, figures[k].overrun, 0, string(k))
	}
	assert.Assert(t, figures[Borrow].Idle() < figures[Homes].Idle()/2)
	assert.Assert(t, figures[Borrow].Shed() < figures[Static].Shed())
}
