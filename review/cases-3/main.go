package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scriptedCase runs a case. trouble is false for the run without the disruption. It returns what
// broke the rule; empty if the rule held.
type scriptedCase func(s *system, trouble bool) (broken string, err error)

// registered is a case with its number of processes.
type registered struct {
	processes int
	run       scriptedCase
}

// cases are registered by their files.
var cases = map[string]registered{}

// timeLimit ends a case that takes too long.
const timeLimit = 118 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	s, err := newSystem(os.Args[2], c.processes)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
			s.rec.printf("not run to its end")
		}
		s.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := c.run(s, trouble)
	s.close()
	switch {
	case err != nil:
		s.rec.printf("not run: %v", err)
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	case broken != "":
		s.rec.printf("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		os.Exit(exitBroken)
	}
	s.rec.printf("the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
