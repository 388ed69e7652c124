package loop

import (
	"runtime/debug"
	"time"
)

// Runner runs functions one at a time, immediately or after a delay.
type Runner interface {
	Post(f func())
	After(delay time.Duration, f func())
}

// Scope runs the functions of one component on a loop. A panic in one of them is reported
// and does not end the loop. The component must then be replaced, because its state may
// be inconsistent.
type Scope struct {
	loop *Loop
	// onPanic is called on the loop.
	onPanic func(reason any, stack []byte)
}

var (
	_ Runner = (*Loop)(nil)
	_ Runner = (*Scope)(nil)
)

// Scope returns a scope on the loop. onPanic is called on the loop with each panic.
func (l *Loop) Scope(onPanic func(reason any, stack []byte)) *Scope {
	return &Scope{l, onPanic}
}

// Post runs f on the loop.
func (s *Scope) Post(f func()) { s.loop.Post(func() { s.Do(f) }) }

// After runs f on the loop after a delay.
func (s *Scope) After(delay time.Duration, f func()) {
	s.loop.After(delay, func() { s.Do(f) })
}

// Do runs f immediately. It must be called on the loop.
func (s *Scope) Do(f func()) {
	defer func() {
		if reason := recover(); reason != nil {
			s.onPanic(reason, debug.Stack())
		}
	}()
	f()
}
