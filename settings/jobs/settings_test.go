package jobs

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const valid = `member: front-a-1
zone: wa-south-a
cpu: 0.4
listen:
  callers: 10.1.0.9:8624
  ready: 10.1.0.9:8622
  peers: "10.1.0.9:7060"
  metrics: "10.1.0.9:7061"
platform:
  store: 10.200.1.7:8621
  machines: "10.200.0.107:8621"
leases:
  max_hold: 6000ms
timing:
  grace: 6s
  keep_ended: 120s
  upkeep: 2s
  move: 1.5s
  notice: 4500ms
  harm: 4000ms
  pace: 100ms
  stop: 900ms
`

// Guards against values that are decoded wrongly.
func TestSettings(t *testing.T) {
	s, err := Parse("jobs.yaml", []byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, s.Timing.Move, 1500*time.Millisecond)
	assert.Equal(t, s.Listen.Peers.String(), "10.1.0.9:7060")
	assert.Equal(t, s.CPU, 0.4)
	assert.Equal(t, s.Keys.Revoke, time.Duration(0))
	s, err = Parse("jobs.yaml", []byte(valid+"keys:\n  revoke: 5000ms\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.Keys.Revoke, 5*time.Second)
}

// Guards against learned durations that are active although the settings do not enable
// them, and the reverse.
func TestLearnedDurationsAreOptional(t *testing.T) {
	s, err := Parse("jobs.yaml", []byte(valid))
	assert.NilError(t, err)
	assert.Assert(t, !s.Scheduling.LearnedDurations)
	s, err = Parse("jobs.yaml", []byte(valid+"scheduling:\n  learned_durations: true\n  attempt_records: true\n"))
	assert.NilError(t, err)
	assert.Assert(t, s.Scheduling.LearnedDurations && s.Scheduling.AttemptRecords)
}

// Guards against a fault in the settings that is detected only while the
// process runs, and against messages without the line.
func TestFaultsNameTheLine(t *testing.T) {
	for replace, want := range map[string][2]string{
		"zone: wa-south-a":           {"zone: wa-south-a\nscheduling: {learned_durations: 1}", "scheduling.learned_durations"},
		"max_hold: 6000ms":           {"max_hold: 10ms", "jobs.yaml:13: leases.max_hold: 10ms is too short"},
		"cpu: 0.4":                   {"cpu: 0", "jobs.yaml:3: cpu"},
		"grace: 6s":                  {"grace: 6", "jobs.yaml:15: timing.grace"},
		"member: front-a-1":          {"member: front-a-1\nmembers: 2", "jobs.yaml:2: members"},
		"  stop: 900ms\n":            {"  stop: 900ms\nkeys: {revoke: 2s}\n", "jobs.yaml:23: keys.revoke: 2s is too short"},
		"listen:\n":                  {"keys: {}\nlisten:\n", "keys.revoke: the key is missing"},
		"  store: 10.200.1.7:8621\n": {"", "platform.store"},
	} {
		_, err := Parse("jobs.yaml", []byte(strings.Replace(valid, replace, want[0], 1)))
		assert.ErrorContains(t, err, want[1])
	}
}

// Guards against limits that are not decoded, and against values that leave a process without memory or connections.
func TestLimits(t *testing.T) {
	s, err := Parse("jobs.yaml", []byte(valid))
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Limits, Limits{Memory: defaultMemory, Descriptors: defaultDescriptors, HeaderBytes: defaultHeaderBytes, Connections: defaultDescriptors / 2})
	s, err = Parse("jobs.yaml", []byte(valid+"limits:\n  memory: 96MiB\n  descriptors: 300\n  header_bytes: 8KiB\n  connections: 20\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Limits, Limits{Memory: 96 << 20, Descriptors: 300, HeaderBytes: 8 << 10, Connections: 20})
	for _, fault := range []string{"memory: 1MiB", "descriptors: 10", "header_bytes: 10B", "connections: 0", "connections: 5000", "memory: many"} {
		_, err = Parse("jobs.yaml", []byte(valid+"limits:\n  "+fault+"\n"))
		assert.ErrorContains(t, err, "limits."+strings.Split(fault, ":")[0])
	}
}
