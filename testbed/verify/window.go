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

// Contains reports whether a time is in the window. Both limits are part of it.
func (w Window) Contains(at int64) bool { return at >= w.From && at <= w.To }

// Subject is a VM or the address of an entry process, with a window.
type Subject struct {
	Name   string
	Window Window
}

var errSubject = errors.New("use NAME@FROM-TO with times in milliseconds since the Unix epoch; TO may be absent")

// UnmarshalFlag reads the form NAME@FROM-TO, with times in milliseconds since
// the Unix epoch. Without TO the window has no end.
func (s *Subject) UnmarshalFlag(text string) error {
	name, period, found := strings.Cut(text, "@")
	from, to, _ := strings.Cut(period, "-")
	if !found || name == "" {
		return fmt.Errorf("%q: %w", text, errSubject)
	}
	s.Name, s.Window.To = name, math.MaxInt64
	var err error
	if s.Window.From, err = micros(from); err != nil {
		return fmt.Errorf("%q: %w", text, errSubject)
	}
	if to == "" {
		return nil
	}
	if s.Window.To, err = micros(to); err != nil || s.Window.To < s.Window.From {
		return fmt.Errorf("%q: %w", text, errSubject)
	}
	return nil
}

func micros(milliseconds string) (int64, error) {
	n, err := strconv.ParseInt(milliseconds, 10, 64)
	return n * time.Millisecond.Microseconds(), err
}

// CheckVMSilent reports each request that a VM started within its window, for
// example after it was announced as leaving.
func (r *Result) CheckVMSilent(runs []backend.Run, s Subject) {
	for _, run := range runs {
		if run.VM == s.Name && s.Window.Contains(run.Start) {
			r.add("a VM receives no new request when it must not", "%s started request %s of %s %d ms into the window",
				run.VM, run.Request, run.Service, (run.Start-s.Window.From)/time.Millisecond.Microseconds())
		}
	}
}

// CheckEntrySilent reports each request that an entry process caused a backend
// server to start within the window, for example before it has rejoined.
func (r *Result) CheckEntrySilent(report *load.Report, runs []backend.Run, s Subject) {
	sentTo := make(map[string]string)
	for _, record := range report.Records {
		for i, entry := range record.Entries {
			sentTo[record.SubmissionRequest(i)] = entry
		}
	}
	for _, run := range runs {
		if sentTo[run.Request] == s.Name && s.Window.Contains(run.Start) {
			r.add("an entry process without a valid view sends nothing", "%s sent request %s to %s %d ms into the window",
				s.Name, run.Request, run.VM, (run.Start-s.Window.From)/time.Millisecond.Microseconds())
		}
	}
}
