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

var (
	errHeadChanged = errors.New("the head row was written by another owner")
	errNewerOwner  = errors.New("the head row was written by a newer owner")
)

// snapshot is what the rows of a shard say.
type snapshot struct {
	jobs     []*job.Job
	progress map[job.ID]*jobpb.Progress
	workers  map[worker.ID]*jobpb.KnownWorker
	// unreadable are jobs with a row that cannot be decoded.
	unreadable map[job.ID]struct{}
}

func (s *Shard) load(ctx context.Context) (*snapshot, error) {
	loaded := &snapshot{
		progress: map[job.ID]*jobpb.Progress{}, workers: map[worker.ID]*jobpb.KnownWorker{}, unreadable: map[job.ID]struct{}{},
	}
	err := s.readRows(ctx, tableJob, func(row rows.Row) error {
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
	err = s.readRows(ctx, tableProgress, func(row rows.Row) error {
		record := &jobpb.Progress{}
		if err := proto.Unmarshal(row.Value, record); err != nil {
			loaded.unreadable[job.ID(row.Name)] = struct{}{}
			return err
		}
		loaded.progress[job.ID(row.Name)] = record
		return nil
	})
	if err != nil {
		return nil, err
	}
	err = s.readRows(ctx, tableWorker, func(row rows.Row) error {
		// A worker without a readable address is waited for until its lease has passed.
		record := &jobpb.KnownWorker{}
		loaded.workers[worker.ID(row.Name)] = record
		return proto.Unmarshal(row.Value, record)
	})
	return loaded, err
}

// readRows reads a table. A row that read cannot use is recorded and stays in the
// store; the others are read.
func (s *Shard) readRows(ctx context.Context, table string, read func(rows.Row) error) error {
	page, err := rows.ReadAll(ctx, s.o.Store, table, s.o.Pool)
	if err != nil {
		return fmt.Errorf("read table %s: %w", table, err)
	}
	for _, row := range page.Rows {
		if err := read(row); err != nil {
			s.record(eventlog.JobRowUnreadable, eventlog.Fields{"table": table, "row": row.Name, "version": row.Version, "error": err})
		}
	}
	return nil
}

// adopt takes over the state of the former owner.
func (s *Shard) adopt(loaded *snapshot) {
	s.unreadable = loaded.unreadable
	for _, j := range loaded.jobs {
		if _, ok := s.unreadable[j.ID]; ok {
			continue // Its tasks may have ended.
		}
		js := newJobState(j)
		js.stored, js.inherited = true, true
		js.submitted = s.o.Clock() - max(s.o.Wall().Sub(j.Accepted), 0)
		if record := loaded.progress[j.ID]; record != nil {
			js.restore(record)
		}
		s.arrivals++
		js.sequence = s.arrivals
		s.jobs[j.ID] = js
	}
	for id, record := range loaded.progress {
		if state := job.State(record.State); state.Ended() {
			s.ended[id] = ended{state, job.Queue(record.Queue), time.UnixMilli(record.EndedUnixMs)}
		}
	}
	for id, record := range loaded.workers {
		info := worker.Info{ID: id, Pool: s.o.Pool, Address: record.Address, StartedUnixMs: record.BornUnixMs}
		s.addWorker(info).recorded = true
		s.unaccounted++
	}
	for _, js := range s.jobs {
		s.release(js)
		s.checkComplete(js)
	}
}

// restore applies the recorded ends of tasks.
func (js *jobState) restore(record *jobpb.Progress) {
	for i, sp := range record.Steps {
		if i >= len(js.steps) {
			return
		}
		step := js.steps[i]
		for n, t := range step.tasks {
			if n/8 < len(sp.Done) && sp.Done[n/8]&(1<<(n%8)) != 0 {
				step.markDone(t)
			}
		}
		for _, f := range sp.Failures {
			js.started = true
			if f.Task == gangFailure {
				step.addFailure(int(f.Run))
			} else if int(f.Task) < len(step.tasks) {
				step.tasks[f.Task].addFailure(int(f.Run))
			}
		}
	}
}

func (s *stepState) markDone(t *task) {
	if t.done {
		return
	}
	if len(t.attempts) == 0 {
		s.idle--
	}
	t.done = true
	s.done++
	s.job.started = true
	if s.complete() {
		s.job.open--
	}
}

func (s *stepState) addFailure(run int) {
	if s.failures == nil {
		s.failures = map[int]bool{}
	}
	s.failures[run] = true
}

func (t *task) addFailure(run int) {
	if t.failures == nil {
		t.failures = map[int]bool{}
	}
	t.failures[run] = true
}
