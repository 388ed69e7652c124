package shard

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/bounded"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker"
)

var (
	errHeadChanged = errors.New("the head row was written by another owner")
	errNewerOwner  = errors.New("the head row was written by a newer owner")
)

// snapshot is the decoded contents of a shard's rows.
type snapshot struct {
	jobs []*job.Job
	// progress holds the packed records of the jobs that have not ended: decoded, they can take much memory.
	progress map[job.ID][]byte
	ended    map[job.ID]endedJob
	workers  map[worker.ID]*jobpb.KnownWorker
	// unreadable are the jobs with a row that cannot be decoded.
	unreadable map[job.ID]struct{}
	durations  *jobpb.Durations // nil if there are none.
	queues     []*jobpb.Queue
}

func (s *Shard) loadRows(ctx context.Context) (*snapshot, error) {
	loaded := &snapshot{
		progress: map[job.ID][]byte{}, ended: map[job.ID]endedJob{}, workers: map[worker.ID]*jobpb.KnownWorker{}, unreadable: map[job.ID]struct{}{},
	}
	err := s.readTable(ctx, tableJob, func(row rows.Row) error {
		j, err := job.Unmarshal(row.Value)
		if err == nil {
			err = j.Validate()
		}
		if err != nil {
			loaded.unreadable[job.ID(row.Name)] = struct{}{}
			return err
		}
		loaded.jobs = append(loaded.jobs, j)
		return nil
	})
	if err != nil {
		return nil, err
	}
	err = s.readPacked(ctx, tableProgress, s.opts.Pool, func(row rows.Row) error {
		record, err := decodeProgress(row.Value)
		if err != nil {
			loaded.unreadable[job.ID(row.Name)] = struct{}{}
			return err
		}
		if job.State(record.State).Ended() {
			loaded.ended[job.ID(row.Name)] = newEndedJob(record)
		} else {
			loaded.progress[job.ID(row.Name)] = row.Value
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	err = s.readTable(ctx, tableWorker, func(row rows.Row) error {
		// If the worker's address cannot be decoded, the shard waits until its lease
		// has expired.
		record := &jobpb.KnownWorker{}
		loaded.workers[worker.ID(row.Name)] = record
		return proto.Unmarshal(row.Value, record)
	})
	if err != nil {
		return nil, err
	}
	if loaded.queues, err = s.loadQueues(ctx); err != nil {
		return nil, err
	}
	loaded.durations, err = s.loadDurations(ctx)
	return loaded, err
}

// readTable reads the shard's part of a table and passes each row to read.
func (s *Shard) readTable(ctx context.Context, table string, read func(rows.Row) error) error {
	return s.readPart(ctx, table, s.opts.Pool, read)
}

// readPart reads a part of a table and passes each row to read. A row for which read
// returns an error is logged and stays in the store; the remaining rows are still read.
func (s *Shard) readPart(ctx context.Context, table, part string, read func(rows.Row) error) error {
	return s.readPacked(ctx, table, part, func(row rows.Row) error {
		row.Value = unpackValue(row.Value)
		return read(row)
	})
}

// readPacked is readPart with the values as they are stored.
func (s *Shard) readPacked(ctx context.Context, table, part string, read func(rows.Row) error) error {
	err := rows.ReadPages(ctx, s.opts.Store, table, part, func(page rows.Page) {
		for _, row := range page.Rows {
			if err := read(row); err != nil {
				s.recordEvent(eventlog.JobRowUnreadable, eventlog.Fields{"table": table, "row": row.Name, "version": row.Version, "error": err})
			}
		}
	})
	if err != nil {
		return fmt.Errorf("read table %s: %w", table, err)
	}
	return nil
}

// unpackValue returns the message in a stored value, or the value itself if it cannot be unpacked.
func unpackValue(value []byte) []byte {
	if message, err := rows.Unpack(value); err == nil {
		return message
	}
	return value
}

func decodeProgress(value []byte) (*jobpb.Progress, error) {
	record := &jobpb.Progress{}
	return record, proto.Unmarshal(unpackValue(value), record)
}

func newEndedJob(record *jobpb.Progress) endedJob {
	return endedJob{job.State(record.State), job.Queue(record.Queue), job.Workspace(record.Workspace), time.UnixMilli(record.EndedUnixMs), record.IdPart}
}

// restoreState restores jobs, ended jobs and workers from the rows of the former owner.
func (s *Shard) restoreState(loaded *snapshot) {
	s.unreadable = loaded.unreadable
	s.restoreDurations(loaded.durations)
	s.restoreQueues(loaded.queues)
	for i, j := range loaded.jobs {
		loaded.jobs[i] = nil
		if _, ok := s.unreadable[j.ID]; ok {
			continue // Its tasks may have ended.
		}
		js := newJobState(j, s.keptTasks)
		js.stored, js.inherited = true, true
		js.submitted = s.opts.Clock() - max(bounded.Duration(s.opts.WallClock().Sub(j.Accepted)), 0)
		if packed, ok := loaded.progress[j.ID]; ok {
			if record, err := decodeProgress(packed); err == nil {
				js.restoreProgress(record)
			}
			delete(loaded.progress, j.ID)
		}
		s.lastSequence++
		js.sequence = s.lastSequence
		s.jobs[j.ID] = js
		s.keptJobs.Add(keptBytes(j))
	}
	for id, e := range loaded.ended {
		s.addEnded(id, e)
	}
	for id, record := range loaded.workers {
		info := worker.Info{ID: id, Pool: s.opts.Pool, Address: record.Address, StartedUnixMs: record.BornUnixMs}
		w := s.addWorker(info)
		w.rowCommitted, w.inherited = true, true
		s.beginQuarantine(w, record.UnprovenUpTo)
		s.unaccountedWorkers++
	}
	s.keepUsedQueues()
	for _, js := range s.jobs {
		s.releaseSteps(js)
		s.endJobIfComplete(js)
	}
}

// restoreProgress applies the recorded task completions and failures. Former builds have recorded all occurrences, also
// those of which no task has ended.
func (js *jobState) restoreProgress(record *jobpb.Progress) {
	n := len(js.job.Steps)
	recorded := min(len(record.Steps), n*js.job.Occurrences())
	for recorded > 0 && !hasProgress(record.Steps[recorded-1]) {
		recorded--
	}
	for i, sp := range record.Steps[:recorded] {
		step := js.step(i/n, i%n)
		step.restore(sp)
		if i%n == n-1 {
			js.dropComplete(i / n)
		}
	}
}

// hasProgress reports whether a task of a step has been recorded as done or as failed.
func hasProgress(sp *jobpb.StepProgress) bool {
	return len(sp.Failures) > 0 || slices.ContainsFunc(sp.Done, func(bits byte) bool { return bits != 0 })
}

// restore applies the recorded progress of a step.
func (s *stepState) restore(sp *jobpb.StepProgress) {
	for n := range min(s.spec.Count, 8*len(sp.Done)) {
		if sp.Done[n/8]&(1<<(n%8)) != 0 {
			s.markDone(n)
		}
	}
	for _, f := range sp.Failures {
		s.job.begun = true
		if f.Task == gangFailure {
			s.addFailedRun(int(f.Run))
		} else if f.Task >= 0 && int(f.Task) < s.spec.Count {
			s.task(int(f.Task)).addFailedRun(int(f.Run))
		}
	}
}

func (s *stepState) addFailedRun(run int) {
	if s.failedRuns == nil {
		s.failedRuns = map[int]bool{}
	}
	s.failedRuns[run] = true
}

func (t *task) addFailedRun(run int) {
	if t.failedRuns == nil {
		t.failedRuns = map[int]bool{}
	}
	t.failedRuns[run] = true
}
