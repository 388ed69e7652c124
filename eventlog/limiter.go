package eventlog

import (
	"cmp"
	"slices"
	"time"
)

// maxRareLines is the number of lines per second up to which an event is rare.
const maxRareLines = 10

// limiter limits the log lines per event code and second, so that a fault that
// affects every request does not fill the log.
type limiter struct {
	perSecond int // 0 for no limit.
	second    time.Time
	lines     map[Code]int // In that second.
	previous  map[Code]int // In the last second with events before it.
}

// suppressedLines counts the log lines of an event code that were not written
// within one second.
type suppressedLines struct {
	code  Code
	lines int
}

func newLimiter(perSecond int) *limiter {
	return &limiter{perSecond: perSecond, lines: map[Code]int{}, previous: map[Code]int{}}
}

// permit counts an event and reports whether its line may be written. At the
// first event of a second, it also returns the lines that were suppressed in
// the last second with events.
func (l *limiter) permit(code Code, now time.Time) (bool, []suppressedLines) {
	var suppressed []suppressedLines
	if second := now.Truncate(time.Second); !second.Equal(l.second) {
		suppressed = l.collectSuppressed()
		l.second = second
		l.lines, l.previous = l.previous, l.lines
		clear(l.lines)
	}
	l.lines[code]++
	return l.perSecond == 0 || code == LogLinesLimited || l.lines[code] <= l.perSecond, suppressed
}

// isRare reports whether an event had at most maxRareLines in this second and in the
// previous one. Reports of lines left out are rare: there is one per event and second.
func (l *limiter) isRare(code Code) bool {
	if code == LogLinesLimited || code == LogLinesDropped {
		return true
	}
	return max(l.lines[code], l.previous[code]) <= maxRareLines
}

func (l *limiter) collectSuppressed() (suppressed []suppressedLines) {
	if l.perSecond == 0 {
		return nil
	}
	for code, lines := range l.lines {
		if lines > l.perSecond {
			suppressed = append(suppressed, suppressedLines{code, lines - l.perSecond})
		}
	}
	sortByCode(suppressed)
	return suppressed
}

func sortByCode(lines []suppressedLines) {
	slices.SortFunc(lines, func(a, b suppressedLines) int { return cmp.Compare(a.code, b.code) })
}
