package ingress

import (
	"cmp"
	"slices"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
)

// Place is a queue in a pool. A job stays in the place that accepted it, whatever happens to
// the routes.
type Place struct {
	Queue job.Queue
	Pool  string
}

// placeRetention is how long a place counts as possible after its route has gone, although
// no stored record of it has been read. Other processes may send jobs there until they have
// the new configuration, and the record of the first one arrives later.
const placeRetention = 30 * time.Second

// QueueHistory knows the places that may have jobs of a route: those of the stored records,
// and those that this process has seen in a configuration lately.
type QueueHistory struct {
	stored     map[string]storedPlace // By name of the row.
	configured map[Place]configuredPlace
}

// storedPlace is a place of which a pool has stored jobs.
type storedPlace struct {
	place     Place
	addresses []job.QueueAddress
	version   rows.Version
}

// configuredPlace is a place that a configuration has had.
type configuredPlace struct {
	addresses []job.QueueAddress
	routed    bool // The current configuration has it.
	removedAt time.Duration
}

// NewQueueHistory returns a history without places.
func NewQueueHistory() *QueueHistory {
	return &QueueHistory{stored: map[string]storedPlace{}, configured: map[Place]configuredPlace{}}
}

// Store records the place in a stored row. Rows can be read out of order, so that older
// versions of a row are ignored.
func (h *QueueHistory) Store(row rows.Row, place Place, addresses []job.QueueAddress) {
	if row.Version >= h.stored[row.Name].version {
		h.stored[row.Name] = storedPlace{place, addresses, row.Version}
	}
}

// Remove removes the place of a row that was deleted.
func (h *QueueHistory) Remove(row rows.Row) {
	if row.Version >= h.stored[row.Name].version {
		delete(h.stored, row.Name)
	}
}

// SetRoutes records the routes of a configuration that takes effect at the given time.
func (h *QueueHistory) SetRoutes(routes []Route, now time.Duration) {
	for place, seen := range h.configured {
		switch {
		case seen.routed:
			seen.routed, seen.removedAt = false, now
			h.configured[place] = seen
		case now-seen.removedAt > placeRetention:
			delete(h.configured, place)
		}
	}
	for i := range routes {
		r := &routes[i]
		seen := h.configured[r.place()]
		if !slices.Contains(seen.addresses, r.address()) {
			seen.addresses = append(seen.addresses, r.address())
		}
		seen.routed = true
		h.configured[r.place()] = seen
	}
}

// Places returns the number of places with stored jobs.
func (h *QueueHistory) Places() int { return len(h.stored) }

// AddFormerPlaces sets the former places of all routes: the other places of the queue, and
// those of other queues that were found at the route's address.
func (h *QueueHistory) AddFormerPlaces(routes []Route) {
	byQueue, byAddress := map[job.Queue][]Place{}, map[job.QueueAddress][]Place{}
	add := func(place Place, addresses []job.QueueAddress) {
		byQueue[place.Queue] = append(byQueue[place.Queue], place)
		for _, a := range addresses {
			byAddress[a] = append(byAddress[a], place)
		}
	}
	for _, s := range h.stored {
		add(s.place, s.addresses)
	}
	for place, seen := range h.configured {
		add(place, seen.addresses)
	}
	for i := range routes {
		r := &routes[i]
		r.FormerPlaces = distinctPlaces(r.place(), byQueue[r.Queue], byAddress[r.address()])
	}
}

// distinctPlaces returns the places of two lists without duplicates and without the current
// one, in a fixed order.
func distinctPlaces(current Place, lists ...[]Place) []Place {
	places := slices.DeleteFunc(slices.Concat(lists...), func(p Place) bool { return p == current })
	slices.SortFunc(places, func(a, b Place) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Queue, b.Queue))
	})
	return slices.Compact(places)
}

func (r *Route) place() Place { return Place{r.Queue, r.Pool} }

func (r *Route) address() job.QueueAddress { return job.QueueAddress{Host: r.Host, Prefix: r.Prefix} }
