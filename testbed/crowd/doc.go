// Package crowd tests the real program against clients that send oversized, endless or
// unfinished requests on many connections.
package crowd
