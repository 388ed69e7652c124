package platform_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http/httptest"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog/wire"
	"peridotcrank.dev/fleet/fleettest"
	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
	"peridotcrank.dev/testbed/platform"
)

// countingListener counts the bytes that its connections send and receive.
type countingListener struct {
	net.Listener
	bytes *wire.Counter
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.bytes.Wrap(c), nil
}

// BenchmarkScaleRead reads the VM rows over HTTP: all of them, one changed row, and none
// (304). wire-B/op counts the bytes of requests and responses with their headers; B/op
// includes the allocations of the server, which runs in the same process.
func BenchmarkScaleRead(b *testing.B) {
	for _, workers := range []int{49, 500, 1500, 4100} {
		table := storetest.New()
		assert.NilError(b, platform.Seed(table, fleettest.Fleet(fleettest.SizesFor(workers))))
		snap, _ := table.ReadRows("vm/", 0)
		changed := table.Apply(store.Transaction{Writes: []store.Write{{Key: snap.Rows[0].Key, Value: snap.Rows[0].Value}}})
		for name, since := range map[string]store.Version{"all": 0, "one": changed.Revision - 1, "none": changed.Revision} {
			b.Run(fmt.Sprintf("rows=%s/workers=%d", name, workers), func(b *testing.B) { benchmarkRead(b, table, since) })
		}
	}
}

// BenchmarkScaleVMList reads the VM list over HTTP, with and without a change since the last read.
func BenchmarkScaleVMList(b *testing.B) {
	for _, kind := range []string{"changed", "unchanged"} {
		for _, workers := range fleettest.ScaleWorkers {
			b.Run(fmt.Sprintf("list=%s/workers=%d", kind, workers), func(b *testing.B) {
				vms := slices.Collect(maps.Values(fleettest.Fleet(fleettest.SizesFor(workers)).VMs))
				url, bytes := countingServer(b, platform.Options{VMs: vms})
				p, err := store.NewHTTPPlatform(url, "a", 0)
				assert.NilError(b, err)
				measureWireBytes(b, bytes, func() error {
					if kind == "changed" { // A new client has no ETag, so it receives the whole list.
						p, err = store.NewHTTPPlatform(url, "a", 0)
						assert.NilError(b, err)
					}
					_, err := p.VMs(context.Background())
					return err
				})
			})
		}
	}
}

func benchmarkRead(b *testing.B, table *storetest.Table, since store.Version) {
	url, bytes := countingServer(b, platform.Options{Table: table})
	c, err := store.New(url, "a", store.Options{})
	assert.NilError(b, err)
	measureWireBytes(b, bytes, func() error {
		_, err := c.Read(context.Background(), "vm/", since)
		return err
	})
}

// countingServer starts the stand-in and returns its URL and the byte counter of its connections.
func countingServer(b *testing.B, o platform.Options) (url string, bytes *wire.Counter) {
	bytes = new(wire.Counter)
	server := httptest.NewUnstartedServer(platform.New(o))
	server.Listener = countingListener{server.Listener, bytes}
	server.Start()
	b.Cleanup(server.Close)
	return server.URL, bytes
}

func measureWireBytes(b *testing.B, bytes *wire.Counter, read func() error) {
	assert.NilError(b, read())
	b.ReportAllocs()
	before, reads := bytes.Totals(), 0
	for b.Loop() {
		assert.NilError(b, read())
		reads++
	}
	after := bytes.Totals()
	b.ReportMetric(float64(after.Sent+after.Received-before.Sent-before.Received)/float64(reads), "wire-B/op")
}
