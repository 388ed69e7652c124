package peer

import (
	"testing"

	"peridotcrank.dev/fleet"
)

// Guards against a data race: creating a session reads the node's incarnation
// without its lock while the node rejoins. Only the race detector finds it.
func TestYamuxConfigDoesNotReadIncarnation(t *testing.T) {
	n := &Node{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for incarnation := range uint64(1000) {
			n.updateOwnIncarnation(fleet.Member{Incarnation: incarnation + 1})
		}
	}()
	for range 1000 {
		yamuxConfig(&n.config)
	}
	<-done
}
