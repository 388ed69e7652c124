package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"peridotcrank.dev/testbed/soak"
)

type soakCommand struct {
	Binary            string        `long:"binary" required:"yes" description:"program under test"`
	Dir               string        `long:"dir" required:"yes" description:"directory for settings and logs"`
	Seed              uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds             uint64        `long:"seeds" default:"1" description:"number of seeds"`
	Processes         int           `long:"processes" default:"4" description:"number of processes"`
	Pools             int           `long:"pools" default:"1" description:"number of pools, at most 16"`
	Workers           int           `long:"workers" default:"6" description:"number of workers of each pool"`
	WorkerCPU         int64         `long:"worker-cpu" default:"8000" description:"capacity of each worker in thousandths of a core"`
	Duration          time.Duration `long:"duration" default:"15s" description:"duration of the load with faults"`
	WithoutWorkspaces bool          `long:"without-workspaces" description:"configuration without workspaces; calls have no keys"`
	CapCPU            int64         `long:"cap-cpu" description:"cap of each workspace in thousandths of a core; none without"`
	FaultGap          time.Duration `long:"fault-gap" default:"1200ms" description:"mean time between the starts of two faults"`
	Faults            []string      `long:"fault" description:"kinds of faults; all without"`
	MaxTask           time.Duration `long:"max-task" default:"900ms" description:"longest duration of a task"`
	MaxLease          time.Duration `long:"max-lease" default:"6s" description:"longest lease of the workers"`
	Acknowledgements  string        `long:"acknowledgements" choice:"at-once" choice:"listed-once" choice:"never-listed" description:"when workers forget ends that occur after their acknowledgement; drawn without"`
}

// Execute runs a soak for each seed, prints its result and fails when one of them failed.
func (c *soakCommand) Execute([]string) error {
	var failed []error
	for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
		dir := filepath.Join(c.Dir, fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		options := soak.Options{
			Binary: c.Binary, Dir: dir, Seed: seed, Processes: c.Processes, Pools: c.Pools, Workers: c.Workers, WorkerCPU: c.WorkerCPU, Duration: c.Duration,
			CapCPU: c.CapCPU, WithoutWorkspaces: c.WithoutWorkspaces, FaultGap: c.FaultGap, Faults: c.Faults,
			Acknowledgements: c.Acknowledgements, MaxTask: c.MaxTask, MaxLease: c.MaxLease,
		}
		err := soak.Run(options)
		fmt.Printf("seed %d, acknowledgements %v: %v\n", seed, options.Reading(), err)
		if err != nil {
			failed = append(failed, err)
		}
	}
	return errors.Join(failed...)
}
