// Package soak runs the real program as separate processes against the
// stand-in of the platform, injects faults from outside by seed, and checks
// what callers and workers see.
package soak
