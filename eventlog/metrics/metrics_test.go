package metrics

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"peridotcrank.dev/eventlog/wire"
)

// useAllInstruments returns metrics of which each instrument was used, so that all
// of them appear in the output.
func useAllInstruments(t testing.TB) *Metrics {
	t.Helper()
	m, err := New()
	assert.NilError(t, err)
	s := m.Service("orders")
	s.Begin()
	s.Begin()
	s.End(OutcomeBackendAnswered, 15*time.Millisecond)
	s.Retry()
	s.Shed("queue-full")
	m.Service(ServiceNone).Begin()
	m.Service(ServiceNone).End(OutcomeNotRun, time.Millisecond)
	m.CountClaim("fresh")
	m.CountCallRejection("key-refused")
	assert.NilError(t, m.ObserveConfirmation(func() (time.Duration, bool) { return 1500 * time.Millisecond, true }))
	m.CountStoreRequest("commit", "applied")
	m.CountPeerMessage("heartbeat", "received")
	m.TimeJobCall("submit", "ok", 20*time.Millisecond)
	m.TimeWorkerOrder("start", "refused", 3*time.Millisecond)
	m.TimeStoreCall("commit", "applied", 4*time.Millisecond)
	m.ObserveDurationRatio(0.8)
	m.CountExcessJob("search", "refused-late")
	m.CountRemovedRun("not-listed")
	m.CountRestartedTask("not-listed")
	m.CountWorkerRestart("reply")
	m.CountMissingEnds(3)
	assert.NilError(t, m.ObserveWorkspaces(func() []WorkspaceJobs {
		return []WorkspaceJobs{{Workspace: "search", Running: 3, Waiting: 2, Excess: 1}}
	}))
	m.Queue("webshop").Set(7)
	m.Queue("webshop").Add(-2)
	m.SetConfigVersion(12)
	m.SetFleetRevision(480)
	m.SetViewValid(true)
	assert.NilError(t, m.ObserveTraffic(func() ControlTraffic {
		return ControlTraffic{
			Peers: wire.Totals{Sent: 1, Received: 2}, Platform: wire.Totals{Sent: 3, Received: 4},
			Control:    ClassTraffic{Messages: wire.Totals{Sent: 5, Received: 6}, Bytes: wire.Totals{Sent: 10, Received: 11}},
			Claims:     ClassTraffic{Messages: wire.Totals{Sent: 12, Received: 13}, Bytes: wire.Totals{Sent: 14, Received: 15}},
			StoreReads: 7, StoreWrites: 8, VMLists: 9,
		}
	}))
	return m
}

// Guards against changed or missing metrics, labels and values: dashboards and
// alert rules refer to them by name.
func TestEndpoint(t *testing.T) {
	recorder := httptest.NewRecorder()
	useAllInstruments(t).NewHTTPServer().Handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	assert.Equal(t, recorder.Code, 200)
	var own []string
	for line := range strings.Lines(recorder.Body.String()) {
		if strings.Contains(line, "peridotcrank_") {
			own = append(own, line)
		}
	}
	golden.Assert(t, strings.Join(own, ""), "endpoint.txt")
}

// Guards against a metric that docs/OPERATIONS.md does not describe.
func TestPageNamesEachMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	families, err := useAllInstruments(t).registry.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if strings.HasPrefix(f.GetName(), "peridotcrank_") {
			assert.Assert(t, strings.Contains(string(page), "`"+f.GetName()+"`"), "docs/OPERATIONS.md lacks %s", f.GetName())
		}
	}
}

// Guards against allocations on the request path, which cause garbage
// collection under load.
func TestRequestDoesNotAllocate(t *testing.T) {
	m := useAllInstruments(t)
	s := m.Service("orders")
	perRequest := testing.AllocsPerRun(1000, func() {
		s.Begin()
		s.End(OutcomeBackendAnswered, 15*time.Millisecond)
		s.Shed("queue-full")
		m.CountClaim("fresh")
	})
	assert.Equal(t, perRequest, 0.0)
}

func BenchmarkRequest(b *testing.B) {
	s := useAllInstruments(b).Service("orders")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Begin()
			s.End(OutcomeBackendAnswered, 15*time.Millisecond)
		}
	})
}
