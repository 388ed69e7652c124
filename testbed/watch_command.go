package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"peridotcrank.dev/admin/client"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
	"peridotcrank.dev/testbed/watch"
)

// watcherName is the client name under which the commands read from the table service.
const watcherName = "testbed-watch"

type versionsCommand struct {
	Callers   []string      `long:"callers" required:"true" description:"IP:port for callers of an entry process; repeat for more"`
	Admin     []string      `long:"admin" required:"true" description:"IP:port of its administration API, in the same order"`
	TokenFile string        `long:"token-file" required:"true" description:"file with the operator's token"`
	Interval  time.Duration `long:"interval" default:"100ms" description:"time between samples"`
}

// Execute samples the configuration in force until SIGTERM or SIGINT. It fails when a
// process reverted to an older configuration, or when no ready process was sampled.
func (c *versionsCommand) Execute([]string) error {
	entries, err := c.entries()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	versions := watch.NewVersionCheck()
	for ctx.Err() == nil {
		versions.Sample(ctx, entries)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	fmt.Printf("configuration samples of ready processes: %d, older than in force: %d\n", versions.Samples, len(versions.Findings))
	for _, finding := range versions.Findings {
		fmt.Println("BROKEN: an accepted configuration never reverts:", finding)
	}
	if len(versions.Findings) > 0 || versions.Samples == 0 {
		return errors.New("a guarantee was broken or nothing was sampled")
	}
	return nil
}

func (c *versionsCommand) entries() ([]watch.Entry, error) {
	if len(c.Callers) != len(c.Admin) {
		return nil, errors.New("--callers and --admin must be given the same number of times")
	}
	token, err := os.ReadFile(c.TokenFile)
	if err != nil {
		return nil, fmt.Errorf("read token: %w", err)
	}
	var entries []watch.Entry
	for i, address := range c.Admin {
		api, err := client.New(client.Options{Server: "http://" + address, Token: strings.TrimSpace(string(token))})
		if err != nil {
			return nil, fmt.Errorf("client of %s: %w", address, err)
		}
		entries = append(entries, watch.Entry{Callers: c.Callers[i], Admin: api})
	}
	return entries, nil
}

type phaseCommand struct {
	Platform string        `long:"platform" default:"127.0.0.1:20001" description:"IP:port of the platform"`
	Plan     string        `long:"plan" required:"true" description:"plan that moves VMs"`
	Phase    string        `long:"phase" required:"true" description:"phase to wait for; serving is a reserved VM before its move, rebooting a part of moved"`
	All      bool          `long:"all" description:"report every VM of the plan in this or a later phase, until SIGTERM or the timeout"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"longest time to wait"`
}

// Execute waits until a VM of the plan has reached the phase, and prints VM, phase, driver
// and the time in ms since the Unix epoch. It fails when no VM does so before the timeout.
func (c *phaseCommand) Execute([]string) error {
	table, err := store.New("http://"+c.Platform, watcherName, store.Options{})
	if err != nil {
		return fmt.Errorf("client of the table service: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	found := false
	filter := watch.MoveFilter{Plan: fleet.PlanID(c.Plan), Phase: fleet.Phase(c.Phase), IncludeLater: c.All}
	err = watch.WatchPhases(ctx, table, filter, func(m watch.Move) bool {
		found = true
		fmt.Println(m.VM.ID, m.Phase(), m.Driver, time.Now().UnixMilli())
		return c.All
	})
	if err == nil && !found {
		err = fmt.Errorf("no VM of plan %s reached phase %s", c.Plan, c.Phase)
	}
	return err
}
