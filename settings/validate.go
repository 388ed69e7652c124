package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Limits of settings that are used more than once.
const (
	minTimeout = 10 * time.Millisecond
	maxWeight  = 1000
)

// issue is a value that was decoded but is not valid.
type issue struct {
	path, problem, accepted string
}

// Validate returns an error that lists all values that are not valid. [Load]
// and [Parse] include these checks and add line numbers.
func (s Settings) Validate() error {
	var faults []error
	for _, i := range s.issues() {
		faults = append(faults, fmt.Errorf("%s: %s; accepted: %s", i.path, i.problem, i.accepted))
	}
	return errors.Join(faults...)
}

func (s Settings) issues() []issue {
	var c checker
	c.checkNotEmpty("member", string(s.Member))
	c.checkNotEmpty("zone", string(s.Zone))
	c.checkNotEmpty("site.name", s.Site.Name)
	c.checkListen(s.Listen, s.TLS)
	c.checkPlatform(s.Platform)
	c.checkTimeouts(s.Timeouts)
	c.checkLimits(s.Limits)
	c.checkTLS(s.TLS)
	c.checkOperators(s.Operators)
	c.checkLog(s.Log)
	c.checkWeights(s.Site.Weights)
	return c.issues
}

type checker struct{ issues []issue }

func (c *checker) add(path, problem, accepted string) {
	c.issues = append(c.issues, issue{path, problem, accepted})
}

func (c *checker) checkNotEmpty(path, value string) {
	if value == "" {
		c.add(path, "the value is empty", "text")
	}
}

func checkRange[T cmp.Ordered](c *checker, path string, value, low, high T) {
	if !(value >= low && value <= high) {
		c.add(path, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("%v to %v", low, high))
	}
}

// checkByteRange checks a number of bytes. Its messages show the limits with a unit.
func checkByteRange(c *checker, path string, value, low, high int64) {
	if value < low || value > high {
		c.add(path, fmt.Sprintf("%d bytes are out of range", value), fmt.Sprintf("%s to %s", FormatBytes(low), FormatBytes(high)))
	}
}

// FormatBytes formats a number of bytes with the largest unit that divides it.
func FormatBytes(n int64) string {
	for _, unit := range []struct {
		factor int64
		name   string
	}{{1 << 30, "GiB"}, {1 << 20, "MiB"}, {1 << 10, "KiB"}} {
		if n >= unit.factor && n%unit.factor == 0 {
			return fmt.Sprintf("%d%s", n/unit.factor, unit.name)
		}
	}
	return fmt.Sprintf("%dB", n)
}

func (c *checker) checkListen(l Listen, t TLS) {
	type namedAddress struct {
		path    string
		address netip.AddrPort
	}
	all := []namedAddress{{"listen.callers", l.Callers}, {"listen.peers", l.Peers}, {"listen.admin", l.Admin}, {"listen.metrics", l.Metrics}}
	for i, a := range all {
		if !a.address.IsValid() || a.address.Port() == 0 {
			c.add(a.path, "the address is missing", "IP:port")
			continue
		}
		for _, b := range all[:i] {
			if overlaps(a.address, b.address) {
				c.add(a.path, fmt.Sprintf("%s is also taken by %s", a.address, b.path), "a unique address and port")
			}
		}
	}
	for _, a := range all[1:3] {
		if a.address.IsValid() && a.address.Addr().IsUnspecified() {
			c.add(a.path, fmt.Sprintf("%s does not name one IP address", a.address), "the address under which peers reach the process")
		}
	}
	// Without TLS, operators' tokens would cross the network in clear text.
	if l.Admin.IsValid() && !l.Admin.Addr().IsLoopback() && !t.Admin.Set() {
		c.add("listen.admin", "tokens would be sent without encryption", "a loopback address, or tls.admin with certificate and key")
	}
}

