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

// report uses each instrument once, so that each appears in the output.
func report(t testing.TB) *Metrics {
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
	m.Claim("fresh")
	m.StoreRequest("commit", "applied")
	m.PeerMessage("heartbeat", "received")
	m.JobCall("submit", "ok", 20*time.Millisecond)
	m.WorkerOrder("start", "refused", 3*time.Millisecond)
	m.StoreCall("commit", "applied", 4*time.Millisecond)
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

// Guards against renamed or lost metrics, labels and values: dashboards and
// alert rules refer to them by name.
func TestEndpoint(t *testing.T) {
	recorder := httptest.NewRecorder()
	report(t).NewHTTPServer().Handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	assert.Equal(t, recorder.Code, 200)
	var own []string
	for line := range strings.Lines(recorder.Body.String()) {
		if strings.Contains(line, "peridotcrank_") {
			own = append(own, line)
		}
	}
	golden.Assert(t, strings.Join(own, ""), "endpoint.txt")
}

// Guards against a metric that operators cannot look up.
func TestPageNamesEachMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	families, err := report(t).registry.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if strings.HasPrefix(f.GetName(), "peridotcrank_") {
			assert.Assert(t, strings.Contains(string(page), "`"+f.GetName()+"`"), "docs/OPERATIONS.md lacks %s", f.GetName())
		}
	}
}

// Guards against allocation on the request path, which would show up as
// garbage collection under load.
func TestRequestDoesNotAllocate(t *testing.T) {
	m := report(t)
	s := m.Service("orders")
	perRequest := testing.AllocsPerRun(1000, func() {
		s.Begin()
		s.End(OutcomeBackendAnswered, 15*time.Millisecond)
		s.Shed("queue-full")
		m.Claim("fresh")
	})
	assert.Equal(t, perRequest, 0.0)
}

func BenchmarkRequest(b *testing.B) {
	s := report(b).Service("orders")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Begin()
			s.End(OutcomeBackendAnswered, 15*time.Millisecond)
		}
	})
}
