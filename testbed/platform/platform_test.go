package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/fleettest"
	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
	"peridotcrank.dev/testbed/platform"
)

func startServer(t *testing.T, o platform.Options) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(platform.New(o))
	t.Cleanup(server.Close)
	return server
}

func newClient(t *testing.T, server *httptest.Server, member string) *store.Client {
	t.Helper()
	c, err := store.New(server.URL, member, store.Options{RequestTimeout: 200 * time.Millisecond, RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond, WritesPerSecond: 1000, WriteBurst: 100})
	assert.NilError(t, err)
	return c
}

func putTransaction(t *testing.T, key string, version store.Version) store.Transaction {
	t.Helper()
	w, err := store.Put(key, map[string]string{"key": key})
	assert.NilError(t, err)
	return store.Transaction{Conditions: []store.Condition{{Key: key, Version: version}}, Writes: []store.Write{w}}
}

// Guards against a client and a table service that implement the protocol differently.
func TestProtocol(t *testing.T) {
	server := startServer(t, platform.Options{})
	c := newClient(t, server, "a")
	ctx := context.Background()
	first, err := c.Commit(ctx, putTransaction(t, "vm/1", 0))
	assert.NilError(t, err)
	assert.Assert(t, first.Applied())
	second, err := c.Commit(ctx, putTransaction(t, "vm/1", 0))
	assert.NilError(t, err)
	assert.Equal(t, second.Outcome, store.OutcomeRejected)
	assert.DeepEqual(t, second.Failed, []store.Condition{{Key: "vm/1", Version: first.Revision}})
	snap, err := c.Read(ctx, "vm/", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(snap.Rows), 1)
	for range 2 { // The second read receives status 304.
		snap, err = c.Read(ctx, "vm/", first.Revision)
		assert.NilError(t, err)
		assert.Equal(t, len(snap.Rows), 0)
		assert.Equal(t, snap.Revision, first.Revision)
	}
	deleted, err := c.Commit(ctx, store.Transaction{Writes: []store.Write{store.Delete("vm/1")}})
	assert.NilError(t, err)
	snap, err = c.Read(ctx, "vm/", first.Revision)
	assert.NilError(t, err)
	assert.DeepEqual(t, snap.Rows, []store.Row{{Key: "vm/1", Version: deleted.Revision, Deleted: true}})
}

// Guards against a lost reply to a commit after which the client reports a failure or writes
// again.
func TestReplyLostIsResolved(t *testing.T) {
	table := storetest.New()
	server := startServer(t, platform.Options{Table: table})
	c := newClient(t, server, "a")
	table.SetFaults(storetest.Fault{Kind: storetest.ReplyLost, Method: storetest.Commits, Count: 1})
	r, err := c.Commit(context.Background(), putTransaction(t, "config", 0))
	assert.NilError(t, err)
	assert.Assert(t, r.Applied())
	assert.Equal(t, table.Counts().Commits, uint64(1))
}

// Guards against a delayed commit that is applied after the client has reported it as rejected.
func TestLateWriteIsFenced(t *testing.T) {
	table := storetest.New()
	server := startServer(t, platform.Options{Table: table})
	c := newClient(t, server, "a")
	table.SetFaults(storetest.Fault{Kind: storetest.Slow, Method: storetest.Commits, DelayMS: 400, Count: 1})
	r, err := c.Commit(context.Background(), putTransaction(t, "config", 0))
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, store.OutcomeRejected)
	server.Close() // Waits for the delayed request.
	snap, _ := table.ReadRows("config", 0)
	assert.Equal(t, len(snap.Rows), 0)
	assert.Equal(t, table.Counts().Rejected, uint64(1))
}

func setFaults(t *testing.T, server *httptest.Server, body string, status int) {
	t.Helper()
	res, err := http.Post(server.URL+"/v1/faults", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, status)
}

// Guards against faults of one client that affect other clients, and against a mistyped
// fault that is accepted without effect.
func TestOneClientCutOff(t *testing.T) {
	server := startServer(t, platform.Options{})
	setFaults(t, server, `{"faults": [{"kind": "down", "client": "a"}]}`, http.StatusOK)
	setFaults(t, server, `{"faults": [{"kind": "dwon"}]}`, http.StatusBadRequest)
	setFaults(t, server, `{"reboot_ms": 100}`, http.StatusOK) // Does not change the faults of the table service.
	_, err := newClient(t, server, "a").Read(context.Background(), "vm/", 0)
	assert.Assert(t, errors.Is(err, store.ErrUnavailable))
	assert.ErrorContains(t, err, "read vm/ at "+server.URL)
	_, err = newClient(t, server, "b").Read(context.Background(), "vm/", 0)
	assert.NilError(t, err)
}

// Guards against a repeated request that reboots a VM twice, and a VM list that does not lag.
func TestRebootAndListLag(t *testing.T) {
	now := time.Unix(1000, 0)
	s := fleettest.Fleet(fleettest.WASouth())
	reboots := make(chan fleet.VMID, 4)
	server := startServer(t, platform.Options{
		VMs: []fleet.VM{s.VMs["vm-0000"]}, RebootTime: 10 * time.Second,
		Now: func() time.Time { return now }, OnReboot: func(vm fleet.VMID, up bool) {
			if !up {
				reboots <- vm
			}
		},
	})
	setFaults(t, server, `{"list_lag_ms": 5000}`, http.StatusOK)
	p, err := store.NewHTTPPlatform(server.URL, "a", 0)
	assert.NilError(t, err)
	ctx := context.Background()
	state, err := p.RebootState(ctx, "vm-0000", "op")
	assert.NilError(t, err)
	assert.Equal(t, state, store.RebootUnknown)
	assert.NilError(t, p.Reboot(ctx, "vm-0000", "op"))
	assert.NilError(t, p.Reboot(ctx, "vm-0000", "op"))
	<-reboots
	assert.Equal(t, listedState(t, p), store.VMLive)
	now = now.Add(6 * time.Second)
	assert.Equal(t, listedState(t, p), store.VMLeaving)
	now = now.Add(10 * time.Second)
	assert.Equal(t, listedState(t, p), store.VMLive)
	state, err = p.RebootState(ctx, "vm-0000", "op")
	assert.NilError(t, err)
	assert.Equal(t, state, store.RebootDone)
	assert.Equal(t, len(reboots), 0)
}

func listedState(t *testing.T, p store.Platform) store.VMState {
	t.Helper()
	list, err := p.VMs(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(list.VMs), 1)
	return list.VMs[0].State
}

// Guards against a VM list that is sent again although it is unchanged, and against a
// changed list that is not sent.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	s := fleettest.Fleet(fleettest.WASouth())
	server := startServer(t, platform.Options{VMs: []fleet.VM{s.VMs["vm-0000"]}})
	p, err := store.NewHTTPPlatform(server.URL, "a", 0)
	assert.NilError(t, err)
	for i, state := range []store.VMState{store.VMLive, store.VMLeaving} {
		if i > 0 {
			res, err := http.Post(server.URL+"/v1/vms/vm-0000/state", "application/json", strings.NewReader(`{"state": "leaving"}`))
			assert.NilError(t, err)
			assert.NilError(t, res.Body.Close())
		}
		for _, unchanged := range []bool{false, true} {
			list, err := p.VMs(context.Background())
			assert.NilError(t, err)
			assert.Equal(t, list.Unchanged, unchanged)
			if assert.Equal(t, len(list.VMs) == 0, unchanged); !unchanged {
				assert.Equal(t, list.VMs[0].State, state)
			}
		}
	}
	assert.Equal(t, p.Traffic().Lists, uint64(4))
}
