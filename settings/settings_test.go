package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
)

func readTestdata(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	assert.NilError(t, err)
	return string(data)
}

// Guards against a default that is lost in decoding or fails validation.
func TestMinimalTakesDefaults(t *testing.T) {
	s, err := Load("testdata/minimal.yaml")
	assert.NilError(t, err)
	assert.NilError(t, s.Validate())
	want := Default()
	assert.DeepEqual(t, s.Timeouts, want.Timeouts)
	assert.DeepEqual(t, s.Limits, want.Limits)
	assert.DeepEqual(t, s.Log, want.Log)
	assert.DeepEqual(t, s.Site.Weights, want.Site.Weights)
	assert.Equal(t, s.Listen.Peers.String(), "10.0.0.1:8081")
}

// Guards against a key that is accepted but not stored: the full file sets
// each field to a value other than its default.
func TestFullSetsEachField(t *testing.T) {
	s, err := Parse("full.yaml", []byte(readTestdata(t, "full.yaml")))
	assert.NilError(t, err)
	assertDiffer(t, "", reflect.ValueOf(s), reflect.ValueOf(Default()))
	assert.Equal(t, s.Platform.URL, "https://platform.example:7000/tables")
	assert.Equal(t, s.Limits.HeaderBytes, int64(8192))
	assert.Equal(t, s.Timeouts.Stop, 68*time.Second)
	assert.DeepEqual(t, s.Operators[0].Roles, []Role{RoleViewer, RoleAdmin})
	assert.Equal(t, s.Operators[0].TokenSHA256[31], byte(0x11))
	assert.Assert(t, s.Operators[1].Expires.IsZero())
}

func assertDiffer(t *testing.T, path string, got, standard reflect.Value) {
	t.Helper()
	if got.Kind() != reflect.Struct || got.Type().PkgPath() != reflect.TypeFor[Settings]().PkgPath() {
		assert.Check(t, !reflect.DeepEqual(got.Interface(), standard.Interface()), "%s has its default", path)
		return
	}
	for i := range got.NumField() {
		assertDiffer(t, path+"."+got.Type().Field(i).Name, got.Field(i), standard.Field(i))
	}
}

