package platform_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet/fleettest"
	"peridotcrank.dev/store"
	"peridotcrank.dev/store/storetest"
	"peridotcrank.dev/testbed/platform"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	n *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.n}, err
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// BenchmarkScaleRead reads the VM rows over HTTP: all of them, one changed row, and
// none (304). wire-B/op counts request and response with headers. The replies are
// made beforehand, so that B/op is close to what the client alone allocates.
func BenchmarkScaleRead(b *testing.B) {
	for _, workers := range []int{49, 500, 1500, 4100} {
		table := storetest.New()
		assert.NilError(b, platform.Seed(table, fleettest.Fleet(fleettest.Sized(workers))))
		snap, _ := table.Rows("vm/", 0)
		changed := table.Apply(store.Transaction{Writes: []store.Write{{Key: snap.Rows[0].Key, Value: snap.Rows[0].Value}}})
		for name, since := range map[string]store.Version{"all": 0, "one": changed.Revision - 1, "none": changed.Revision} {
			b.Run(fmt.Sprintf("%s/workers=%d", name, workers), func(b *testing.B) { benchmarkRead(b, table, since) })
		}
	}
}

// replay answers each request like the first one with the same entity tag.
func replay(h http.Handler) http.Handler {
	replies := map[string]*httptest.ResponseRecorder{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply, ok := replies[r.Header.Get("If-None-Match")]
		if !ok {
			reply = httptest.NewRecorder()
			h.ServeHTTP(reply, r)
			replies[r.Header.Get("If-None-Match")] = reply
		}
		maps.Copy(w.Header(), reply.Header())
		w.WriteHeader(reply.Code)
		_, _ = w.Write(reply.Body.Bytes())
	})
}

func benchmarkRead(b *testing.B, table *storetest.Table, since store.Version) {
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(replay(platform.New(platform.Options{Table: table})))
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	c, err := store.New(server.URL, "a", store.Options{})
	assert.NilError(b, err)
	b.ReportAllocs()
	reads := 0
	for b.Loop() {
		if _, err := c.Read(context.Background(), "vm/", since); err != nil {
			b.Fatal(err)
		}
		reads++
	}
	b.ReportMetric(float64(bytes.Load())/float64(reads), "wire-B/op")
}
