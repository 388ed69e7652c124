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

// site is a set of services whose messages are delivered at once, unless drop says otherwise.
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

// newSite starts members a, b, c, ... in the given zones.
func newSite(t testing.TB, maxRecords int, zones ...fleet.ZoneID) *site {
	s := &site{services: make(map[fleet.MemberID]*Service), now: time.Hour}
	for i, zone := range zones {
		s.add(t, fleet.Member{ID: fleet.MemberID(rune('a' + i)), Zone: zone}, maxRecords)
	}
	s.adopt()
	return s
}

// add adds a member to the view, which adopt then puts in force.
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

// adopt puts the view in force at all members and waits for their recoveries.
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

func (s *site) expect(t testing.TB, member fleet.MemberID, key Key, expected Verdict) {
	t.Helper()
	verdict, err := s.services[member].Claim(context.Background(), key)
	assert.Equal(t, verdict, expected, "error: %v", err)
	assert.Equal(t, err != nil, verdict == VerdictUnknown)
}

// The owner recorded the claim, but its reply and the release are lost: the
// dispatcher must not dispatch, nobody else may claim the key, and the dispatcher
// itself may claim it again.
func TestReplyOfOwnerLost(t *testing.T) {
	s := newSite(t, 0, "z1", "z2", "z3")
	key := s.keyOwnedBy(t, "b")
	s.drop = func(_, reply proto.Message) bool { return reply != nil }
	s.expect(t, "a", key, VerdictUnknown)
	assert.Check(t, !s.services["a"].Dispatchable(key))
	s.drop = nil
	s.services["b"].SetView(s.view)
	s.expect(t, "a", key, VerdictFresh)
	s.expect(t, "a", key, VerdictSeen)
	s.expect(t, "c", key, VerdictSeen)
}

// A member leaves the view while a claim is on its way to it, and the session
// ends before its reply: the claim must be put to the next owner, once.
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
	s.expect(t, "a", key, VerdictFresh)
	assert.Check(t, s.services["a"].Dispatchable(key))
	s.expect(t, "a", key, VerdictSeen)
	s.expect(t, "c", key, VerdictSeen)
}

// The same with the release arriving: any member may claim the key again.
func TestReleaseFreesKey(t *testing.T) {
	s := newSite(t, 0, "z1", "z1", "z3")
	for _, owner := range []fleet.MemberID{"a", "b", "c"} {
		key := s.keyOwnedBy(t, owner)
		s.expect(t, "a", key, VerdictFresh)
		s.expect(t, "c", key, VerdictSeen)
		assert.Check(t, s.services["a"].Dispatchable(key))
		s.services["a"].Release(context.Background(), key)
		assert.Check(t, !s.services["a"].Dispatchable(key))
		s.expect(t, "c", key, VerdictFresh)
		s.expect(t, "a", key, VerdictSeen)
	}
}

// A process that was paused between claim and dispatch must not dispatch.
func TestDispatchableEnds(t *testing.T) {
	s := newSite(t, 0, "z1", "z2", "z3")
	key := s.keyOwnedBy(t, "b")
	s.expect(t, "a", key, VerdictFresh)
	s.invalid = true
	assert.Check(t, !s.services["a"].Dispatchable(key), "the view is not valid")
	s.invalid = false
	s.now += DefaultDispatchWithin - 1
	assert.Check(t, s.services["a"].Dispatchable(key))
	s.now++
	assert.Check(t, !s.services["a"].Dispatchable(key), "too long after the claim")
	s.now += DefaultWindow + bucketWidth
	s.expect(t, "c", key, VerdictFresh)
}

