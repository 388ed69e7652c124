package jobproc

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotcrank.dev/eventlog"
	settings "peridotcrank.dev/settings/jobs"
)

const settingsText = `member: front-1
zone: a
cpu: 0.4
listen: {callers: "127.0.0.1:1", ready: "127.0.0.1:2", peers: "127.0.0.1:3", metrics: "127.0.0.1:4"}
platform: {store: "127.0.0.1:5"}
leases: {max_hold: 10s}
timing: {grace: 6s, keep_ended: 120s, upkeep: 2s, move: 1.5s, notice: 4500ms, harm: 4s, pace: 100ms, stop: 900ms}
`

// logBuffer collects log output written by another goroutine.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), `"event":"`+event+`"`)
}

// lines returns the lines of an event.
func (l *logBuffer) lines(event string) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, `"event":"`+event+`"`) {
			found = append(found, line)
		}
	}
	return found
}

// Guards against changes of the settings file that are not applied, with or without a
// signal, and against an invalid file that replaces the settings or ends the process.
func TestSettingsAreReadAgain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "jobs.yaml")
	write := func(text string) { assert.NilError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(settingsText)
	s, err := settings.Load(file)
	assert.NilError(t, err)
	out := &logBuffer{}
	log, err := eventlog.New(eventlog.Options{Process: "p", Writer: out})
	assert.NilError(t, err)
	p := &Process{log: log}
	p.settings.Store(&s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	go p.watchSettings(ctx, signals, 20*time.Millisecond)

	waitForEvents := func(event string, n int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if out.count(event) >= n {
				return poll.Success()
			}
			return poll.Continue("%d lines of %s", out.count(event), event)
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	}
	write(strings.Replace(settingsText, "max_hold: 10s", "max_hold: 6s", 1))
	waitForEvents("settings-reloaded", 1)
	assert.Equal(t, p.currentSettings().Leases.MaxHold, 6*time.Second)
	write("member: [")
	waitForEvents("settings-refused", 1)
	signals <- syscall.SIGHUP
	waitForEvents("settings-refused", 2)
	assert.Equal(t, p.currentSettings().Leases.MaxHold, 6*time.Second)
	write(strings.Replace(settingsText, "127.0.0.1:1", "127.0.0.1:9", 1))
	waitForEvents("settings-reloaded", 2)
	assert.Equal(t, p.currentSettings().Listen.Callers.Port(), uint16(1), "the address of a running listener changed")
	assert.Equal(t, p.currentSettings().Leases.MaxHold, 10*time.Second)
}
