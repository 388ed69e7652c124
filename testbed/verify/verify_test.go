package verify

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/testbed/backend"
	"peridotcrank.dev/testbed/load"
)

func newRun(vm, service, key string, start, end int64) backend.Run {
	return backend.Run{VM: vm, Service: service, Method: "POST", Key: key, Start: start, End: end, Running: 1}
}

// Guards against a comparison that misses a broken guarantee, on which all tests with live
// processes rely. Each case but the first breaks one guarantee.
func TestCompareReportsBrokenGuarantees(t *testing.T) {
	answered := load.Record{Service: "webshop", Key: "k", Request: "1", Outcomes: []load.Outcome{load.Answered}}
	notRun := load.Record{Service: "webshop", Key: "k", Request: "1", Outcomes: []load.Outcome{load.Unknown, load.NotRun}}
	wrong := load.Record{Service: "webshop", Request: "1", Outcomes: []load.Outcome{load.Wrong}}
	noHeader := load.Record{Service: "webshop", Request: "1", Outcomes: []load.Outcome{load.NoHeader}}
	cases := map[string]struct {
		record load.Record
		runs   []backend.Run
		want   int
	}{
		"no fault":            {answered, []backend.Run{newRun("vm-1", "webshop", "k", 1, 2)}, 0},
		"order ran twice":     {answered, []backend.Run{newRun("vm-1", "webshop", "k", 1, 2), newRun("vm-2", "webshop", "k", 3, 4)}, 1},
		"not run, yet it ran": {notRun, []backend.Run{newRun("vm-1", "webshop", "k", 1, 2)}, 1},
		"answer without run":  {answered, nil, 1},
		"wrong answer":        {wrong, nil, 1},
		"no outcome":          {noHeader, nil, 1},
		"two pools at once": {
			answered,
			[]backend.Run{newRun("vm-1", "webshop", "k", 1, 5), newRun("vm-1", "stalltill", "l", 3, 6)}, 1,
		},
		"back to the former pool": {
			answered,
			[]backend.Run{newRun("vm-1", "webshop", "k", 1, 2), newRun("vm-1", "stalltill", "l", 3, 4), newRun("vm-1", "webshop", "m", 5, 6)}, 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			result := Compare(&load.Report{Records: []load.Record{c.record}}, c.runs)
			assert.Equal(t, len(result.Findings), c.want, "%v", result.Findings)
		})
	}
}
