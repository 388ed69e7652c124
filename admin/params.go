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

// ValidID reports whether text may serve as an identifier or Request-Id.
func ValidID(text string) bool { return len(text) <= MaxIDBytes && idPattern.MatchString(text) }

// params are the checked query parameters of a request.
type params map[string]string

// parseParams accepts each of the allowed parameters once.
func parseParams(rawQuery string, allowed []string) (params, error) {
	values, err := url.ParseQuery(rawQuery)
	if err != nil {
		return nil, Errorf(CodeInvalid, stepDecode, "the query is not valid: %w", err)
	}
	p := params{}
	for name, texts := range values {
		if !slices.Contains(allowed, name) {
			return nil, Errorf(CodeInvalid, stepDecode, "unknown parameter %q; accepted: %q", name, allowed)
		}
		if len(texts) != 1 || !ValidID(texts[0]) {
			return nil, Errorf(CodeInvalid, stepDecode, "parameter %q is repeated or not valid", name)
		}
		p[name] = texts[0]
	}
	return p, nil
}

// number returns a parameter as a number up to limit, or standard when it is absent.
func (p params) number(name string, standard, limit uint64) (uint64, error) {
	text, ok := p[name]
	if !ok {
		return standard, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > limit {
		return 0, Errorf(CodeInvalid, stepDecode, "parameter %q: %q is not a number up to %d", name, text, limit)
	}
	return n, nil
}

func (p params) limit() (int, error) {
	n, err := p.number(paramLimit, DefaultPage, MaxPageSize)
	if err == nil && n == 0 {
		err = Errorf(CodeInvalid, stepDecode, "parameter %q is 0", paramLimit)
	}
	return int(n), err
}

func (p params) wait() (time.Duration, error) {
	longest := uint64(MaxWatch / time.Millisecond)
	ms, err := p.number(paramWait, longest, longest)
	return time.Duration(ms) * time.Millisecond, err
}

// matches reports whether a parameter is absent or equals value.
func (p params) matches(name, value string) bool {
	wanted, ok := p[name]
	return !ok || wanted == value
}

// paginate returns the page that the parameters ask for. Items are ordered by id.
func paginate[T any](items []T, id func(T) string, p params) (Page[T], error) {
	limit, err := p.limit()
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

// paginateEvents turns limit+1 events into a part of limit and the time of its last one.
func paginateEvents(events []eventlog.Event, limit int) ([]eventlog.Event, string) {
	if len(events) <= limit {
		return nonNil(events), ""
	}
	return events[:limit], strconv.FormatUint(events[limit-1].Time, 10)
}

func nonNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
