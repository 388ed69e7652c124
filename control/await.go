package control

import (
	"context"
	"time"
)

// awaitInterval is the time between two looks at the state in waits of operators' calls.
const awaitInterval = 20 * time.Millisecond

// Await waits until the state satisfies a condition.
func (c *Controller) Await(ctx context.Context, condition func(*State) bool) error {
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for !condition(c.State()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// awaitMembers waits until the members row has changed from a version.
func (c *Controller) awaitMembers(ctx context.Context, version uint64) error {
	c.Refresh()
	return c.Await(ctx, func(s *State) bool { return s.MembersVersion != version })
}
