package shard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker"
)

// Tables of a shard; the part is the pool.
const (
	tableHead     = "head"
	tableJob      = "job"
	tableProgress = "progress"
	tableWorker   = "worker"
	headName      = "head"
)

// journal is the chain of transactions of a shard.
type journal struct {
	head       rows.Version
	sequence   uint64
	generation uint32
	batch      *batch // Under way, or nil.
	lastSent   time.Duration
	scheduled  bool

	inserts []*jobState
	dirty   map[*jobState]struct{}
	records []*workerState
	drops   []rows.Key
}

// batch is one transaction with what follows from it.
type batch struct {
	tx        rows.Tx
	sequence  uint64
	since     time.Duration // First sent.
	inserts   []*jobState
	ends      []*jobState
	records   []*workerState
	processed map[*workerState]uint64
	size      int
}

func (j *journal) init() { j.dirty = map[*jobState]struct{}{} }

func (j *journal) empty() bool {
	return len(j.inserts) == 0 && len(j.dirty) == 0 && len(j.records) == 0 && len(j.drops) == 0
}

func (j *journal) idle() bool { return j.batch == nil && j.empty() }

// sent reports whether the row of a job may have reached the store.
func (j *journal) sent(js *jobState) bool {
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
	return rows.Key{Table: tableHead, Part: s.o.Pool, Name: headName}
}

func (s *Shard) key(table, name string) rows.Key {
	return rows.Key{Table: table, Part: s.o.Pool, Name: name}
}

// slow reports whether the store has left a transaction without an answer for long.
func (s *Shard) slow() bool {
	b := s.journal.batch
	return b != nil && s.o.Clock()-b.since > storeSlow
}

// flush sends what waits to be committed, unless a transaction is under way.
func (s *Shard) flush() {
	j := &s.journal
	if j.batch != nil || j.scheduled || !s.canAct() {
		return
	}
	if j.empty() {
		s.acknowledgeRest()
		return
	}
	if wait := j.lastSent + commitGap - s.o.Clock(); wait > 0 {
		j.scheduled = true
		s.o.Loop.After(wait, func() { j.scheduled = false; s.flush() })
		return
	}
	b, err := s.buildBatch()
	if err != nil {
		s.lost(fmt.Sprintf("encode rows: %v", err))
		return
	}
	j.batch, j.lastSent = b, s.o.Clock()
	b.since = j.lastSent
	s.send(b)
}

// acknowledgeRest marks ends as committed that changed no row.
func (s *Shard) acknowledgeRest() {
	for _, w := range s.workers {
		if w.committed < w.processed {
			w.committed = w.processed
			s.hold(w)
		}
	}
}

func (s *Shard) buildBatch() (*batch, error) {
	j := &s.journal
	b := &batch{sequence: j.sequence + 1, processed: map[*workerState]uint64{}}
	head := &jobpb.Head{Owner: s.o.Owner, Sequence: b.sequence, Generation: j.generation, HoldMs: s.o.HoldFor.Milliseconds(), Fence: s.o.Fence}
	if err := b.set(s.headKey(), head); err != nil {
		return nil, err
	}
	b.tx.Expect = []rows.Expectation{{Key: s.headKey(), Version: j.head}}
	if err := s.addInserts(b); err != nil {
		return nil, err
	}
	if err := s.addProgress(b); err != nil {
		return nil, err
	}
	if err := s.addWorkers(b); err != nil {
		return nil, err
	}
	s.addDrops(b)
	return b, nil
}

// addDrops deletes rows. A worker that is used again keeps its row.
func (s *Shard) addDrops(b *batch) {
	j := &s.journal
	for len(j.drops) > 0 && !b.full() {
		key := j.drops[0]
		j.drops = j.drops[1:]
		if w := s.workers[worker.ID(key.Name)]; key.Table == tableWorker && w != nil && (w.recorded || w.recording) {
			continue
		}
		b.tx.Delete = append(b.tx.Delete, key)
	}
}

func (b *batch) full() bool {
	return len(b.tx.Set)+len(b.tx.Delete) >= commitLimit || b.size >= commitBytes
}

