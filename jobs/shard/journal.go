package shard

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/jobs/bounded"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker"
)

// Tables of a shard. The pool is the part of the row keys.
const (
	tableHead     = "head"
	tableJob      = "job"
	tableProgress = "progress"
	tableWorker   = "worker"
	// QueueTable is the table of the queues of which the shards have jobs. Its rows are in
	// one part, so that every process can read them all.
	QueueTable = "queue"
	headName   = "head"
)

// journal is the chain of transactions of a shard, and the changes that wait for the
// next one.
type journal struct {
	head           rows.Version
	sequence       uint64
	generation     uint32
	batch          *batch // In flight, or nil.
	lastSent       time.Duration
	flushScheduled bool

	inserts     []*jobState
	changedJobs map[*jobState]struct{}
	workerRows  []*workerState
	queueRows   map[job.Queue]struct{} // Queues whose rows are to be written again.
	deletions   []rows.Key
}

// batch is one transaction and the state changes that take effect once it is committed.
type batch struct {
	tx          rows.Tx
	sequence    uint64
	firstSentAt time.Duration
	attempts    int // How often it was sent.
	inserts     []*jobState
	endedJobs   []*jobState
	workerRows  []*workerState
	appliedEnds map[*workerState]uint64
	size        int
}

func (j *journal) init() {
	j.changedJobs, j.queueRows = map[*jobState]struct{}{}, map[job.Queue]struct{}{}
}

func (j *journal) empty() bool {
	return len(j.inserts) == 0 && len(j.changedJobs) == 0 && len(j.workerRows) == 0 && len(j.queueRows) == 0 && len(j.deletions) == 0
}

func (j *journal) idle() bool { return j.batch == nil && j.empty() }

// mayHaveSentRow reports whether the row of a job may have reached the store.
func (j *journal) mayHaveSentRow(js *jobState) bool {
	if j.batch == nil {
		return false
	}
	for _, other := range j.batch.inserts {
		if other == js {
			return true
		}
	}
	return false
}

func (s *Shard) headKey() rows.Key {
	return rows.Key{Table: tableHead, Part: s.opts.Pool, Name: headName}
}

func (s *Shard) rowKey(table, name string) rows.Key {
	return rows.Key{Table: table, Part: s.opts.Pool, Name: name}
}

// storeIsSlow reports whether a transaction has been unanswered for longer than
// slowCommitAge.
func (s *Shard) storeIsSlow() bool {
	b := s.journal.batch
	return b != nil && s.opts.Clock()-b.firstSentAt > slowCommitAge
}

// flush sends the pending changes in a transaction, unless one is in flight.
func (s *Shard) flush() {
	j := &s.journal
	if j.batch != nil || j.flushScheduled || !s.canAct() {
		return
	}
	if j.empty() {
		s.acknowledgeEndsWithoutRows()
		return
	}
	if wait := j.lastSent + minCommitInterval - s.opts.Clock(); wait > 0 {
		j.flushScheduled = true
		s.opts.Loop.After(wait, func() { j.flushScheduled = false; s.flush() })
		return
	}
	b, err := s.buildBatch()
	if err != nil {
		s.relinquish(fmt.Sprintf("encode rows: %v", err), nil)
		return
	}
	j.batch, j.lastSent = b, s.opts.Clock()
	b.firstSentAt = j.lastSent
	s.sendBatch(b)
}

// acknowledgeEndsWithoutRows marks as committed the ends of runs that changed no row.
func (s *Shard) acknowledgeEndsWithoutRows() {
	for _, w := range s.workers {
		if w.lastCommittedEnd < w.lastAppliedEnd {
			w.lastCommittedEnd = w.lastAppliedEnd
			s.noteEndsStored(w)
			s.sendHold(w)
		}
	}
}

// buildBatch moves pending changes into a new batch, up to its size limits.
func (s *Shard) buildBatch() (*batch, error) {
	j := &s.journal
	b := &batch{sequence: j.sequence + 1, appliedEnds: map[*workerState]uint64{}}
	head := &jobpb.Head{Owner: s.opts.Owner, Sequence: b.sequence, Generation: j.generation, HoldMs: s.longestLease(s.opts.Clock()).Milliseconds(), Fence: s.opts.Fence, Object: s.object}
	if err := b.setRow(s.headKey(), head); err != nil {
		return nil, err
	}
	b.tx.Expect = []rows.Expectation{{Key: s.headKey(), Version: j.head}}
	if err := s.addJobRows(b); err != nil {
		return nil, err
	}
	if err := s.addProgressRows(b); err != nil {
		return nil, err
	}
	if err := s.addWorkerRows(b); err != nil {
		return nil, err
	}
	if err := s.addQueueRows(b); err != nil {
		return nil, err
	}
	s.addDeletions(b)
	return b, s.addDurationsRow(b)
}

