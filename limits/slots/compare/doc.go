// Package compare measures policies for sharing the slots of workers between
// entry processes. It simulates seeded requests in virtual time. The model has
// processes, slots and service times only: networks are constant delays, and the
// only fault is the crash of one process.
package compare
