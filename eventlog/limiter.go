package eventlog

import (
	"cmp"
	"slices"
	"time"
)

// limiter limits the log lines per event code and second, so that a fault that
// affects every request does not fill the log.
type limiter struct {
	perSecond int
	second    time.Time
	lines     map[Code]int
}

// suppressedLines counts the log lines of an event code that were not written
// within one second.
type suppressedLines struct {
	code  Code
	lines int
}

func newLimiter(perSecond int) *limiter {
	return &limiter{perSecond: perSecond, lines: map[Code]int{}}
}

// permit counts an event and reports whether its line may be written. At the
// first event of a second, it also returns the lines that were suppressed in
// the last second with events.
func (l *limiter) permit(code Code, now time.Time) (bool, []suppressedLines) {
	if l.perSecond == 0 || code == LogLinesLimited {
		return true, nil
	}
	var suppressed []suppressedLines
	if second := now.Truncate(time.Second); !second.Equal(l.second) {
		suppressed = l.collectSuppressed()
		l.second = second
		clear(l.lines)
	}
	l.lines[code]++
	return l.lines[code] <= l.perSecond, suppressed
}

func (l *limiter) collectSuppressed() (suppressed []suppressedLines) {
	for code, lines := range l.lines {
		if lines > l.perSecond {
			suppressed = append(suppressed, suppressedLines{code, lines - l.perSecond})
		}
	}
	slices.SortFunc(suppressed, func(a, b suppressedLines) int { return cmp.Compare(a.code, b.code) })
	return suppressed
}
