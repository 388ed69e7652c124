package jobs

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings/strict"
)

// Settings holds the settings of a process that runs jobs.
type Settings struct {
	// File is the file that the settings were read from; empty when there was none.
	File string
	// Member identifies the process. Required.
	Member fleet.MemberID
	// Zone is the availability zone of the process. Required.
	Zone fleet.ZoneID
	// CPU is the number of processor cores that the process is allowed to use. Required.
	CPU      float64
	Listen   Listen
	Platform Platform
	Leases   Leases
	Timing   Timing
	Keys     Keys
	// Scheduling is optional.
	Scheduling Scheduling
	// Limits is optional.
	Limits Limits
}

// Listen holds the addresses on which the process listens. All are required.
type Listen struct {
	Callers netip.AddrPort // HTTP requests of callers.
	Ready   netip.AddrPort // Readiness endpoint.
	Peers   netip.AddrPort // Calls from other processes.
	Metrics netip.AddrPort // Metrics in Prometheus format.
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Store    netip.AddrPort // Table service. Required.
	Machines string         // Service that lists machines and takes orders for them, HOST:PORT; empty for none.
	Advice   string         // Service that advises on workers, HOST:PORT; empty for none.
}

// Leases holds the limits of leases of workers.
type Leases struct {
	// MaxHold is the longest lease that a worker accepts. Required.
	MaxHold time.Duration
}

// Timing holds the durations that the platform's contract defines.
type Timing struct {
	Grace                 time.Duration // Time between SIGTERM and SIGKILL. Required.
	KeepEnded             time.Duration // How long ended jobs stay visible to callers. Required.
	Maintenance           time.Duration // Duration of a VM's maintenance. Required.
	Move                  time.Duration // Duration of a VM's move. Required.
	DisruptionNotice      time.Duration // How long a task counts as disrupted after a disruption. Required.
	InterferenceTolerance time.Duration // How long other tasks are allowed to make a serving task miss its target. Required.
	Pace                  time.Duration // Time until a changed pace takes effect. Required.
	Stop                  time.Duration // Longest time that a worker takes to stop a run. Required.
}

// Keys holds the limits of the keys of callers.
type Keys struct {
	// Revoke is the time after which a removed key must not be accepted any more. Required
	// if the settings have keys; 0 otherwise, for no limit.
	Revoke time.Duration
}

// Scheduling holds the choices of the scheduler.
type Scheduling struct {
	// LearnedDurations replaces the regression over declared estimates by distributions
	// that are learned from finished runs. Default false.
	LearnedDurations bool
	// AttemptRecords places attempts by what earlier runs say about the workers, in queues
	// with an attempts limit. Default false.
	AttemptRecords bool
}

// Limits bounds what the open connections of callers and peers may take of the VM. The shares of
// the listeners follow from them.
type Limits struct {
	Memory      int64 // Memory of the process, 32 MiB to 1 TiB. Default 284 MiB.
	Descriptors int   // File descriptors of the process, 256 to 1,000,000. Default 4,100.
	HeaderBytes int64 // Request header, 1 KiB to 1 MiB. Default 64 KiB.
	// Connections is the number of callers' connections that are open at a time, 1 to Descriptors.
	// Default: half of Descriptors.
	Connections int
}

const (
	defaultMemory      = 284 << 20
	defaultDescriptors = 4100
	defaultHeaderBytes = 64 << 10

	minMemory, maxMemory           = 32 << 20, 1 << 40
	minDescriptors, maxDescriptors = 256, 1_000_000
	minHeaderBytes, maxHeaderBytes = 1 << 10, 1 << 20
)

// Load reads and checks a settings file. The error lists all faults of the file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(file, data)
	s.File = file
	return s, err
}

