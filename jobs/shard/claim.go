package shard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/bounded"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
)

// claimShard claims the head row, which ends the transaction chain of the former owner,
// and loads the rows.
func (s *Shard) claimShard() {
	if s.stopped {
		return
	}
	if !s.opts.OwnsShard() {
		s.opts.Loop.After(commitRetryDelay, s.claimShard)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		head, version, err := s.claimHead(ctx)
		var loaded *snapshot
		if err == nil {
			loaded, err = s.loadRows(ctx)
		}
		s.opts.Loop.Post(func() { s.handleClaimResult(head, version, loaded, err) })
	}()
}

// claimHead writes the head row for this owner and returns it. Its HoldMs is the
// longest lease that this owner or a former one grants. With errNewerOwner it returns the head row of
// that owner.
func (s *Shard) claimHead(ctx context.Context) (*jobpb.Head, rows.Version, error) {
	key := s.headKey()
	page, err := s.opts.Store.Read(ctx, key.Table, key.Part, key.Name)
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
	if s.isOwn(head) {
		s.recordClaim(nil, head, version, claimFound)
		return head, version, nil // An earlier attempt took effect.
	}
	if head.Fence > s.opts.Fence {
		return head, version, errNewerOwner
	}
	next := &jobpb.Head{
		Owner: s.opts.Owner, Generation: head.Generation + 1, HoldMs: max(head.HoldMs, s.opts.LeaseDuration.Milliseconds()),
		Fence: s.opts.Fence, Object: s.object,
	}
	value, err := proto.Marshal(next)
	if err != nil {
		return nil, 0, fmt.Errorf("encode head row: %w", err)
	}
	result, err := s.opts.Store.Commit(ctx, rows.Tx{
		Expect: []rows.Expectation{{Key: key, Version: version}},
		Set:    []rows.Row{{Key: key, Value: value}},
	})
	if err != nil {
		s.recordFailedClaim(head, next, version, err)
		return nil, 0, fmt.Errorf("write head row: %w", err)
	}
	if !result.Applied {
		return nil, 0, fmt.Errorf("write head row: %w", errHeadChanged)
	}
	s.recordClaim(head, next, version, claimApplied)
	return next, result.Version, nil
}

// longestLease returns the longest lease that a worker may have from this owner or from a former
// one. The next owner waits for it before it gives up the runs of a silent worker.
func (s *Shard) longestLease(now time.Duration) time.Duration {
	longest := s.opts.LeaseDuration
	if now < s.inheritedLeasesEnd(s.inheritedLease) {
		longest = max(longest, s.inheritedLease)
	}
	for _, w := range s.workers {
		if w.restarted && (w.clock == 0 || now <= w.leaseExpiry()) {
			longest = max(longest, s.maxLease())
		}
	}
	return longest
}

// inheritedLeasesEnd returns when leases of the given duration from former owners have expired.
func (s *Shard) inheritedLeasesEnd(lease time.Duration) time.Duration {
	return s.ownerSince + time.Duration(float64(lease)/minClockRate) + leaseMargin
}

// handleClaimResult activates the shard with the loaded rows, or repeats a failed
// claim unless the head row belongs to a newer owner.
func (s *Shard) handleClaimResult(head *jobpb.Head, version rows.Version, loaded *snapshot, err error) {
	if s.stopped {
		return
	}
	if errors.Is(err, errNewerOwner) {
		s.relinquish("the head row belongs to a newer owner", headFields(head, version))
		return
	}
	if err != nil {
		s.recordEvent(eventlog.ShardLoadFailed, eventlog.Fields{"error": err})
		s.opts.Loop.After(commitRetryDelay, s.claimShard)
		return
	}
	s.journal.head, s.journal.generation = version, head.Generation
	s.inheritedLease = max(bounded.Milliseconds(head.HoldMs), 0)
	s.restoreState(loaded)
	s.active = true
	s.recordLoaded(head.Generation)
	s.registerWorkers()
	s.runPeriodicChecks()
}
