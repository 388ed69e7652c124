package control

import (
	"maps"
	"slices"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// report lists the leaving VMs and the idle slots of this process for its peers.
// Its size grows with the number of pools and it rarely changes without load, so
// a heartbeat includes it only until the peer has acknowledged it.
type report struct {
	number  uint64
	leaving []string
	idle    map[string]uint32
}

// heartbeatExchange is the state of the heartbeats exchanged with one peer. It is
// discarded when the peer's incarnation changes.
type heartbeatExchange struct {
	peerSentUS      uint64 // Time of the peer's latest heartbeat, by the peer's clock.
	peerIncarnation uint64 // Peer's incarnation in that heartbeat.
	heldReport      uint64 // Number of the peer's latest report received.
	peerIdle        map[fleet.PoolID]int
	confirmedReport uint64 // Number of this process's report that the peer has acknowledged.
}

// updateReport creates a report with the next number when the contents have changed.
func (c *Controller) updateReport() {
	idle := make(map[string]uint32)
	for pool, n := range c.options.Traffic.IdleSlots() {
		idle[string(pool)] = dampIdleCount(uint32(n), c.report.idle[string(pool)])
	}
	leaving := make([]string, 0, len(c.leaving))
	for _, id := range slices.Sorted(maps.Keys(c.leaving)) {
		leaving = append(leaving, string(id))
	}
	if c.report.number > 0 && maps.Equal(idle, c.report.idle) && slices.Equal(leaving, c.report.leaving) {
		return
	}
	c.report = report{number: c.report.number + 1, leaving: leaving, idle: idle}
}

// dampIdleCount returns the last reported count while the current count is within
// a factor of two of it. Peers use the counts only to choose which member to ask
// for slots, and under load they would otherwise change with each heartbeat.
func dampIdleCount(current, reported uint32) uint32 {
	if current > 0 && reported > 0 && current <= 2*reported && reported <= 2*current {
		return reported
	}
	return current
}

// addReport adds the acknowledgement of the peer's latest heartbeat to m and, until
// the peer has acknowledged it, this process's report.
func (c *Controller) addReport(m *peerpb.Heartbeat, to fleet.MemberID) {
	exchange := c.exchanges[to]
	m.EchoSentUs, m.EchoIncarnation, m.ReportHeld = exchange.peerSentUS, exchange.peerIncarnation, exchange.heldReport
	m.Report = c.report.number
	if exchange.confirmedReport != c.report.number {
		m.ReportIncluded, m.LeavingVms, m.IdleSlots = true, c.report.leaving, c.report.idle
	}
}

// recordReport stores the acknowledgement and the report in a peer's heartbeat. It
// passes the peer's idle slots on if the report held here is the peer's latest.
func (c *Controller) recordReport(m *peerpb.Heartbeat) {
	id := fleet.MemberID(m.GetMember())
	exchange := c.exchanges[id]
	if m.GetSentUs() >= exchange.peerSentUS {
		exchange.peerSentUS, exchange.peerIncarnation = m.GetSentUs(), m.GetIncarnation()
	}
	if m.GetEchoIncarnation() == c.self.Incarnation {
		exchange.confirmedReport = m.GetReportHeld()
	}
	if m.GetReportIncluded() {
		exchange.heldReport, exchange.peerIdle = m.GetReport(), decodeIdleSlots(m)
	}
	c.exchanges[id] = exchange
	if exchange.heldReport == m.GetReport() {
		c.options.Traffic.ReportIdle(id, exchange.peerIdle)
	}
}

func decodeIdleSlots(m *peerpb.Heartbeat) map[fleet.PoolID]int {
	idle := make(map[fleet.PoolID]int, len(m.GetIdleSlots()))
	for pool, n := range m.GetIdleSlots() {
		idle[fleet.PoolID(pool)] = int(n)
	}
	return idle
}

func decodeLeavingVMs(m *peerpb.Heartbeat) []fleet.VMID {
	var leaving []fleet.VMID
	for _, vm := range m.GetLeavingVms() {
		leaving = append(leaving, fleet.VMID(vm))
	}
	return leaving
}
