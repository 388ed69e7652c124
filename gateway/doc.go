// Package gateway serves callers' HTTP requests.
//
// Gateway is an http.Handler that takes a request through matching, body
// buffering, claim, admission, slot, exchange and answer. Every response
// carries the header Peridotcrank-Outcome. Server runs a Gateway on a listener
// with strict HTTP/1.1 framing and graceful shutdown.
//
// The claim precedes admission: an owner that does not reply then never holds
// a backend server slot. The claim of a request that provably was not run is
// released before the caller is answered.
package gateway
