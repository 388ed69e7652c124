package claims

import "context"

// Key identifies a caller's request across resubmissions.
type Key struct {
	Service string
	// Customer scopes the key, so that two customers may use the same key.
	Customer string
	// Value is the caller's Idempotency-Key.
	Value string
}

// Verdict is the answer to a claim.
type Verdict uint8

// Verdicts. Only VerdictFresh permits dispatch.
const (
	VerdictUnknown Verdict = iota // Whether the key was seen cannot be told.
	VerdictFresh                  // The key was not seen in the window.
	VerdictSeen                   // The key was claimed before.
	VerdictFull                   // The claim table is full; the request was not run.
)

// Registry records idempotency keys.
type Registry interface {
	// Claim records key before dispatch. An error accompanies VerdictUnknown
	// and names the step and the peer.
	Claim(ctx context.Context, key Key) (Verdict, error)
	// Dispatchable reports whether a request whose claim was VerdictFresh may be
	// sent now. It is checked immediately before the first byte is written.
	Dispatchable(key Key) bool
	// Release removes a claim whose request provably was not run, so that a
	// resubmission may run.
	Release(ctx context.Context, key Key)
}
