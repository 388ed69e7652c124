// Package routing admits requests and reserves slots of backend servers.
//
// A Router combines package admission (the order of waiting requests), package
// slots (the slots that this entry process is allowed to use) and its own
// choice of a backend server. It prefers backend servers in its own zone, uses
// other zones with hysteresis, avoids the failure domains of earlier attempts,
// and sends nothing to ejected backend servers.
//
// The control loop calls SetView with each new fleet snapshot or member view,
// before the validity function reports that view as valid. It calls
// ReportLeaving when a peer or the platform announces that VMs are leaving,
// InFlight during drains, and IdleSlots for each heartbeat. It passes the idle
// slots in the heartbeats of peers to ReportIdle. IdleSlots also samples the
// validity of the view, so it should be called several times per second.
//
// The peer transport implements slots.Peers and calls Lend and TakeBack with
// the requests of peers. A process that stops calls Close, then SetView with
// the member view without itself, then Flush.
//
// The gateway calls Acquire, checks Valid immediately before it writes the
// first byte, and always calls Done. A request must not hold its slot longer
// than slots.Options.InFlightTime, because after a change of the member view two
// processes could then use the same slot at once.
package routing
