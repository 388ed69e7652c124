package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/testbed/site"
)

// Guards against a load that cancels its requests in progress when it is ended, which would
// look like a fault of the system, and against submissions recorded without a time or an
// entry process, which later checks would skip.
func TestEndOfLoadWaitsForRequests(t *testing.T) {
	begun := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == readyPath {
			return
		}
		select {
		case begun <- struct{}{}:
		default:
		}
		<-ctx.Done() // Responds only after the load has been ended.
		w.Header().Set(headerOutcome, "not-run")
	}))
	defer server.Close()
	go func() { <-begun; cancel() }()
	address := strings.TrimPrefix(server.URL, "http://")
	report := Run(ctx, Options{
		Site: site.Sites["quokka"], Entries: []string{address}, ServiceTime: 20 * time.Millisecond,
		Length: time.Hour, Scale: 0.01, OrderShare: 0.5, Seed: 1,
	})
	assert.Assert(t, len(report.Records) > 0)
	for _, record := range report.Records {
		assert.DeepEqual(t, record.Outcomes, []Outcome{NotRun})
		assert.DeepEqual(t, record.Entries, []string{address})
		assert.Assert(t, len(record.Sent) == 1 && record.Sent[0] > 0)
	}
}
