package membership

import (
	"errors"
	"time"
)

// Defaults of Params.
const (
	DefaultHeartbeatInterval = 250 * time.Millisecond
	DefaultSuspectAfter      = 2 * time.Second
	DefaultValidFor          = 3 * time.Second
	// DefaultPauseAfter is four heartbeat intervals: a shorter gap between two calls
	// is scheduling delay, a longer one means that this process was paused.
	DefaultPauseAfter = time.Second
)

// Params holds the timeouts of a Tracker.
type Params struct {
	// HeartbeatInterval is the time between heartbeats to each peer.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without a heartbeat after which a member is suspected.
	SuspectAfter time.Duration
	// ValidFor is the time for which a view is valid after its last confirmation.
	ValidFor time.Duration
	// PauseAfter is the gap between calls of the Tracker that counts as a pause
	// of this process. Missing heartbeats during a pause raise no suspicion.
	PauseAfter time.Duration
}

// DefaultParams returns the default timeouts.
func DefaultParams() Params {
	return Params{
		HeartbeatInterval: DefaultHeartbeatInterval, SuspectAfter: DefaultSuspectAfter,
		ValidFor: DefaultValidFor, PauseAfter: DefaultPauseAfter,
	}
}

// Validate returns an error for timeouts that contradict each other.
func (p Params) Validate() error {
	switch {
	case p.HeartbeatInterval <= 0:
		return errors.New("membership: HeartbeatInterval must be positive")
	case p.SuspectAfter <= p.HeartbeatInterval:
		return errors.New("membership: SuspectAfter must exceed HeartbeatInterval")
	case p.ValidFor <= p.HeartbeatInterval:
		return errors.New("membership: ValidFor must exceed HeartbeatInterval")
	case p.PauseAfter <= p.HeartbeatInterval || p.PauseAfter > p.SuspectAfter:
		return errors.New("membership: PauseAfter must lie between HeartbeatInterval and SuspectAfter")
	}
	return nil
}
