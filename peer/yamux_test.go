package peer

import (
	"testing"

	"peridotcrank.dev/fleet"
)

// Guards against a session that reads the node's incarnation, which is guarded
// by a lock, while the node rejoins. The race detector reports it.
func TestSessionSettingsDoNotReadTheIncarnation(t *testing.T) {
	n := &Node{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for incarnation := range uint64(1000) {
			n.adoptSelf(fleet.Member{Incarnation: incarnation + 1})
		}
	}()
	for range 1000 {
		yamuxConfig(&n.config)
	}
	<-done
}
