package shard

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/worker"
)

// This file traces what has permitted a further run of a task, and orders that have not reached the incarnation
// for which they were meant.

// removal is why runs on an incarnation of a worker no longer count, and what has shown it.
type removal struct {
	worker   worker.ID
	born     int64         // Of the incarnation, in Unix milliseconds.
	reason   string        // A [removalReason], or the outcome that the worker reported.
	at       time.Duration // On the shard's clock.
	end      uint64        // Number of the end that the worker has listed, or 0.
	nextBorn int64         // Of the next incarnation, with [workerRestarted].
	wait     leaseWait     // With [leaseExpired] and [neverAnswered].
}

// leaseKind says which lease was waited for.
type leaseKind string

const (
	grantedLease   leaseKind = "granted"   // By this owner, to this incarnation.
	longestLease   leaseKind = "longest"   // The longest one that a worker may have.
	inheritedLease leaseKind = "inherited" // The longest one that former owners have granted.
)

// leaseWait is a lease that was waited for, and from when its time was counted.
type leaseWait struct {
	kind  leaseKind
	lease time.Duration
	from  time.Duration // On the shard's clock.
}

// newRemoval returns the removal of runs without an end.
func (s *Shard) newRemoval(w *workerState, reason removalReason) *removal {
	r := &removal{worker: w.info.ID, born: w.info.StartedUnixMs, reason: string(reason), at: s.opts.Clock()}
	switch reason {
	case workerRestarted:
		r.nextBorn = s.workers[w.info.ID].info.StartedUnixMs
	case leaseExpired:
		r.wait = s.awaitedLease(w)
	case neverAnswered:
		r.wait = leaseWait{longestLease, s.maxLease(), w.knownSince}
	}
	return r
}

// removalByEnd returns the removal of a run whose end the worker has listed.
func (s *Shard) removalByEnd(w *workerState, end worker.RunEnd) *removal {
	return &removal{worker: w.info.ID, born: w.info.StartedUnixMs, reason: end.Outcome.String(), at: s.opts.Clock(), end: end.Number}
}

// awaitedLease returns the lease whose expiry has ended the runs of a silent worker.
func (s *Shard) awaitedLease(w *workerState) leaseWait {
	if w.inherited && s.inheritedLeasesEnd(s.inheritedLease) > w.leaseExpiry() {
		return leaseWait{inheritedLease, s.inheritedLease, s.ownerSince}
	}
	if w.formerLeaseExpiry > w.maxLeaseExpiry {
		return leaseWait{longestLease, w.formerLeaseExpiry - w.clock, w.clockReadAt}
	}
	return leaseWait{grantedLease, w.maxLeaseExpiry - w.clock, w.clockReadAt}
}

// proof returns what has shown that the runs have ended, beside the reason; empty for nothing.
func (r *removal) proof(now time.Duration) string {
	switch {
	case r.end > 0:
		return fmt.Sprintf("end=%d", r.end)
	case r.nextBorn > 0:
		return fmt.Sprintf("next=%d", r.nextBorn)
	case r.wait.kind != "":
		return fmt.Sprintf("%s=%s,from=%s", r.wait.kind, milliseconds(r.wait.lease), milliseconds(now-r.wait.from))
	}
	return ""
}

