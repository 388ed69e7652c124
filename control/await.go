package control

import (
	"context"
	"time"
)

// awaitPollInterval is the time between two checks of a condition that an
// operator's call waits for.
const awaitPollInterval = 20 * time.Millisecond

// Await waits until the state satisfies a condition. It returns the error of ctx
// if ctx ends first.
func (c *Controller) Await(ctx context.Context, condition func(*State) bool) error {
	ticker := time.NewTicker(awaitPollInterval)
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

// awaitMembers waits until the members row has a version other than the given one.
func (c *Controller) awaitMembers(ctx context.Context, version uint64) error {
	c.Refresh()
	return c.Await(ctx, func(s *State) bool { return s.MembersVersion != version })
}
