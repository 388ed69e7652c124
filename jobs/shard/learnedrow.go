package shard

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

const (
	// tableDurations holds what each pool has learned, in one row.
	tableDurations = "durations"
	durationsName  = "durations"
	// durationsInterval is the minimum time between two writes of the row.
	durationsInterval = 10 * time.Second
)

// addDurationsRow adds the row of the learned durations to a transaction, if it changed
// much.
func (s *Shard) addDurationsRow(b *batch) error {
	l := s.learning
	if l == nil || b.full() {
		return nil
	}
	now := s.opts.Clock()
	if now-max(l.savedAt, s.ownerSince) < durationsInterval || !l.model.Changed() {
		return nil
	}
	l.savedAt = now
	return b.setRow(s.rowKey(tableDurations, durationsName), l.model.Record())
}

// loadDurations reads the row of the learned durations. A row that cannot be decoded is
// logged and overwritten later.
func (s *Shard) loadDurations(ctx context.Context) (*jobpb.Durations, error) {
	if s.learning == nil {
		return nil, nil
	}
	page, err := rows.ReadAll(ctx, s.opts.Store, tableDurations, s.opts.Pool)
	if err != nil {
		return nil, err
	}
	for _, row := range page.Rows {
		record := &jobpb.Durations{}
		if row.Name != durationsName {
			continue
		}
		message, err := rows.Unpack(row.Value)
		if err == nil {
			err = proto.Unmarshal(message, record)
		}
		if err != nil {
			s.recordUnreadableDurations(err)
			continue
		}
		return record, nil
	}
	return nil, nil
}

// restoreDurations starts from what the former owner has learned.
func (s *Shard) restoreDurations(record *jobpb.Durations) {
	if s.learning == nil || record == nil {
		return
	}
	if err := s.learning.model.Merge(record); err != nil {
		s.recordUnreadableDurations(err)
	}
}

func (s *Shard) recordUnreadableDurations(err error) {
	s.recordEvent(eventlog.DurationsUnreadable, eventlog.Fields{"error": err})
}
