package strict

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	File     string
	Line     int    // Starts at 1; 0 if the fault concerns the whole file.
	Path     string // Keys from the root, such as "timeouts.dial" or "operators[1].name".
	Problem  string
	Accepted string // Description of accepted values; may be empty.
}

// Error formats the fault as one line.
func (f Fault) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	if f.Path != "" {
		fmt.Fprintf(&b, "%s: ", f.Path)
	}
	b.WriteString(f.Problem)
	if f.Accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", f.Accepted)
	}
	return b.String()
}

// Faults holds all faults of a document, sorted by line.
type Faults []Fault

// Error formats one line per fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults for errors.Is and errors.As.
func (fs Faults) Unwrap() []error {
	errs := make([]error, len(fs))
	for i, f := range fs {
		errs[i] = f
	}
	return errs
}

func (fs Faults) sort() {
	slices.SortStableFunc(fs, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
}
