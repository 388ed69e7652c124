package maintenance

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

const progressTable = "wave"

// waveProgress holds a wave and its progress.
type waveProgress struct {
	Wave
	started   time.Time
	done      map[string]bool
	loaded    bool
	completed bool // The stored progress says that the wave is complete.
	unsaved   bool // The progress has changed since it was last stored.
	saving    bool
}

func progressKey(wave int64) rows.Key {
	return rows.Key{Table: progressTable, Name: strconv.FormatInt(wave, 10)}
}

// loadWave reads the progress of a wave that a former owner stored, and retries
// until the read succeeds.
func (m *Manager) loadWave(w *waveProgress) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		key := progressKey(w.Number)
		page, err := m.o.Store.Read(ctx, key.Table, key.Part, key.Name)
		m.o.Loop.Post(func() { m.handleWaveLoaded(w, page, err) })
	}()
}

func (m *Manager) handleWaveLoaded(w *waveProgress, page rows.Page, err error) {
	if m.stopped {
		return
	}
	if err != nil {
		m.o.Loop.After(retryDelay, func() { m.loadWave(w) })
		return
	}
	w.started, w.unsaved = m.o.WallClock(), true
	for _, row := range page.Rows {
		record := &jobpb.WaveProgress{}
		message, err := rows.Unpack(row.Value)
		if row.Key != progressKey(w.Number) || err != nil || proto.Unmarshal(message, record) != nil {
			continue
		}
		w.started, w.completed, w.unsaved = time.UnixMilli(record.StartedUnixMs), record.Completed, false
		for _, name := range record.Done {
			w.done[name] = true
		}
	}
	w.loaded = true
	m.o.Recorder.Record(eventlog.WaveRead, eventlog.Fields{"wave": w.Number, "machines": len(w.Machines), "done": len(w.done), "cap": w.Cap, "period": w.Period.String()})
}

// finished reports whether maintenance has begun for every VM of the wave that is
// still in the platform's list. It returns false while the list is not known.
func (m *Manager) finished(w *waveProgress) bool {
	if m.listedAt == 0 || len(m.machines) == 0 {
		return false
	}
	for _, name := range w.Machines {
		if _, stays := m.machine(name); stays && !w.done[name] {
			return false
		}
	}
	return true
}

// saveWave stores changed progress and the wave's status row for operators in one
// transaction.
func (m *Manager) saveWave(w *waveProgress) {
	if !w.loaded || w.saving || w.completed {
		return
	}
	finished := m.finished(w)
	if !w.unsaved && !finished {
		return
	}
	record := &jobpb.WaveProgress{StartedUnixMs: w.started.UnixMilli(), Completed: finished}
	for name := range w.done {
		record.Done = append(record.Done, name)
	}
	value, err := proto.Marshal(record)
	if err == nil {
		value, err = rows.Pack(value)
	}
	if err != nil {
		m.o.Recorder.Record(eventlog.WaveSaveFailed, eventlog.Fields{"wave": w.Number, "error": err})
		return
	}
	w.saving, w.unsaved = true, false
	set := []rows.Row{{Key: progressKey(w.Number), Value: value}, m.o.StatusRow(w.Number, finished)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		err := m.commit(ctx, set)
		m.o.Loop.Post(func() { m.handleWaveSaved(w, finished, err) })
	}()
}

func (m *Manager) handleWaveSaved(w *waveProgress, finished bool, err error) {
	w.saving = false
	if err != nil {
		w.unsaved = true
		m.o.Recorder.Record(eventlog.WaveSaveFailed, eventlog.Fields{"wave": w.Number, "error": err})
		return
	}
	if finished {
		w.completed = true
		m.o.Recorder.Record(eventlog.WaveCompleted, eventlog.Fields{"wave": w.Number, "machines": len(w.done)})
	}
}

// waveState returns the planner's view of a wave.
func (m *Manager) waveState(w *waveProgress, now time.Duration) WaveState {
	state := WaveState{Wave: w.Wave, Done: w.done, Deadline: now + w.started.Add(w.Period).Sub(m.o.WallClock())}
	for _, op := range m.operations {
		if op.Kind == Maintain && op.Wave == w.Number {
			state.InProgress++
		}
	}
	for _, name := range w.Machines {
		// A former owner ordered the maintenance, or it takes longer than expected.
		if v, ok := m.machine(name); ok && v.State == InMaintenance && m.operations[name] == nil {
			state.InProgress++
		}
	}
	return state
}

var errNotOwner = errors.New("another process has taken over the fleet's shard")

// commit stores rows on the condition that this process still owns the fleet's shard.
func (m *Manager) commit(ctx context.Context, set []rows.Row) error {
	result, err := m.o.Store.Commit(ctx, rows.Tx{
		Expect: []rows.Expectation{{Key: m.o.OwnerKey, Version: m.o.Fence}}, Set: set,
	})
	if err != nil {
		return fmt.Errorf("store the progress of the maintenance wave: %w", err)
	}
	if !result.Applied {
		return fmt.Errorf("store the progress of the maintenance wave: %w", errNotOwner)
	}
	return nil
}
