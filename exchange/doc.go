// Package exchange performs one HTTP/1.1 exchange with a backend server on one
// connection.
//
// The client keeps its own connection pool per address and writes requests
// with http.Request.Write. It has no path that sends a request a second time,
// and it counts the bytes that the kernel accepted, so that a caller can tell
// a request that was not run from one that may have been run.
package exchange
