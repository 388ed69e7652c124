// Package claims records idempotency keys before dispatch, so that a request
// that must not run twice is dispatched at most once within a window.
//
// Each key has an owner, chosen by rendezvous hashing over the member view. The
// dispatching process keeps a dispatch record, and the owner keeps a copy. If both
// are in the same availability zone, a third member in another zone stores an extra
// copy, so that a claim survives the failure of any one member or availability
// zone.
//
// After a change of the view, a process requests from every member the claims of
// the keys that it now owns. Until all have replied, it answers VerdictUnknown for
// those of these keys that it does not know. If all holders of a claim may have
// left, it does so for the whole window; see departures.go.
//
// # Why a key is dispatched at most once
//
// A dispatch record exists before the owner is asked, and a process answers a
// recovery request only if both processes have the same view. A claim in progress
// in an older view is therefore part of the answer, and a claim that arrives later
// with the older view is refused. A process dispatches only while Dispatchable
// returns true, which ends within the validity of its view after an eviction.
package claims
