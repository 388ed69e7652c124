package maintenance

import (
	"context"
	"errors"
	"fmt"
	"slices"
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
	ordered   map[string]*openOrder // By VM; orders whose outcome is not known.
	version   rows.Version          // Of the stored row.
	loaded    bool
	completed bool // The stored progress says that the wave is complete.
	unsaved   bool // The progress has changed since it was last stored.
	saving    bool
}

func newWaveProgress(w Wave) *waveProgress {
	return &waveProgress{Wave: w, done: map[string]bool{}, ordered: map[string]*openOrder{}}
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
		if row.Key != progressKey(w.Number) {
			continue
		}
		w.version = row.Version
		record := &jobpb.WaveProgress{}
		message, err := rows.Unpack(row.Value)
		if err != nil || proto.Unmarshal(message, record) != nil {
			continue
		}
		w.started, w.completed, w.unsaved = time.UnixMilli(record.StartedUnixMs), record.Completed, false
		for _, name := range record.Done {
			w.done[name] = true
		}
		for _, name := range record.Ordered {
			w.ordered[name] = &openOrder{stored: true, unanswered: true, unansweredAt: m.o.Clock()}
		}
	}
	w.loaded = true
	m.o.Recorder.Record(eventlog.WaveRead, eventlog.Fields{"wave": w.Number, "machines": len(w.Machines), "done": len(w.done), "ordered": len(w.ordered), "cap": w.Cap, "period": w.Period.String()})
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
	for name := range w.ordered {
		record.Ordered = append(record.Ordered, name)
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
	expected := w.version
	set := []rows.Row{{Key: progressKey(w.Number), Value: value}, m.o.StatusRow(w.Number, finished)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		version, err := m.commit(ctx, rows.Expectation{Key: progressKey(w.Number), Version: expected}, set)
		m.o.Loop.Post(func() { m.handleWaveSaved(w, version, record, err) })
	}()
}

// handleWaveSaved handles the result of storing a record. If the stored row had another version
// than expected, an earlier call without a reply has stored it; version is then the current one.
func (m *Manager) handleWaveSaved(w *waveProgress, version rows.Version, record *jobpb.WaveProgress, err error) {
	w.saving = false
	if err != nil {
		w.unsaved = true
		if errors.Is(err, errProgressChanged) {
			w.version = version
		}
		m.o.Recorder.Record(eventlog.WaveSaveFailed, eventlog.Fields{"wave": w.Number, "error": err})
		return
	}
	w.version = version
	if record.Completed {
		w.completed = true
		m.o.Recorder.Record(eventlog.WaveCompleted, eventlog.Fields{"wave": w.Number, "machines": len(w.done)})
	}
	m.handleOrdersRecorded(w, record.Ordered)
}

// waveState returns the planner's view of a wave.
func (m *Manager) waveState(w *waveProgress, now time.Duration) WaveState {
	return WaveState{
		Wave: w.Wave, Done: w.done, Deadline: now + w.started.Add(w.Period).Sub(m.o.WallClock()),
		InProgress: m.countActive(w) + m.countAwaited(w, now),
	}
}

// countActive counts the VMs of a wave that have an operation of this owner or are in maintenance.
func (m *Manager) countActive(w *waveProgress) (n int) {
	for _, op := range m.operations {
		if op.isMaintenanceOf(w) {
			n++
		}
	}
	for i := range m.machines {
		// A former owner ordered the maintenance, or it takes longer than expected.
		if v := &m.machines[i]; v.State == InMaintenance && m.operations[v.Name] == nil && slices.Contains(w.Machines, v.Name) {
			n++
		}
	}
	return n
}

var (
	errNotOwner        = errors.New("another process has taken over the fleet's shard")
	errProgressChanged = errors.New("the stored progress has another version than expected")
)

// commit stores rows on the condition that this process still owns the fleet's shard and that the
// progress row has the expected version, so that a delayed earlier call cannot undo this one. It
// returns the new version of the progress row, or its current one with [errProgressChanged].
func (m *Manager) commit(ctx context.Context, progress rows.Expectation, set []rows.Row) (rows.Version, error) {
	result, err := m.o.Store.Commit(ctx, rows.Tx{
		Expect: []rows.Expectation{{Key: m.o.OwnerKey, Version: m.o.Fence}, progress}, Set: set,
	})
	if err != nil {
		return 0, fmt.Errorf("store the progress of the maintenance wave: %w", err)
	}
	if result.Applied {
		return result.Version, nil
	}
	if versionOf(result.CurrentRows, m.o.OwnerKey) != m.o.Fence {
		return 0, fmt.Errorf("store the progress of the maintenance wave: %w", errNotOwner)
	}
	return versionOf(result.CurrentRows, progress.Key), fmt.Errorf("store the progress of the maintenance wave: %w", errProgressChanged)
}

// versionOf returns the version of a row, 0 if it is not listed.
func versionOf(list []rows.Row, key rows.Key) rows.Version {
	for _, row := range list {
		if row.Key == key {
			return row.Version
		}
	}
	return 0
}
