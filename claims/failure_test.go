package claims

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/membership"
	"peridotcrank.dev/peer"
	"peridotcrank.dev/peer/peerpb"
)

// site is a set of services whose messages are delivered at once, unless drop returns
// true.
type site struct {
	services map[fleet.MemberID]*Service
	view     fleet.MemberView
	now      time.Duration
	invalid  bool
	drop     func(request, reply proto.Message) (lost bool) // reply is nil before delivery
}

type siteTransport struct {
	*site
	from fleet.MemberID
}

func (s siteTransport) Call(_ context.Context, to fleet.MemberID, message proto.Message) (proto.Message, error) {
	lost := &peer.Error{Step: peer.StepReply, Peer: to, MaybeSent: true, Err: context.DeadlineExceeded}
	if s.drop != nil && s.drop(message, nil) {
		return nil, lost
	}
	reply, err := s.services[to].Receive(s.from, message)
	if s.drop != nil && reply != nil && s.drop(message, reply) {
		return nil, lost
	}
	return reply, err
}

func (s siteTransport) Notify(ctx context.Context, to fleet.MemberID, message proto.Message) error {
	_, err := s.Call(ctx, to, message)
	return err
}

// newSite starts the members a, b, c, ... in the given zones.
func newSite(t testing.TB, maxRecords int, zones ...fleet.ZoneID) *site {
	s := &site{services: make(map[fleet.MemberID]*Service), now: time.Hour}
	for i, zone := range zones {
		s.add(t, fleet.Member{ID: fleet.MemberID(rune('a' + i)), Zone: zone}, maxRecords)
	}
	s.adopt()
	return s
}

// add adds a member to the view. The members get the view when adopt is called.
func (s *site) add(t testing.TB, member fleet.Member, maxRecords int) {
	service, err := New(Config{
		Self: member.ID, Transport: siteTransport{s, member.ID}, MaxRecords: maxRecords,
		Valid: func() bool { return !s.invalid }, Now: func() time.Duration { return s.now },
	})
	assert.NilError(t, err)
	t.Cleanup(service.Close)
	s.services[member.ID] = service
	s.view = membership.Join(s.view, member)
}

// remove evicts a member and adopts the view without it.
func (s *site) remove(t testing.TB, id fleet.MemberID) {
	for _, m := range s.view.Members {
		if m.ID == id {
			next, ok := membership.Evict(s.view, m)
			assert.Assert(t, ok)
			s.view = next
		}
	}
	s.adopt()
}

// adopt sets the view at all members and waits until their recoveries are complete.
func (s *site) adopt() {
	for _, m := range s.view.Members {
		s.services[m.ID].SetView(s.view)
	}
	for _, m := range s.view.Members {
		for s.services[m.ID].Stats().Recovering {
			time.Sleep(time.Millisecond)
		}
	}
}

// keyOwnedBy returns a key that the member owns.
func (s *site) keyOwnedBy(t testing.TB, owner fleet.MemberID) Key {
	for i := range 1000 {
		key := Key{Service: "orders", Value: fmt.Sprint(i)}
		encoded, err := key.encode()
		assert.NilError(t, err)
		if newRendezvous(s.view.Members).owner(hashKey(encoded)) == owner {
			return key
		}
	}
	t.Fatal("no key found")
	return Key{}
}

func (s *site) expectVerdict(t testing.TB, member fleet.MemberID, key Key, expected Verdict) {
	t.Helper()
	verdict, err := s.services[member].Claim(context.Background(), key)
	assert.Equal(t, verdict, expected, "error: %v", err)
	assert.Equal(t, err != nil, verdict == VerdictUnknown)
}

// Guards against a second dispatch when the owner has recorded the claim, but its
// reply and the release are lost. The dispatcher must not dispatch, other members must
// not be able to claim the key, and the dispatcher must be able to claim it again.
func TestReplyOfOwnerLost(t *testing.T) {
	s := newSite(t, 0, "z1", "z2", "z3")
	key := s.keyOwnedBy(t, "b")
	s.drop = func(_, reply proto.Message) bool { return reply != nil }
	s.expectVerdict(t, "a", key, VerdictUnknown)
	assert.Check(t, !s.services["a"].Dispatchable(key))
	s.drop = nil
	s.services["b"].SetView(s.view)
	s.expectVerdict(t, "a", key, VerdictFresh)
	s.expectVerdict(t, "a", key, VerdictSeen)
	s.expectVerdict(t, "c", key, VerdictSeen)
}

