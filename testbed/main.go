// Command testbed runs the stand-ins of the platform and of backend servers, and the tools that send load
// and check the guarantees in tests. It is not part of a release.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// exitFailure is the exit code when a command fails, which includes a broken guarantee.
const exitFailure = 1

func main() {
	parser := flags.NewNamedParser("testbed", flags.HelpFlag|flags.PassDoubleDash)
	add := func(name, short string, command any) {
		if _, err := parser.AddCommand(name, short, short, command); err != nil {
			fmt.Fprintln(os.Stderr, "testbed:", err)
			os.Exit(2)
		}
	}
	add("platform", "Run the platform: table service, VM list and reboots", &platformCommand{})
	add("backend", "Run the backend servers of a site's VMs", &backendCommand{})
	add("load", "Send a site's load to entry processes", &loadCommand{})
	add("verify", "Compare what callers saw with what backend servers ran", &verifyCommand{})
	add("versions", "Check that the configuration in force never becomes older", &versionsCommand{})
	add("phase", "Wait until a plan's VM has reached a phase", &phaseCommand{})
	add("fit", "Fit lines to the output of the scale benchmarks", &fitCommand{})
	add("press", "Measure throughput and latency of one address", &pressCommand{})
	add("soak", "Run processes under random faults against the stand-in of the platform", &soakCommand{})
	add("demo", "Show the job path: pools, workspaces, a surge and a killed process", &demoCommand{})
	add("proxy", "Run httputil.ReverseProxy as baseline", &proxyCommand{})
	if _, err := parser.Parse(); err != nil {
		var flagsError *flags.Error
		if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(exitFailure)
	}
}
