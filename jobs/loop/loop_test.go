package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against functions that run concurrently or out of order, and against callers
// that block forever on a loop that has ended.
func TestLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		l := New()
		go l.Run(ctx)
		var order []int
		l.After(time.Second, func() { order = append(order, 2) })
		l.Post(func() { order = append(order, 1) })
		time.Sleep(2 * time.Second)
		assert.Assert(t, l.Call(context.Background(), func() { order = append(order, 3) }))
		assert.DeepEqual(t, order, []int{1, 2, 3})
		cancel()
		synctest.Wait()
		assert.Assert(t, !l.Call(context.Background(), func() { t.Error("the loop has ended") }))
		l.Post(func() { t.Error("the loop has ended") })
	})
}

// Guards against a panic in one component that ends the loop shared by all components.
func TestScopeContainsPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		l := New()
		go l.Run(ctx)
		var reasons []any
		scope := l.Scope(func(reason any, stack []byte) {
			assert.Assert(t, len(stack) > 0)
			reasons = append(reasons, reason)
		})
		scope.Post(func() { panic("posted") })
		scope.After(time.Second, func() { panic("delayed") })
		time.Sleep(2 * time.Second)
		assert.Assert(t, l.Call(ctx, func() { scope.Do(func() { panic("direct") }) }))
		assert.DeepEqual(t, reasons, []any{"posted", "delayed", "direct"})
	})
}
