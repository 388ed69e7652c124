package fit

import (
	"fmt"
	"io"
	"strings"
)

// WriteTables writes one Markdown table for each axis. It leaves out series with fewer than
// three sizes and those whose values are all 0.
func WriteTables(w io.Writer, series []Series) error {
	axis := ""
	for _, s := range series {
		line, err := Fit(s.Points)
		if err != nil || s.isAllZero() {
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

func (s Series) isAllZero() bool {
	for _, p := range s.Points {
		if p.Y != 0 {
			return false
		}
	}
	return true
}

func writeHeader(w io.Writer, axis string) error {
	var titles, rule strings.Builder
	for _, x := range Axes[axis] {
		fmt.Fprintf(&titles, " at %.0f |", x)
		rule.WriteString("---:|")
	}
	_, err := fmt.Fprintf(w, "\n## By %s\n\n| Mechanism | Unit | Intercept | Slope per %s | Error | Exponent |%s\n|---|---|---:|---:|---:|---:|%s\n",
		axis, strings.TrimSuffix(axis, "s"), titles.String(), rule.String())
	return err
}

func writeRow(w io.Writer, s Series, l Line) error {
	var values strings.Builder
	for _, x := range Axes[s.Axis] {
		fmt.Fprintf(&values, " %s |", formatNumber(l.At(x)))
	}
	_, err := fmt.Fprintf(w, "| %s | %s | %s | %s | %.0f %% | %.2f |%s\n",
		s.Mechanism, s.Unit, formatNumber(l.Intercept), formatNumber(l.Slope), 100*l.Error, l.Exponent, values.String())
	return err
}

// formatNumber formats a value with three or more significant digits, and without an
// exponent from 1 on.
func formatNumber(v float64) string {
	switch a := max(v, -v); {
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
