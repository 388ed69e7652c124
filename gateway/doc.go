// Package gateway is the HTTP reverse proxy between callers and backend servers.
//
// Gateway is an http.Handler. It matches a request to a service, buffers its
// body, claims its idempotency key, waits for admission and a worker slot,
// sends it to a backend server and forwards the response. Every response has
// the header Peridotcrank-Outcome. Server runs a Gateway on a listener with
// strict HTTP/1.1 framing and graceful shutdown.
//
// The idempotency key is claimed before admission, so that a request does not
// occupy a slot of a backend server while the owner of the key does not reply.
// The claim of a request that provably was not run is released before the
// gateway responds to the caller.
package gateway
