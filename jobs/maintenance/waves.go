package maintenance

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

const progressTable = "wave"

// waveRecord is a wave with what is known and recorded of it.
type waveRecord struct {
	Wave
	started   time.Time
	done      map[string]bool
	loaded    bool
	completed bool // Recorded as completed.
	changed   bool // Not recorded yet.
	saving    bool
}

func progressKey(wave int64) rows.Key {
	return rows.Key{Table: progressTable, Name: strconv.FormatInt(wave, 10)}
}

// loadWave reads what a former owner recorded of a wave.
func (m *Manager) loadWave(w *waveRecord) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		key := progressKey(w.Number)
		page, err := m.o.Store.Read(ctx, key.Table, key.Part, key.Name)
		m.o.Loop.Post(func() { m.waveLoaded(w, page, err) })
	}()
}

func (m *Manager) waveLoaded(w *waveRecord, page rows.Page, err error) {
	if m.stopped {
		return
	}
	if err != nil {
		m.o.Loop.After(retryPause, func() { m.loadWave(w) })
		return
	}
	w.started, w.changed = m.o.Wall(), true
	for _, row := range page.Rows {
		record := &jobpb.WaveProgress{}
		if row.Key != progressKey(w.Number) || proto.Unmarshal(row.Value, record) != nil {
			continue
		}
		w.started, w.completed, w.changed = time.UnixMilli(record.StartedUnixMs), record.Completed, false
		for _, name := range record.Done {
			w.done[name] = true
		}
	}
	w.loaded = true
	m.o.Recorder.Record(eventlog.WaveRead, eventlog.Fields{"wave": w.Number, "machines": len(w.Machines), "done": len(w.done), "cap": w.Cap, "period": w.Period.String()})
}

// finished reports whether the upkeep of each VM that stays has begun.
func (m *Manager) finished(w *waveRecord) bool {
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

// saveWave records progress, and tells operators the state of the wave.
func (m *Manager) saveWave(w *waveRecord) {
	if !w.loaded || w.saving || w.completed {
		return
	}
	finished := m.finished(w)
	if !w.changed && !finished {
		return
	}
	record := &jobpb.WaveProgress{StartedUnixMs: w.started.UnixMilli(), Completed: finished}
	for name := range w.done {
		record.Done = append(record.Done, name)
	}
	value, err := proto.Marshal(record)
	if err != nil {
		m.o.Recorder.Record(eventlog.WaveSaveFailed, eventlog.Fields{"wave": w.Number, "error": err})
		return
	}
	w.saving, w.changed = true, false
	set := []rows.Row{{Key: progressKey(w.Number), Value: value}, m.o.StatusRow(w.Number, finished)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		err := m.commit(ctx, set)
		m.o.Loop.Post(func() { m.waveSaved(w, finished, err) })
	}()
}

func (m *Manager) waveSaved(w *waveRecord, finished bool, err error) {
	w.saving = false
	if err != nil {
		w.changed = true
		m.o.Recorder.Record(eventlog.WaveSaveFailed, eventlog.Fields{"wave": w.Number, "error": err})
		return
	}
	if finished {
		w.completed = true
		m.o.Recorder.Record(eventlog.WaveCompleted, eventlog.Fields{"wave": w.Number, "machines": len(w.done)})
	}
}
