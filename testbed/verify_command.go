package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"peridotcrank.dev/testbed/backend"
	"peridotcrank.dev/testbed/load"
	"peridotcrank.dev/testbed/verify"
)

type verifyCommand struct {
	Report            string                `long:"report" required:"true" description:"report of the load in JSON"`
	Control           string                `long:"control" default:"127.0.0.1:20002" description:"control endpoint of the backend servers"`
	ExpectAllAnswered bool                  `long:"all-answered" description:"every submission must be answered"`
	AnsweredFrom      int64                 `long:"answered-from" value-name:"MS" description:"every submission from this time on must be answered, in ms since the Unix epoch"`
	SilentVMs         []verify.SilentPeriod `long:"silent-vm" value-name:"VM@FROM-TO" description:"VM that must start no request in a period; times in ms since the Unix epoch"`
	SilentEntries     []verify.SilentPeriod `long:"silent-entry" value-name:"IP:PORT@FROM-TO" description:"entry process that must send no request in a period"`
	FailingVMs        []string              `long:"failing-vm" value-name:"VM" description:"failing VM that must attract no traffic; repeat for more"`
	FailingFrom       int64                 `long:"failing-from" value-name:"MS" description:"time from which the failing VMs fail, in ms since the Unix epoch"`
	FailingTo         int64                 `long:"failing-to" value-name:"MS" description:"time until which they fail"`
	ExpectEjected     bool                  `long:"ejected" description:"the failing VMs must have been ejected by half of their time"`
	Timeout           time.Duration         `long:"timeout" default:"2s" description:"timeout of the services; later answers count as late"`
	Summary           bool                  `long:"summary" description:"print what callers saw"`
}

// Execute compares the report with the runs of the backend servers, prints the broken
// guarantees and fails when there is one.
func (c *verifyCommand) Execute([]string) error {
	if len(c.FailingVMs) > 0 && (c.FailingFrom <= 0 || c.FailingTo <= c.FailingFrom) {
		return errors.New("--failing-vm needs --failing-from and a later --failing-to")
	}
	document, err := os.ReadFile(c.Report)
	if err != nil {
		return fmt.Errorf("read report: %w", err)
	}
	var report load.Report
	if err := json.Unmarshal(document, &report); err != nil {
		return fmt.Errorf("decode report: %w", err)
	}
	runs, err := fetchRuns(c.Control)
	if err != nil {
		return err
	}
	result := c.checkGuarantees(&report, runs)
	fmt.Printf("callers' requests: %d, runs on backend servers: %d, starts above the slots of a VM: %d, broken guarantees: %d\n",
		len(report.Records), result.Runs, result.Overrun, len(result.Findings))
	if c.Summary {
		printSummary(verify.Summarize(&report, c.Timeout), len(report.Records))
	}
	if c.Summary && len(c.FailingVMs) > 0 {
		before, within := verify.FailingShares(runs, c.FailingVMs, c.failingWindow())
		fmt.Printf("share of failing VMs: %.3f, before the fault %.3f\n", within, before)
	}
	for _, finding := range result.Findings {
		fmt.Printf("BROKEN: %s: %s\n", finding.Guarantee, finding.Detail)
	}
	if len(result.Findings) > 0 {
		return errors.New("a guarantee was broken")
	}
	return nil
}

func (c *verifyCommand) checkGuarantees(report *load.Report, runs []backend.Run) verify.Result {
	result := verify.Compare(report, runs)
	result.CheckServed(report)
	if c.ExpectAllAnswered {
		result.CheckAllAnswered(report, verify.Window{From: math.MinInt64, To: math.MaxInt64})
	}
	if c.AnsweredFrom > 0 {
		result.CheckAllAnswered(report, verify.Window{From: c.AnsweredFrom * time.Millisecond.Microseconds(), To: math.MaxInt64})
	}
	for _, s := range c.SilentVMs {
		result.CheckVMSilent(runs, s)
	}
	for _, s := range c.SilentEntries {
		result.CheckEntrySilent(report, runs, s)
	}
	if len(c.FailingVMs) > 0 {
		result.CheckFailingShare(runs, c.FailingVMs, c.failingWindow())
		if c.ExpectEjected {
			result.CheckEjected(runs, c.FailingVMs, c.failingWindow())
		}
	}
	return result
}

func (c *verifyCommand) failingWindow() verify.Window {
	ms := time.Millisecond.Microseconds()
	return verify.Window{From: c.FailingFrom * ms, To: c.FailingTo * ms}
}

// printSummary prints one line per kind of figure. Scripts find a line by its prefix.
func printSummary(s verify.Summary, requests int) {
	var outcomes []string
	for _, o := range []load.Outcome{
		load.Answered, load.Failed, load.NotRun, load.Unknown, load.Broken, load.NotSent, load.Wrong, load.NoHeader,
	} {
		if n := s.BySubmissionOutcome[o]; n > 0 {
			outcomes = append(outcomes, fmt.Sprintf("%s %d", o, n))
		}
	}
	fmt.Println("submissions:", strings.Join(outcomes, " "))
	inDoubt := s.ByLastOutcome[load.Unknown] + s.ByLastOutcome[load.Broken]
	fmt.Printf("in doubt: %.2f%% of requests at the end, for %.1f s from the first to the last submission\n",
		100*float64(inDoubt)/float64(max(1, requests)), float64(s.LastInDoubt-s.FirstInDoubt)/float64(time.Second.Microseconds()))
	var services []string
	for service := range s.LongestGaps {
		services = append(services, service)
	}
	slices.Sort(services)
	var gaps, late []string
	for _, service := range services {
		gaps = append(gaps, fmt.Sprintf("%s %.2f", service, s.LongestGaps[service].Seconds()))
		late = append(late, fmt.Sprintf("%s %d", service, s.LateAnswers[service]))
	}
	fmt.Println("longest time without an answer, s:", strings.Join(gaps, " "))
	fmt.Println("late answers:", strings.Join(late, " "))
}

func fetchRuns(control string) ([]backend.Run, error) {
	response, err := http.Get("http://" + control + "/v1/runs")
	if err != nil {
		return nil, fmt.Errorf("fetch runs: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var runs []backend.Run
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return nil, fmt.Errorf("decode runs: %w", err)
	}
	return runs, nil
}
