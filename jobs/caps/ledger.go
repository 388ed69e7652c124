package caps

// Version is the version of a row; 0 means that the row does not exist.
type Version = uint64

// Ledger is the view that the owner of a pool has of the division of one cap. It counts a
// share as held only once a row shows it, and as returned from the moment a transaction
// that returns it is proposed.
type Ledger struct {
	pool  string
	fence uint64

	// version and record are those of the newest row that was seen.
	version Version
	record  Record
	// unreadable is set while the row of that version cannot be decoded. The record is
	// then that of the last readable row.
	unreadable bool
	readable   bool // A readable row was seen.
	// proposed is the lowest share of the transactions that expect version and may have
	// been applied; Whole if there are none.
	proposed Share
	// uncertain is set if one of these transactions got no reply.
	uncertain bool
	// served is set if a task or gang was started since the entry's ticket was issued.
	served bool
}

// Proposal is a transaction that replaces the row of the given version.
type Proposal struct {
	Expect Version
	Record Record
}

// NewLedger returns the ledger of a pool's owner that has not seen the row yet.
func NewLedger(pool string, fence uint64) *Ledger {
	return &Ledger{pool: pool, fence: fence, proposed: Whole}
}

// Version returns the version of the newest row that was seen.
func (l *Ledger) Version() Version { return l.version }

// Entry returns the entry of the owner's pool as last seen.
func (l *Ledger) Entry() Entry { return l.record.Entry(l.pool) }

// Claimed reports whether the owner has written the entry of its pool.
func (l *Ledger) Claimed() bool { return l.Entry().Fence == l.fence }

// Unreadable reports whether the row cannot be decoded.
func (l *Ledger) Unreadable() bool { return l.unreadable }

// OthersUnmet reports whether another pool needs more than it holds.
func (l *Ledger) OthersUnmet() bool { return l.record.othersUnmet(l.pool) }

// Free returns the share that no pool holds.
func (l *Ledger) Free() Share { return l.record.Free() }

// Observe applies a row that was read or written. An older one is ignored. It returns
// [ErrNewerOwner] if a newer owner of the pool has written the pool's entry.
func (l *Ledger) Observe(version Version, record Record) error {
	if version <= l.version {
		return nil
	}
	// Transactions that expect an older version can no longer be applied.
	if record.Entry(l.pool).Ticket != l.Entry().Ticket {
		l.served = false
	}
	l.version, l.record, l.unreadable, l.readable, l.proposed, l.uncertain = version, record, false, true, Whole, false
	if l.Entry().Fence > l.fence {
		return ErrNewerOwner
	}
	return nil
}

// ObserveUnreadable applies a row that cannot be decoded. The whole cap counts as held by
// other pools until the row is readable again.
func (l *Ledger) ObserveUnreadable(version Version) {
	if version > l.version {
		l.version, l.unreadable, l.proposed, l.uncertain = version, true, Whole, false
	}
}

// ObserveMissing applies the news that the row does not exist, although an earlier version
// was seen: it was deleted.
func (l *Ledger) ObserveMissing() {
	l.version, l.record, l.unreadable, l.readable, l.proposed, l.uncertain = 0, Record{}, false, false, Whole, false
}

// Usable returns the share that the owner certainly holds.
func (l *Ledger) Usable() Share {
	if l.unreadable || !l.Claimed() {
		return 0
	}
	return min(l.Entry().Held, l.proposed)
}

// Limit returns the share up to which the owner may start tasks: the share that it holds,
// less what other pools use above theirs, and its target while another pool waits.
func (l *Ledger) Limit(d Demand) Share {
	limit := min(l.Usable(), max(Whole-l.record.usedByOthers(l.pool), 0))
	if limit == 0 || !l.OthersUnmet() {
		return limit
	}
	d = d.bounded()
	d.served = l.served
	e := l.Entry()
	e.Need, e.NextStart = d.Need, d.NextStart
	return min(limit, target(l.record.with(e), l.pool, d))
}

// Attainable returns the share that the pool would get with a higher need. While no pool
// waits, the needs in the row can be out of date, and it returns the whole cap.
func (l *Ledger) Attainable(need Share) Share {
	e := l.Entry()
	if !e.unmet() && !l.OthersUnmet() {
		return Whole
	}
	e.Need = min(max(need, e.Need), Whole)
	r := l.record.with(e)
	i, _ := r.find(l.pool)
	return Targets(r)[i]
}

// MarkServed notes that a task or gang was started.
func (l *Ledger) MarkServed() { l.served = true }

// Propose returns the next transaction, and false if none is needed. From then on, a share
// that it returns counts as returned. The caller reports the outcome of the transaction
// before it calls Propose again.
func (l *Ledger) Propose(d Demand) (Proposal, bool, error) {
	if l.settled(d) {
		return Proposal{}, false, nil
	}
	d.served = l.served
	record, write, err := next(l.record, l.pool, l.fence, d)
	if l.unreadable {
		record, write = l.repair(record, d)
	}
	if err != nil || !write {
		return Proposal{}, false, err
	}
	l.proposed = min(l.proposed, record.Entry(l.pool).Held)
	return Proposal{Expect: l.version, Record: record}, true, nil
}

// settled reports whether no transaction can be needed. It is the common case, and cheaper
// than the decision about one.
func (l *Ledger) settled(d Demand) bool {
	e := l.Entry()
	switch {
	case l.unreadable || e.unmet() || e.Overuse > 0:
		return false
	case e.Held == 0:
		return d.Need == 0 && d.Use == 0
	case e.Fence != l.fence || d.Use > e.Held || d.Need > e.Held || l.OthersUnmet():
		return false
	}
	keep := unusedAbove(d.bounded())
	return keep > 0 && e.Held-keep < minReturn
}

// repair returns the record that replaces an unreadable row: the last readable one, or a
// new one with the use of this pool if none was seen.
func (l *Ledger) repair(last Record, d Demand) (Record, bool) {
	if l.readable || !d.Repair {
		return last, l.readable
	}
	d = d.bounded()
	e := Entry{Pool: l.pool, Fence: l.fence, Held: min(d.Use, Whole), Need: d.Need, NextStart: d.NextStart}
	return Record{}.with(e), true
}

// Applied notes that a proposal was applied, and the version that it got.
func (l *Ledger) Applied(p Proposal, version Version) error {
	return l.Observe(version, p.Record)
}

// Unanswered notes that a proposal got no reply. It may have been applied, or may be
// applied later while the row still has the version that it expects.
func (l *Ledger) Unanswered(p Proposal) {
	if p.Expect == l.version {
		l.uncertain = true
	}
}

// NotExecuted notes that a proposal was not executed and never will be.
func (l *Ledger) NotExecuted(p Proposal) {
	if p.Expect == l.version && !l.uncertain {
		l.proposed = Whole
	}
}
