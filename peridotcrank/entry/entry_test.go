package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/admin/client"
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/gateway"
	"peridotcrank.dev/settings"
	"peridotcrank.dev/store/storetest"
	"peridotcrank.dev/testbed/backend"
	"peridotcrank.dev/testbed/platform"
)

const (
	testToken = "token-of-the-test-operator-0123456789"
	// waitTimeout limits the wait for a condition. It covers the start of a new
	// site, which waits 5 s for its slots.
	waitTimeout = 30 * time.Second
)

// testSite runs a platform, backend servers and entry processes in the process
// of the test.
type testSite struct {
	t         *testing.T
	authority *authority
	platform  string
	ledger    *backend.RunLog
	processes []*Process
	stops     []context.CancelFunc
	ended     []chan error
}

func newTestSite(t *testing.T, entries int) *testSite {
	s := &testSite{t: t, authority: newAuthority(t), ledger: &backend.RunLog{}}
	snapshot := &fleet.Snapshot{VMs: map[fleet.VMID]fleet.VM{}, Pools: map[fleet.PoolID]fleet.Pool{
		"webshop": {ID: "webshop", Capacity: 2}, "spare": {ID: "spare", Capacity: 1, Spare: true},
	}}
	var vms []fleet.VM
	servers := backend.NewFleet(s.ledger)
	for i, pool := range []fleet.PoolID{"webshop", "webshop", "spare"} {
		vm := fleet.VM{
			ID: fleet.VMID(fmt.Sprintf("vm-%d", i+1)), Address: freeAddress(t).String(), Rack: "r1", Zone: "z1",
			Slots: 8, Connections: 64, Pool: pool, Generation: 1, Phase: fleet.PhaseServing,
		}
		assert.NilError(t, servers.Add(backend.Options{VM: string(vm.ID), Address: vm.Address, Slots: 8, Connections: 64, ServiceTime: time.Millisecond}))
		vms = append(vms, vm)
		snapshot.VMs[vm.ID] = vm
	}
	table := storetest.New()
	assert.NilError(t, platform.Seed(table, snapshot))
	server := httptest.NewServer(platform.New(platform.Options{Table: table, VMs: vms, RebootTime: time.Millisecond}))
	t.Cleanup(server.Close)
	s.platform = server.URL
	for i := range entries {
		s.start(fleet.MemberID(fmt.Sprintf("entry-%d", i+1)))
	}
	return s
}

// lastPort is the last port that freeAddress returned. The ports are below the
// range of ephemeral ports: an outgoing connection could otherwise take a port
// after freeAddress has checked it and before the process listens on it.
var lastPort = 11_000 + os.Getpid()%1000*16

