package peer

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/peer/peerpb"
)

// BenchmarkHeartbeatFrame reports the bytes and the encoding time of a heartbeat
// with 2 leaving VMs, 1 suspect and 5 pools.
func BenchmarkHeartbeatFrame(b *testing.B) {
	counts := new(classCounters)
	writer := newFrameWriter(io.Discard, counts)
	heartbeat := &peerpb.Heartbeat{
		Member: "entry-wa-south-1a-03", Incarnation: 12, ViewVersion: 1200, FleetRevision: 1 << 30, ConfigVersion: 3900,
		StoreReachable: true, LeavingVms: []string{"vm-counterdesk-01", "vm-stockroom-07"}, Suspects: []string{"entry-wa-south-1b-02"},
		IdleSlots: map[string]uint32{"counterdesk": 30, "stockroom": 200, "webshop": 12, "stalltill": 96, "backoffice": 64},
	}
	for b.Loop() {
		envelope := &peerpb.Envelope{RequestId: 1 << 62, LogicalTime: 1 << 62, DeadlineMs: 250}
		assert.NilError(b, setBody(envelope, heartbeat))
		assert.NilError(b, writer.write(envelope))
	}
	b.ReportMetric(float64(counts.bytesSent.Load())/float64(counts.messagesSent.Load()), "B/heartbeat")
}
