// Package exchange performs HTTP/1.1 exchanges with backend servers: one request
// and its response at a time on each connection.
//
// The client has its own connection pool per address and writes requests with
// http.Request.Write. It never sends a request a second time, and it counts the
// bytes that the kernel accepted, so that a caller can tell a request that the
// backend server cannot have received from one that it may have run.
package exchange