func (b *batch) set(key rows.Key, record proto.Message) error {
	value, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	b.size += len(value)
	b.tx.Set = append(b.tx.Set, rows.Row{Key: key, Value: value})
	return nil
}

func (s *Shard) addInserts(b *batch) error {
	j := &s.journal
	for len(j.inserts) > 0 && !b.full() {
		js := j.inserts[0]
		j.inserts = j.inserts[1:]
		if js.outcome != 0 {
			continue
		}
		if err := b.set(s.key(tableJob, string(js.job.ID)), job.ToRecord(js.job)); err != nil {
			return err
		}
		b.inserts = append(b.inserts, js)
	}
	return nil
}

// addProgress adds changed jobs. Ends of runs count as committed only with the
// last of them.
func (s *Shard) addProgress(b *batch) error {
	j := &s.journal
	for js := range j.dirty {
		if b.full() {
			return nil
		}
		delete(j.dirty, js)
		name := string(js.job.ID)
		if err := b.set(s.key(tableProgress, name), s.progressRecord(js)); err != nil {
			return err
		}
		if js.outcome != 0 {
			b.tx.Delete = append(b.tx.Delete, s.key(tableJob, name))
			b.ends = append(b.ends, js)
		}
	}
	for _, w := range s.workers {
		if w.processed > w.committed {
			b.processed[w] = w.processed
		}
	}
	return nil
}

func (s *Shard) addWorkers(b *batch) error {
	j := &s.journal
	for len(j.records) > 0 && !b.full() {
		w := j.records[0]
		j.records = j.records[1:]
		record := &jobpb.KnownWorker{Address: w.info.Address, BornUnixMs: w.info.StartedUnixMs}
		if err := b.set(s.key(tableWorker, string(w.info.ID)), record); err != nil {
			return err
		}
		b.records = append(b.records, w)
	}
	return nil
}

// send sends a transaction, or sends it again unchanged.
func (s *Shard) send(b *batch) {
	if s.stopped {
		return
	}
	if !s.o.HasRight() {
		s.o.Loop.After(commitRetry, func() { s.send(b) })
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		result, err := s.o.Store.Commit(ctx, b.tx)
		s.o.Loop.Post(func() { s.sent(b, result, err) })
	}()
}

func (s *Shard) sent(b *batch, result rows.Result, err error) {
	if s.stopped {
		return
	}
	switch {
	case err != nil:
		s.o.Loop.After(commitRetry, func() { s.send(b) })
	case result.Applied:
		s.applied(b, result.Version)
	default:
		version, ours := s.ownHead(result.CurrentRows, b.sequence)
		if !ours {
			s.lost("the head row belongs to another owner")
			return
		}
		s.applied(b, version)
	}
}

// ownHead reports whether the head row was written by the transaction with the
// given sequence of this owner, whose answer was lost.
func (s *Shard) ownHead(found []rows.Row, sequence uint64) (rows.Version, bool) {
	for _, row := range found {
		head := &jobpb.Head{}
		if row.Table != tableHead || row.Deleted || proto.Unmarshal(row.Value, head) != nil {
			continue
		}
		if head.Owner == s.o.Owner && head.Sequence == sequence {
			return row.Version, true
		}
	}
	return 0, false
}

func (s *Shard) applied(b *batch, version rows.Version) {
	j := &s.journal
	j.head, j.sequence, j.batch = version, b.sequence, nil
	for _, js := range b.inserts {
		s.stored(js)
	}
	for _, js := range b.ends {
		s.finished(js)
	}
	for _, w := range b.records {
		w.recorded, w.recording = true, false
	}
	for w, number := range b.processed {
		if number > w.committed {
			w.committed = number
			s.hold(w)
		}
	}
	s.place()
	s.flush()
}

func (s *Shard) progressRecord(js *jobState) *jobpb.Progress {
	record := &jobpb.Progress{State: jobpb.State(js.outcome), Queue: string(js.job.Queue)}
	if js.outcome != 0 {
		record.EndedUnixMs = s.o.Wall().UnixMilli()
		return record
	}
	for _, step := range js.steps {
		record.Steps = append(record.Steps, stepProgress(step))
	}
	return record
}

