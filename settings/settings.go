package settings

import (
	"net/netip"
	"time"

	"peridotcrank.dev/fleet"
)

// Settings are the settings of one entry process.
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
// peers and administration from the member view, so those two name a
// particular IP address.
type Listen struct {
	Callers netip.AddrPort // HTTP for callers. Required.
	Peers   netip.AddrPort // TCP for other entry processes. Required.
	Admin   netip.AddrPort // Administration API. Required.
	Metrics netip.AddrPort // Metrics in Prometheus format. Required.
}

// Platform says how the platform's table service is reached.
type Platform struct {
	URL string // Base URL. Required.
	// Timeout bounds one call, 10 ms to 1 min. Default 2 s.
	Timeout time.Duration
	// PollInterval is the time between reads of changed rows, 100 ms to 1 min. Default 1 s.
	PollInterval time.Duration
	// WritesPerSecond is the write budget of this process, 1 to 1,000. Default 20.
	WritesPerSecond int
}

// Timeouts bound the steps of the request path and of a planned stop.
type Timeouts struct {
	ReadHeader time.Duration // Caller's request header, 10 ms to 1 min. Default 5 s.
	ReadBody   time.Duration // Caller's request body, 10 ms to 10 min. Default 10 s.
	Write      time.Duration // Response to the caller, 10 ms to 1 h. Default 30 s.
	Idle       time.Duration // Idle connection of a caller, 1 s to 1 h. Default 60 s.
	Dial       time.Duration // Connection to a backend server or peer, 1 ms to 1 min. Default 1 s.
	Claim      time.Duration // Claim of a key, longer than an eviction takes to be written, 1 ms to 1 min. Default 1 s.
	Drain      time.Duration // Time between "not ready" and closing the listener, 0 to 10 min. Default 5 s.
	Stop       time.Duration // Whole planned stop, more than Drain, at most 1 h. Default 30 s.
}

// Limits bound the memory and the load of the process.
type Limits struct {
	Connections    int     // Connections of callers, 1 to 1,000,000. Default 8,192.
	InFlight       int     // Requests of callers at once, 1 to Connections. Default 4,096.
	HeaderBytes    int64   // Request header, 1 KiB to 1 MiB. Default 64 KiB.
	BodyBytes      int64   // Request bodies and answers held at once, 1 B to 1 GiB. Default 16 MiB.
	ResponseBuffer int64   // Response read in full before it is passed on, 1 KiB to 64 MiB. Default 256 KiB.
	RetryRatio     float64 // Retries per live request, 0 to 1. Default 0.1.
	// RetryWindow is the sliding window of RetryRatio, 1 s to 10 min. Default 10 s.
	RetryWindow time.Duration
	// ClaimWindow is the time for which a key is recognised, 1 s to 1 h. Default 60 s.
	ClaimWindow time.Duration
	Claims      int // Keys kept at once, 1 to 100,000,000; about 150 B each. Default 200,000.
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

// KeyPair names the files of a certificate and its key, in PEM form.
type KeyPair struct {
	Certificate string
	Key         string
}

// Set reports whether the pair is given.
func (p KeyPair) Set() bool { return p.Certificate != "" || p.Key != "" }

// Operator is a holder of a token for the administration API.
type Operator struct {
	Name string // Unique. Required.
	// TokenSHA256 is the hash of the token. It has no salt, so a token must be
	// random with at least 128 bits. Required.
	TokenSHA256 [32]byte
	Roles       []Role // At least one. Required.
	// Expires is the time after which the token is refused. Default: never.
	Expires time.Time
}

// Log configures log lines and the timeline.
type Log struct {
	Format   string // json or text. Default json.
	Level    string // Lowest level that is written: info, warning or alarm. Default info.
	Timeline int    // Events kept in memory, 16 to 1,000,000. Default 4,096.
}

// Site is the profile of the site, by which the planner compares plans.
type Site struct {
	Name    string // For example wa-south. Required.
	Weights Weights
}

// Weights are the relative costs in the comparison of plans. No plan uses them
// yet. Each is 0 to
// 1,000. At least one is positive.
type Weights struct {
	BufferCost  float64 // Idle capacity held back for surges. Default 1.
	RollOutTime float64 // Duration of configurations and maintenance. Default 1.
	VMMoves     float64 // Number of VM moves. Default 1.
}
