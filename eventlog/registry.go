package eventlog

import "fmt"

// Level says how urgent an event is.
type Level uint8

// Levels of events.
const (
	LevelInfo    Level = iota // Normal operation.
	LevelWarning              // Handled by the system; worth a look when it repeats.
	LevelAlarm                // Needs an operator; docs/OPERATIONS.md says what to do.
)

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

// MarshalText renders the level by name.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText reads the name of a level.
func (l *Level) UnmarshalText(text []byte) error {
	for _, level := range []Level{LevelInfo, LevelWarning, LevelAlarm} {
		if level.String() == string(text) {
			*l = level
			return nil
		}
	}
	return fmt.Errorf("event level %q: want info, warning or alarm", text)
}

// Definition describes the events of one code.
type Definition struct {
	Code    Code
	Name    string // Lower case with hyphens, unique.
	Level   Level
	Meaning string // One sentence, as in docs/EVENTS.md.
}

// NameUnregistered is the name of an event whose code is not in the catalogue.
const NameUnregistered = "unregistered"

var byCode = index(catalogue)

// Lookup returns the definition of a code. An unknown code yields a warning
// named [NameUnregistered], so that the event is kept and stands out.
func Lookup(code Code) (Definition, bool) {
	if d, ok := byCode[code]; ok {
		return d, true
	}
	return Definition{Code: code, Name: NameUnregistered, Level: LevelWarning, Meaning: "The code is not in the catalogue."}, false
}

// Definitions returns the catalogue in order of code.
func Definitions() []Definition { return append([]Definition(nil), catalogue...) }

func index(definitions []Definition) map[Code]Definition {
	byCode := make(map[Code]Definition, len(definitions))
	for _, d := range definitions {
		byCode[d.Code] = d
	}
	return byCode
}
