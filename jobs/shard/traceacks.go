package shard

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/worker"
)

// This file traces acknowledgements of ends that have no answer. Such a call may still act,
// also on the next incarnation of the worker, until [maxOrderDelay] has passed.

// noteHoldSent keeps the time limit of a hold, the number that it acknowledges, and that it requests a status.
func (t *workerTrace) noteHoldSent(order worker.Hold, now time.Duration) *statusCall {
	t.holdLimit = order.Wait + holdTimeout
	t.noteAcknowledged(order.AckedUpTo)
	return t.noteStatusSent(now)
}

// noteHoldReply keeps that a hold was answered, and the acknowledgement that another incarnation has answered.
func (w *workerState) noteHoldReply(call *holdCall, reply statusReply, err error) {
	w.trace.noteStatusReply(call.traced, err)
	if err == nil && reply.StartedUnixMs != 0 && reply.StartedUnixMs != w.info.StartedUnixMs {
		w.trace.receivedByNext = max(w.trace.receivedByNext, call.ack.number)
	}
}

// recentAcks returns the acknowledgements that may still act.
func recentAcks(acks []sentAck, now time.Duration) []sentAck {
	return slices.DeleteFunc(slices.Clone(acks), func(a sentAck) bool { return now-a.sentAt > maxOrderDelay })
}

// addAckFields adds the acknowledgements that may still act: their number, the highest
// number that they acknowledge, and the age of the last one. It adds nothing if there are none.
func addAckFields(fields eventlog.Fields, prefix string, acks []sentAck, now time.Duration) {
	acks = recentAcks(acks, now)
	if len(acks) == 0 {
		return
	}
	highest, latest := uint64(0), time.Duration(0)
	for _, a := range acks {
		highest, latest = max(highest, a.number), max(latest, a.sentAt)
	}
	fields[prefix+"_acks"], fields[prefix+"_ack"], fields[prefix+"_ack_age"] = len(acks), highest, (now - latest).String()
}

// unansweredAcksText names up to maxWorkersPerLine workers that may still receive an
// acknowledgement of this owner, as WORKER:NUMBER, those of the last calls first.
func (s *Shard) unansweredAcksText(now time.Duration) (text string, left int) {
	type entry struct {
		worker *workerState
		ack    sentAck
	}
	var entries []entry
	for _, w := range s.workers {
		if acks := recentAcks(w.openAcks, now); len(acks) > 0 {
			entries = append(entries, entry{w, acks[len(acks)-1]})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.ack.sentAt, a.ack.sentAt), cmp.Compare(a.worker.info.ID, b.worker.info.ID))
	})
	named := entries[:min(len(entries), maxWorkersPerLine)]
	var names []string
	for _, e := range named {
		names = append(names, fmt.Sprintf("%s:%d", e.worker.info.ID, e.ack.number))
	}
	return strings.Join(names, " "), len(entries) - len(named)
}