// Parse decodes and checks the contents of a settings file. The file name only
// appears in error messages.
func Parse(file string, data []byte) (Settings, error) {
	document, root := strict.Parse(file, data)
	s := Settings{Limits: Limits{Memory: defaultMemory, Descriptors: defaultDescriptors, HeaderBytes: defaultHeaderBytes}}
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
	strict.Required(root, "cpu", &s.CPU, strict.Float())
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
	scheduling := root.Map("scheduling")
	strict.Optional(scheduling, "learned_durations", &s.Scheduling.LearnedDurations, strict.Bool())
	strict.Optional(scheduling, "attempt_records", &s.Scheduling.AttemptRecords, strict.Bool())
	decodeLimits(root.Map("limits"), &s.Limits)
	timing := root.Map("timing")
	for key, target := range map[string]*time.Duration{
		"grace": &s.Timing.Grace, "keep_ended": &s.Timing.KeepEnded, "upkeep": &s.Timing.Maintenance, "move": &s.Timing.Move,
		"notice": &s.Timing.DisruptionNotice, "harm": &s.Timing.InterferenceTolerance, "pace": &s.Timing.Pace,
		"stop": &s.Timing.Stop,
	} {
		strict.Required(timing, key, target, strict.Duration())
	}
	if keys := root.Map("keys"); keys.Present() {
		strict.Required(keys, "revoke", &s.Keys.Revoke, strict.Duration())
	}
}

func decodeLimits(m *strict.Map, l *Limits) {
	strict.Optional(m, "memory", &l.Memory, strict.Bytes())
	strict.Optional(m, "descriptors", &l.Descriptors, strict.Int())
	strict.Optional(m, "header_bytes", &l.HeaderBytes, strict.Bytes())
	l.Connections = l.Descriptors / 2
	strict.Optional(m, "connections", &l.Connections, strict.Int())
}

// minRevoke is the smallest accepted keys.revoke. It leaves time for a read of the
// configuration that waits 1 s for changes, and for the next one.
const minRevoke = 3 * time.Second

// minMaxHold is the smallest accepted max_hold. It leaves time for several
// renewals within a lease.
const minMaxHold = time.Second

func check(document *strict.Document, s Settings) {
	if s.Leases.MaxHold < minMaxHold && !document.HasFault("leases.max_hold") {
		document.Add("leases.max_hold", fmt.Sprintf("%v is too short for renewals", s.Leases.MaxHold), fmt.Sprintf("at least %v", minMaxHold))
	}
	if s.Keys.Revoke != 0 && s.Keys.Revoke < minRevoke && !document.HasFault("keys.revoke") {
		document.Add("keys.revoke", fmt.Sprintf("%v is too short for reads of the configuration", s.Keys.Revoke), fmt.Sprintf("at least %v", minRevoke))
	}
	if s.CPU <= 0 && !document.HasFault("cpu") {
		document.Add("cpu", fmt.Sprintf("%v cores are not positive", s.CPU), "a positive number of cores")
	}
	checkLimits(document, s.Limits)
	for path, value := range map[string]time.Duration{"timing.grace": s.Timing.Grace, "timing.keep_ended": s.Timing.KeepEnded} {
		if value <= 0 && !document.HasFault(path) {
			document.Add(path, fmt.Sprintf("%v is not positive", value), "a positive duration")
		}
	}
}

func checkLimits(document *strict.Document, l Limits) {
	for _, limit := range []struct {
		path               string
		value, least, most int64
		unit               string
	}{
		{"limits.memory", l.Memory, minMemory, maxMemory, "B"},
		{"limits.descriptors", int64(l.Descriptors), minDescriptors, maxDescriptors, "descriptors"},
		{"limits.header_bytes", l.HeaderBytes, minHeaderBytes, maxHeaderBytes, "B"},
		{"limits.connections", int64(l.Connections), 1, int64(l.Descriptors), "connections"},
	} {
		if (limit.value < limit.least || limit.value > limit.most) && !document.HasFault(limit.path) {
			document.Add(limit.path, fmt.Sprintf("%d %s is out of range", limit.value, limit.unit), fmt.Sprintf("%d to %d", limit.least, limit.most))
		}
	}
}