// Owners and dispatchers with different views must not decide a claim, and the
// claim must succeed once the views are equal.
func TestViewsDiffer(t *testing.T) {
	s := newSite(t, 0, "z1", "z2", "z3")
	key := s.keyOwnedBy(t, "b")
	next := membership.Join(s.view, s.view.Members[2])
	s.services["a"].SetView(next)
	s.expect(t, "a", key, VerdictUnknown)
	encoded, _ := key.encode()
	reply, err := s.services["b"].Receive("x", &peerpb.Claim{ViewVersion: s.view.Version, Key: encoded, Member: "x"})
	assert.NilError(t, err)
	assert.Equal(t, reply.(*peerpb.ClaimReply).GetVerdict(), peerpb.ClaimReply_VERDICT_WRONG_VIEW, "x is no member")
	decided := make(chan struct{})
	go func() {
		defer close(decided)
		s.expect(t, "a", key, VerdictFresh)
	}()
	s.services["b"].SetView(next)
	s.services["c"].SetView(next)
	<-decided
}

// When one process is owner and dispatcher, its death must not lose the claim.
func TestCopyInAnotherZone(t *testing.T) {
	s := newSite(t, 0, "z1", "z1", "z2")
	for _, owner := range []fleet.MemberID{"a", "b"} {
		key := s.keyOwnedBy(t, owner)
		s.expect(t, "a", key, VerdictFresh)
		encoded, err := key.encode()
		assert.NilError(t, err)
		assert.Check(t, s.services["c"].table.records[encoded] != nil, "owner %s", owner)
	}
}

// A claim that arrives in a handover while this process claims the same key in
// vain must still be known to a later owner.
func TestHandoverDuringClaim(t *testing.T) {
	s := newSite(t, 0, "z1", "z2", "z3")
	key := s.keyOwnedBy(t, "b")
	encoded, _ := key.encode()
	s.expect(t, "c", key, VerdictFresh)
	handover := &peerpb.ClaimHandover{ViewVersion: s.view.Version, Member: "c", Incarnation: 3,
		Records: []*peerpb.ClaimRecord{{Key: encoded, Member: "c", Incarnation: 3, Sequence: 1}}}
	s.drop = func(request, reply proto.Message) bool {
		if _, ok := request.(*peerpb.Claim); ok && reply == nil {
			_, err := s.services["a"].Receive("c", handover)
			assert.NilError(t, err)
		}
		return false
	}
	s.expect(t, "a", key, VerdictSeen)
	next := membership.Join(s.view, s.view.Members[2])
	s.services["a"].SetView(next)
	reply, err := s.services["a"].Receive("b", &peerpb.ClaimRecovery{ViewVersion: next.Version, Member: "b"})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.(*peerpb.ClaimRecoveryReply).GetRecords()), 1)
}

// Whatever a record is merged with, the claim of another member must not be
// hidden by an own or abandoned claim, nor expire early.
func TestMergeKeepsOtherClaims(t *testing.T) {
	const created, later = time.Second, 10 * time.Second
	own, other := holder{identity{"a", 1}, 1}, holder{identity{"b", 1}, 1}
	for _, state := range []state{stateCopy, stateClaiming, stateGranted, stateAbandoned} {
		for name, incoming := range map[string]record{
			"other holder": {holder: other, createdAt: later}, "contested": {holder: own, createdAt: later, contested: true},
		} {
			table := newTable(DefaultWindow, 10)
			table.put("k", record{holder: own, createdAt: created, state: state})
			assert.Check(t, table.merge("k", incoming))
			if r := table.records["k"]; r.own() {
				r.abandon()
			}
			r := table.records["k"]
			assert.Check(t, r.state == stateCopy && (r.contested || r.holder == other), "%s on %d", name, state)
			table.sweep(later + DefaultWindow)
			assert.Check(t, table.records["k"] != nil || name == "contested", "%s on %d", name, state)
		}
	}
}

