// Command reviewcase plays one case of the review against processes of the program under test.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"peridotcrank.dev/review/internal/standin"
)

// run is one play of a case.
type run struct {
	*standin.Record
	binary  string
	trouble bool // The disruption happens.
}

var errNotPlayed = errors.New("the case couldn't run")

// cases holds, by name, the functions that play a case and return how the rule was broken.
var cases = map[string]func(*run) (broken []string, err error){}

func main() {
	binary := flag.String("binary", "target/peridotcrank", "program under test")
	record := flag.String("record", "record.txt", "record of what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		os.Exit(2)
	}
	r, err := standin.NewRecord(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		standin.KillAll()
		r.Printf("not run to the end: signal")
		os.Exit(2)
	}()
	code := 0
	broken, err := play(&run{r, *binary, os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		code = 2
		r.Printf("not run: %v", err)
		fmt.Println("not run:", err)
	case len(broken) > 0:
		code = 1
		for _, line := range broken {
			r.Printf("BROKEN: %s", line)
			fmt.Println("broken:", line)
		}
	default:
		r.Printf("held")
		fmt.Println("held")
	}
	r.Close()
	os.Exit(code)
}

// job returns the body of a job with one step.
func job(spec standin.Spec, count, cpu int, more map[string]any) map[string]any {
	step := map[string]any{"count": count, "cpu": cpu, "mem-mb": 1024}
	if spec.MS > 0 {
		step["est-ms"] = spec.MS
	}
	for name, value := range more {
		step[name] = value
	}
	return map[string]any{"spec": spec.String(), "steps": []any{step}}
}
