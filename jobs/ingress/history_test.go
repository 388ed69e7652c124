package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
)

func testRoute(queue job.Queue, pool, prefix string) Route {
	return Route{Queue: queue, Pool: pool, Host: "h", Prefix: prefix}
}

// formerPlaces returns the former places of the first route after the configurations were
// applied, one a second.
func formerPlaces(h *QueueHistory, configs ...[]Route) []Place {
	for i, routes := range configs {
		h.SetRoutes(routes, time.Duration(i)*time.Second)
	}
	last := configs[len(configs)-1]
	h.AddFormerPlaces(last)
	return last[0].FormerPlaces
}

func storeQueue(h *QueueHistory, name string, version rows.Version, place Place, prefix string) {
	row := rows.Row{Key: rows.Key{Name: name}, Version: version}
	h.Store(row, place, []job.QueueAddress{{Host: "h", Prefix: prefix}})
}

// Guards against jobs that are unknown because their route was moved, replaced, put back or
// changed several times.
func TestFormerPlacesOfRoutes(t *testing.T) {
	inA, inB, inC := testRoute("q", "a", "/q/"), testRoute("q", "b", "/q/"), testRoute("q", "c", "/q/")
	other := testRoute("other", "a", "/other/")
	replaced, renamed := testRoute("r", "b", "/q/"), testRoute("r", "a", "/q/")
	for name, test := range map[string]struct {
		configs [][]Route
		want    []Place
	}{
		"unchanged":          {[][]Route{{inA, other}, {inA, other}}, []Place{}},
		"moved":              {[][]Route{{inA, other}, {inB, other}}, []Place{{"q", "a"}}},
		"moved twice":        {[][]Route{{inA}, {inB}, {inC}}, []Place{{"q", "a"}, {"q", "b"}}},
		"put back":           {[][]Route{{inA}, {inB}, {inA}}, []Place{{"q", "b"}}},
		"removed and added":  {[][]Route{{inA}, {other}, {inB}}, []Place{{"q", "a"}}},
		"another prefix":     {[][]Route{{inA}, {testRoute("q", "b", "/new/")}}, []Place{{"q", "a"}}},
		"replaced":           {[][]Route{{inA}, {replaced}}, []Place{{"q", "a"}}},
		"replaced in a pool": {[][]Route{{inA}, {renamed}}, []Place{{"q", "a"}}},
		"replaced and back":  {[][]Route{{inA}, {replaced}, {inA}}, []Place{{"r", "b"}}},
		"not its own":        {[][]Route{{other, inB}, {inA}}, []Place{{"q", "b"}}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, formerPlaces(NewQueueHistory(), test.configs...), test.want)
		})
	}
}

// Guards against a process that has not seen the former configurations and therefore does
// not know where the jobs of its routes are.
func TestFormerPlacesOfStoredQueues(t *testing.T) {
	h := NewQueueHistory()
	storeQueue(h, "1", 5, Place{"q", "a"}, "/q/")
	storeQueue(h, "2", 6, Place{"r", "b"}, "/q/")
	storeQueue(h, "3", 7, Place{"x", "b"}, "/x/")
	storeQueue(h, "4", 8, Place{"q", "c"}, "/former/")
	current := []Route{testRoute("q", "b", "/q/")}
	assert.DeepEqual(t, formerPlaces(h, current), []Place{{"q", "a"}, {"r", "b"}, {"q", "c"}})
	h.Remove(rows.Row{Key: rows.Key{Name: "2"}, Version: 9, Deleted: true})
	h.Remove(rows.Row{Key: rows.Key{Name: "1"}, Version: 4, Deleted: true})
	storeQueue(h, "4", 3, Place{"q", "late"}, "/q/")
	assert.DeepEqual(t, formerPlaces(h, current), []Place{{"q", "a"}, {"q", "c"}})
}

// Guards against places without jobs that are asked for good.
func TestFormerPlacesExpire(t *testing.T) {
	h := NewQueueHistory()
	h.SetRoutes([]Route{testRoute("q", "a", "/q/")}, 0)
	current := []Route{testRoute("q", "b", "/q/")}
	h.SetRoutes(current, time.Second)
	h.SetRoutes(current, time.Second+placeRetention)
	h.AddFormerPlaces(current)
	assert.Equal(t, len(current[0].FormerPlaces), 1)
	h.SetRoutes(current, time.Second+placeRetention+1)
	h.AddFormerPlaces(current)
	assert.Equal(t, len(current[0].FormerPlaces), 0)
}
