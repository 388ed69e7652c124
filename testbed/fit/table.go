package fit

import (
	"fmt"
	"io"
	"strings"
)

// Write prints one Markdown table for each axis. Series with fewer than three
// sizes and those of the same value at all sizes 0 are left out.
func Write(w io.Writer, series []Series) error {
	axis := ""
	for _, s := range series {
		line, err := Fit(s.Points)
		if err != nil || s.zero() {
			continue
		}
		if s.Axis != axis {
			axis = s.Axis
			if err := writeHeader(w, axis); err != nil {
				return err
			}
		}
		if err := writeRow(w, s, line); err != nil {
			return err
		}
	}
	return nil
}

func (s Series) zero() bool {
	for _, p := range s.Points {
		if p.Y != 0 {
			return false
		}
	}
	return true
}

func writeHeader(w io.Writer, axis string) error {
	var at, rule strings.Builder
	for _, x := range Axes[axis] {
		fmt.Fprintf(&at, " at %.0f |", x)
		rule.WriteString("---:|")
	}
	_, err := fmt.Fprintf(w, "\n## By %s\n\n| Mechanism | Unit | Intercept | Slope per %s | Error | Exponent |%s\n|---|---|---:|---:|---:|---:|%s\n",
		axis, strings.TrimSuffix(axis, "s"), at.String(), rule.String())
	return err
}

func writeRow(w io.Writer, s Series, l Line) error {
	var at strings.Builder
	for _, x := range Axes[s.Axis] {
		fmt.Fprintf(&at, " %s |", number(l.At(x)))
	}
	_, err := fmt.Fprintf(w, "| %s | %s | %s | %s | %.0f %% | %.2f |%s\n",
		s.Mechanism, s.Unit, number(l.Intercept), number(l.Slope), 100*l.Error, l.Exponent, at.String())
	return err
}

// number prints three significant digits without an exponent.
func number(v float64) string {
	switch a := max(v, -v); {
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
