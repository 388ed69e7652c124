package strict

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one mistake in a document.
type Fault struct {
	File     string
	Line     int    // From 1; 0 when the fault concerns the file as a whole.
	Path     string // Keys from the top, such as "timeouts.dial" or "operators[1].name".
	Problem  string
	Accepted string // The accepted form; may be empty.
}

// Error renders the fault as one line.
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

// Faults are all faults of a document, in order of their lines.
type Faults []Fault

// Error renders one line per fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults as errors.
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
