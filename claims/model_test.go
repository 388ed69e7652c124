package claims

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotcrank.dev/peer/peerpb"
)

// action is one step of a scenario, after a pause.
type action struct {
	After    time.Duration
	Kind     string
	Member   int
	Key      int
	Duration time.Duration // Duration of a fault, or time between claim and dispatch.
}

const (
	modelMembers = 5
	modelKeys    = 6
)

// actionKinds are drawn with equal weight. Repeated entries make submissions far more
// frequent than faults.
var actionKinds = []string{
	"submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit",
	"not run", "slow", "kill", "freeze", "isolate", "no store", "cut", "join", "stop",
}

func drawAction(t *rapid.T) action {
	a := action{
		After:  time.Duration(rapid.IntRange(0, 1500).Draw(t, "after ms")) * time.Millisecond,
		Kind:   rapid.SampledFrom(actionKinds).Draw(t, "kind"),
		Member: rapid.IntRange(0, modelMembers+1).Draw(t, "member"),
		Key:    rapid.IntRange(0, modelKeys-1).Draw(t, "key"),
	}
	longest := 6000
	if a.Kind == "freeze" {
		longest = 25000
	}
	a.Duration = time.Duration(rapid.IntRange(0, longest).Draw(t, "duration ms")) * time.Millisecond
	return a
}

type scenario struct {
	seed    uint64
	members int
	network network
	actions []action
}

func drawScenario(t *rapid.T) scenario {
	share := rapid.SampledFrom([]float64{0, 0.02, 0.2})
	return scenario{
		seed: rapid.Uint64().Draw(t, "seed"), members: rapid.IntRange(1, modelMembers).Draw(t, "members"),
		network: network{
			zones: rapid.IntRange(1, 3).Draw(t, "zones"),
			loss:  share.Draw(t, "loss"), duplicates: share.Draw(t, "duplicates"), late: share.Draw(t, "late"),
			delay: time.Duration(rapid.IntRange(0, 50).Draw(t, "delay ms")) * time.Millisecond,
		},
		actions: rapid.SliceOfN(rapid.Custom(drawAction), 10, 80).Draw(t, "actions"),
	}
}

// run runs a scenario. inject, if not nil, changes the simulation first.
func run(t *testing.T, sc scenario, inject func(*simulation)) *simulation {
	m := newSimulation(sc.seed, sc.network)
	if inject != nil {
		inject(m)
	}
	m.inVirtualTime(t, sc.members, func() {
		for _, a := range sc.actions {
			time.Sleep(a.After)
			m.runAction(a)
		}
		time.Sleep(10 * time.Second)
	})
	return m
}

// inVirtualTime starts the members in virtual time, waits until they have recovered and
// calls body.
func (m *simulation) inVirtualTime(t *testing.T, members int, body func()) {
	synctest.Test(t, func(*testing.T) {
		m.start = time.Now()
		m.ended, m.end = context.WithCancel(context.Background())
		defer m.finish()
		for range members {
			m.join()
		}
		m.tasks.Go(func() {
			for m.running() {
				m.evict()
				time.Sleep(100 * time.Millisecond)
			}
		})
		time.Sleep(2 * time.Second)
		body()
	})
}

func (m *simulation) runAction(a action) {
	p := m.process(a.Member)
	var task func()
	switch key := fmt.Sprint(a.Key); a.Kind {
	case "submit":
		task = func() { p.submit(key, a.Duration/100, false) }
	case "slow":
		task = func() { p.submit(key, a.Duration, false) }
	case "not run":
		task = func() { p.submit(key, a.Duration/100, true) }
	case "freeze":
		task = func() { p.freeze(a.Duration) }
	case "isolate":
		task = func() { p.applyFault(a.Duration, func(on bool) { p.isolated = on }) }
	case "no store":
		task = func() { p.applyFault(a.Duration, func(on bool) { p.noStore = on }) }
	case "cut":
		other := m.process(a.Member + a.Key)
		task = func() { p.applyFault(a.Duration, func(on bool) { p.cutFrom = map[bool]*process{true: other}[on] }) }
	case "kill":
		task = p.kill
	case "stop":
		task = p.stop
	case "join":
		if len(m.processes) <= modelMembers+1 {
			m.join()
		}
		return
	}
	m.tasks.Go(task)
}

// Guards against a second dispatch of a key within the window under random combinations
// of crashes, freezes, partitions, lost and late messages, joins and planned stops.
func TestAtMostOnce(t *testing.T) {
	fresh, repeated := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		m := run(t, drawScenario(r), nil)
		if m.violation != nil {
			r.Fatal(m.violation)
		}
		for _, v := range m.verdicts {
			if v.verdict == VerdictFresh {
				fresh++
			} else {
				repeated++
			}
		}
	})
	assert.Check(t, fresh > 0 && repeated > 0, "fresh %d, others %d", fresh, repeated)
}

// submitAll submits every key through one member.
func submitAll(after time.Duration, member int) []action {
	actions := make([]action, modelKeys)
	for key := range actions {
		actions[key] = action{After: after, Kind: "submit", Member: member, Key: key}
		after = 0
	}
	return actions
}

// Guards against a simulation that does not detect a missing part of the protocol. A
// fault that random scenarios seldom trigger has a scenario of its own.
func TestPlantedFaultsAreFound(t *testing.T) {
	const attempts = 3000
	random := rapid.Custom(drawScenario)
	drawn := func(seed int) scenario { return random.Example(seed) }
	directed := func(actions ...action) func(int) scenario {
		return func(seed int) scenario {
			return scenario{seed: uint64(seed), members: modelMembers, network: faultFree, actions: actions}
		}
	}
	for name, c := range map[string]struct {
		scenario func(seed int) scenario
		inject   func(*simulation)
	}{
		"recovery off": {drawn, func(m *simulation) {
			m.intercept = func(message proto.Message) proto.Message {
				if recovery, ok := message.(*peerpb.ClaimRecovery); ok {
					return &peerpb.ClaimRecoveryReply{ViewVersion: recovery.GetViewVersion(), Informed: true}
				}
				return nil
			}
		}},
		"copies off": {drawn, func(m *simulation) {
			m.intercept = func(message proto.Message) proto.Message {
				if _, ok := message.(*peerpb.ClaimBackup); ok {
					return &peerpb.ClaimReply{Verdict: peerpb.ClaimReply_VERDICT_FRESH}
				}
				return nil
			}
		}},
		"no check before dispatch": {directed(
			action{Kind: "slow", Duration: 3 * time.Second},
			action{After: time.Second, Kind: "freeze", Duration: 20 * time.Second},
			action{After: 17 * time.Second, Kind: "submit", Member: 1},
		), func(m *simulation) { m.skipDispatchCheck = true }},
		"losses not counted": {directed(slices.Concat(
			submitAll(0, 0), []action{{After: time.Second, Kind: "kill", Member: 0}, {Kind: "kill", Member: 1}}, submitAll(6*time.Second, 2),
		)...), func(m *simulation) { m.ignoreDepartures = true }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range attempts {
				sc := c.scenario(seed)
				if m := run(t, sc, c.inject); m.violation != nil {
					t.Logf("found in scenario %d: %v", seed, m.violation)
					assert.NilError(t, run(t, sc, nil).violation, "the same scenario without the fault")
					return
				}
			}
			t.Fatalf("no violation in %d scenarios", attempts)
		})
	}
}