// Guards against faults that are not detected, or are reported without line,
// path or accepted format. Each case replaces a part of the full file.
func TestFaults(t *testing.T) {
	full := readTestdata(t, "full.yaml")
	hash := strings.Repeat("2", 64)
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", "zone: wa-south-a", "zome: x", "zome: unknown key; accepted: member, zone,"},
		{"unknown nested key", "  claims: 5000", "  claim: 5000", "limits.claim: unknown key"},
		{"missing key", "  peers: 10.0.0.1:8081\n", "", "listen.peers: the key is missing; accepted: IP:port"},
		{"duplicate key", "zone: wa-south-a", "zone: a\nzone: b", "zone: duplicate key, first set at line 3"},
		{"number without unit", "timeout: 1500ms", "timeout: 1500", `platform.timeout: "1500" is not a duration with unit; accepted: a duration with unit`},
		{"zero without unit", "poll_interval: 500ms", "poll_interval: 0", "is not a duration with unit"},
		{"wrong unit", "header_bytes: 8KiB", "header_bytes: 8s", "is not a size with unit; accepted: a size with unit (B, KiB"},
		{"decimal unit", "header_bytes: 8KiB", "header_bytes: 8KB", "is not a size with unit"},
		{"unit on a count", "connections: 900", "connections: 900s", `limits.connections: "900s" has the wrong type str`},
		{"octal count", "connections: 900", "connections: 0x384", "is not a decimal number"},
		{"wrong type of name", "member: entry-1", "member: 7", `member: "7" has the wrong type int`},
		{"bad name", "member: entry-1", "member: Entry 1", "is not a valid name"},
		{"null", "member: entry-1", "member:", "member: found no value"},
		{"scalar for a mapping", "log: {format: text, level: warning, timeline: 100}", "log: text", `log: found "text"; accepted: a mapping`},
		{"list for a scalar", "member: entry-1", "member: [a]", "member: found a list"},
		{"mapping for a list", full[strings.Index(full, "operators:"):strings.Index(full, "log:")], "operators: {name: ana}\n", "operators: found a mapping; accepted: a list of mappings"},
		{"port missing", "callers: 0.0.0.0:8080", "callers: 0.0.0.0", "listen.callers: \"0.0.0.0\" is not an IP address with port; accepted: IP:port"},
		{"port 0", "callers: 0.0.0.0:8080", "callers: 0.0.0.0:0", "is not an IP address with port"},
		{"host name", "callers: 0.0.0.0:8080", "callers: localhost:8080", "is not an IP address with port"},
		{"duplicate address", "peers: 10.0.0.1:8081", "peers: 10.0.0.1:8080", "listen.peers: 10.0.0.1:8080 is also taken by listen.callers"},
		{"unspecified peer address", "peers: 10.0.0.1:8081", "peers: 0.0.0.0:8081", "does not name one IP address"},
		{"unspecified admin address", `"[fd00::1]:8082"`, `"[::]:8082"`, "listen.admin: [::]:8082 does not name one IP address"},
		{"admin without TLS", "  admin: {certificate: admin.crt, key: admin.key}\n", "", "listen.admin: tokens would be sent without encryption"},
		{"bad URL", "url: https://", "url: ftp://", "is not the URL of an HTTP service"},
		{"URL with credentials", "url: https://", "url: https://a:b@", "the URL has credentials"},
		{"impossible limit", "in_flight: 800", "in_flight: 901", "limits.in_flight: 901 requests do not fit into 900 connections"},
		{"limit out of range", "claims: 5000", "claims: 0", "limits.claims: 0 is out of range; accepted: 1 to 100000000"},
		{"size out of range", "header_bytes: 8KiB", "header_bytes: 2MiB", "limits.header_bytes: 2097152 bytes are out of range; accepted: 1KiB to 1MiB"},
		{"ratio out of range", "retry_ratio: 0.2", "retry_ratio: 1.5", "limits.retry_ratio: 1.5 is out of range"},
		{"not a number", "retry_ratio: 0.2", "retry_ratio: .nan", "is not a finite number"},
		{"negative duration", "claim_window: 90s", "claim_window: -90s", "limits.claim_window: -1m30s is out of range; accepted: 1s to 1h0m0s"},
		{"stop within drain", "stop: 1m8s", "stop: 7s", "timeouts.stop: 7s leaves no time after timeouts.drain of 7s"},
		{"key file missing", "callers: {certificate: callers.crt, key: callers.key}", "callers: {certificate: callers.crt}", "tls.callers.key: the key of the certificate is missing"},
		{"peer CA missing", "  peer_ca: ca.crt\n", "", "tls.peer_ca: tls.peers and tls.peer_ca are not given together"},
		{"short hash", hash, "abc", "operators[1].token_sha256: the value has 3 characters; accepted: a SHA-256 hash"},
		{"bad hash", hash, strings.Repeat("g", 64), "the value is not hexadecimal"},
		{"zero hash", hash, strings.Repeat("0", 64), "the hash is missing"},
		{"shared token", hash, strings.Repeat("1", 64), "operators[1].token_sha256: operators[0] has the same token"},
		{"duplicate operator", "name: ben", "name: ana", "is also the name of operators[0]"},
		{"unknown role", "roles: [operator]", "roles: [owner]", `operators[1].roles[0]: "owner" is not one of the accepted values; accepted: viewer, operator, admin`},
		{"no role", "roles: [operator]", "roles: []", "operators[1].roles: the value is not a list with at least one entry"},
		{"time without zone", "2027-01-31T00:00:00Z", "2027-01-31", "operators[0].expires: \"2027-01-31\" is not a time with zone; accepted: a time with zone"},
		{"unknown word", "format: text", "format: xml", "log.format: \"xml\" is not one of the accepted values; accepted: json, text"},
		{"weights all 0", "{buffer_cost: 3, roll_out_time: 0.5, vm_moves: 2}", "{buffer_cost: 0, roll_out_time: 0, vm_moves: 0}", "site.weights: all weights are 0"},
		{"alias", "zone: wa-south-a", "zone: &z a\nlog2: *z", "log2: unknown key"},
		{"alias as value", "member: entry-1\nzone: wa-south-a", "member: &m entry-1\nzone: *m", "zone: found an alias"},
		{"second document", "log: {", "---\nlog: {", "a second YAML document begins"},
		{"syntax", "zone: wa-south-a", "zone: [", "accepted: valid YAML"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			at := strings.Index(full, c.old)
			assert.Assert(t, at >= 0, "the file lacks %q", c.old)
			_, err := Parse("s.yaml", []byte(strings.Replace(full, c.old, c.replacement, 1)))
			assert.ErrorContains(t, err, c.want)
			assert.ErrorContains(t, err, "s.yaml:")
			assert.Assert(t, !strings.Contains(err.Error(), "s.yaml:0:"), "%v", err)
		})
	}
}

