package peer

import "fmt"

// Class is a traffic class. Each class has its own stream and send queue, so
// that bulk messages of one class do not delay the other class.
type Class uint8

// Traffic classes. Their numbers are part of the protocol.
const (
	ClassControl Class = iota // Heartbeats, configuration, rows, drains, slots.
	ClassClaims               // Claims of idempotency keys and their recovery.

	classCount
)

// String returns the name of the class.
func (c Class) String() string {
	switch c {
	case ClassControl:
		return "control"
	case ClassClaims:
		return "claims"
	default:
		return fmt.Sprintf("class(%d)", uint8(c))
	}
}
