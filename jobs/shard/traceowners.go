package shard

import (
	"maps"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// This file traces what made this process notice another owner of the shard.

const lostToHigherFence = "a worker has seen a higher fence"

// recordLost records that this process has noticed another owner, and what has shown it.
func (s *Shard) recordLost(reason string, evidence eventlog.Fields) {
	fields := eventlog.Fields{
		"reason": reason, "fence": s.opts.Fence, "owner": s.opts.Owner, "acquisition": s.opts.Acquisition, "generation": s.journal.generation,
		"sequence": s.journal.sequence,
	}
	maps.Copy(fields, evidence)
	s.recordEvent(eventlog.ShardLost, fields)
}

// workerOrder is the kind of an order that a worker may refuse for its fence.
type workerOrder string

const (
	orderHold  workerOrder = "hold"
	orderStart workerOrder = "start"
	orderStop  workerOrder = "stop"
)

// refusedOrderFields returns the fields of an order that a worker has refused for its fence, and of
// the fence that later orders to the worker have.
func refusedOrderFields(w *workerState, order workerOrder, fence uint64) eventlog.Fields {
	return eventlog.Fields{
		"worker": w.info.ID, "born": w.info.StartedUnixMs, "order": string(order), "order_fence": fence, "worker_fence": w.fence,
	}
}

// rejectedBatchFields returns the fields of a transaction that was rejected, and of the head row that
// the store has instead of the expected one.
func (s *Shard) rejectedBatchFields(b *batch, current []rows.Row) eventlog.Fields {
	fields := eventlog.Fields{}
	if head, version := findHead(current); head != nil {
		fields = headFields(head, version)
	}
	fields["sent_sequence"], fields["attempts"], fields["expected_head"] = b.sequence, b.attempts, s.journal.head
	return fields
}

// headFields returns the fields of the head row that shows another owner.
func headFields(head *jobpb.Head, version rows.Version) eventlog.Fields {
	return eventlog.Fields{
		"head_owner": head.Owner, "head_fence": head.Fence, "head_generation": head.Generation, "head_sequence": head.Sequence, "head": version,
	}
}