// A full table refuses new keys, never forgets old ones, and recovers with time.
func TestTableIsBounded(t *testing.T) {
	s := newSite(t, 10, "z1", "z2", "z3")
	full := 0
	for i := range 100 {
		verdict, _ := s.services["a"].Claim(context.Background(), Key{Value: fmt.Sprint(i)})
		full += map[Verdict]int{VerdictFull: 1}[verdict]
	}
	assert.Check(t, full >= 90, "full %d", full)
	assert.Check(t, s.services["a"].Stats().Records <= 10)
	s.expect(t, "a", Key{Value: "0"}, VerdictSeen)
	s.now += DefaultWindow + 2*bucketWidth
	s.expect(t, "a", Key{Value: "0"}, VerdictFresh)
	var records []*peerpb.ClaimRecord
	for i := range 30 {
		records = append(records, &peerpb.ClaimRecord{Key: fmt.Sprint(i), Member: "b"})
	}
	reply, err := s.services["a"].Receive("b", &peerpb.ClaimHandover{ViewVersion: s.view.Version, Member: "b", Incarnation: 2, Records: records})
	assert.NilError(t, err)
	assert.Equal(t, reply.(*peerpb.ClaimReply).GetVerdict(), peerpb.ClaimReply_VERDICT_FULL)
	stats := s.services["a"].Stats()
	assert.Check(t, stats.UnsureFor >= DefaultWindow && stats.Records <= 20, "%+v", stats)
}

