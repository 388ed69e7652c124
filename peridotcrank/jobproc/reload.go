package jobproc

import (
	"context"
	"os"
	"time"

	"peridotcrank.dev/eventlog"
	settings "peridotcrank.dev/settings/jobs"
)

// reloadInterval is the time between looks at the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// watchSettings puts changes of the settings file in force until ctx ends. The
// file is read again at each signal and at intervals.
func (p *Process) watchSettings(ctx context.Context, signals <-chan os.Signal, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	refused := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			refused = "" // An operator who asks again hears again.
		case <-ticker.C:
		}
		next, err := settings.Load(p.live().File)
		switch {
		case err == nil:
			refused = ""
			p.reload(next)
		case err.Error() != refused:
			refused = err.Error()
			p.log.Record(eventlog.SettingsRefused, eventlog.Fields{"error": err})
		}
	}
}

// live returns the settings in force.
func (p *Process) live() settings.Settings { return *p.settings.Load() }

// reload puts times and leases in force; they apply to shards that are taken
// from now on. The name and the addresses stay until the process starts anew.
func (p *Process) reload(next settings.Settings) {
	former := p.live()
	if next == former {
		return
	}
	applied := former
	applied.Timing, applied.Leases = next.Timing, next.Leases
	restart := next != applied
	if applied == former && p.restartNoted == next {
		return
	}
	p.restartNoted = next
	p.settings.Store(&applied)
	p.log.Record(eventlog.SettingsReloaded, eventlog.Fields{
		"max_hold": applied.Leases.MaxHold.String(), "grace": applied.Timing.Grace.String(),
		"keep_ended": applied.Timing.KeepEnded.String(), "needs_restart": restart,
	})
}
