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
	lastError := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			lastError = "" // An operator who asks again hears again.
		case <-ticker.C:
		}
		next, err := settings.Load(p.currentSettings().File)
		switch {
		case err == nil:
			lastError = ""
			p.applySettings(next)
		case err.Error() != lastError:
			lastError = err.Error()
			p.log.Record(eventlog.SettingsRefused, eventlog.Fields{"error": err})
		}
	}
}

// currentSettings returns the settings in force.
func (p *Process) currentSettings() settings.Settings { return *p.settings.Load() }

// applySettings puts times and leases in force; they apply to shards that are taken
// from now on. The name and the addresses stay until the process starts anew.
func (p *Process) applySettings(next settings.Settings) {
	previous := p.currentSettings()
	if next == previous {
		return
	}
	applied := previous
	applied.Timing, applied.Leases = next.Timing, next.Leases
	restart := next != applied
	if applied == previous && p.lastReported == next {
		return
	}
	p.lastReported = next
	p.settings.Store(&applied)
	p.log.Record(eventlog.SettingsReloaded, eventlog.Fields{
		"max_hold": applied.Leases.MaxHold.String(), "grace": applied.Timing.Grace.String(),
		"keep_ended": applied.Timing.KeepEnded.String(), "needs_restart": restart,
	})
}
