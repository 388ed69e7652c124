package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
)

// Guards against renewals that become more frequent the longer the store rejects them, which keeps it overloaded.
func TestRejectedRenewalsKeepTheirBackoff(t *testing.T) {
	const span = 10 * time.Second
	withGroup(t, 1, func(g *group) {
		g.checkSingleOwnerFor(4 * time.Second)
		g.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.Rejected })
		m := g.members[0]
		var sent []uint64 // Renewals at the end of each span.
		for range 6 {
			g.checkSingleOwnerFor(span)
			g.runOnLoop(func() { sent = append(sent, m.renewalNumber) })
		}
		for i := 1; i < len(sent); i++ {
			n := sent[i] - sent[i-1]
			// One for each tick, and the retries of one at the shortest delay of the full backoff.
			limit := uint64(span/defaultInterval + span/(renewalRetryBase<<maxDelayDoublings/2))
			assert.Assert(t, n <= limit, "%d renewals in %v after %v without success, limit %d; at the end of each span: %v", n, span, time.Duration(i)*span, limit, sent)
		}
	})
}
