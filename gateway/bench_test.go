package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/exchange"
	"peridotcrank.dev/routing"
)

const (
	benchRequest  = "GET /orders/17 HTTP/1.1\r\nHost: shop\r\nUser-Agent: till/1\r\nAccept: application/json\r\nPeridotcrank-Customer: c1\r\n\r\n"
	benchBody     = 256 // Bytes.
	benchMaxNanos = int64(10 * time.Second)
)

// BenchmarkGateway compares the gateway with httputil.ReverseProxy and with
// direct requests to the backend server. Client and backend server do not
// allocate, so that the reported allocations are those of the proxy.
func BenchmarkGateway(b *testing.B) {
	backend := benchBackend(b)
	for _, connections := range []int{1, 64, 512} {
		for _, c := range []struct {
			name  string
			start func(testing.TB, string) string
		}{
			{"direct", func(_ testing.TB, addr string) string { return addr }}, {"proxy", benchProxy}, {"gateway", benchGateway},
		} {
			b.Run(fmt.Sprintf("%s/%d", c.name, connections), func(b *testing.B) { benchLoad(b, c.start(b, backend), connections) })
		}
	}
}

func benchBackend(tb testing.TB) string {
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Mon, 02 Jan 2006 15:04:05 GMT\r\nContent-Length: %d\r\n\r\n%s", benchBody, make([]byte, benchBody))
	return serveConnections(tb, func(nc net.Conn) {
		br := bufio.NewReader(nc)
		for {
			line, err := br.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) == 2 {
				nc.Write(answer)
			}
		}
	}).Addr().String()
}

func benchProxy(tb testing.TB, backend string) string {
	target := &url.URL{Scheme: "http", Host: backend}
	server := httptest.NewServer(&httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(target) },
		Transport: &http.Transport{MaxIdleConns: 1024, MaxIdleConnsPerHost: 1024, DisableCompression: true},
	})
	tb.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

type benchDispatcher struct{ reservation }

func (d *benchDispatcher) Acquire(context.Context, routing.Request) (routing.Reservation, error) {
	return d, nil
}
func (d *benchDispatcher) Valid() bool         { return true }
func (d *benchDispatcher) Done(routing.Result) {}

func benchGateway(tb testing.TB, backend string) string {
	client, err := exchange.New(exchange.Options{ConnectionsPerAddress: 512})
	assert.NilError(tb, err)
	tb.Cleanup(func() { client.Close() })
	s := startTestGateway(tb, func(o *Options) {
		o.Exchange = client
		o.Dispatcher = &benchDispatcher{reservation{target: routing.Target{VM: "vm0", Address: backend}}}
	})
	return s.url[len("http://"):]
}

func benchLoad(b *testing.B, addr string, connections int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	total := hdrhistogram.New(1000, benchMaxNanos, 3)
	pendingRequests := make(chan struct{}, b.N)
	for range b.N {
		pendingRequests <- struct{}{}
	}
	close(pendingRequests)
	b.ReportAllocs()
	start := make(chan struct{})
	for range connections {
		nc, err := net.Dial("tcp", addr)
		assert.NilError(b, err)
		wg.Go(func() {
			defer nc.Close()
			h := hdrhistogram.New(1000, benchMaxNanos, 3)
			br := bufio.NewReader(nc)
			<-start
			for range pendingRequests {
				began := time.Now()
				if !assert.Check(b, benchExchange(nc, br)) {
					return
				}
				h.RecordValue(int64(time.Since(began)))
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(h)
		})
	}
	b.ResetTimer()
	before := cpuTime()
	close(start)
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N)/1e3, "cpu-us/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64(total.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(total.ValueAtQuantile(99))/1e3, "p99-us")
}

// cpuTime returns the CPU time of this process. Unlike the throughput, it hardly
// depends on the load of other processes.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchExchange(nc net.Conn, br *bufio.Reader) error {
	if _, err := io.WriteString(nc, benchRequest); err != nil {
		return err
	}
	for first := true; ; first = false {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if first && !bytes.HasPrefix(line, []byte("HTTP/1.1 200")) {
			return fmt.Errorf("status line %q", line)
		}
		if len(line) == 2 {
			break
		}
	}
	_, err := br.Discard(benchBody)
	return err
}
