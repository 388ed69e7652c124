package eventlog

import (
	"cmp"
	"slices"
	"time"
)

// limiter bounds the lines of each event in a second, so that a fault that
// touches every request does not fill the log.
type limiter struct {
	perSecond int
	second    time.Time
	lines     map[Code]int
}

// leftOut is a number of lines that were not written.
type leftOut struct {
	code  Code
	lines int
}

func newLimiter(perSecond int) *limiter {
	return &limiter{perSecond: perSecond, lines: map[Code]int{}}
}

// permit counts an event and reports whether its line is written. With the
// first event of a second it returns what was left out in the one before.
func (l *limiter) permit(code Code, now time.Time) (bool, []leftOut) {
	if l.perSecond == 0 || code == LogLinesLimited {
		return true, nil
	}
	var left []leftOut
	if second := now.Truncate(time.Second); !second.Equal(l.second) {
		left = l.excess()
		l.second = second
		clear(l.lines)
	}
	l.lines[code]++
	return l.lines[code] <= l.perSecond, left
}

func (l *limiter) excess() (left []leftOut) {
	for code, lines := range l.lines {
		if lines > l.perSecond {
			left = append(left, leftOut{code, lines - l.perSecond})
		}
	}
	slices.SortFunc(left, func(a, b leftOut) int { return cmp.Compare(a.code, b.code) })
	return left
}
