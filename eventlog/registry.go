package eventlog

import "fmt"

// Level is the urgency of an event.
type Level uint8

// Levels of events.
const (
	LevelInfo    Level = iota // Normal operation.
	LevelWarning              // Handled by the system; investigate it if it repeats.
	LevelAlarm                // Requires an operator; docs/OPERATIONS.md describes what to do.
)

// String returns the name of the level.
func (l Level) String() string {
	switch l {
	case LevelInfo:
		return "info"
	case LevelWarning:
		return "warning"
	case LevelAlarm:
		return "alarm"
	}
	return fmt.Sprintf("level-%d", uint8(l))
}

// MarshalText returns the name of the level.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText sets the level by its name. It returns an error for other text.
func (l *Level) UnmarshalText(text []byte) error {
	for _, level := range []Level{LevelInfo, LevelWarning, LevelAlarm} {
		if level.String() == string(text) {
			*l = level
			return nil
		}
	}
	return fmt.Errorf("event level %q: want info, warning or alarm", text)
}

// Definition describes the events with a code.
type Definition struct {
	Code    Code
	Name    string // Lower case with hyphens, unique.
	Level   Level
	Meaning string // One sentence, as in docs/EVENTS.md.
}

// NameUnregistered is the name of an event whose code is not in the catalogue.
const NameUnregistered = "unregistered"

var byCode = indexByCode(catalogue)

// Lookup returns the definition of a code. For an unknown code it returns false
// and a warning named [NameUnregistered], so that such events are still recorded
// and easy to find.
func Lookup(code Code) (Definition, bool) {
	if d, ok := byCode[code]; ok {
		return d, true
	}
	return Definition{Code: code, Name: NameUnregistered, Level: LevelWarning, Meaning: "The code is not in the catalogue."}, false
}

// Definitions returns a copy of the catalogue, sorted by code.
func Definitions() []Definition { return append([]Definition(nil), catalogue...) }

func indexByCode(definitions []Definition) map[Code]Definition {
	byCode := make(map[Code]Definition, len(definitions))
	for _, d := range definitions {
		byCode[d.Code] = d
	}
	return byCode
}