func milliseconds(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// orderedFromOther returns the incarnation for which the start of a run on a worker was meant, or 0 if that is the one
// on which the run is counted or this owner has not ordered the run.
func (a *attempt) orderedFromOther(w *workerState) int64 {
	if a.orderedFrom == w.info.StartedUnixMs {
		return 0
	}
	return a.orderedFrom
}

// sharesProof reports whether two runs have ended for the same reason, at the same time.
func (l *lostRun) sharesProof(other *lostRun) bool {
	return l.removal == other.removal && l.orderedFrom == other.orderedFrom
}

// proofGroups returns the started runs by the proof that the run before has ended.
func proofGroups(restarted []*attempt) (groups [][]*attempt) {
	for _, a := range restarted {
		i := slices.IndexFunc(groups, func(g []*attempt) bool { return g[0].former.sharesProof(a.former) })
		if i < 0 {
			groups = append(groups, []*attempt{a})
		} else {
			groups[i] = append(groups[i], a)
		}
	}
	return groups
}

// restartsOfLine returns how many of the restarted tasks fit into a log line.
func restartsOfLine(restarted []*attempt) int {
	n := min(len(restarted), maxRestartsPerLine)
	for len(proofGroups(restarted[:n])) > maxProofsPerLine {
		n--
	}
	return n
}

// proofsText returns the proofs that the runs before have ended, as INDEX,INDEX...:BORN:AGE or
// INDEX,INDEX...:BORN:AGE:DETAILS for tasks whose runs have ended together.
func (s *Shard) proofsText(restarted []*attempt) string {
	now := s.opts.Clock()
	var texts []string
	for _, group := range proofGroups(restarted) {
		var indexes []string
		for _, a := range group {
			indexes = append(indexes, strconv.Itoa(a.ref.Index))
		}
		former := group[0].former
		text := fmt.Sprintf("%s:%d:%s", strings.Join(indexes, ","), former.born, milliseconds(now-former.at))
		if details := former.proofDetails(now); details != "" {
			text += ":" + details
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, " ")
}

func (l *lostRun) proofDetails(now time.Duration) string {
	details := l.proof(now)
	if l.orderedFrom == 0 {
		return details
	}
	meant := fmt.Sprintf("meant=%d", l.orderedFrom)
	if details == "" {
		return meant
	}
	return details + "," + meant
}

// accountingProof says what has shown that this owner knows all that former owners may have started on a worker.
type accountingProof string

const (
	accountedByStatus  accountingProof = "status"
	accountedByWait    accountingProof = "wait" // All leases of former owners have expired.
	accountedByRemoval accountingProof = "removal"
)

// maxNamedPerAccounting bounds the workers without a status that a line names for each proof.
const maxNamedPerAccounting = 5

// accounting is what has shown that the runs of former owners had ended.
type accounting struct {
	lastAt         time.Duration // When the last worker was accounted for.
	byStatus       int           // Number of workers.
	byWait         int
	byRemoval      int
	namesByWait    []string // WORKER/BORN:LEASE, the first ones.
	namesByRemoval []string // WORKER/BORN, the first ones.
}

func (s *Shard) traceAccountedFor(w *workerState, proof accountingProof) {
	t := &s.trace.accounting
	t.lastAt = s.opts.Clock()
	name := fmt.Sprintf("%s/%d", w.info.ID, w.info.StartedUnixMs)
	switch proof {
	case accountedByStatus:
		t.byStatus++
	case accountedByWait:
		t.byWait++
		t.namesByWait = appendUpTo(t.namesByWait, fmt.Sprintf("%s:%s", name, s.inheritedLeaseOf(w)), maxNamedPerAccounting)
	case accountedByRemoval:
		t.byRemoval++
		t.namesByRemoval = appendUpTo(t.namesByRemoval, name, maxNamedPerAccounting)
	}
}

func appendUpTo(names []string, name string, maximum int) []string {
	if len(names) == maximum {
		return names
	}
	return append(names, name)
}

// addAccountingFields adds how the workers of former owners were accounted for.
func (s *Shard) addAccountingFields(fields eventlog.Fields) {
	t, now := &s.trace.accounting, s.opts.Clock()
	fields["owned_for"], fields["workers_replied"] = milliseconds(now-s.ownerSince).String(), t.byStatus
	if t.lastAt > 0 {
		fields["accounted_age"] = milliseconds(now - t.lastAt).String()
	}
	if t.byWait > 0 {
		fields["workers_waited"], fields["waited_for"] = t.byWait, strings.Join(t.namesByWait, " ")
	}
	if t.byRemoval > 0 {
		fields["workers_gone"], fields["gone"] = t.byRemoval, strings.Join(t.namesByRemoval, " ")
	}
}

const (
	// maxUnsentOrders is the number of orders that were not sent that are logged in each unsentOrdersInterval.
	maxUnsentOrders      = 10
	unsentOrdersInterval = time.Second
)

// addIncarnationFields adds the incarnation for which an order was meant and, if the client has reached another one
// instead, that one.
func addIncarnationFields(fields eventlog.Fields, born int64, err error) {
	fields["born"] = born
	if restarted, ok := errors.AsType[*worker.RestartedError](err); ok {
		fields["answered_born"] = restarted.AnsweredUnixMs
	}
}

// traceUnsentOrder records a hold or a stop that was not sent because another incarnation has answered.
func (s *Shard) traceUnsentOrder(kind workerOrder, to worker.Target, err error, details eventlog.Fields) {
	if !errors.Is(err, worker.ErrRestarted) {
		return
	}
	leftOut, ok := s.trace.unsentOrders.take(s.opts.Clock(), maxUnsentOrders, unsentOrdersInterval)
	if !ok {
		return
	}
	details["worker"], details["order"], details["left_out"] = to.ID, string(kind), leftOut
	addIncarnationFields(details, to.StartedUnixMs, err)
	s.recordEvent(eventlog.OrderNotSent, details)
}

// recordFailedStart records a start that was refused or not answered. One without an answer may still be carried out
// after this process has lost the shard, or after the run was given up.
func (s *Shard) recordFailedStart(a *attempt, err error) {
	code := eventlog.StartUnanswered
	if worker.Refused(err) {
		if s.stopped {
			return
		}
		code = eventlog.StartRefused
	}
	fields := eventlog.Fields{"task": a.ref.String(), "run": a.run, "worker": a.worker.info.ID, "error": err}
	addIncarnationFields(fields, a.orderedFrom, err)
	s.recordEvent(code, fields)
}
