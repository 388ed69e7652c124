// Package claims records idempotency keys before dispatch, so that a request
// that must not run twice is dispatched at most once within a window.
//
// Each key has an owner, chosen by rendezvous hashing over the member view. The
// dispatching process keeps a dispatch record, the owner a copy. When both are
// in one availability zone, a further member in another one stores a copy too,
// so that neither one death nor the loss of one availability zone loses a claim.
//
// After a change of the view, a process asks every member for the claims of the
// keys that it now owns. Until all have replied, it answers VerdictUnknown for
// keys of that range that it does not know. It does so for the whole window when
// all holders of a claim may be gone; see departures.go.
//
// # Why a key is dispatched at most once
//
// A dispatch record exists before the owner is asked, and a process answers a
// recovery only in the view of the question. A claim in progress in an older
// view is therefore part of the answer, and a later one is refused for its view.
// A process dispatches only while Dispatchable reports true, which ends within
// the validity of its view when it has been evicted.
package claims
