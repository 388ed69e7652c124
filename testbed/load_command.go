package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"peridotcrank.dev/testbed/load"
	"peridotcrank.dev/testbed/site"
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

// Execute sends the load until its length is over or SIGTERM arrives, then prints the
// requests by outcome.
func (c *loadCommand) Execute([]string) error {
	s, err := site.ByName(c.Site)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	report := load.Run(ctx, load.Options{
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
