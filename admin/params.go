package admin

import (
	"cmp"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"time"

	"peridotcrank.dev/eventlog"
)

// Query parameters.
const (
	paramAfter   = "after"
	paramLimit   = "limit"
	paramState   = "state"
	paramPool    = "pool"
	paramPhase   = "phase"
	paramRack    = "rack"
	paramZone    = "zone"
	paramVersion = "version"
	paramWait    = "wait_ms"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)

// ValidID reports whether text is a valid identifier or Request-Id.
func ValidID(text string) bool { return len(text) <= MaxIDBytes && idPattern.MatchString(text) }

// params holds the validated query parameters of a request.
type params map[string]string

// parseParams returns the query parameters. It refuses parameters that are not
// allowed, repeated or not valid.
func parseParams(rawQuery string, allowed []string) (params, error) {
	values, err := url.ParseQuery(rawQuery)
	if err != nil {
		return nil, Errorf(CodeInvalid, stepDecode, "the query is not valid: %w", err)
	}
	p := params{}
	for name, occurrences := range values {
		if !slices.Contains(allowed, name) {
			return nil, Errorf(CodeInvalid, stepDecode, "unknown parameter %q; accepted: %q", name, allowed)
		}
		if len(occurrences) != 1 || !ValidID(occurrences[0]) {
			return nil, Errorf(CodeInvalid, stepDecode, "parameter %q is repeated or not valid", name)
		}
		p[name] = occurrences[0]
	}
	return p, nil
}

// parseNumber returns a parameter as a number, or defaultValue when it is absent.
// It refuses a number above limit.
func (p params) parseNumber(name string, defaultValue, limit uint64) (uint64, error) {
	text, ok := p[name]
	if !ok {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > limit {
		return 0, Errorf(CodeInvalid, stepDecode, "parameter %q: %q is not a number up to %d", name, text, limit)
	}
	return n, nil
}

// pageLimit returns the maximum number of items of the requested page.
func (p params) pageLimit() (int, error) {
	n, err := p.parseNumber(paramLimit, DefaultPageSize, MaxPageSize)
	if err == nil && n == 0 {
		err = Errorf(CodeInvalid, stepDecode, "parameter %q is 0", paramLimit)
	}
	return int(n), err
}

// watchWait returns how long a watch waits for a change, by default MaxWatch.
func (p params) watchWait() (time.Duration, error) {
	maxWaitMS := uint64(MaxWatch / time.Millisecond)
	ms, err := p.parseNumber(paramWait, maxWaitMS, maxWaitMS)
	return time.Duration(ms) * time.Millisecond, err
}

// matchesFilter reports whether a parameter is absent or equals value.
func (p params) matchesFilter(name, value string) bool {
	filter, ok := p[name]
	return !ok || filter == value
}

// paginate sorts the items by id and returns the requested page.
func paginate[T any](items []T, id func(T) string, p params) (Page[T], error) {
	limit, err := p.pageLimit()
	if err != nil {
		return Page[T]{}, err
	}
	items = slices.Clone(items)
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(id(a), id(b)) })
	items = slices.DeleteFunc(items, func(item T) bool { return id(item) <= p[paramAfter] })
	if len(items) <= limit {
		return Page[T]{Items: nonNil(items)}, nil
	}
	return Page[T]{Items: items[:limit], Next: id(items[limit-1])}, nil
}

// paginateEvents returns the first limit events and, when there are more, the time
// of the last returned one. It needs up to limit+1 events.
func paginateEvents(events []eventlog.Event, limit int) ([]eventlog.Event, string) {
	if len(events) <= limit {
		return nonNil(events), ""
	}
	return events[:limit], strconv.FormatUint(events[limit-1].Time, 10)
}

// nonNil replaces a nil slice by an empty one, which JSON encodes as [].
func nonNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