// measure submits a new key every 10 ms through the members that accept for the
// given time and returns the verdicts.
func (m *simulation) measure(prefix string, d time.Duration) []verdictAt {
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

func unknown(verdicts []verdictAt) (share float64, last time.Duration) {
	count := 0
	for _, v := range verdicts {
		if v.verdict != VerdictFresh {
			count++
			last = max(last, v.at)
		}
	}
	return float64(count) / float64(len(verdicts)), last
}

// quiet is a network without faults, with the latencies of a site.
var quiet = network{zones: 3, delay: 2 * time.Millisecond}

// Without a fault every first submission is Fresh. After one death only keys of
// the dead owner may be unknown, and only until their recovery has ended.
func TestAvailabilityAfterDeath(t *testing.T) {
	const members = 9
	m := newSimulation(1, quiet)
	m.inVirtualTime(t, members, func() {
		share, _ := unknown(m.measure("before", 5*time.Second))
		assert.Check(t, share == 0, "without a fault: %v", share)
		old := newRendezvous(m.members())
		died := m.now()
		m.process(0).kill()
		verdicts := m.measure("after", 10*time.Second)
		share, last := unknown(verdicts)
		t.Logf("unknown after a death: %.1f %% of claims in 10 s, the last one begun %v after the death", 100*share, last-died)
		for _, v := range verdicts {
			encoded, _ := Key{Service: "orders", Customer: "c", Value: v.key}.encode()
			assert.Check(t, v.verdict == VerdictFresh || old.owner(hashKey(encoded)) == "m0", "key %s of a living owner: %v", v.key, v.verdict)
		}
		assert.Check(t, share > 0 && share < 1.5/members, "share %v", share)
		// Silence 2 s, then writing, adopting and recovering, each within 0.3 s.
		assert.Check(t, last-died < 3*time.Second, "last %v", last-died)
	})
}

// After a planned stop no claim may become unknown, and none may be lost.
func TestAvailabilityAfterPlannedStop(t *testing.T) {
	m := newSimulation(2, quiet)
	m.inVirtualTime(t, 9, func() {
		m.measure("key", 3*time.Second)
		m.tasks.Go(m.process(0).stop)
		share, _ := unknown(m.measure("new", 5*time.Second))
		assert.Check(t, share == 0, "new keys: %v", share)
		share, _ = unknown(m.measure("key", 3*time.Second))
		assert.Check(t, share == 1, "keys of before the stop: %v", share)
	})
	assert.NilError(t, m.violation)
}

// The loss of two zones may lose claims, so that moved keys are unknown for the
// window; the loss of one whole zone loses none.
func TestLossOfSeveralMembers(t *testing.T) {
	for name, c := range map[string]struct {
		members []int // Zones are the numbers modulo 3.
		unsure  bool
	}{"one zone": {[]int{0, 3, 6}, false}, "two zones": {[]int{0, 1}, true}} {
		t.Run(name, func(t *testing.T) {
			m := newSimulation(3, quiet)
			m.inVirtualTime(t, 9, func() {
				time.Sleep(2 * modelWindow) // The joins of the start are history.
				m.measure("key", 3*time.Second)
				for _, i := range c.members {
					m.process(i).kill()
				}
				time.Sleep(4 * time.Second)
				share, _ := unknown(m.measure("key", 3*time.Second))
				assert.Check(t, share == 1, "keys of before the loss: %v", share)
				share, _ = unknown(m.measure("new", time.Second))
				t.Logf("unknown after the loss: %.1f %%", 100*share)
				// At most the keys of two of nine owners, and the spread of a sample.
				assert.Check(t, (share > 0) == c.unsure && share < 0.4, "share of unknown %v", share)
				time.Sleep(modelWindow)
				share, _ = unknown(m.measure("late", 2*time.Second))
				assert.Check(t, share == 0, "after the window: %v", share)
			})
			assert.NilError(t, m.violation)
		})
	}
}

// Members that joined while the only process that knew the earlier claims was
// frozen must not take its silence for the absence of claims.
func TestJoinedMembersOnly(t *testing.T) {
	actions := append(submitAll(0, 0), action{After: time.Second, Kind: "freeze", Duration: 20 * time.Second})
	for range 3 {
		actions = append(actions, action{Kind: "join"})
	}
	actions = append(actions, submitAll(8*time.Second, 1)...)
	m := run(t, scenario{members: 1, network: quiet, actions: actions}, nil)
	assert.NilError(t, m.violation)
	assert.Equal(t, len(m.verdicts), 2*modelKeys)
}

// A site starts one member after the other. Without a claim made while there was
// a single one, the death of a member loses no claim, and keys are claimed again
// as soon as the recovery is complete.
func TestDeathAfterStartLeavesKeysKnown(t *testing.T) {
	s := startOneByOne(t, nil)
	s.remove(t, "b")
	s.expect(t, "a", s.keyOwnedBy(t, "a"), VerdictFresh)
	s.expect(t, "a", s.keyOwnedBy(t, "c"), VerdictFresh)
}

// A claim made while there was a single member may be lost with that member.
func TestDeathOfTheSingleHolderLeavesKeysUnknown(t *testing.T) {
	s := startOneByOne(t, func(s *site) { s.expect(t, "a", Key{Service: "orders", Value: "early"}, VerdictFresh) })
	s.remove(t, "a")
	s.expect(t, "b", Key{Service: "orders", Value: "other"}, VerdictUnknown)
}

// startOneByOne starts the members a, b and c in zones of their own, each in a
// view of its own. alone is called while a is the only one.
func startOneByOne(t *testing.T, alone func(*site)) *site {
	s := newSite(t, 0, "z1")
	if alone != nil {
		alone(s)
	}
	for _, m := range []fleet.Member{{ID: "b", Zone: "z2"}, {ID: "c", Zone: "z3"}} {
		former := s.view
		s.add(t, m, 0)
		s.services[m.ID].SetView(former) // A process sees the view before it joins.
		s.adopt()
	}
	return s
}

// A member that has left never acknowledges a handover. The stop of another one
// must not wait for it until its time is over.
func TestHandoverGoesOnWithoutDepartedMember(t *testing.T) {
	s := newSite(t, 0, "z1", "z2", "z3")
	s.expect(t, "a", s.keyOwnedBy(t, "b"), VerdictFresh)
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

// An owner that recovers for a moment, as after each join, must not leave the
// requests of that moment unknown.
func TestClaimWaitsForShortRecovery(t *testing.T) {
	for _, dispatcher := range []fleet.MemberID{"a", "b"} {
		s := newSite(t, 0, "z1", "z2", "z3")
		key := s.keyOwnedBy(t, "b")
		s.setComplete("b", false)
		time.AfterFunc(2*recoveringInterval, func() { s.setComplete("b", true) })
		s.expect(t, dispatcher, key, VerdictFresh)
		s.expect(t, "c", key, VerdictSeen)
	}
}

// setComplete changes whether the member knows all claims of its keys, as if it
// had just joined the view.
func (s *site) setComplete(member fleet.MemberID, complete bool) {
	service := s.services[member]
	service.lock()
	defer service.mu.Unlock()
	service.complete, service.completeFrom = complete, 0
	service.history = []*view{service.view.without(member, 0), service.view}
}
