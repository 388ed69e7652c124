package shard

import (
	"time"

	"peridotcrank.dev/jobs/worker"
)

// This file keeps the requests for a status that have no reply yet, and tells which incarnation has
// answered one.

// maxOvertaken is how long after a restart became known an earlier status is awaited.
const maxOvertaken = 2 * time.Second

// beginOrder returns the target of an order to this incarnation of a worker. The client may have to
// request a status first to learn which incarnation it reaches, so the order counts as a request for a
// status until endStatusCall.
func (s *Shard) beginOrder(w *workerState) (to worker.Target, sent logicalTime) {
	sent, requestedAt := s.beginStatusCall(w.info.ID), s.opts.Clock()
	to = worker.Target{ID: w.info.ID, Address: w.info.Address, StartedUnixMs: w.info.StartedUnixMs}
	to.Report = func(status worker.Status) {
		s.opts.Loop.Post(func() { s.handleRequestedStatus(w, sent, statusReply{status, requestedAt}) })
	}
	return to, sent
}

// handleRequestedStatus applies a status that was requested from a worker at a logical time.
func (s *Shard) handleRequestedStatus(w *workerState, sent logicalTime, reply statusReply) {
	s.traceReply(w, reply, nil)
	reporter := s.reporter(w, reply)
	if s.stopped || reporter == nil {
		return
	}
	if current := s.handleStatus(reporter, sent, reply); current != reporter {
		s.sendHold(current)
	}
}

// beginStatusCall keeps a request for a status of a worker until endStatusCall.
func (s *Shard) beginStatusCall(id worker.ID) logicalTime {
	sent := s.nextLogicalTime()
	if s.statusCalls[id] == nil {
		s.statusCalls[id] = map[logicalTime]struct{}{}
	}
	s.statusCalls[id][sent] = struct{}{}
	return sent
}

func (s *Shard) endStatusCall(id worker.ID, sent logicalTime) {
	delete(s.statusCalls[id], sent)
	if len(s.statusCalls[id]) == 0 {
		delete(s.statusCalls, id)
	}
}

// awaitsEarlierStatus reports whether a status that was requested before a time may still arrive.
func (s *Shard) awaitsEarlierStatus(w *workerState, sent logicalTime) bool {
	if s.opts.Clock()-w.knownSince > maxOvertaken {
		return false
	}
	for earlier := range s.statusCalls[w.info.ID] {
		if earlier < sent {
			return true
		}
	}
	return false
}

// reporter returns the state of the incarnation that sent a status, if that is known: the worker
// to which the request was sent, or its next incarnation if that has answered instead.
func (s *Shard) reporter(w *workerState, reply statusReply) *workerState {
	current := s.workers[w.info.ID]
	if current == nil || current == w || reply.StartedUnixMs != 0 && reply.StartedUnixMs == current.info.StartedUnixMs {
		return current
	}
	return nil
}
