package claims

import "context"

// Key identifies a caller's request across resubmissions.
type Key struct {
	Service string
	// Customer is the scope of the key, so that two customers can use the same Value.
	Customer string
	// Value is the caller's Idempotency-Key.
	Value string
}

// Verdict is the answer to a claim.
type Verdict uint8

// Verdicts. Only VerdictFresh permits dispatch.
const (
	VerdictUnknown Verdict = iota // It is unknown whether the key was claimed before.
	VerdictFresh                  // The key was not claimed within the window.
	VerdictSeen                   // The key was claimed within the window.
	VerdictFull                   // The claim table is full; the request was not run.
)

// Registry records idempotency keys.
type Registry interface {
	// Claim records key before dispatch. With VerdictUnknown it returns an error
	// that names the step and the peer.
	Claim(ctx context.Context, key Key) (Verdict, error)
	// Dispatchable reports whether a request whose claim was VerdictFresh is allowed
	// to be sent now. It must be called immediately before the first byte is
	// written.
	Dispatchable(key Key) bool
	// Release removes a claim whose request certainly was not run, so that a
	// resubmission can run.
	Release(ctx context.Context, key Key)
}
