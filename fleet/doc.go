// Package fleet defines the domain types that all modules share: VMs, pools,
// racks, availability zones, services, configurations, intents and plans.
//
// All types are plain values. The package performs no I/O, reads no clock and starts
// no goroutines.
package fleet
