package eventlog

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

const timeLayout = "2006-01-02T15:04:05.000Z"

// WriteText writes one line of text per event.
func WriteText(w io.Writer, events []Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, e); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}

// WriteJSON writes one line with a JSON object per event.
func WriteJSON(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}

// String formats the event as one line: time and counter, process, level,
// code, name and the fields sorted by name.
func (e Event) String() string {
	physical, counter := Unpack(e.Time)
	var b strings.Builder
	fmt.Fprintf(&b, "%s+%d %s %s %d %s", physical.Format(timeLayout), counter, quote(e.Process), e.Level, e.Code, quote(e.Name))
	for _, key := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(&b, " %s=%s", quote(key), quote(fmt.Sprint(e.Fields[key])))
	}
	return b.String()
}

// quote returns text as a Go string literal if it contains spaces, line breaks
// or other characters that could be taken for another field or event.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\\") || strconv.Quote(s) != `"`+s+`"` {
		return strconv.Quote(s)
	}
	return s
}
