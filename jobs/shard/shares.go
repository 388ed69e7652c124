package shard

import (
	"context"
	"errors"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/caps"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
)

// TableCaps is the table that divides the caps of workspaces among pools. The part of a
// row's key is the workspace.
const TableCaps = "caps"

const (
	// shareName is the name of the only row of a part.
	shareName = "shares"
	// shareInterval is the minimum time between two transactions about the same cap. Each
	// pool that shares the cap adds shareIntervalPerPool, or contendedIntervalPerPool while
	// a pool waits for a share, which bounds the conflicts on the row.
	shareInterval            = 100 * time.Millisecond
	shareIntervalPerPool     = 4 * time.Millisecond
	contendedIntervalPerPool = 20 * time.Millisecond
	// maxShareTransactions limits the concurrent transactions about caps, as after a
	// takeover.
	maxShareTransactions = 8
	// repairDelay is how long an owner that never saw a readable row waits before it
	// replaces an unreadable one. Other owners restore the last readable row sooner.
	repairDelay = 10 * time.Second
)

func shareKey(name job.Workspace) rows.Key {
	return rows.Key{Table: TableCaps, Part: string(name), Name: shareName}
}

// ObserveCapRows applies changed rows of the table of caps.
func (s *Shard) ObserveCapRows(changed []rows.Row) {
	if s.stopped {
		return
	}
	for _, row := range changed {
		c := s.caps.byName[job.Workspace(row.Part)]
		if c == nil || row.Name != shareName {
			continue
		}
		if !s.observeShares(c, row) {
			return
		}
		s.updateShare(c)
	}
	if len(s.caps.byName) > 0 {
		s.schedulePlacement()
	}
}

// observeShares applies a row. It relinquishes the shard and returns false if a newer owner
// has written the entry of this pool.
func (s *Shard) observeShares(c *workspaceCap, row rows.Row) bool {
	if row.Version <= c.ledger.Version() {
		return true
	}
	if row.Deleted {
		c.ledger.ObserveMissing()
		return true
	}
	record, err := caps.Unmarshal(row.Value)
	if err != nil {
		s.recordEvent(eventlog.CapRowUnreadable, eventlog.Fields{"workspace": c.name, "version": row.Version, "error": err})
		c.ledger.ObserveUnreadable(row.Version)
		c.unreadableSince = s.opts.Clock()
		return true
	}
	c.unreadableSince = 0
	return s.afterObserving(c, c.ledger.Observe(row.Version, record))
}

// afterObserving notes the share of the former owner until this owner has claimed it.
func (s *Shard) afterObserving(c *workspaceCap, err error) bool {
	if errors.Is(err, caps.ErrNewerOwner) {
		s.relinquish("a newer owner has written the share of the pool", nil)
		return false
	}
	if !c.ledger.Claimed() {
		e := c.ledger.Entry()
		c.inherited = caps.AmountOf(max(e.Held, e.Overuse), c.limit)
	}
	return true
}

// updateShare sends the transaction that the demand of a workspace requires, if any.
func (s *Shard) updateShare(c *workspaceCap) {
	now := s.opts.Clock()
	if c.transactionInFlight || now < c.notBefore || s.caps.transactions >= maxShareTransactions || !s.canAct() {
		return
	}
	if c.ledger.Unreadable() && c.limit == (job.Resources{}) {
		return // The row is repaired only while the workspace has a cap.
	}
	proposal, ok, err := c.ledger.Propose(s.capDemand(c))
	if err != nil {
		s.relinquish("a newer owner has written the share of the pool", nil)
		return
	}
	if !ok {
		return
	}
	value, err := caps.Marshal(proposal.Record)
	if err != nil {
		s.recordEvent(eventlog.CapRowUnreadable, eventlog.Fields{"workspace": c.name, "error": err})
		return
	}
	key := shareKey(c.name)
	tx := rows.Tx{
		Expect: []rows.Expectation{{Key: key, Version: proposal.Expect}},
		Set:    []rows.Row{{Key: key, Value: value}},
	}
	c.transactionInFlight = true
	c.notBefore = now + c.shareInterval(len(proposal.Record.Entries))
	s.caps.transactions++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		result, err := s.opts.Store.Commit(ctx, tx)
		s.opts.Loop.Post(func() { s.handleShareResult(c, proposal, result, err) })
	}()
}

// shareInterval returns the time between two transactions about a cap that pools share.
func (c *workspaceCap) shareInterval(pools int) time.Duration {
	if c.ledger.OthersUnmet() {
		return shareInterval + time.Duration(pools)*contendedIntervalPerPool
	}
	return shareInterval + time.Duration(pools)*shareIntervalPerPool
}

// handleShareResult applies the outcome of a transaction about a cap. After a conflict, the
// owner decides again at once with the row that it found.
func (s *Shard) handleShareResult(c *workspaceCap, proposal caps.Proposal, result rows.Result, err error) {
	c.transactionInFlight = false
	s.caps.transactions--
	if s.stopped {
		return
	}
	switch {
	case errors.Is(err, rows.ErrNotExecuted):
		c.ledger.NotExecuted(proposal)
	case err != nil:
		c.ledger.Unanswered(proposal)
	case result.Applied:
		if !s.afterObserving(c, c.ledger.Applied(proposal, result.Version)) {
			return
		}
	default:
		if !s.handleShareConflict(c, proposal, result.CurrentRows) {
			return
		}
		c.notBefore = 0
	}
	s.updateShare(c)
	s.schedulePlacement()
}

// handleShareConflict applies the row that a rejected transaction found.
func (s *Shard) handleShareConflict(c *workspaceCap, proposal caps.Proposal, found []rows.Row) bool {
	for _, row := range found {
		if row.Table == TableCaps && !row.Deleted {
			return s.observeShares(c, row)
		}
	}
	if proposal.Expect == c.ledger.Version() {
		c.ledger.ObserveMissing()
	}
	return true
}
