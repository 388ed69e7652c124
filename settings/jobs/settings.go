package jobs

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings/strict"
)

// Settings are the settings of one process.
type Settings struct {
	// File is where the settings were read from; empty when they were not read from a file.
	File string
	// Member identifies the process. Required.
	Member fleet.MemberID
	// Zone is the availability zone of the process. Required.
	Zone fleet.ZoneID
	// CPU is the processor that the process may use, in cores. Required.
	CPU      float64
	Listen   Listen
	Platform Platform
	Leases   Leases
	Timing   Timing
}

// Listen holds the addresses of the process. All are required.
type Listen struct {
	Callers netip.AddrPort // HTTP for callers.
	Ready   netip.AddrPort // Readiness.
	Peers   netip.AddrPort // Calls of other processes.
	Metrics netip.AddrPort // Metrics in Prometheus format.
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Store    netip.AddrPort // Table service. Required.
	Machines string         // List and orders of machines, HOST:PORT; empty for none.
	Advice   string         // Advice on workers, HOST:PORT; empty for none.
}

// Leases bound the leases of workers.
type Leases struct {
	// MaxHold is the longest lease that a worker accepts. Required.
	MaxHold time.Duration
}

// Timing holds times that the platform's contract sets.
type Timing struct {
	Grace     time.Duration // From SIGTERM to SIGKILL. Required.
	KeepEnded time.Duration // How long ended jobs are shown. Required.
	Upkeep    time.Duration // Duration of a VM's maintenance. Required.
	Move      time.Duration // Duration of a VM's move. Required.
	Notice    time.Duration // How long a disrupted task counts as disrupted. Required.
	Harm      time.Duration // How long a serving task may miss its target because of others. Required.
	Pace      time.Duration // When a pace takes effect. Required.
	Stop      time.Duration // How long a worker takes to stop a run, at most. Required.
}

// Load reads and checks a settings file. The error lists all faults.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(file, data)
	s.File = file
	return s, err
}

// Parse checks the contents of a settings file; the name serves only the messages.
func Parse(file string, data []byte) (Settings, error) {
	document, root := strict.Parse(file, data)
	var s Settings
	if root.Present() {
		decode(root, &s)
		check(document, s)
	}
	if err := document.Finish(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func decode(root *strict.Map, s *Settings) {
	strict.Required(root, "member", &s.Member, strict.Name[fleet.MemberID]())
	strict.Required(root, "zone", &s.Zone, strict.Name[fleet.ZoneID]())
	strict.Required(root, "cpu", &s.CPU, strict.Fraction())
	listen := root.Map("listen")
	strict.Required(listen, "callers", &s.Listen.Callers, strict.Address())
	strict.Required(listen, "ready", &s.Listen.Ready, strict.Address())
	strict.Required(listen, "peers", &s.Listen.Peers, strict.Address())
	strict.Required(listen, "metrics", &s.Listen.Metrics, strict.Address())
	platform := root.Map("platform")
	strict.Required(platform, "store", &s.Platform.Store, strict.Address())
	strict.Optional(platform, "machines", &s.Platform.Machines, strict.Text())
	strict.Optional(platform, "advice", &s.Platform.Advice, strict.Text())
	leases := root.Map("leases")
	strict.Required(leases, "max_hold", &s.Leases.MaxHold, strict.Duration())
	timing := root.Map("timing")
	for key, target := range map[string]*time.Duration{
		"grace": &s.Timing.Grace, "keep_ended": &s.Timing.KeepEnded, "upkeep": &s.Timing.Upkeep, "move": &s.Timing.Move,
		"notice": &s.Timing.Notice, "harm": &s.Timing.Harm, "pace": &s.Timing.Pace,
		"stop": &s.Timing.Stop,
	} {
		strict.Required(timing, key, target, strict.Duration())
	}
}

// minHold leaves time for several renewals within a lease.
const minHold = time.Second

func check(document *strict.Document, s Settings) {
	if s.Leases.MaxHold < minHold && !document.Faulty("leases.max_hold") {
		document.Add("leases.max_hold", fmt.Sprintf("%v is too short for renewals", s.Leases.MaxHold), fmt.Sprintf("at least %v", minHold))
	}
	if s.CPU <= 0 && !document.Faulty("cpu") {
		document.Add("cpu", fmt.Sprintf("%v cores are not positive", s.CPU), "a positive number of cores")
	}
	for path, value := range map[string]time.Duration{"timing.grace": s.Timing.Grace, "timing.keep_ended": s.Timing.KeepEnded} {
		if value <= 0 && !document.Faulty(path) {
			document.Add(path, fmt.Sprintf("%v is not positive", value), "a positive duration")
		}
	}
}
