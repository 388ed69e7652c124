package jobproc

import (
	"context"
	"os"
	"time"

	"peridotcrank.dev/eventlog"
	settings "peridotcrank.dev/settings/jobs"
)

// reloadInterval is the polling interval of the settings file, which can change
// without a signal.
const reloadInterval = 2 * time.Second

// watchSettings applies changes of the settings file until ctx is cancelled. It reads
// the file at each signal and at each interval. Invalid settings leave the current
// ones unchanged; the same error is not logged twice in a row.
func (p *Process) watchSettings(ctx context.Context, signals <-chan os.Signal, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastError := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			lastError = "" // A signal logs the same error again.
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

// currentSettings returns the settings that are currently in effect.
func (p *Process) currentSettings() settings.Settings { return *p.settings.Load() }

// applySettings applies new timing, lease and scheduling settings. They take effect for shards
// acquired from now on. Changes of the name and the addresses need a restart.
func (p *Process) applySettings(next settings.Settings) {
	previous := p.currentSettings()
	if next == previous {
		return
	}
	applied := previous
	applied.Timing, applied.Leases, applied.Scheduling = next.Timing, next.Leases, next.Scheduling
	restart := next != applied
	if applied == previous && p.lastReported == next {
		return
	}
	p.lastReported = next
	p.settings.Store(&applied)
	p.log.Record(eventlog.SettingsReloaded, eventlog.Fields{
		"max_hold": applied.Leases.MaxHold.String(), "grace": applied.Timing.Grace.String(),
		"keep_ended": applied.Timing.KeepEnded.String(), "learned_durations": applied.Scheduling.LearnedDurations, "needs_restart": restart,
	})
}
