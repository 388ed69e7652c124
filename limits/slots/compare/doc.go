// Package compare measures ways to share the slots of workers between entry
// processes. It runs seeded requests in virtual time over processes, slots and
// service times only; networks are delays, and nothing fails but one process.
package compare