// Guards against an unknown outcome or a second grant when the owner leaves the view
// during a claim and the session ends before its reply. The claim must be requested
// from the next owner, once.
func TestOwnerLeavesBeforeItsReply(t *testing.T) {
	s := newSite(t, 0, "z1", "z2", "z3")
	key := s.keyOwnedBy(t, "b")
	claims := 0
	s.drop = func(request, reply proto.Message) bool {
		if _, claim := request.(*peerpb.Claim); !claim || reply == nil {
			return false
		}
		if claims++; claims > 1 {
			return false
		}
		s.remove(t, "b")
		return true
	}
	s.expectVerdict(t, "a", key, VerdictFresh)
	assert.Check(t, s.services["a"].Dispatchable(key))
	s.expectVerdict(t, "a", key, VerdictSeen)
	s.expectVerdict(t, "c", key, VerdictSeen)
}

// Guards against a key that stays claimed after a release has arrived. Any member must
// be able to claim it again.
func TestReleaseFreesKey(t *testing.T) {
	s := newSite(t, 0, "z1", "z1", "z3")
	for _, owner := range []fleet.MemberID{"a", "b", "c"} {
		key := s.keyOwnedBy(t, owner)
		s.expectVerdict(t, "a", key, VerdictFresh)
		s.expectVerdict(t, "c", key, VerdictSeen)
		assert.Check(t, s.services["a"].Dispatchable(key))
		s.services["a"].Release(context.Background(), key)
		assert.Check(t, !s.services["a"].Dispatchable(key))
		s.expectVerdict(t, "c", key, VerdictFresh)
		s.expectVerdict(t, "a", key, VerdictSeen)
	}
}

// Guards against a late dispatch by a process that was paused between claim and
// dispatch, until the validity of its view had lapsed or the time for the dispatch had passed.
func TestDispatchableEnds(t *testing.T) {
	s := newSite(t, 0, "z1", "z2", "z3")
	key := s.keyOwnedBy(t, "b")
	s.expectVerdict(t, "a", key, VerdictFresh)
	s.invalid = true
	assert.Check(t, !s.services["a"].Dispatchable(key), "the view is not valid")
	s.invalid = false
	s.now += DefaultDispatchWithin - 1
	assert.Check(t, s.services["a"].Dispatchable(key))
	s.now++
	assert.Check(t, !s.services["a"].Dispatchable(key), "too long after the claim")
	s.now += DefaultWindow + bucketWidth
	s.expectVerdict(t, "c", key, VerdictFresh)
}

// Guards against a decision between an owner and a dispatcher with different views, and
// against a claim that does not succeed once the views are equal.
func TestViewsDiffer(t *testing.T) {
	s := newSite(t, 0, "z1", "z2", "z3")
	key := s.keyOwnedBy(t, "b")
	next := membership.Join(s.view, s.view.Members[2])
	s.services["a"].SetView(next)
	s.expectVerdict(t, "a", key, VerdictUnknown)
	encoded, _ := key.encode()
	reply, err := s.services["b"].Receive("x", &peerpb.Claim{ViewVersion: s.view.Version, Key: encoded, Member: "x"})
	assert.NilError(t, err)
	assert.Equal(t, reply.(*peerpb.ClaimReply).GetVerdict(), peerpb.ClaimReply_VERDICT_WRONG_VIEW, "x is no member")
	decided := make(chan struct{})
	go func() {
		defer close(decided)
		s.expectVerdict(t, "a", key, VerdictFresh)
	}()
	s.services["b"].SetView(next)
	s.services["c"].SetView(next)
	<-decided
}

// Guards against the loss of a claim when the owner and the dispatcher are one process,
// or in one zone, and fail. A member in another zone must have a copy.
func TestCopyInAnotherZone(t *testing.T) {
	s := newSite(t, 0, "z1", "z1", "z2")
	for _, owner := range []fleet.MemberID{"a", "b"} {
		key := s.keyOwnedBy(t, owner)
		s.expectVerdict(t, "a", key, VerdictFresh)
		encoded, err := key.encode()
		assert.NilError(t, err)
		assert.Check(t, s.services["c"].table.records[encoded] != nil, "owner %s", owner)
	}
}

