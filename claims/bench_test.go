package claims

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/membership"
	"peridotcrank.dev/peer"
)

// plainClock is a logical clock that counts its own calls only.
type plainClock struct{ atomic.Uint64 }

func (c *plainClock) Now() uint64    { return c.Add(1) }
func (c *plainClock) Observe(uint64) {}

// loopbackSite starts services, each in its own zone, that are connected over loopback.
func loopbackSite(t testing.TB, members, maxRecords int) []*Service {
	var services []*Service
	var nodes []*peer.Node
	var view fleet.MemberView
	start := time.Now()
	for i := range members {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		id := fleet.MemberID(fmt.Sprintf("m%d", i))
		view = membership.Join(view, fleet.Member{ID: id, Zone: fleet.ZoneID(id), PeerAddress: listener.Addr().String()})
		node, err := peer.NewNode(peer.Config{Self: view.Members[i], Clock: new(plainClock), Listener: listener})
		assert.NilError(t, err)
		service, err := New(Config{
			Self: id, Transport: PeerTransport{node}, MaxRecords: maxRecords,
			Valid: func() bool { return true }, Now: func() time.Duration { return time.Since(start) },
		})
		assert.NilError(t, err)
		service.Register(node)
		node.Start()
		t.Cleanup(func() { service.Close(); _ = node.Close() })
		services, nodes = append(services, service), append(nodes, node)
	}
	for i := range services {
		nodes[i].SetMembers(view)
		services[i].SetView(view)
	}
	for _, service := range services {
		for service.Stats().Recovering {
			time.Sleep(time.Millisecond)
		}
	}
	return services
}

// Guards against a service that works with the fake transport of the other tests but not
// over real sessions.
func TestOverLoopback(t *testing.T) {
	services := loopbackSite(t, 3, 0)
	for i := range 30 {
		key := Key{Service: "orders", Value: fmt.Sprint(i)}
		for j, expected := range []Verdict{VerdictFresh, VerdictSeen, VerdictSeen} {
			verdict, err := services[(i+j)%3].Claim(context.Background(), key)
			assert.Check(t, verdict == expected, "%v %v", verdict, err)
		}
		services[i%3].Release(context.Background(), key)
	}
}

// BenchmarkClaim measures sequential claims, two thirds of which have a remote owner.
func BenchmarkClaim(b *testing.B) {
	services := loopbackSite(b, 3, 50_000_000)
	var times []time.Duration
	for i := 0; b.Loop(); i++ {
		started := time.Now()
		verdict, err := services[0].Claim(context.Background(), Key{Service: "orders", Customer: "customer-17", Value: fmt.Sprint(i)})
		assert.Check(b, verdict == VerdictFresh, "%v", err)
		times = append(times, time.Since(started))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkClaimThroughput measures concurrent claims at one process. All three processes
// share the machine.
func BenchmarkClaimThroughput(b *testing.B) {
	services := loopbackSite(b, 3, 50_000_000)
	var next atomic.Int64
	b.SetParallelism(16)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			verdict, err := services[0].Claim(context.Background(), Key{Service: "orders", Customer: "customer-17", Value: fmt.Sprint(next.Add(1))})
			assert.Check(b, verdict == VerdictFresh, "%v", err)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

// BenchmarkMemoryPerClaim measures the heap size of one record with a key of 60 bytes.
func BenchmarkMemoryPerClaim(b *testing.B) {
	const records = 200_000
	var perRecord float64
	for b.Loop() {
		table := newTable(DefaultWindow, records)
		before := heap()
		for i := range records {
			key := fmt.Sprintf("orders/customer-%08d/0123456789abcdef0123456789%09d", i%1000, i)
			table.put(key, record{claimID: claimID{identity{fleet.MemberID(fmt.Sprint("m", i%9)), 1}, uint64(i)}, createdAt: time.Duration(i) * time.Millisecond})
		}
		perRecord = float64(heap()-before) / records
		runtime.KeepAlive(table)
	}
	b.ReportMetric(perRecord, "B/claim")
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkRecoveryExport measures how long the table is locked when the first of nine
// members requests claims, with 200000 records.
func BenchmarkRecoveryExport(b *testing.B) {
	site := newSite(b, 0, "z1", "z2", "z3", "z1", "z2", "z3", "z1", "z2", "z3")
	service := site.services["a"]
	for i := range DefaultMaxRecords {
		key := fmt.Sprint("orders/customer/", i)
		service.table.put(key, record{hash: hashKey(key), createdAt: site.now})
	}
	for b.Loop() {
		service.keysByOwner = nil
		assert.Check(b, len(service.keysOwnedBy("b")) > 0)
	}
}

// BenchmarkRendezvous measures the choice of an owner by number of members.
func BenchmarkRendezvous(b *testing.B) {
	for _, members := range []int{3, 9, 30, 60} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			list := make([]fleet.Member, members)
			for i := range list {
				list[i].ID = fleet.MemberID(fmt.Sprintf("entry-%d", i))
			}
			ranking := newRendezvous(list)
			for i := uint64(0); b.Loop(); i++ {
				ranking.owner(i)
			}
		})
	}
}
