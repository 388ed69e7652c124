package shard

import (
	"fmt"
	"strings"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
)

// describeResources formats the amounts that a cap limits.
func describeResources(r, limit job.Resources) string {
	var parts []string
	add := func(name string, amount, limit int64) {
		if limit > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", name, amount))
		}
	}
	add("cpu", r.CPU, limit.CPU)
	add("mem-mb", r.MemoryMB, limit.MemoryMB)
	add("gpu", r.GPU, limit.GPU)
	return strings.Join(parts, " ")
}

// noteHeldBack notes that the cap holds back a step, and logs it after a while.
func (s *Shard) noteHeldBack(c *workspaceCap, step *stepState, start job.Resources, now time.Duration) {
	c.heldBack = true
	if step.heldBackSince == 0 {
		step.heldBackSince = now
	}
	if now-step.heldBackSince > maxOvertakenTime {
		c.reserved = true
		s.logHeldBack(c, step, start, now)
	}
	if c.heldBackSince == 0 {
		c.heldBackSince = now
		fields := s.capFields(c)
		fields["job"] = step.job.job.ID
		s.recordEvent(eventlog.CapReached, fields)
	}
}

// logHeldBack logs once that the cap has held a step back for a while.
func (s *Shard) logHeldBack(c *workspaceCap, step *stepState, start job.Resources, now time.Duration) {
	if step.heldBackLogged {
		return
	}
	step.heldBackLogged = true
	fields := s.capFields(c)
	fields["job"], fields["step"], fields["start"] = step.job.job.ID, step.number, describeResources(start, c.limit)
	fields["held_back"] = (now - step.heldBackSince).String()
	s.recordEvent(eventlog.JobHeldBackByCap, fields)
}

// noteStarted notes that tasks of a step were started.
func (s *Shard) noteStarted(step *stepState) {
	if c := s.capOf(step.job); c != nil {
		step.heldBackLogged = false
		c.ledger.MarkServed()
	}
}

// capFields returns the figures of a cap for an event.
func (s *Shard) capFields(c *workspaceCap) eventlog.Fields {
	return eventlog.Fields{
		"workspace": c.name, "cap": describeResources(c.limit, c.limit),
		"used_ppm": int64(c.use(s.caps.accounted)), "held_ppm": int64(c.ledger.Usable()),
		"free_ppm": int64(c.ledger.Free()), "waiting": describeResources(c.waiting, c.limit),
	}
}

// checkCrossings tracks when the cap starts and ceases to hold starts back, and logs a need
// that is unmet for unmetNeedAge.
func (c *workspaceCap) checkCrossings(s *Shard, now time.Duration) {
	if !c.heldBack {
		c.heldBackSince = 0
	}
	if e := c.ledger.Entry(); !c.heldBack || e.Need <= e.Held {
		c.unmetSince, c.unmetLogged = 0, false
		return
	}
	if c.unmetSince == 0 {
		c.unmetSince = now
	}
	if !c.unmetLogged && now-c.unmetSince > unmetNeedAge {
		c.unmetLogged = true
		fields := s.capFields(c)
		fields["need_ppm"] = int64(c.ledger.Entry().Need)
		s.recordEvent(eventlog.CapNeedUnmet, fields)
	}
}
