package compare

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	choice = flag.Bool("choice", false, "write the table of parameters to standard output")
	report = flag.String("report", "", "file to which the table of policies is written")
)

// TestTables writes the tables that the flags -choice and -report select. Without
// them it does nothing.
func TestTables(t *testing.T) {
	if *choice {
		assert.NilError(t, WriteParameterTable(os.Stdout, ParameterVariants(), ParameterSeeds()))
	}
	if *report != "" {
		out, err := os.Create(*report)
		assert.NilError(t, err)
		defer out.Close()
		assert.NilError(t, WritePolicyTable(out, DefaultParameters(), PolicySeeds()))
	}
}

// Guards against a comparison that loses requests, whose results are not
// reproducible, or that shows no difference between the policies.
func TestPoliciesDiffer(t *testing.T) {
	surge := Scenario{Processes: 9, Workers: 9, Load: Loads()[2], Balance: Uneven}
	figures := map[Kind]Figures{}
	for _, k := range Kinds() {
		f := Run(k, surge, DefaultParameters(), 1)
		assert.Equal(t, f.requests, f.sent+f.shed+f.waiting, string(k))
		assert.Equal(t, f, Run(k, surge, DefaultParameters(), 1), string(k))
		figures[k] = f
	}
	assert.Assert(t, figures[TwoChoices].Overrun() > 0.5)
	for _, k := range []Kind{Static, Homes, Borrow} {
		assert.Equal(t, figures[k].overrun, 0, string(k))
	}
	assert.Assert(t, figures[Borrow].Idle() < figures[Homes].Idle()/2)
	assert.Assert(t, figures[Borrow].Shed() < figures[Static].Shed())
}
