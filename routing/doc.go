// Package routing admits requests and reserves slots of backend servers.
//
// A Router joins package admission (who is next), package slots (which slots
// this entry process may use) and its own choice of a backend server:
// zone-local first, other zones with hysteresis, away from the failure domains
// of earlier attempts, and not to backend servers that fail.
//
// The control loop calls SetView with each new fleet snapshot or member view,
// before the validity function reports that view as valid, and ReportLeaving
// when a peer or the platform announces that VMs leave. It asks InFlight for
// drains and IdleSlots for each heartbeat, and passes the idle slots in the
// heartbeats of peers to ReportIdle. IdleSlots also observes the validity of
// the view, so it should be called several times per second.
//
// The peer transport implements slots.Peers and calls Lend and TakeBack with
// the requests of peers. A process that stops calls Close, then SetView with
// the member view without itself, then Flush.
//
// The gateway calls Acquire, checks Valid immediately before it writes the
// first byte, and always calls Done. A request must not hold its slot longer
// than slots.Options.InFlightTime, or two processes may use one slot at once after
// a change of the member view.
package routing