// Guards against the loss of a claim that arrives in a handover while this process
// claims the same key without success. A later owner must still get it in its recovery.
func TestHandoverDuringClaim(t *testing.T) {
	s := newSite(t, 0, "z1", "z2", "z3")
	key := s.keyOwnedBy(t, "b")
	encoded, _ := key.encode()
	s.expectVerdict(t, "c", key, VerdictFresh)
	handover := &peerpb.ClaimHandover{ViewVersion: s.view.Version, Member: "c", Incarnation: 3,
		Records: []*peerpb.ClaimRecord{{Key: encoded, Member: "c", Incarnation: 3, Sequence: 1}}}
	s.drop = func(request, reply proto.Message) bool {
		if _, ok := request.(*peerpb.Claim); ok && reply == nil {
			_, err := s.services["a"].Receive("c", handover)
			assert.NilError(t, err)
		}
		return false
	}
	s.expectVerdict(t, "a", key, VerdictSeen)
	next := membership.Join(s.view, s.view.Members[2])
	s.services["a"].SetView(next)
	reply, err := s.services["a"].Receive("b", &peerpb.ClaimRecovery{ViewVersion: next.Version, Member: "b"})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.(*peerpb.ClaimRecoveryReply).GetRecords()), 1)
}

// Guards against merges in which an own or abandoned claim hides the claim of another
// member or makes it expire early.
func TestMergeKeepsOtherClaims(t *testing.T) {
	const created, later = time.Second, 10 * time.Second
	own, other := claimID{identity{"a", 1}, 1}, claimID{identity{"b", 1}, 1}
	for _, state := range []state{stateCopy, stateClaiming, stateGranted, stateAbandoned} {
		for name, incoming := range map[string]record{
			"other holder": {claimID: other, createdAt: later}, "contested": {claimID: own, createdAt: later, contested: true},
		} {
			table := newTable(DefaultWindow, 10)
			table.put("k", record{claimID: own, createdAt: created, state: state})
			assert.Check(t, table.merge("k", incoming))
			if r := table.records["k"]; r.isOwn() {
				r.abandon()
			}
			r := table.records["k"]
			assert.Check(t, r.state == stateCopy && (r.contested || r.claimID == other), "%s on %d", name, state)
			table.sweep(later + DefaultWindow)
			assert.Check(t, table.records["k"] != nil || name == "contested", "%s on %d", name, state)
		}
	}
}

// Guards against a full table that accepts new keys, drops stored ones before their
// window has passed, or does not accept keys again afterwards.
func TestTableIsBounded(t *testing.T) {
	s := newSite(t, 10, "z1", "z2", "z3")
	full := 0
	for i := range 100 {
		verdict, _ := s.services["a"].Claim(context.Background(), Key{Value: fmt.Sprint(i)})
		full += map[Verdict]int{VerdictFull: 1}[verdict]
	}
	assert.Check(t, full >= 90, "full %d", full)
	assert.Check(t, s.services["a"].Stats().Records <= 10)
	s.expectVerdict(t, "a", Key{Value: "0"}, VerdictSeen)
	s.now += DefaultWindow + 2*bucketWidth
	s.expectVerdict(t, "a", Key{Value: "0"}, VerdictFresh)
	var records []*peerpb.ClaimRecord
	for i := range 30 {
		records = append(records, &peerpb.ClaimRecord{Key: fmt.Sprint(i), Member: "b"})
	}
	reply, err := s.services["a"].Receive("b", &peerpb.ClaimHandover{ViewVersion: s.view.Version, Member: "b", Incarnation: 2, Records: records})
	assert.NilError(t, err)
	assert.Equal(t, reply.(*peerpb.ClaimReply).GetVerdict(), peerpb.ClaimReply_VERDICT_FULL)
	stats := s.services["a"].Stats()
	assert.Check(t, stats.UncertainFor >= DefaultWindow && stats.Records <= 20, "%+v", stats)
}