// addDeletions adds the rows to delete. The row of a worker or a queue that is in use
// again is kept.
func (s *Shard) addDeletions(b *batch) {
	j := &s.journal
	for len(j.deletions) > 0 && !b.full() {
		key := j.deletions[0]
		j.deletions = j.deletions[1:]
		if w := s.workers[worker.ID(key.Name)]; key.Table == tableWorker && w != nil && (w.rowCommitted || w.rowQueued) {
			continue
		}
		if key.Table == QueueTable && s.hasQueueRow(key) {
			continue
		}
		b.tx.CrossPart = b.tx.CrossPart || key.Part != s.opts.Pool
		b.tx.Delete = append(b.tx.Delete, key)
	}
}

func (b *batch) full() bool {
	return len(b.tx.Expect)+len(b.tx.Set)+len(b.tx.Delete) >= maxCommitRows || b.size >= maxCommitBytes
}

func (b *batch) setRow(key rows.Key, record proto.Message) error {
	value, err := packRecord(record)
	if err != nil {
		return err
	}
	b.size += len(value)
	b.tx.Set = append(b.tx.Set, rows.Row{Key: key, Value: value})
	return nil
}

func packRecord(record proto.Message) ([]byte, error) {
	value, err := proto.Marshal(record)
	if err != nil {
		return nil, err
	}
	return rows.Pack(value)
}

func (s *Shard) addJobRows(b *batch) error {
	j := &s.journal
	for len(j.inserts) > 0 && !b.full() {
		js := j.inserts[0]
		j.inserts = j.inserts[1:]
		if js.outcome != 0 {
			continue
		}
		if err := s.addID(b, js.job); err != nil {
			return err
		}
		if err := b.setRow(s.rowKey(tableJob, string(js.job.ID)), job.ToRecord(js.job)); err != nil {
			return err
		}
		if err := s.addRowOfQueue(b, js.job.Queue); err != nil {
			return err
		}
		b.inserts = append(b.inserts, js)
	}
	return nil
}

// addProgressRows adds the progress rows of changed jobs. The ends of runs count as
// committed only with the batch that contains the last changed job.
func (s *Shard) addProgressRows(b *batch) error {
	j := &s.journal
	for js := range j.changedJobs {
		if b.full() {
			return nil
		}
		delete(j.changedJobs, js)
		name := string(js.job.ID)
		if err := b.setRow(s.rowKey(tableProgress, name), s.progressRecord(js)); err != nil {
			return err
		}
		if js.outcome != 0 {
			b.tx.Delete = append(b.tx.Delete, s.rowKey(tableJob, name))
			b.endedJobs = append(b.endedJobs, js)
		}
	}
	for _, w := range s.workers {
		if w.lastAppliedEnd > w.lastCommittedEnd {
			b.appliedEnds[w] = w.lastAppliedEnd
		}
	}
	return nil
}

func (s *Shard) addWorkerRows(b *batch) error {
	j := &s.journal
	for len(j.workerRows) > 0 && !b.full() {
		w := j.workerRows[0]
		j.workerRows = j.workerRows[1:]
		if s.workers[w.info.ID] != w {
			continue // It was removed, or the row of its next incarnation follows.
		}
		record := &jobpb.KnownWorker{Address: w.info.Address, BornUnixMs: w.info.StartedUnixMs, UnprovenUpTo: w.quarantine.upTo}
		if err := b.setRow(s.rowKey(tableWorker, string(w.info.ID)), record); err != nil {
			return err
		}
		b.workerRows = append(b.workerRows, w)
	}
	return nil
}

// sendBatch sends a transaction, or sends it again unchanged.
func (s *Shard) sendBatch(b *batch) {
	if s.stopped {
		return
	}
	if !s.opts.OwnsShard() {
		s.opts.Loop.After(commitRetryDelay, func() { s.sendBatch(b) })
		return
	}
	b.attempts++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		result, err := s.opts.Store.Commit(ctx, b.tx)
		s.opts.Loop.Post(func() { s.handleCommitResult(b, result, err) })
	}()
}

