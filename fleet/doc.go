// Package fleet defines the domain types that all modules share: VMs, pools,
// racks, availability zones, services, configurations, intents and plans.
//
// All types are plain values. Nothing in this package performs I/O, reads a
// clock or starts a goroutine.
package fleet
