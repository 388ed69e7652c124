package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"

	"peridotcrank.dev/testbed/press"
)

type pressCommand struct {
	URL         string        `long:"url" required:"true" description:"address to measure"`
	Name        string        `long:"name" required:"true" description:"name in the table"`
	Connections int           `long:"connections" default:"1" description:"connections"`
	Rate        float64       `long:"rate" description:"requests a second; 0 sends without pause"`
	Warmup      time.Duration `long:"warmup" default:"1s" description:"time that is not measured"`
	Length      time.Duration `long:"length" default:"4s" description:"time that is measured"`
	Keyed       bool          `long:"keyed" description:"send POST requests with an idempotency key"`
}

// Execute measures the address and prints the result as one row of a Markdown table.
func (c *pressCommand) Execute([]string) error {
	r := press.Run(context.Background(), press.Options{
		URL: c.URL, Connections: c.Connections, Rate: c.Rate, Warmup: c.Warmup, Length: c.Length, Keyed: c.Keyed,
	})
	rate := "unlimited"
	if c.Rate > 0 {
		rate = fmt.Sprintf("%.0f", c.Rate)
	}
	fmt.Printf("| %s | %d | %s | %.0f | %d | %d | %d | %d |\n", c.Name, c.Connections, rate, r.PerSecond, r.Failed,
		r.Latency.ValueAtQuantile(50), r.Latency.ValueAtQuantile(99), r.Latency.ValueAtQuantile(99.9))
	return nil
}

// proxyIdleConnections is high enough for the baseline to reuse all its connections.
// With the default of 2 it would open a connection for nearly every request.
const proxyIdleConnections = 1024

type proxyCommand struct {
	Listen string `long:"listen" required:"true" description:"IP:port to listen on"`
	Target string `long:"target" required:"true" description:"IP:port of the backend server"`
}

// Execute runs net/http/httputil.ReverseProxy, the baseline of the measurements, until the
// process is ended.
func (c *proxyCommand) Execute([]string) error {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: c.Target})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: proxyIdleConnections}
	server := &http.Server{Addr: c.Listen, Handler: proxy, ReadHeaderTimeout: headerTimeout}
	if err := server.ListenAndServe(); err != nil {
		return fmt.Errorf("serve proxy: %w", err)
	}
	return nil
}
