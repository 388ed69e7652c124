// Package loop provides an event loop that serializes access to the control state of a
// process on one goroutine.
//
// Functions posted to a [Loop] run one after another, so that control state needs no
// locks. Blocking calls are made on other goroutines, which post their results.
package loop

import (
	"context"
	"time"
)

const queueLength = 8192

// Loop runs functions one at a time.
type Loop struct {
	queue chan func()
	done  chan struct{}
}

// New returns a loop. Call Run to execute the posted functions.
func New() *Loop {
	return &Loop{queue: make(chan func(), queueLength), done: make(chan struct{})}
}

// Run executes posted functions in order until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case f := <-l.queue:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// Post queues f to run on the loop; f is dropped if the loop has ended. Functions that
// already run on the loop must use After instead, because Post blocks while the queue
// is full.
func (l *Loop) Post(f func()) {
	select {
	case l.queue <- f:
	case <-l.done:
	}
}

// After runs f on the loop after a delay.
func (l *Loop) After(delay time.Duration, f func()) {
	time.AfterFunc(delay, func() { l.Post(f) })
}

// Call runs f on the loop and waits until it has returned. It reports false when ctx or
// the loop ended first; f may still run after ctx has ended.
func (l *Loop) Call(ctx context.Context, f func()) bool {
	finished := make(chan struct{})
	select {
	case l.queue <- func() { f(); close(finished) }:
	case <-ctx.Done():
		return false
	case <-l.done:
		return false
	}
	select {
	case <-finished:
		return true
	case <-ctx.Done():
		return false
	case <-l.done:
		return false
	}
}