// Guards against an error that contains only the first fault or a wrong line.
func TestAllFaultsInOnePass(t *testing.T) {
	_, err := Parse("s.yaml", []byte(strings.Replace(readTestdata(t, "minimal.yaml"), "10.0.0.1:8081", "0.0.0.0:8080", 1)))
	assert.ErrorContains(t, err, "is also taken by listen.callers")
	assert.ErrorContains(t, err, "does not name one IP address")

	text := "member: 7\nzone: a\nzone: b\nlisten: none\nplatform: {url: x, timeout: 5}\nextra: 1\n"
	_, err = Parse("s.yaml", []byte(text))
	var places []string
	for line := range strings.Lines(err.Error()) {
		places = append(places, strings.Join(strings.Split(line, ": ")[:2], " "))
	}
	assert.DeepEqual(t, places, []string{
		"s.yaml:1 member", "s.yaml:1 site.name", "s.yaml:3 zone", "s.yaml:4 listen",
		"s.yaml:5 platform.url", "s.yaml:5 platform.timeout", "s.yaml:6 extra",
	})
}

// Guards against examples in the documentation that do not parse.
func TestExamplesOfPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	parts := strings.Split(string(page), "```")
	assert.Assert(t, len(parts) == 5)
	_, err = Parse("settings", []byte(strings.TrimPrefix(parts[1], "yaml")))
	assert.NilError(t, err)
	_, err = ParseServices("services", []byte(strings.TrimPrefix(parts[3], "yaml")))
	assert.NilError(t, err)
}

