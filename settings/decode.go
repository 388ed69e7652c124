package settings

import (
	"fmt"
	"os"
	"slices"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings/strict"
)

// Load reads and validates a settings file and the TLS files that it names.
// The error lists all faults and is a [strict.Faults], unless the file cannot be read.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return parse(file, data, Settings.fileIssues)
}

// Parse decodes and validates the contents of a settings file. The file name
// only appears in error messages. Parse does not read the TLS files.
func Parse(file string, data []byte) (Settings, error) {
	return parse(file, data, func(Settings) []issue { return nil })
}

func parse(file string, data []byte, extraIssues func(Settings) []issue) (Settings, error) {
	document, root := strict.Parse(file, data)
	s := Default()
	if root.Present() {
		decode(root, &s)
		addIssues(document, append(s.issues(), extraIssues(s)...))
	}
	if err := document.Finish(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// addIssues adds the issues of all values that were decoded without a fault. It
// removes the other issues before it adds the first one: each added issue is a
// fault, which would hide further issues of the same value.
func addIssues(document *strict.Document, issues []issue) {
	issues = slices.DeleteFunc(issues, func(i issue) bool { return document.HasFault(i.path) })
	for _, i := range issues {
		document.Add(i.path, i.problem, i.accepted)
	}
}

func decode(root *strict.Map, s *Settings) {
	strict.Required(root, "member", &s.Member, strict.Name[fleet.MemberID]())
	strict.Required(root, "zone", &s.Zone, strict.Name[fleet.ZoneID]())
	decodeSite(root.Map("site"), &s.Site)
	decodeListen(root.Map("listen"), &s.Listen)
	decodePlatform(root.Map("platform"), &s.Platform)
	decodeTimeouts(root.Map("timeouts"), &s.Timeouts)
	decodeLimits(root.Map("limits"), &s.Limits)
	decodeTLS(root.Map("tls"), &s.TLS)
	for _, m := range root.List("operators") {
		s.Operators = append(s.Operators, decodeOperator(m))
	}
	decodeLog(root.Map("log"), &s.Log)
}

func decodeSite(m *strict.Map, s *Site) {
	strict.Required(m, "name", &s.Name, strict.Name[string]())
	w := m.Map("weights")
	strict.Optional(w, "buffer_cost", &s.Weights.BufferCost, strict.Float())
	strict.Optional(w, "roll_out_time", &s.Weights.RollOutTime, strict.Float())
	strict.Optional(w, "vm_moves", &s.Weights.VMMoves, strict.Float())
}

func decodeListen(m *strict.Map, l *Listen) {
	strict.Required(m, "callers", &l.Callers, strict.Address())
	strict.Required(m, "peers", &l.Peers, strict.Address())
	strict.Required(m, "admin", &l.Admin, strict.Address())
	strict.Required(m, "metrics", &l.Metrics, strict.Address())
}

func decodePlatform(m *strict.Map, p *Platform) {
	strict.Required(m, "url", &p.URL, strict.URL())
	strict.Optional(m, "timeout", &p.Timeout, strict.Duration())
	strict.Optional(m, "poll_interval", &p.PollInterval, strict.Duration())
	strict.Optional(m, "writes_per_second", &p.WritesPerSecond, strict.Int())
}

func decodeTimeouts(m *strict.Map, t *Timeouts) {
	strict.Optional(m, "read_header", &t.ReadHeader, strict.Duration())
	strict.Optional(m, "read_body", &t.ReadBody, strict.Duration())
	strict.Optional(m, "write", &t.Write, strict.Duration())
	strict.Optional(m, "idle", &t.Idle, strict.Duration())
	strict.Optional(m, "dial", &t.Dial, strict.Duration())
	strict.Optional(m, "claim", &t.Claim, strict.Duration())
	strict.Optional(m, "drain", &t.Drain, strict.Duration())
	strict.Optional(m, "stop", &t.Stop, strict.Duration())
}

func decodeLimits(m *strict.Map, l *Limits) {
	strict.Optional(m, "connections", &l.Connections, strict.Int())
	strict.Optional(m, "in_flight", &l.InFlight, strict.Int())
	strict.Optional(m, "header_bytes", &l.HeaderBytes, strict.Bytes())
	strict.Optional(m, "body_bytes", &l.BodyBytes, strict.Bytes())
	strict.Optional(m, "response_buffer", &l.ResponseBuffer, strict.Bytes())
	strict.Optional(m, "retry_ratio", &l.RetryRatio, strict.Float())
	strict.Optional(m, "retry_window", &l.RetryWindow, strict.Duration())
	strict.Optional(m, "claim_window", &l.ClaimWindow, strict.Duration())
	strict.Optional(m, "claims", &l.Claims, strict.Int())
}

func decodeTLS(m *strict.Map, t *TLS) {
	decodeKeyPair(m.Map("callers"), &t.Callers)
	decodeKeyPair(m.Map("peers"), &t.Peers)
	decodeKeyPair(m.Map("admin"), &t.Admin)
	strict.Optional(m, "peer_ca", &t.PeerCA, pemFile())
}

func decodeKeyPair(m *strict.Map, p *KeyPair) {
	strict.Optional(m, "certificate", &p.Certificate, pemFile())
	strict.Optional(m, "key", &p.Key, pemFile())
}

func decodeOperator(m *strict.Map) Operator {
	var o Operator
	strict.Required(m, "name", &o.Name, strict.Name[string]())
	strict.Required(m, "token_sha256", &o.TokenSHA256, strict.SHA256())
	strict.RequiredList(m, "roles", &o.Roles, strict.OneOf(RoleViewer, RoleOperator, RoleAdmin))
	strict.Optional(m, "expires", &o.Expires, strict.Time())
	return o
}

func decodeLog(m *strict.Map, l *Log) {
	strict.Optional(m, "format", &l.Format, strict.OneOf("json", "text"))
	strict.Optional(m, "level", &l.Level, strict.OneOf("info", "warning", "alarm"))
	strict.Optional(m, "timeline", &l.Timeline, strict.Int())
}

func pemFile() strict.Format[string] { return strict.Text().WithAccepted("the name of a PEM file") }
