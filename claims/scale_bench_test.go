package claims

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet/fleettest"
)

// BenchmarkScaleClaims measures claims at one of three members. Each claim is stored at
// two of them. heap-B/claim is the heap size of all members together, message-B/claim the
// size of their messages without envelopes and framing.
func BenchmarkScaleClaims(b *testing.B) {
	fleettest.BenchSizes(b, "claims", []int{1_000, 5_000, 20_000, 60_000}, func(b *testing.B, n int) {
		state, sent := int64(0), 0
		for b.Loop() {
			before := fleettest.HeapBytes()
			s := newSite(b, n, "z1", "z2", "z3")
			sent = 0
			s.drop = func(request, reply proto.Message) bool {
				if sent += proto.Size(request); reply != nil {
					sent += proto.Size(reply) - proto.Size(request)
				}
				return false
			}
			for i := range n {
				verdict, err := s.services["a"].Claim(context.Background(), Key{Service: "orders", Value: fmt.Sprintf("order-%012d", i)})
				assert.Assert(b, verdict == VerdictFresh && err == nil)
			}
			state = fleettest.HeapBytes() - before
		}
		b.ReportMetric(float64(state)/float64(n), "heap-B/claim")
		b.ReportMetric(float64(sent)/float64(n), "message-B/claim")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/claim")
	})
}