func freeAddress(t *testing.T) netip.AddrPort {
	for range 1000 {
		lastPort++
		address := fmt.Sprintf("127.0.0.1:%d", lastPort)
		if l, err := net.Listen("tcp", address); err == nil {
			assert.NilError(t, l.Close())
			return netip.MustParseAddrPort(address)
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

func (s *testSite) start(id fleet.MemberID) {
	c := settings.Default()
	c.Member, c.Zone, c.Site.Name = id, "z1", "test"
	c.Listen = settings.Listen{Callers: freeAddress(s.t), Peers: freeAddress(s.t), Admin: freeAddress(s.t), Metrics: freeAddress(s.t)}
	c.Platform.URL = s.platform
	c.Timeouts.Drain = 0
	c.Operators = []settings.Operator{{Name: "ana", TokenSHA256: sha256.Sum256([]byte(testToken)), Roles: []settings.Role{settings.RoleAdmin}}}
	pair := s.authority.issue(s.t, string(id))
	c.TLS = settings.TLS{Peers: pair, Admin: pair, Callers: pair, PeerCA: s.authority.file}
	p, err := New(c)
	assert.NilError(s.t, err)
	ctx, stop := context.WithCancel(s.t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	s.processes, s.stops, s.ended = append(s.processes, p), append(s.stops, stop), append(s.ended, ended)
}

func (s *testSite) operator(i int) *client.Client {
	c, err := client.New(client.Options{
		Server: "https://" + s.processes[i].settings.Listen.Admin.String(), Token: testToken, CAFile: s.authority.file,
	})
	assert.NilError(s.t, err)
	return c
}

func (s *testSite) waitFor(condition string, check func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", condition)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}

// configure sets a configuration and waits until all processes are ready.
func (s *testSite) configure() {
	ctx := s.t.Context()
	s.waitFor("members", func() bool {
		members, err := s.operator(0).Members(ctx)
		return err == nil && len(members) == len(s.processes)
	})
	_, err := s.operator(0).SetConfiguration(ctx, "configure", 0, []fleet.Service{{
		Name: "webshop", PathPrefix: "/webshop/", Pool: "webshop", Timeout: 2 * time.Second, MaxBodyBytes: 1 << 10, MaxQueue: 16, AvailabilityTarget: 0.999,
	}})
	assert.NilError(s.t, err)
	for _, p := range s.processes {
		s.waitFor("readiness", p.ready)
	}
}

// sendOrder sends a request with an idempotency key to a process and returns the
// status and the outcome of the response.
func (s *testSite) sendOrder(i int, key string) (int, gateway.Outcome) {
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost,
		"https://"+s.processes[i].settings.Listen.Callers.String()+"/webshop/orders", bytes.NewReader([]byte("{}")))
	assert.NilError(s.t, err)
	request.Header.Set(gateway.HeaderIdempotencyKey, key)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: s.authority.pool}, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	assert.NilError(s.t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(s.t, err)
	return response.StatusCode, gateway.Outcome(response.Header.Get(gateway.HeaderOutcome))
}

// Guards against failures that need several processes: it covers TLS between
// processes, claims of a key at all of them, a VM move and a planned stop.
func TestProcessesTogether(t *testing.T) {
	s := newTestSite(t, 3)
	s.configure()
	status, outcome := s.sendOrder(0, "k-1")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, outcome, gateway.OutcomeAnswered)
	for i := range s.processes {
		status, outcome = s.sendOrder(i, "k-1")
		assert.Equal(t, status, http.StatusConflict)
		assert.Equal(t, outcome, gateway.OutcomeUnknown)
	}
	assert.Equal(t, len(s.ledger.Runs()), 1, "a resubmission must not run again")

	s.moveVM(3)
	s.stops[0]()
	assert.NilError(t, <-s.ended[0])
	status, outcome = s.sendOrder(1, "k-1")
	assert.Equal(t, status, http.StatusConflict, "the claims were handed over")
	assert.Equal(t, outcome, gateway.OutcomeUnknown)
	s.waitFor("the stopped process to leave", func() bool {
		members, err := s.operator(1).Members(t.Context())
		return err == nil && len(members) == 2
	})
}

// moveVM raises the capacity of the pool, so that the spare VM moves to it, and
// waits until the plan is done and every process has the new pool of the VM.
func (s *testSite) moveVM(capacity int) {
	ctx := s.t.Context()
	plan, err := s.operator(1).CreateIntent(ctx, "grow", admin.IntentRequest{Kind: fleet.IntentPoolCapacity, Pool: "webshop", Capacity: &capacity})
	assert.NilError(s.t, err)
	again, err := s.operator(2).CreateIntent(ctx, "grow", admin.IntentRequest{Kind: fleet.IntentPoolCapacity, Pool: "webshop", Capacity: &capacity})
	assert.NilError(s.t, err)
	assert.Equal(s.t, again.ID, plan.ID, "a repeated request creates no second plan")
	_, err = s.operator(1).ConfirmPlan(ctx, "confirm", plan.ID)
	assert.NilError(s.t, err)
	s.waitFor("the plan", func() bool {
		plan, err := s.operator(2).Plan(ctx, plan.ID)
		return err == nil && plan.State == fleet.PlanDone
	})
	s.waitFor("the move in every view", func() bool {
		for _, p := range s.processes {
			if vm := p.controller.State().Fleet.VMs["vm-3"]; vm.Pool != "webshop" || !vm.Routable() {
				return false
			}
		}
		return true
	})
}

// Guards against a configuration roll-out whose completion is never recorded.
func TestTimelineHoldsTheRollOut(t *testing.T) {
	s := newTestSite(t, 2)
	s.configure()
	s.waitFor("the event", func() bool {
		events, err := s.operator(0).Timeline(t.Context(), 0)
		assert.NilError(t, err)
		for _, e := range events {
			if e.Code == eventlog.ConfigInForce {
				return true
			}
		}
		return false
	})
}
