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

const renderedTime = "2006-01-02T15:04:05.000Z"

// WriteText writes one line per event.
func WriteText(w io.Writer, events []Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, e); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}

// WriteJSON writes one JSON object per line and event.
func WriteJSON(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}

// String renders the event as one line: time and counter, process, level,
// code, name and the fields in order of their names.
func (e Event) String() string {
	physical, counter := Unpack(e.Time)
	var b strings.Builder
	fmt.Fprintf(&b, "%s+%d %s %s %d %s", physical.Format(renderedTime), counter, quote(e.Process), e.Level, e.Code, quote(e.Name))
	for _, key := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(&b, " %s=%s", quote(key), quote(fmt.Sprint(e.Fields[key])))
	}
	return b.String()
}

// quote protects a line against text that contains spaces, line breaks or
// other characters that would look like another field or event.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\\") || strconv.Quote(s) != `"`+s+`"` {
		return strconv.Quote(s)
	}
	return s
}
