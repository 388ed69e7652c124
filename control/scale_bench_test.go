package control

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/control/plans"
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/fleettest"
	"peridotcrank.dev/peer/peerpb"
	"peridotcrank.dev/routing"
	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
)

// fleetRows returns the rows of a fleet.
func fleetRows(b *testing.B, s *fleet.Snapshot) []store.Row {
	var rows []store.Row
	add := func(key string, value any) {
		write, err := store.Put(key, value)
		assert.NilError(b, err)
		rows = append(rows, store.Row{Key: key, Version: 1, Value: write.Value})
	}
	for id, vm := range s.VMs {
		add(fleet.VMKey(id), vm)
	}
	for id, pool := range s.Pools {
		add(fleet.PoolKey(id), pool)
	}
	add(fleet.KeyMembers, fleettest.Members(9))
	return rows
}

// newStoppedController returns a controller with a router. Its control loop does
// not run.
func newStoppedController(b *testing.B, s *fleet.Snapshot) (*Controller, []store.Row) {
	self := fleettest.Members(1).Members[0]
	router := routing.New(routing.Options{})
	c, err := New(Options{
		Self: self, Table: storetest.New().Client("a"), Platform: &vmList{}, Peers: &fakePeers{}, Traffic: router,
		Log: eventlog.Discard,
	})
	assert.NilError(b, err)
	c.self = self
	rows := fleetRows(b, s)
	c.applyRows(1, rows)
	router.SetValidity(func() bool { return true })
	c.publish()
	assert.Equal(b, len(c.State().Fleet.VMs), len(s.VMs))
	return c, rows
}

// changedRow returns the row of one VM at a version, in another phase each time.
func changedRow(b *testing.B, s *fleet.Snapshot, version uint64) []store.Row {
	vm := s.VMs["vm-0007"]
	if version%2 == 0 {
		vm.Phase = fleet.PhaseDraining
	}
	value, err := json.Marshal(vm)
	assert.NilError(b, err)
	return []store.Row{{Key: fleet.VMKey(vm.ID), Version: version, Value: value}}
}

// BenchmarkScaleRowsAll applies all rows. heap-B is the heap that the rows and the
// decoded values hold.
func BenchmarkScaleRowsAll(b *testing.B) {
	fleettest.BenchWorkers(b, func(b *testing.B, s *fleet.Snapshot) {
		before := fleettest.HeapBytes()
		rows := fleetRows(b, s)
		kept := newRows()
		kept.apply(1, rows)
		state := fleettest.HeapBytes() - before
		for b.Loop() {
			newRows().apply(1, rows)
		}
		assert.Assert(b, kept.revision == 1)
		b.ReportMetric(float64(state), "heap-B")
	})
}

// BenchmarkScaleRowsOne applies one changed row and publishes the state, which
// includes the router's view.
func BenchmarkScaleRowsOne(b *testing.B) {
	fleettest.BenchWorkers(b, func(b *testing.B, s *fleet.Snapshot) {
		c, _ := newStoppedController(b, s)
		version := uint64(2)
		for b.Loop() {
			c.applyRows(version, changedRow(b, s, version))
			c.publish()
			version++
		}
	})
}

// BenchmarkScalePublish publishes a state with an unchanged fleet, as in each
// heartbeat interval.
func BenchmarkScalePublish(b *testing.B) {
	fleettest.BenchWorkers(b, func(b *testing.B, s *fleet.Snapshot) {
		c, _ := newStoppedController(b, s)
		for b.Loop() {
			c.publish()
		}
	})
}

// BenchmarkScaleControlStep measures a whole iteration: it decodes a VM list in
// which one VM is now leaving, updates the traffic side and runs the plan driver's
// decision.
func BenchmarkScaleControlStep(b *testing.B) {
	fleettest.BenchWorkers(b, func(b *testing.B, s *fleet.Snapshot) {
		c, rows := newStoppedController(b, s)
		table := storetest.New()
		for _, row := range rows {
			table.Apply(store.Transaction{Writes: []store.Write{{Key: row.Key, Value: row.Value}}})
		}
		driver, err := plans.NewDriver(plans.Options{Self: c.self.ID, Table: table.Client("a"), Environment: struct{ plans.Environment }{}})
		assert.NilError(b, err)
		assert.NilError(b, driver.Tick(context.Background()))
		lists := [2][]byte{encodedVMList(b, s, store.VMLive), encodedVMList(b, s, store.VMLeaving)}
		i := 0
		for b.Loop() {
			var list store.VMList
			assert.NilError(b, json.NewDecoder(bytes.NewReader(lists[i%2])).Decode(&list))
			vmListRead{leaving: listedLeaving(list)}.apply(c)
			c.finishIteration(context.Background())
			driver.Decide(time.Unix(int64(i), 0))
			i++
		}
		b.ReportMetric(float64(len(lists[0])), "list-B")
	})
}

// encodedVMList returns the VM list, with one VM in a state.
func encodedVMList(b *testing.B, s *fleet.Snapshot, state store.VMState) []byte {
	var list store.VMList
	for _, vm := range s.VMs {
		info := store.VMInfo{ID: vm.ID, Address: vm.Address, Rack: vm.Rack, Zone: vm.Zone, Slots: vm.Slots, Connections: vm.Connections, State: store.VMLive}
		if vm.ID == "vm-0007" {
			info.State = state
		}
		list.VMs = append(list.VMs, info)
	}
	text, err := json.Marshal(list)
	assert.NilError(b, err)
	return text
}

// BenchmarkScaleHeartbeat creates and encodes a heartbeat.
func BenchmarkScaleHeartbeat(b *testing.B) {
	fleettest.BenchWorkers(b, func(b *testing.B, s *fleet.Snapshot) {
		c, _ := newStoppedController(b, s)
		c.tracker.SetIncarnation(1)
		size := 0
		for b.Loop() {
			c.updateReport()
			c.exchanges["entry-2"] = heartbeatExchange{peerSentUS: 3.6e9, peerIncarnation: 1, heldReport: 1, confirmedReport: c.report.number}
			encoded, err := proto.Marshal(c.newHeartbeat(time.Hour, "entry-2"))
			assert.NilError(b, err)
			size = len(encoded)
		}
		b.ReportMetric(float64(size), "message-B")
	})
}

// BenchmarkScaleConfiguration decodes a pushed configuration, puts it in force and publishes it.
func BenchmarkScaleConfiguration(b *testing.B) {
	fleettest.BenchSizes(b, "services", []int{4, 28, 84, 230}, func(b *testing.B, n int) {
		c, _ := newStoppedController(b, fleettest.Fleet(fleettest.SizesFor(49)))
		config, size := fleettest.Services(n), 0
		for b.Loop() {
			document, err := encodeDocument(config)
			assert.NilError(b, err)
			push := &peerpb.ConfigPush{Version: config.Version, Document: document}
			received, err := decodeDocument(push.GetDocument())
			assert.NilError(b, err)
			c.adoptConfiguration(&received)
			c.publish()
			config.Version++
			size = proto.Size(push)
		}
		b.ReportMetric(float64(size), "message-B")
	})
}
