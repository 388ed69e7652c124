package client

import (
	"crypto/sha256"
	"encoding/pem"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/admin/admintest"
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings"
)

func newHandler(t *testing.T, backend *admintest.Backend) *admin.Server {
	t.Helper()
	server, err := admin.NewServer(admin.Options{Process: "entry-1", Backend: backend,
		Operators: []settings.Operator{{Name: "cy", TokenSHA256: sha256.Sum256([]byte("token")), Roles: []settings.Role{settings.RoleAdmin}}}})
	assert.NilError(t, err)
	return server
}

func newClient(t *testing.T, handler http.Handler) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c, err := New(Options{Server: server.URL, Token: "token"})
	assert.NilError(t, err)
	return c
}

// Guards against a client method that calls the wrong route or omits a part of the
// request or reply.
func TestMethodsUseTheirEndpoints(t *testing.T) {
	backend := admintest.New()
	for i := range 2500 {
		backend.VMList = append(backend.VMList, fleet.VM{ID: fleet.VMID(fmt.Sprintf("many-%04d", i)), Phase: fleet.PhaseServing})
		backend.Events = append(backend.Events, eventlog.Event{Time: uint64(i + 1), Fields: eventlog.Fields{"n": "1"}})
	}
	c, ctx := newClient(t, newHandler(t, backend)), t.Context()

	capacity := 3
	plan, err := c.CreateIntent(ctx, "r1", admin.IntentRequest{Kind: fleet.IntentPoolCapacity, Pool: "webshop", Capacity: &capacity})
	assert.NilError(t, err)
	assert.Equal(t, plan.Intent.Capacity, 3)
	assert.Equal(t, plan.Intent.Operator, "cy")
	assert.Equal(t, plan.Version, uint64(30))
	plan, err = c.CreatePlan(ctx, "r2", "intent-1")
	assert.NilError(t, err)
	assert.Equal(t, plan.Intent.ID, fleet.IntentID("intent-1"))
	for state, changeState := range map[fleet.PlanState]func() (admin.Plan, error){
		fleet.PlanConfirmed: func() (admin.Plan, error) { return c.ConfirmPlan(ctx, "r3", "plan-1") },
		fleet.PlanRejected:  func() (admin.Plan, error) { return c.RejectPlan(ctx, "r4", "plan-1", "why") },
		fleet.PlanCancelled: func() (admin.Plan, error) { return c.CancelPlan(ctx, "r5", "plan-1", "why") },
	} {
		plan, err = changeState()
		assert.NilError(t, err)
		assert.Equal(t, plan.State, state)
		assert.Equal(t, plan.Reason == "why", state != fleet.PlanConfirmed)
	}
	plan, err = c.WatchPlan(ctx, "plan-1", plan.Version, 10*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, plan.ID, fleet.PlanID("plan-1"))
	plan, err = c.Plan(ctx, "plan-2")
	assert.NilError(t, err)
	assert.Equal(t, plan.Version, uint64(23))
	plans, err := c.Plans(ctx, fleet.PlanProposed)
	assert.NilError(t, err)
	assert.Equal(t, len(plans), 1)

	intents, err := c.Intents(ctx)
	assert.NilError(t, err)
	assert.Equal(t, intents[1].Version, uint64(21))
	pools, err := c.Pools(ctx)
	assert.NilError(t, err)
	assert.Equal(t, pools[0].ID, fleet.PoolID("backoffice"))
	vms, err := c.VMs(ctx, VMFilter{Phase: fleet.PhaseServing})
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 2502)
	vms, err = c.VMs(ctx, VMFilter{Pool: "backoffice", Rack: "rack-2", Zone: "zone-b"})
	assert.NilError(t, err)
	assert.Assert(t, len(vms) == 1 && vms[0].Leaving && vms[0].Version == 14)
	members, err := c.Members(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, members[1], backend.MemberList[0])
	events, err := c.Timeline(ctx, 100)
	assert.NilError(t, err)
	assert.DeepEqual(t, events, backend.Events[100:])

	status, err := c.ConfigurationStatus(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, status, backend.Status)
	configuration, err := c.Configuration(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, configuration, backend.Config)
	configuration, err = c.SetConfiguration(ctx, "r6", 7, configuration.Services)
	assert.NilError(t, err)
	assert.Equal(t, configuration.Version, uint64(8))
	_, err = c.SetConfiguration(ctx, "r7", 6, configuration.Services)
	var known *admin.Error
	assert.Assert(t, errors.As(err, &known) && known.Code == admin.CodeConflict && known.Peer == "store")
	assert.DeepEqual(t, known.Conflict.Changed, []fleet.RowVersion{{Key: "config", Version: 7}})
}