// handleCommitResult applies a committed batch, and sends a batch without a result again.
func (s *Shard) handleCommitResult(b *batch, result rows.Result, err error) {
	if s.stopped {
		return
	}
	switch {
	case err != nil:
		s.opts.Loop.After(commitRetryDelay, func() { s.sendBatch(b) })
	case result.Applied:
		s.applyCommitted(b, result.Version)
	default:
		s.handleRejectedCommit(b, result.CurrentRows)
	}
}

// handleRejectedCommit handles a batch whose expectations do not hold: an earlier attempt was
// applied, IDs of its jobs are taken, or another owner wrote the head row.
func (s *Shard) handleRejectedCommit(b *batch, current []rows.Row) {
	if version, ours := s.findOwnHead(current, b.sequence); ours {
		s.recordCommitFound(b, version)
		s.applyCommitted(b, version)
		return
	}
	taken := s.takenIDs(b, current)
	if len(taken) == 0 {
		s.relinquish("the head row belongs to another owner", s.rejectedBatchFields(b, current))
		return
	}
	s.dropTakenJobs(b, taken)
	s.sendBatch(b)
}

// findOwnHead returns the version of the head row if this owner wrote it in the
// transaction with the given sequence. That transaction was applied although its reply
// was lost.
func (s *Shard) findOwnHead(found []rows.Row, sequence uint64) (rows.Version, bool) {
	head, version := findHead(found)
	if head == nil || !s.isOwn(head) || head.Sequence != sequence {
		return 0, false
	}
	return version, true
}

// isOwn reports whether this owner object wrote a head row. Another one may have the same name and
// fence.
func (s *Shard) isOwn(head *jobpb.Head) bool {
	return head.Owner == s.opts.Owner && head.Object == s.object
}

// findHead returns the head row of the shard among the rows that a rejected transaction expected, or
// nil.
func findHead(found []rows.Row) (*jobpb.Head, rows.Version) {
	for _, row := range found {
		head := &jobpb.Head{}
		if row.Table == tableHead && !row.Deleted && proto.Unmarshal(row.Value, head) == nil {
			return head, row.Version
		}
	}
	return nil, 0
}

// applyCommitted makes the effects of a committed batch visible.
func (s *Shard) applyCommitted(b *batch, version rows.Version) {
	j := &s.journal
	j.head, j.sequence, j.batch = version, b.sequence, nil
	for _, js := range b.inserts {
		s.handleJobStored(js)
	}
	for _, js := range b.endedJobs {
		s.handleJobEnded(js)
	}
	for _, w := range b.workerRows {
		w.rowCommitted, w.rowQueued = true, false
		s.raiseFence(w)
	}
	for w, number := range b.appliedEnds {
		if number > w.lastCommittedEnd {
			w.lastCommittedEnd = number
			s.noteEndsStored(w)
			s.sendHold(w)
		}
	}
	s.schedulePlacement()
	s.flush()
}

func (s *Shard) progressRecord(js *jobState) *jobpb.Progress {
	record := &jobpb.Progress{State: jobpb.State(js.outcome), Queue: string(js.job.Queue)}
	if js.outcome != 0 {
		record.EndedUnixMs, record.Workspace, record.IdPart = s.opts.WallClock().UnixMilli(), string(js.job.Workspace), js.job.IDPart
		return record
	}
	record.Steps = make([]*jobpb.StepProgress, 0, js.nextOccurrence*len(js.job.Steps))
	for occurrence := range js.nextOccurrence {
		offset, open := js.occurrenceOffset(occurrence)
		for i := range js.job.Steps {
			if open {
				record.Steps = append(record.Steps, stepProgress(js.steps[offset+i]))
			} else {
				record.Steps = append(record.Steps, &jobpb.StepProgress{Done: allDone(js.job.Steps[i].Count)})
			}
		}
	}
	return record
}

func stepProgress(step *stepState) *jobpb.StepProgress {
	record := &jobpb.StepProgress{Done: step.doneTasks}
	for t := range step.kept() {
		if t.done {
			continue
		}
		for run := range t.failedRuns {
			record.Failures = append(record.Failures, &jobpb.Failure{Task: int32(t.index), Run: bounded.Int32(run)})
		}
	}
	for run := range step.failedRuns {
		record.Failures = append(record.Failures, &jobpb.Failure{Task: gangFailure, Run: bounded.Int32(run)})
	}
	return record
}

// gangFailure is the task number in the record of a failed gang run.
const gangFailure = -1

// deleteWorkerRow deletes the row of a worker that can no longer run anything.
func (s *Shard) deleteWorkerRow(id worker.ID) {
	s.journal.deletions = append(s.journal.deletions, s.rowKey(tableWorker, string(id)))
}
