package peer

import (
	"errors"
	"fmt"

	"peridotcrank.dev/fleet"
)

// Causes of an Error.
var (
	ErrClosed        = errors.New("node is closed")
	ErrUnknownMember = errors.New("member is not in the view")
	ErrNotConnected  = errors.New("no session")
	ErrQueueFull     = errors.New("send queue is full")
	ErrSessionLost   = errors.New("session ended")
	ErrTooLarge      = errors.New("message exceeds the frame limit")
	ErrBodyType      = errors.New("message type is not part of the protocol")
	ErrRemote        = errors.New("peer refused the request")
	ErrReplyType     = errors.New("reply has an unexpected type")
	ErrRefused       = errors.New("session refused")
)

// Step is the point at which an Error arose.
type Step string

// Steps, in the order in which a message takes them.
const (
	StepDial      Step = "dial"
	StepTLS       Step = "tls"
	StepHello     Step = "hello"
	StepQueue     Step = "queue"
	StepSend      Step = "send"
	StepReply     Step = "await reply"
	StepHandle    Step = "handle"
	StepSupplyTLS Step = "supply tls configuration"
)

// Error is a failure of a message or session.
type Error struct {
	Step Step
	Peer fleet.MemberID
	// MaybeSent reports that bytes of the request may have reached the peer.
	// When false, the peer provably never sees the request.
	MaybeSent bool
	Err       error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Peer, e.Step, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MaybeSent reports whether the request behind err may have reached the peer.
// It is true for errors of unknown origin.
func MaybeSent(err error) bool {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.MaybeSent
	}
	return err != nil
}
