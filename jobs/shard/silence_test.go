package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against the silence of a worker that is concluded although this process, or the replies
// to it in general, were late.
func TestSilenceNeedsAProcessInTime(t *testing.T) {
	const began = 10 * time.Second
	prompt := referenceRound{sentAt: began + referenceInterval, asked: maxReferences, prompt: maxReferences}
	late := referenceRound{sentAt: began + referenceInterval, asked: maxReferences, prompt: 1}
	former := referenceRound{sentAt: began - time.Second, asked: maxReferences, prompt: maxReferences}
	unfinished := referenceRound{sentAt: began + silenceLimit - referenceLimit/2, asked: maxReferences}
	store := referenceRound{sentAt: began + referenceInterval, asked: 1, prompt: 1, byStore: true}
	for _, c := range []struct {
		name             string
		rounds           []referenceRound
		stalledAt        time.Duration // A stall of twice maxProcessDelay ends then; 0 for none.
		handledLate      time.Duration // How late the end of the check is handled.
		only, registered bool
		want             bool
	}{
		{name: "others reply in time", rounds: []referenceRound{prompt}, registered: true, want: true},
		{name: "a query is in flight", rounds: []referenceRound{prompt, unfinished}, registered: true, want: true},
		{name: "others are late", rounds: []referenceRound{late}, registered: true},
		{name: "others replied before", rounds: []referenceRound{former}, registered: true},
		{name: "none was queried"},
		{name: "stalled", rounds: []referenceRound{prompt}, stalledAt: began + time.Second, registered: true},
		{name: "stalled before", rounds: []referenceRound{prompt}, stalledAt: began - time.Second, registered: true, want: true},
		{name: "stalled until the end", rounds: []referenceRound{prompt}, handledLate: 2 * maxProcessDelay, registered: true},
		{name: "all are silent", rounds: []referenceRound{store}, registered: true},
		{name: "all are silent and it is not registered", rounds: []referenceRound{store}, want: true},
		{name: "the only worker", rounds: []referenceRound{store}, only: true, registered: true, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := replyMonitor{}
			for i := range c.rounds {
				m.rounds = append(m.rounds, &c.rounds[i])
			}
			for now := began - 2*time.Second; now <= began+silenceLimit; now += tickInterval {
				if now > c.stalledAt-2*maxProcessDelay && now < c.stalledAt {
					continue
				}
				m.noteTick(now)
			}
			e := m.evidence(began, began+silenceLimit+c.handledLate)
			assert.Equal(t, e.showsSilence(c.only, c.registered), c.want, "%+v", e)
		})
	}
}