func stepProgress(step *stepState) *jobpb.StepProgress {
	record := &jobpb.StepProgress{}
	if step.done > 0 {
		record.Done = make([]byte, (len(step.tasks)+7)/8)
	}
	for i, t := range step.tasks {
		if t.done {
			record.Done[i/8] |= 1 << (i % 8)
			continue
		}
		for run := range t.failures {
			record.Failures = append(record.Failures, &jobpb.Failure{Task: int32(i), Run: int32(run)})
		}
	}
	for run := range step.failures {
		record.Failures = append(record.Failures, &jobpb.Failure{Task: gangFailure, Run: int32(run)})
	}
	return record
}

// gangFailure is the task number of a failed run of a whole gang.
const gangFailure = -1

// claim writes the head row, which ends the chain of the former owner.
func (s *Shard) claim() {
	if s.stopped {
		return
	}
	if !s.o.HasRight() {
		s.o.Loop.After(commitRetry, s.claim)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		head, version, err := s.claimHead(ctx)
		var loaded *snapshot
		if err == nil {
			loaded, err = s.load(ctx)
		}
		s.o.Loop.Post(func() { s.claimed(head, version, loaded, err) })
	}()
}

// claimHead returns the head row as it was written for this owner. Its lease is
// the longest that this or the former owner gives.
func (s *Shard) claimHead(ctx context.Context) (*jobpb.Head, rows.Version, error) {
	key := s.headKey()
	page, err := s.o.Store.Read(ctx, key.Table, key.Part, key.Name)
	if err != nil {
		return nil, 0, fmt.Errorf("read head row: %w", err)
	}
	head, version := &jobpb.Head{}, rows.Version(0)
	for _, row := range page.Rows {
		if row.Name != headName {
			continue
		}
		if err := proto.Unmarshal(row.Value, head); err != nil {
			return nil, 0, fmt.Errorf("decode head row: %w", err)
		}
		version = row.Version
	}
	if head.Owner == s.o.Owner {
		return head, version, nil // An earlier attempt took effect.
	}
	if head.Fence > s.o.Fence {
		return nil, 0, errNewerOwner
	}
	next := &jobpb.Head{
		Owner: s.o.Owner, Generation: head.Generation + 1, HoldMs: max(head.HoldMs, s.o.HoldFor.Milliseconds()),
		Fence: s.o.Fence,
	}
	value, err := proto.Marshal(next)
	if err != nil {
		return nil, 0, fmt.Errorf("encode head row: %w", err)
	}
	result, err := s.o.Store.Commit(ctx, rows.Tx{
		Expect: []rows.Expectation{{Key: key, Version: version}},
		Set:    []rows.Row{{Key: key, Value: value}},
	})
	if err != nil {
		return nil, 0, fmt.Errorf("write head row: %w", err)
	}
	if !result.Applied {
		return nil, 0, fmt.Errorf("write head row: %w", errHeadChanged)
	}
	return next, result.Version, nil
}

func (s *Shard) claimed(head *jobpb.Head, version rows.Version, loaded *snapshot, err error) {
	if s.stopped {
		return
	}
	if errors.Is(err, errNewerOwner) {
		s.lost("the head row belongs to a newer owner")
		return
	}
	if err != nil {
		s.record(eventlog.ShardLoadFailed, eventlog.Fields{"error": err})
		s.o.Loop.After(commitRetry, s.claim)
		return
	}
	s.journal.head, s.journal.generation = version, head.Generation
	s.inheritedHold = time.Duration(head.HoldMs) * time.Millisecond
	s.adopt(loaded)
	s.active = true
	s.record(eventlog.ShardLoaded, eventlog.Fields{
		"fence": s.o.Fence, "generation": head.Generation, "jobs": len(s.jobs), "workers": s.unaccounted,
	})
	s.registerAll()
	s.tick()
}

// dropWorkerRow removes a worker that can no longer run anything.
func (s *Shard) dropWorkerRow(id worker.ID) {
	s.journal.drops = append(s.journal.drops, s.key(tableWorker, string(id)))
}