func overlaps(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

func (c *checker) checkPlatform(p Platform) {
	c.checkNotEmpty("platform.url", p.URL)
	checkRange(c, "platform.timeout", p.Timeout, minTimeout, time.Minute)
	checkRange(c, "platform.poll_interval", p.PollInterval, 100*time.Millisecond, time.Minute)
	checkRange(c, "platform.writes_per_second", p.WritesPerSecond, 1, 1000)
}

func (c *checker) checkTimeouts(t Timeouts) {
	checkRange(c, "timeouts.read_header", t.ReadHeader, minTimeout, time.Minute)
	checkRange(c, "timeouts.read_body", t.ReadBody, minTimeout, 10*time.Minute)
	checkRange(c, "timeouts.write", t.Write, minTimeout, time.Hour)
	checkRange(c, "timeouts.idle", t.Idle, time.Second, time.Hour)
	checkRange(c, "timeouts.dial", t.Dial, time.Millisecond, time.Minute)
	checkRange(c, "timeouts.claim", t.Claim, time.Millisecond, time.Minute)
	checkRange(c, "timeouts.drain", t.Drain, 0, 10*time.Minute)
	checkRange(c, "timeouts.stop", t.Stop, time.Millisecond, time.Hour)
	if t.Stop <= t.Drain {
		c.add("timeouts.stop", fmt.Sprintf("%s leaves no time after timeouts.drain of %s", t.Stop, t.Drain), "more than timeouts.drain")
	}
}

func (c *checker) checkLimits(l Limits) {
	checkRange(c, "limits.connections", l.Connections, 1, 1_000_000)
	checkRange(c, "limits.in_flight", l.InFlight, 1, 1_000_000)
	if l.InFlight > l.Connections && l.Connections > 0 {
		c.add("limits.in_flight", fmt.Sprintf("%d requests do not fit into %d connections", l.InFlight, l.Connections), "at most limits.connections")
	}
	checkByteRange(c, "limits.header_bytes", l.HeaderBytes, 1<<10, 1<<20)
	checkByteRange(c, "limits.body_bytes", l.BodyBytes, 1, 1<<30)
	checkByteRange(c, "limits.response_buffer", l.ResponseBuffer, 1<<10, 64<<20)
	checkRange(c, "limits.retry_ratio", l.RetryRatio, 0, 1)
	checkRange(c, "limits.retry_window", l.RetryWindow, time.Second, 10*time.Minute)
	checkRange(c, "limits.claim_window", l.ClaimWindow, time.Second, time.Hour)
	checkRange(c, "limits.claims", l.Claims, 1, 100_000_000)
}

func (c *checker) checkTLS(t TLS) {
	c.checkKeyPair("tls.callers", t.Callers)
	c.checkKeyPair("tls.peers", t.Peers)
	c.checkKeyPair("tls.admin", t.Admin)
	if t.Peers.Set() != (t.PeerCA != "") {
		c.add("tls.peer_ca", "tls.peers and tls.peer_ca are not given together", "both or neither")
	}
}

func (c *checker) checkKeyPair(path string, p KeyPair) {
	if p.Set() && p.Certificate == "" {
		c.add(path+".certificate", "the certificate of the key is missing", "the name of a PEM file")
	}
	if p.Set() && p.Key == "" {
		c.add(path+".key", "the key of the certificate is missing", "the name of a PEM file")
	}
}

func (c *checker) checkOperators(operators []Operator) {
	names, hashes := firstIndex[string]{}, firstIndex[[32]byte]{}
	for i, o := range operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.checkNotEmpty(path+".name", o.Name)
		if first, ok := names.findRepeated(o.Name, i); ok {
			c.add(path+".name", fmt.Sprintf("%q is also the name of operators[%d]", o.Name, first), "a unique name")
		}
		if o.TokenSHA256 == ([32]byte{}) {
			c.add(path+".token_sha256", "the hash is missing", "the SHA-256 hash of a random token")
		}
		if first, ok := hashes.findRepeated(o.TokenSHA256, i); ok {
			c.add(path+".token_sha256", fmt.Sprintf("operators[%d] has the same token", first), "a unique token")
		}
		c.checkRoles(path+".roles", o.Roles)
	}
}

// firstIndex maps each value to the index of its first occurrence.
type firstIndex[T comparable] map[T]int

// findRepeated returns the index of an earlier occurrence of a value. It
// ignores zero values: they are missing ones, which other checks report.
func (u firstIndex[T]) findRepeated(value T, index int) (int, bool) {
	var zero T
	if value == zero {
		return 0, false
	}
	first, ok := u[value]
	if !ok {
		u[value] = index
	}
	return first, ok
}

func (c *checker) checkRoles(path string, roles []Role) {
	if len(roles) == 0 {
		c.add(path, "the operator has no role", "viewer, operator or admin")
	}
	for i, role := range roles {
		if !role.Includes(role) {
			c.add(fmt.Sprintf("%s[%d]", path, i), fmt.Sprintf("%q is not a role", role), "viewer, operator or admin")
		}
	}
}

func (c *checker) checkLog(l Log) {
	if l.Format != "json" && l.Format != "text" {
		c.add("log.format", fmt.Sprintf("%q is not a format", l.Format), "json, text")
	}
	if l.Level != "info" && l.Level != "warning" && l.Level != "alarm" {
		c.add("log.level", fmt.Sprintf("%q is not a level", l.Level), "info, warning, alarm")
	}
	checkRange(c, "log.timeline", l.Timeline, 16, 1_000_000)
}

func (c *checker) checkWeights(w Weights) {
	checkRange(c, "site.weights.buffer_cost", w.BufferCost, 0, maxWeight)
	checkRange(c, "site.weights.roll_out_time", w.RollOutTime, 0, maxWeight)
	checkRange(c, "site.weights.vm_moves", w.VMMoves, 0, maxWeight)
	if w == (Weights{}) {
		c.add("site.weights", "all weights are 0", "at least one weight above 0")
	}
}