// Guards against files that are empty, too large or not a mapping.
func TestNotASettingsFile(t *testing.T) {
	for text, want := range map[string]string{
		"":                              "the file is empty",
		"# only a comment\n":            "the file is empty",
		"- a\n":                         "found a list; accepted: a mapping",
		strings.Repeat("a: 1\n", 1<<18): "the file has 1310720 bytes; accepted: at most 1048576 bytes",
	} {
		_, err := Parse("s.yaml", []byte(text))
		assert.ErrorContains(t, err, want)
	}
	_, err := Load("testdata/absent.yaml")
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against services whose units or keys differ from fleet.Service.
func TestServices(t *testing.T) {
	services, err := LoadServices("testdata/services.yaml")
	assert.NilError(t, err)
	assert.DeepEqual(t, services, []fleet.Service{
		{Name: "orders", PathPrefix: "/orders", Pool: "webshop", Timeout: 1500 * time.Millisecond,
			MaxBodyBytes: 256 << 10, MaxQueue: 100, Urgency: 5, AvailabilityTarget: 0.9995},
		{Name: "stock", PathPrefix: "/stock", Pool: "stockroom", Timeout: 2 * time.Second,
			MaxBodyBytes: 1 << 20, MaxQueue: 256, AvailabilityTarget: 0.999},
	})
	tags := reflect.TypeFor[fleet.Service]()
	for i := range tags.NumField() {
		key := tags.Field(i).Tag.Get("json")
		assert.Check(t, strings.Contains(readTestdata(t, "services.yaml"), key+": "), "the file lacks %s", key)
	}
}

// Guards against services that are accepted but cannot take effect.
func TestServiceFaults(t *testing.T) {
	text := readTestdata(t, "services.yaml")
	for _, c := range []struct{ old, replacement, want string }{
		{"timeout: 1500ms", "timeout: 1500", "services[0].timeout: \"1500\" is not a duration with unit"},
		{"timeout: 1500ms", "timeout: 0s", "services[0].timeout: 0s is out of range; accepted: 1ms to 10m0s"},
		{"256KiB", "256", "services[0].max_body_bytes: \"256\" is not a size with unit"},
		{"max_queue: 100", "max_queue: -1", "services[0].max_queue: -1 is out of range"},
		{"urgency: 5", "urgency: 5000", "services[0].urgency: 5000 is out of range"},
		{"0.9995", "1", "services[0].availability_target: 1 is out of range"},
		{"/orders", "orders", "services[0].path_prefix: \"orders\" is not a path"},
		{"name: stock", "name: orders", "services[1].name: \"orders\" is also the name of services[0]"},
		{"path_prefix: /stock", "path_prefix: /orders", "services[1].path_prefix: \"/orders\" also selects services[0]"},
		{", pool: stockroom", "", "services[1].pool: the key is missing"},
		{"urgency: 5", "weight: 5", "services[0].weight: unknown key; accepted: name, path_prefix"},
		{text, "services: []", "services: there is no service"},
	} {
		_, err := ParseServices("c.yaml", []byte(strings.Replace(text, c.old, c.replacement, 1)))
		assert.Check(t, err != nil && strings.Contains(err.Error(), c.want), "%s: got %v", c.want, err)
	}
	assert.ErrorContains(t, ValidateServices([]fleet.Service{{Name: "a", Pool: "p"}}), "services[0].path_prefix")
}

// Guards against a role that includes a higher or unknown role.
func TestRoles(t *testing.T) {
	order := []Role{RoleViewer, RoleOperator, RoleAdmin}
	for i, r := range order {
		for j, other := range order {
			assert.Equal(t, r.Includes(other), i >= j)
		}
		assert.Assert(t, !r.Includes("") && !Role("").Includes(r) && !Role("root").Includes(r))
	}
	assert.Assert(t, !Role("").Includes("") && !Role("root").Includes("root"))
}

// Guards against input that crashes the decoder, and against settings that the
// parser accepts although they fail validation.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"minimal.yaml", "full.yaml", "services.yaml"} {
		f.Add([]byte(readTestdata(f, name)))
	}
	f.Add([]byte("a: &a [*a]\n? [b]\n: c\n<<: {x: 1}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse("s.yaml", data); err == nil {
			assert.NilError(t, s.Validate())
		}
		if services, err := ParseServices("c.yaml", data); err == nil {
			assert.NilError(t, ValidateServices(services))
		}
	})
}

// Guards against missing or malformed TLS files that are detected only when a
// listener starts.
func TestTLSFiles(t *testing.T) {
	text := strings.Replace(readTestdata(t, "full.yaml"), "ca.crt", "testdata/full.yaml", 1)
	file := t.TempDir() + "/s.yaml"
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	_, err := Load(file)
	for _, part := range []string{
		"s.yaml:29: tls.callers: open callers.crt: no such file", "s.yaml:30: tls.peers: ", "s.yaml:31: tls.admin: ",
		"s.yaml:32: tls.peer_ca: testdata/full.yaml holds no certificate; accepted: a file in PEM format",
	} {
		assert.ErrorContains(t, err, part)
	}
	_, err = Load("testdata/minimal.yaml")
	assert.NilError(t, err)
}
