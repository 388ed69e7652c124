package settings

import (
	"net/netip"
	"time"

	"peridotcrank.dev/fleet"
)

// Settings holds the settings of an entry process.
type Settings struct {
	// Member identifies the process in the member view. Required.
	Member fleet.MemberID
	// Zone is the availability zone of the process. Required.
	Zone fleet.ZoneID

	Listen    Listen
	Platform  Platform
	Timeouts  Timeouts
	Limits    Limits
	TLS       TLS
	Operators []Operator
	Log       Log
	Site      Site
}

// Listen holds the addresses of the process. Peers learn the addresses for
// peers and administration from the member view, so those two must contain a
// specific IP address.
type Listen struct {
	Callers netip.AddrPort // HTTP for callers. Required.
	Peers   netip.AddrPort // TCP for other entry processes. Required.
	Admin   netip.AddrPort // Administration API. Required.
	Metrics netip.AddrPort // Metrics in Prometheus format. Required.
}

// Platform configures the access to the platform's table service.
type Platform struct {
	URL string // Base URL. Required.
	// Timeout bounds one call, 10 ms to 1 min. Default 2 s.
	Timeout time.Duration
	// PollInterval is the time between reads of changed rows, 100 ms to 1 min. Default 1 s.
	PollInterval time.Duration
	// WritesPerSecond is the write budget of this process, 1 to 1,000. Default 20.
	WritesPerSecond int
}

// Timeouts limits the duration of the steps of a request and of a planned stop.
type Timeouts struct {
	ReadHeader time.Duration // Caller's request header, 10 ms to 1 min. Default 5 s.
	ReadBody   time.Duration // Caller's request body, 10 ms to 10 min. Default 10 s.
	Write      time.Duration // Response to the caller, 10 ms to 1 h. Default 30 s.
	Idle       time.Duration // Idle connection of a caller, 1 s to 1 h. Default 60 s.
	Dial       time.Duration // Connection to a backend server or peer, 1 ms to 1 min. Default 1 s.
	Claim      time.Duration // Claim of a key; must be longer than it takes to write an eviction, 1 ms to 1 min. Default 1 s.
	Drain      time.Duration // Time from reporting "not ready" to closing the listener, 0 to 10 min. Default 5 s.
	Stop       time.Duration // Whole planned stop, more than Drain, at most 1 h. Default 30 s.
}

// Limits bounds the memory and the load of the process.
type Limits struct {
	Connections    int     // Connections of callers, 1 to 1,000,000. Default 8,192.
	InFlight       int     // Concurrent requests of callers, 1 to Connections. Default 4,096.
	HeaderBytes    int64   // Request header, 1 KiB to 1 MiB. Default 64 KiB.
	BodyBytes      int64   // Request and response bodies held in memory at once, 1 B to 1 GiB. Default 16 MiB.
	ResponseBuffer int64   // Largest response that is read in full before it is forwarded, 1 KiB to 64 MiB. Default 256 KiB.
	RetryRatio     float64 // Retries per request in RetryWindow, 0 to 1. Default 0.1.
	// RetryWindow is the sliding window of RetryRatio, 1 s to 10 min. Default 10 s.
	RetryWindow time.Duration
	// ClaimWindow is how long a claimed key is remembered, 1 s to 1 h. Default 60 s.
	ClaimWindow time.Duration
	Claims      int // Keys remembered at once, 1 to 100,000,000; about 150 B each. Default 200,000.
}

// TLS names the files of the listeners' certificates. A listener without
// files uses plain TCP.
type TLS struct {
	Callers KeyPair
	Peers   KeyPair
	Admin   KeyPair
	// PeerCA is the certificate authority of the peers. Required with Peers.
	PeerCA string
}

// KeyPair names the files of a certificate and its key, in PEM format.
type KeyPair struct {
	Certificate string
	Key         string
}

// Set reports whether the settings name a certificate or a key.
func (p KeyPair) Set() bool { return p.Certificate != "" || p.Key != "" }

// Operator is a user of the administration API, identified by a token.
type Operator struct {
	Name string // Unique. Required.
	// TokenSHA256 is the hash of the token. It has no salt, so a token must be
	// random with at least 128 bits. Required.
	TokenSHA256 [32]byte
	Roles       []Role // At least one. Required.
	// Expires is the time after which the token is refused. Default: never.
	Expires time.Time
}

// Log configures the log lines and the timeline.
type Log struct {
	Format   string // json or text. Default json.
	Level    string // Lowest level that is logged: info, warning or alarm. Default info.
	Timeline int    // Events kept in memory, 16 to 1,000,000. Default 4,096.
}

// Site describes the site, for the planner's comparison of plans.
type Site struct {
	Name    string // For example wa-south. Required.
	Weights Weights
}

// Weights holds the relative costs for the comparison of plans. The planner
// does not use them yet. Each is 0 to 1,000, and at least one is positive.
type Weights struct {
	BufferCost  float64 // Idle capacity held back for surges. Default 1.
	RollOutTime float64 // Duration of configurations and maintenance. Default 1.
	VMMoves     float64 // Number of VM moves. Default 1.
}
