package peer

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/peer/peerpb"
)

// BenchmarkHeartbeatBytes reports the bytes of a heartbeat and its reply on the
// stream, with 2 leaving VMs, 1 suspect and 5 pools.
func BenchmarkHeartbeatBytes(b *testing.B) {
	client, server := pair(b, nil)
	heartbeat := &peerpb.Heartbeat{
		Member: "entry-wa-south-1a-03", Incarnation: 12, ViewVersion: 1200, FleetRevision: 1 << 30, ConfigVersion: 3900,
		StoreReachable: true, LeavingVms: []string{"vm-counterdesk-01", "vm-stockroom-07"}, Suspects: []string{"entry-wa-south-1b-02"},
		IdleSlots: map[string]uint32{"counterdesk": 30, "stockroom": 200, "webshop": 12, "stalltill": 96, "backoffice": 64},
	}
	Handle(server, func(context.Context, Sender, *peerpb.Heartbeat) (proto.Message, error) { return heartbeat, nil })
	before := client.Stats().Control
	for b.Loop() {
		_, err := client.Call(context.Background(), "b", ClassControl, heartbeat)
		assert.NilError(b, err)
	}
	after := client.Stats().Control
	sent := float64(after.MessagesSent - before.MessagesSent)
	b.ReportMetric(float64(after.BytesSent-before.BytesSent)/sent, "B-sent")
	b.ReportMetric(float64(after.BytesReceived-before.BytesReceived)/sent, "B-received")
}