// submitKeys submits a new key every 10 ms for the given time, through the members in
// turn, and returns the verdicts. Members that are stopping accept no key.
func (m *simulation) submitKeys(prefix string, d time.Duration) []verdictAt {
	m.mu.Lock()
	first := len(m.verdicts)
	m.mu.Unlock()
	for i := range int(d / (10 * time.Millisecond)) {
		p := m.process(i)
		m.tasks.Go(func() { p.submit(fmt.Sprint(prefix, i), 0, false) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.verdicts[first:])
}

// unknownShare returns the share of verdicts other than VerdictFresh and the time of the
// last such claim.
func unknownShare(verdicts []verdictAt) (share float64, last time.Duration) {
	count := 0
	for _, v := range verdicts {
		if v.verdict != VerdictFresh {
			count++
			last = max(last, v.at)
		}
	}
	return float64(count) / float64(len(verdicts)), last
}

// faultFree is a network without faults, with the latencies of a site.
var faultFree = network{zones: 3, delay: 2 * time.Millisecond}

// Guards against unknown outcomes without a fault, and against more or longer ones than
// needed after the failure of one member: only keys of the failed owner are allowed to be
// unknown, and only until their recovery is complete.
func TestAvailabilityAfterFailure(t *testing.T) {
	const members = 9
	m := newSimulation(1, faultFree)
	m.inVirtualTime(t, members, func() {
		share, _ := unknownShare(m.submitKeys("before", 5*time.Second))
		assert.Check(t, share == 0, "without a fault: %v", share)
		old := newRendezvous(m.members())
		died := m.now()
		m.process(0).kill()
		verdicts := m.submitKeys("after", 10*time.Second)
		share, last := unknownShare(verdicts)
		t.Logf("unknown after the failure: %.1f %% of claims in 10 s, the last one started %v after it", 100*share, last-died)
		for _, v := range verdicts {
			encoded, _ := Key{Service: "orders", Customer: "c", Value: v.key}.encode()
			assert.Check(t, v.verdict == VerdictFresh || old.owner(hashKey(encoded)) == "m0", "key %s of a living owner: %v", v.key, v.verdict)
		}
		assert.Check(t, share > 0 && share < 1.5/members, "share %v", share)
		// Eviction after 2 s of silence, then the write, adoption and recovery, each
		// within 0.3 s.
		assert.Check(t, last-died < 3*time.Second, "last %v", last-died)
	})
}

// Guards against unknown outcomes and lost claims after a planned stop, which hands the
// claims over.
func TestAvailabilityAfterPlannedStop(t *testing.T) {
	m := newSimulation(2, faultFree)
	m.inVirtualTime(t, 9, func() {
		m.submitKeys("key", 3*time.Second)
		m.tasks.Go(m.process(0).stop)
		share, _ := unknownShare(m.submitKeys("new", 5*time.Second))
		assert.Check(t, share == 0, "new keys: %v", share)
		share, _ = unknownShare(m.submitKeys("key", 3*time.Second))
		assert.Check(t, share == 1, "keys of before the stop: %v", share)
	})
	assert.NilError(t, m.violation)
}

// Guards against two errors after the loss of several members. Losing two zones can lose
// claims, so keys that moved to another owner must be unknown for the window. Losing one
// whole zone loses no claims, so no key is allowed to become unknown.
func TestLossOfSeveralMembers(t *testing.T) {
	for name, c := range map[string]struct {
		members []int // Zones are the numbers modulo 3.
		unsure  bool
	}{"one zone": {[]int{0, 3, 6}, false}, "two zones": {[]int{0, 1}, true}} {
		t.Run(name, func(t *testing.T) {
			m := newSimulation(3, faultFree)
			m.inVirtualTime(t, 9, func() {
				time.Sleep(2 * modelWindow) // Views from the start are no longer relevant.
				m.submitKeys("key", 3*time.Second)
				for _, i := range c.members {
					m.process(i).kill()
				}
				time.Sleep(4 * time.Second)
				share, _ := unknownShare(m.submitKeys("key", 3*time.Second))
				assert.Check(t, share == 1, "keys of before the loss: %v", share)
				share, _ = unknownShare(m.submitKeys("new", time.Second))
				t.Logf("unknown after the loss: %.1f %%", 100*share)
				// At most the keys of two of nine owners, plus sampling variation.
				assert.Check(t, (share > 0) == c.unsure && share < 0.4, "share of unknown %v", share)
				time.Sleep(modelWindow)
				share, _ = unknownShare(m.submitKeys("late", 2*time.Second))
				assert.Check(t, share == 0, "after the window: %v", share)
			})
			assert.NilError(t, m.violation)
		})
	}
}

// Guards against members that join while the only process with earlier claims is frozen,
// and then treat the keys of these claims as unclaimed.
func TestJoinedMembersOnly(t *testing.T) {
	actions := append(submitAll(0, 0), action{After: time.Second, Kind: "freeze", Duration: 20 * time.Second})
	for range 3 {
		actions = append(actions, action{Kind: "join"})
	}
	actions = append(actions, submitAll(8*time.Second, 1)...)
	m := run(t, scenario{members: 1, network: faultFree, actions: actions}, nil)
	assert.NilError(t, m.violation)
	assert.Equal(t, len(m.verdicts), 2*modelKeys)
}

// Guards against unknown keys when a member fails soon after the members started one by
// one. If no claim was made while there was a single member, the failure loses no claim,
// and keys can be claimed as soon as the recovery is complete.
func TestFailureAfterStartLosesNoClaims(t *testing.T) {
	s := startOneByOne(t, nil)
	s.remove(t, "b")
	s.expectVerdict(t, "a", s.keyOwnedBy(t, "a"), VerdictFresh)
	s.expectVerdict(t, "a", s.keyOwnedBy(t, "c"), VerdictFresh)
}

// Guards against a fresh verdict after the failure of a member that made a claim while it
// was the single member, because that claim is lost with it.
func TestFailureOfSingleHolderLeavesKeysUnknown(t *testing.T) {
	s := startOneByOne(t, func(s *site) { s.expectVerdict(t, "a", Key{Service: "orders", Value: "early"}, VerdictFresh) })
	s.remove(t, "a")
	s.expectVerdict(t, "b", Key{Service: "orders", Value: "other"}, VerdictUnknown)
}

// startOneByOne starts the members a, b and c one by one, each in its own zone and with a
// new view. whileSingle is called while a is the only member.
func startOneByOne(t *testing.T, whileSingle func(*site)) *site {
	s := newSite(t, 0, "z1")
	if whileSingle != nil {
		whileSingle(s)
	}
	for _, m := range []fleet.Member{{ID: "b", Zone: "z2"}, {ID: "c", Zone: "z3"}} {
		former := s.view
		s.add(t, m, 0)
		s.services[m.ID].SetView(former) // A process gets the view before it joins.
		s.adopt()
	}
	return s
}

// Guards against a handover that waits until its deadline for a member that has left the
// view and therefore never acknowledges it.
func TestHandoverSkipsDepartedMember(t *testing.T) {
	s := newSite(t, 0, "z1", "z2", "z3")
	s.expectVerdict(t, "a", s.keyOwnedBy(t, "b"), VerdictFresh)
	began := make(chan struct{})
	var once sync.Once
	former := s.view.Version
	s.drop = func(request, _ proto.Message) bool {
		m, handover := request.(*peerpb.ClaimHandover)
		if handover {
			once.Do(func() { close(began) })
		}
		return handover && m.GetViewVersion() == former
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.services["a"].Handover(ctx) }()
	<-began
	s.remove(t, "c")
	err := <-done
	assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "%v", err)
}

// Guards against unknown outcomes of requests during the short recovery of an owner after
// a join.
func TestClaimWaitsForShortRecovery(t *testing.T) {
	for _, dispatcher := range []fleet.MemberID{"a", "b"} {
		s := newSite(t, 0, "z1", "z2", "z3")
		key := s.keyOwnedBy(t, "b")
		s.setComplete("b", false)
		time.AfterFunc(2*recoveringInterval, func() { s.setComplete("b", true) })
		s.expectVerdict(t, dispatcher, key, VerdictFresh)
		s.expectVerdict(t, "c", key, VerdictSeen)
	}
}

// setComplete sets whether the member knows all claims of its keys. false is the state of
// a member that has just joined the view.
func (s *site) setComplete(member fleet.MemberID, complete bool) {
	service := s.services[member]
	service.lockAndSweep()
	defer service.mu.Unlock()
	service.complete, service.completeVersion = complete, 0
	service.history = []*view{service.view.without(member, 0), service.view}
}
