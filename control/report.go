package control

import (
	"maps"
	"slices"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// report is what this process tells peers about leaving VMs and idle slots. It
// grows with the pools and seldom changes while there is no load, so that a
// heartbeat carries it only while the peer does not hold it.
type report struct {
	number  uint64
	leaving []string
	idle    map[string]uint32
}

// conversation is what this process and a peer know about each other's
// heartbeats. It ends with the peer's incarnation.
type conversation struct {
	sentUS      uint64 // Time of the peer's latest heartbeat, by the peer's clock.
	incarnation uint64 // Incarnation under which the peer sent it.
	held        uint64 // Number of the peer's report that this process holds.
	idle        map[fleet.PoolID]int
	confirmed   uint64 // Number of this process's report that the peer holds.
}

// renewReport numbers a new report when it differs from the last one.
func (c *Controller) renewReport() {
	idle := make(map[string]uint32)
	for pool, n := range c.options.Traffic.IdleSlots() {
		idle[string(pool)] = roughly(uint32(n), c.report.idle[string(pool)])
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

// roughly returns the number that was reported last as long as the present one is
// within a factor of two of it. Peers use the numbers only to choose whom to ask
// for slots, and under load they would otherwise change with each heartbeat.
func roughly(now, reported uint32) uint32 {
	if now > 0 && reported > 0 && now <= 2*reported && reported <= 2*now {
		return reported
	}
	return now
}

// addReport adds the acknowledgement of a peer's heartbeat and, when the peer
// does not hold it yet, this process's report.
func (c *Controller) addReport(m *peerpb.Heartbeat, to fleet.MemberID) {
	with := c.conversations[to]
	m.EchoSentUs, m.EchoIncarnation, m.ReportHeld = with.sentUS, with.incarnation, with.held
	m.Report = c.report.number
	if with.confirmed != c.report.number {
		m.ReportIncluded, m.LeavingVms, m.IdleSlots = true, c.report.leaving, c.report.idle
	}
}

// takeReport takes in a peer's report, or that the report held here still applies.
func (c *Controller) takeReport(m *peerpb.Heartbeat) {
	id := fleet.MemberID(m.GetMember())
	with := c.conversations[id]
	if m.GetSentUs() >= with.sentUS {
		with.sentUS, with.incarnation = m.GetSentUs(), m.GetIncarnation()
	}
	if m.GetEchoIncarnation() == c.self.Incarnation {
		with.confirmed = m.GetReportHeld()
	}
	if m.GetReportIncluded() {
		with.held, with.idle = m.GetReport(), idleIn(m)
	}
	c.conversations[id] = with
	if with.held == m.GetReport() {
		c.options.Traffic.ReportIdle(id, with.idle)
	}
}

func idleIn(m *peerpb.Heartbeat) map[fleet.PoolID]int {
	idle := make(map[fleet.PoolID]int, len(m.GetIdleSlots()))
	for pool, n := range m.GetIdleSlots() {
		idle[fleet.PoolID(pool)] = int(n)
	}
	return idle
}

func leavingIn(m *peerpb.Heartbeat) []fleet.VMID {
	var leaving []fleet.VMID
	for _, vm := range m.GetLeavingVms() {
		leaving = append(leaving, fleet.VMID(vm))
	}
	return leaving
}
