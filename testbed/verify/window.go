package verify

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"peridotcrank.dev/testbed/backend"
	"peridotcrank.dev/testbed/load"
)

// Window is a period, in microseconds since the Unix epoch.
type Window struct {
	From, To int64
}

// Contains reports whether a time is in the window, including both limits.
func (w Window) Contains(at int64) bool { return at >= w.From && at <= w.To }

// SilentPeriod is a window in which a VM, or the entry process at an address, must cause no request.
type SilentPeriod struct {
	Name   string
	Window Window
}

var errSilentPeriod = errors.New("use NAME@FROM-TO with times in milliseconds since the Unix epoch; TO may be absent")

// UnmarshalFlag parses the form NAME@FROM-TO, with times in milliseconds since the Unix
// epoch. Without TO the window has no end.
func (s *SilentPeriod) UnmarshalFlag(text string) error {
	name, period, found := strings.Cut(text, "@")
	from, to, _ := strings.Cut(period, "-")
	if !found || name == "" {
		return fmt.Errorf("%q: %w", text, errSilentPeriod)
	}
	s.Name, s.Window.To = name, math.MaxInt64
	var err error
	if s.Window.From, err = parseMillisAsMicros(from); err != nil {
		return fmt.Errorf("%q: %w", text, errSilentPeriod)
	}
	if to == "" {
		return nil
	}
	if s.Window.To, err = parseMillisAsMicros(to); err != nil || s.Window.To < s.Window.From {
		return fmt.Errorf("%q: %w", text, errSilentPeriod)
	}
	return nil
}

func parseMillisAsMicros(milliseconds string) (int64, error) {
	n, err := strconv.ParseInt(milliseconds, 10, 64)
	return n * time.Millisecond.Microseconds(), err
}

// CheckVMSilent reports each request that a VM started within its window, for
// example after it was announced as leaving.
func (r *Result) CheckVMSilent(runs []backend.Run, s SilentPeriod) {
	for _, run := range runs {
		if run.VM == s.Name && s.Window.Contains(run.Start) {
			r.addFinding("a VM receives no new request when it must not", "%s started request %s of %s %d ms into the window",
				run.VM, run.Request, run.Service, (run.Start-s.Window.From)/time.Millisecond.Microseconds())
		}
	}
}

// CheckEntrySilent reports each request that an entry process caused a backend
// server to start within the window, for example before it has rejoined.
func (r *Result) CheckEntrySilent(report *load.Report, runs []backend.Run, s SilentPeriod) {
	sentTo := make(map[string]string)
	for _, record := range report.Records {
		for i, entry := range record.Entries {
			sentTo[record.SubmissionRequest(i)] = entry
		}
	}
	for _, run := range runs {
		if sentTo[run.Request] == s.Name && s.Window.Contains(run.Start) {
			r.addFinding("an entry process without a valid view sends nothing", "%s sent request %s to %s %d ms into the window",
				s.Name, run.Request, run.VM, (run.Start-s.Window.From)/time.Millisecond.Microseconds())
		}
	}
}
