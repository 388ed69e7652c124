// Package soak runs the real program as separate processes against the
// stand-in of the platform, injects faults chosen by a seed into processes,
// connections and the stand-in, and checks the guarantees to callers and workers.
package soak
