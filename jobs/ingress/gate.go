package ingress

import (
	"sync/atomic"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/workspaces"
)

// Config is the part of a configuration that decides which calls are served, and where.
type Config struct {
	Version uint64
	Routes  *RouteTable
	// Workspaces is nil if the configuration has no workspaces; then no call needs a key.
	Workspaces   *workspaces.Table
	MaxBodyBytes int64
}

// Verdict is the decision whether a call is served.
type Verdict uint8

// Verdicts, in the order of the checks.
const (
	// NotConfigured means that no configuration has been received yet.
	NotConfigured Verdict = iota
	// NoRoute means that no route matches the call.
	NoRoute
	// Unconfirmed means that the configuration is too old to accept a key: the key may
	// have been removed in the meantime.
	Unconfirmed
	// KeyRefused means that no workspace has the key.
	KeyRefused
	Admitted
)

// String returns the name of the verdict in metrics and log lines.
func (v Verdict) String() string {
	return [...]string{"not-configured", "no-route", "unconfirmed", "key-refused", "admitted"}[v]
}

// Admission is the decision on a call.
type Admission struct {
	Verdict Verdict
	// Route is set unless the verdict is NotConfigured or NoRoute.
	Route Route
	// Workspace is the caller's workspace; empty if the call needed no key.
	Workspace job.Workspace
	key       string // Empty if the call had or needed none.
}

// Fingerprint identifies the caller's key in a log line; empty if there was none.
func (a Admission) Fingerprint() string {
	if a.key == "" {
		return ""
	}
	return workspaces.Fingerprint(a.key)
}

// GateOptions configure a [Gate].
type GateOptions struct {
	// Clock dates confirmations. It must count the time during which the process or its
	// machine is suspended. Required.
	Clock loop.Clock
	// RevokeTime is the time after which a removed key must not be accepted any more; 0
	// if keys are accepted however old the configuration is.
	RevokeTime time.Duration
}

// revokeMargin is the part of the revoke time that is not used, for the difference
// between the rates of the clocks of two machines.
const revokeMargin = 500 * time.Millisecond

// Gate decides which calls are served, by the configuration in force and the time of its
// last confirmation. It is safe for concurrent use, except that Apply and Confirm must not
// run at the same time.
type Gate struct {
	o     GateOptions
	state atomic.Pointer[gateState]
}

// gateState is immutable, so that a call sees one configuration as a whole.
type gateState struct {
	config      Config
	confirmed   bool
	confirmedAt time.Duration
}

// NewGate returns a gate without a configuration.
func NewGate(o GateOptions) *Gate { return &Gate{o: o} }

// Apply puts a configuration in force. It counts as confirmed when its predecessor was
// confirmed last, because it is at least as recent.
func (g *Gate) Apply(c Config) {
	next := gateState{config: c}
	if s := g.state.Load(); s != nil {
		next.confirmed, next.confirmedAt = s.confirmed, s.confirmedAt
	}
	g.state.Store(&next)
}

// Confirm records that a read sent at the given time saw the configuration with the given
// version. It is ignored unless that is the one in force.
func (g *Gate) Confirm(version uint64, sent time.Duration) {
	s := g.state.Load()
	if s == nil || s.config.Version != version || s.confirmed && sent <= s.confirmedAt {
		return
	}
	g.state.Store(&gateState{s.config, true, sent})
}

// Admit decides on a call that has arrived. key is empty if the call has no valid
// Authorization header.
func (g *Gate) Admit(host, path, key string) Admission {
	s := g.state.Load()
	if s == nil {
		return Admission{Verdict: NotConfigured}
	}
	route, found := s.config.Routes.Find(host, path)
	if !found {
		return Admission{Verdict: NoRoute}
	}
	if !s.needsKey(route) {
		return Admission{Verdict: Admitted, Route: route}
	}
	a := Admission{Route: route, key: key}
	a.Verdict, a.Workspace = g.checkKey(s, key)
	return a
}

// Recheck decides again on an admitted call whose success is about to be reported, by the
// configuration that is in force now.
func (g *Gate) Recheck(a Admission) Verdict {
	s := g.state.Load()
	if a.key == "" || !s.needsKey(a.Route) {
		return Admitted
	}
	verdict, workspace := g.checkKey(s, a.key)
	if verdict == Admitted && workspace != a.Workspace {
		return KeyRefused
	}
	return verdict
}

func (s *gateState) needsKey(route Route) bool { return s.config.Workspaces != nil && !route.Public }

// checkKey decides on a key. The state must be loaded before the call, so that a pause of
// the process makes it look older.
func (g *Gate) checkKey(s *gateState, key string) (Verdict, job.Workspace) {
	if !g.isValid(s) {
		return Unconfirmed, ""
	}
	workspace, ok := s.config.Workspaces.Authenticate(key)
	if !ok {
		return KeyRefused, ""
	}
	return Admitted, workspace
}

func (g *Gate) isValid(s *gateState) bool {
	return g.o.RevokeTime == 0 || s.confirmed && g.o.Clock()-s.confirmedAt < g.o.RevokeTime-revokeMargin
}

// Now returns the time on the clock that dates confirmations.
func (g *Gate) Now() time.Duration { return g.o.Clock() }

// Ready reports whether calls on all routes can be served.
func (g *Gate) Ready() bool {
	s := g.state.Load()
	return s != nil && (s.config.Workspaces == nil || g.isValid(s))
}

// ConfirmationAge returns the time since the read that confirmed the configuration last,
// and false if there was none.
func (g *Gate) ConfirmationAge() (time.Duration, bool) {
	s := g.state.Load()
	if s == nil || !s.confirmed {
		return 0, false
	}
	return g.o.Clock() - s.confirmedAt, true
}

// MaxBodyBytes returns the size limit of request bodies, or 0 if none is configured.
func (g *Gate) MaxBodyBytes() int64 {
	if s := g.state.Load(); s != nil {
		return s.config.MaxBodyBytes
	}
	return 0
}
