package jobs

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	templateSection = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/([^}]+)\}\}`)
	templateValue   = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// renderTemplate renders the settings template of the deployment like the platform does:
// a section is left out if its value is absent, and a dot in it stands for the value.
func renderTemplate(t *testing.T, values map[string]string) []byte {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.yaml")
	assert.NilError(t, err)
	text := templateSection.ReplaceAllStringFunc(string(template), func(section string) string {
		parts := templateSection.FindStringSubmatch(section)
		assert.Equal(t, parts[1], parts[3])
		if values[parts[1]] == "" {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.|json}}", values[parts[1]])
	})
	text = templateValue.ReplaceAllStringFunc(text, func(placeholder string) string {
		name := templateValue.FindStringSubmatch(placeholder)[1]
		assert.Assert(t, values[name] != "", "the template uses %s", name)
		return values[name]
	})
	return []byte(text)
}

// Guards against a template that renders to invalid settings, with or without the optional
// parts, or that needs the limits of a deployment which has none.
func TestTemplateGivesValidSettings(t *testing.T) {
	values := map[string]string{
		"node|json": `"front-1"`, "zone|json": `"a"`, "limits.cpu-share": "0.4", "listen.front|json": `"10.0.0.1:1"`,
		"listen.ready|json": `"10.0.0.1:2"`, "ip": "10.0.0.1", "port-range.0": "3", "port-range.1": "4",
		"platform.address|json": `"10.0.0.2:5"`, "bounds.max-hold-ms": "6000", "bounds.grace-s": "6", "bounds.status_s": "120",
		"bounds.upkeep-s": "2", "bounds.move-s": "1.5", "bounds.notice-ms": "4500", "bounds.harm-ms": "4000",
		"bounds.pace-ms": "100", "bounds.stop-ms": "900", "limits.memory-mb": "184", "limits.max-fds": "8192",
	}
	s, err := Parse("jobs.yaml", renderTemplate(t, values))
	assert.NilError(t, err)
	assert.Equal(t, s.Keys.Revoke, time.Duration(0))
	assert.DeepEqual(t, s.Limits, Limits{Memory: 184 << 20, Descriptors: 8192, HeaderBytes: defaultHeaderBytes, Connections: 4096})
	values["limits.memory-mb"], values["limits.max-fds"] = "", ""
	s, err = Parse("jobs.yaml", renderTemplate(t, values))
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Limits, Limits{Memory: defaultMemory, Descriptors: defaultDescriptors, HeaderBytes: defaultHeaderBytes, Connections: defaultDescriptors / 2})
	values["bounds.strict-revoke"], values["bounds.revoke-ms"] = "true", "5000"
	values["cloud-api.address"], values["advice"] = `"10.0.0.3:6"`, `"10.0.0.3:7"`
	s, err = Parse("jobs.yaml", renderTemplate(t, values))
	assert.NilError(t, err)
	assert.Equal(t, s.Keys.Revoke, 5*time.Second)
	assert.Equal(t, s.Platform.Advice, "10.0.0.3:7")
}
