package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"peridotcrank.dev/testbed/backend"
	"peridotcrank.dev/testbed/load"
	"peridotcrank.dev/testbed/site"
	"peridotcrank.dev/testbed/verify"
)

type loadCommand struct {
	Site          string        `long:"site" default:"quokka" description:"quokka or castwork"`
	Entries       []string      `long:"entry" required:"true" description:"IP:port of an entry process for callers; repeat for more"`
	ServiceTime   time.Duration `long:"service-time" default:"20ms" description:"mean time of a request, as given to the backend servers"`
	Surge         time.Duration `long:"surge" description:"length of each service's surge; 0 sends the mean load"`
	Length        time.Duration `long:"length" default:"10s" description:"length of the run at the mean load"`
	Scale         float64       `long:"scale" default:"1" description:"factor on all rates"`
	OrderShare    float64       `long:"order-share" default:"0.5" description:"share of non-idempotent requests"`
	Resubmissions int           `long:"resubmissions" default:"2" description:"submissions of the same key after an unknown outcome"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Output        string        `long:"output" description:"file for the report in JSON"`
}

// Execute sends the load and prints what callers saw.
func (c *loadCommand) Execute([]string) error {
	s, err := site.ByName(c.Site)
	if err != nil {
		return err
	}
	report := load.Run(context.Background(), load.Options{
		Site: s, Entries: c.Entries, ServiceTime: c.ServiceTime, Surge: c.Surge, Length: c.Length, Scale: c.Scale,
		OrderShare: c.OrderShare, Resubmissions: c.Resubmissions, Seed: c.Seed,
	})
	if err := report.Print(os.Stdout); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	if c.Output == "" {
		return nil
	}
	document, err := json.Marshal(report)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(c.Output, document, 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

type verifyCommand struct {
	Report  string `long:"report" required:"true" description:"report of the load in JSON"`
	Control string `long:"control" default:"127.0.0.1:20002" description:"control endpoint of the backend servers"`
}

// Execute prints the broken guarantees and fails when there is one.
func (c *verifyCommand) Execute([]string) error {
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
	result := verify.Compare(&report, runs)
	fmt.Printf("callers' requests: %d, runs on backend servers: %d, starts above the slots of a VM: %d, broken guarantees: %d\n",
		len(report.Records), result.Runs, result.Overrun, len(result.Findings))
	for _, finding := range result.Findings {
		fmt.Printf("BROKEN: %s: %s\n", finding.Guarantee, finding.Detail)
	}
	if len(result.Findings) > 0 {
		return errors.New("a guarantee was broken")
	}
	return nil
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
