package peer

import (
	"errors"
	"fmt"

	"peridotcrank.dev/fleet"
)

// Causes of errors. ErrRemote wraps the error text that the peer sent in its reply.
var (
	ErrClosed        = errors.New("node is closed")
	ErrUnknownMember = errors.New("member is not in the view")
	ErrNotConnected  = errors.New("no session to the member")
	ErrQueueFull     = errors.New("send queue is full")
	ErrSessionLost   = errors.New("session ended")
	ErrTooLarge      = errors.New("message exceeds the frame limit")
	ErrBodyType      = errors.New("message type is not part of the protocol")
	ErrRemote        = errors.New("peer returned an error")
	ErrReplyType     = errors.New("reply has an unexpected type")
	ErrRefused       = errors.New("session refused")
)

// Step is the step of a session or message at which an Error occurred.
type Step string

// Steps of setting up a session and of sending a request, in order, and
// StepTLSConfig, which precedes StepTLS and the handshake of incoming sessions.
const (
	StepDial      Step = "dial"
	StepTLS       Step = "tls"
	StepHello     Step = "hello"
	StepQueue     Step = "queue"
	StepSend      Step = "send"
	StepReply     Step = "await reply"
	StepHandle    Step = "handle"
	StepTLSConfig Step = "supply tls configuration"
)

// Error is a failure of a message or session.
type Error struct {
	Step Step
	Peer fleet.MemberID
	// MaybeSent reports that the request may have reached the peer. When it is
	// false, the peer certainly never receives the request.
	MaybeSent bool
	Err       error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Peer, e.Step, e.Err) }

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.Err }

// MaybeSent reports whether the request that failed with err may have reached
// the peer. It is true for errors that do not wrap an Error.
func MaybeSent(err error) bool {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.MaybeSent
	}
	return err != nil
}