// Guards against reporting a write without a reply as not carried out, and against
// reporting a request that was never sent as an unknown outcome.
func TestTransportErrors(t *testing.T) {
	abort := newClient(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	redirect := newClient(t, http.RedirectHandler("http://127.0.0.1:1/", http.StatusTemporaryRedirect))
	garbage := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>") }))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	refused, err := abort.ForAddress(listener.Addr().String())
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		client      *Client
		read, write admin.ErrorCode
	}{
		"aborted":    {abort, admin.CodeUnavailable, admin.CodeOutcomeUnknown},
		"redirected": {redirect, admin.CodeUnavailable, admin.CodeOutcomeUnknown},
		"garbage":    {garbage, admin.CodeUnavailable, admin.CodeOutcomeUnknown},
		"refused":    {refused, admin.CodeUnavailable, admin.CodeUnavailable},
	} {
		var known *admin.Error
		_, err := c.client.Plan(t.Context(), "plan-1")
		assert.Assert(t, errors.As(err, &known) && known.Code == c.read, "%s: %v", name, err)
		_, err = c.client.ConfirmPlan(t.Context(), "r1", "plan-1")
		assert.Assert(t, errors.As(err, &known) && known.Code == c.write, "%s: %v", name, err)
	}
}

// Guards against sending the token to a server with an untrusted certificate, and
// against ignoring the configured certificate authority.
func TestTLS(t *testing.T) {
	backend := admintest.New()
	server := httptest.NewTLSServer(newHandler(t, backend))
	defer server.Close()
	ca := filepath.Join(t.TempDir(), "ca.crt")
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	assert.NilError(t, os.WriteFile(ca, block, 0o600))
	trusting, err := New(Options{Server: server.URL, Token: "token", CAFile: ca})
	assert.NilError(t, err)
	_, err = trusting.ConfirmPlan(t.Context(), "r1", "plan-1")
	assert.NilError(t, err)
	strict, err := New(Options{Server: server.URL, Token: "token"})
	assert.NilError(t, err)
	_, err = strict.ConfirmPlan(t.Context(), "r2", "plan-1")
	var known *admin.Error
	assert.Assert(t, errors.As(err, &known) && known.Code == admin.CodeUnavailable, "%v", err)
	assert.Equal(t, len(backend.Writes), 1)
}

// Guards against sending the token unencrypted, and against a token that is not
// valid in an HTTP header.
func TestUnsafeOptionsAreRejected(t *testing.T) {
	for _, o := range []Options{
		{Server: "http://10.0.0.1:8082", Token: "token"}, {Server: "10.0.0.1:8082", Token: "token"}, {Server: "ftp://127.0.0.1", Token: "token"},
		{Server: "https://10.0.0.1/v1", Token: "token"}, {Server: "https://a:b@10.0.0.1", Token: "token"},
		{Server: "https://10.0.0.1"}, {Server: "https://10.0.0.1", Token: "a\nb"}, {Server: "https://10.0.0.1", Token: "token", CAFile: "client.go"},
	} {
		_, err := New(o)
		assert.Assert(t, err != nil, "%v", o)
	}
	c, err := New(Options{Server: "http://127.0.0.1:1", Token: "token"})
	assert.NilError(t, err)
	_, err = c.ForAddress("10.0.0.1:8082")
	assert.ErrorContains(t, err, "without encryption")
}
