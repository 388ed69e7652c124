package eventlog

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"
	"unicode/utf8"
)

// maxFieldBytes is the maximum length of the text of one field. It bounds the
// memory of the ring buffer, whose number of events is fixed.
const maxFieldBytes = 512

// freeze copies fields. The copies share no memory with the caller and can be
// encoded as JSON.
func freeze(fields Fields) Fields {
	if len(fields) == 0 {
		return nil
	}
	frozen := make(Fields, len(fields))
	for key, value := range fields {
		frozen[truncate(key)] = freezeValue(value)
	}
	return frozen
}

func freezeValue(value any) any {
	switch v := value.(type) {
	case nil:
		return nil
	case string:
		return truncate(v)
	case time.Time:
		return v.UTC().Format(time.RFC3339Nano)
	case error, fmt.Stringer:
		return truncate(fmt.Sprint(v))
	}
	v := reflect.ValueOf(value)
	switch v.Kind() {
	case reflect.Bool:
		return v.Bool()
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return v.Int()
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return v.Uint()
	case reflect.String:
		return truncate(v.String())
	case reflect.Float32, reflect.Float64:
		return freezeFloat(v.Float())
	}
	return truncate(fmt.Sprint(value))
}

// freezeFloat converts NaN and infinities to text, because JSON has no such numbers.
func freezeFloat(f float64) any {
	if _, err := json.Marshal(f); err != nil {
		return fmt.Sprint(f)
	}
	return f
}

func truncate(s string) string {
	s = strings.ToValidUTF8(s, string(utf8.RuneError))
	if len(s) <= maxFieldBytes {
		return strings.Clone(s)
	}
	cut := maxFieldBytes
	for !utf8.RuneStart(s[cut]) {
		cut--
	}
	return s[:cut] + "…"
}
