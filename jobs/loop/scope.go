package loop

import (
	"runtime/debug"
	"time"
)

// Runner runs functions one at a time.
type Runner interface {
	Post(f func())
	After(delay time.Duration, f func())
}

// Scope runs functions of one component on a loop. A panic in one of them is
// reported and does not end the loop; the component's state may be inconsistent
// after it, so that the component must be replaced.
type Scope struct {
	loop *Loop
	// failed is called on the loop.
	failed func(reason any, stack []byte)
}

var (
	_ Runner = (*Loop)(nil)
	_ Runner = (*Scope)(nil)
)

// Scope returns a scope on the loop; failed hears of panics, on the loop.
func (l *Loop) Scope(failed func(reason any, stack []byte)) *Scope {
	return &Scope{l, failed}
}

// Post runs f on the loop.
func (s *Scope) Post(f func()) { s.loop.Post(func() { s.Do(f) }) }

// After runs f on the loop after a delay.
func (s *Scope) After(delay time.Duration, f func()) {
	s.loop.After(delay, func() { s.Do(f) })
}

// Do runs f at once; the caller is on the loop.
func (s *Scope) Do(f func()) {
	defer func() {
		if reason := recover(); reason != nil {
			s.failed(reason, debug.Stack())
		}
	}()
	f()
}
