package fit

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// Axes are the sizes on which a cost can depend, each with the values that the tables
// show: the size of today, one in between and the size expected in two years.
var Axes = map[string][]float64{
	"workers":  {49, 500, 4100},
	"members":  {3, 9, 60},
	"services": {4, 28, 230},
	"claims":   {1000, 20000, 60000},
}

// Point is one measurement.
type Point struct{ X, Y float64 }

// Series holds the measurements of one mechanism in one unit along an axis.
type Series struct {
	Mechanism string // Name of the benchmark and its labels other than the axis.
	Axis      string
	Unit      string
	Points    []Point // Sorted by X. A repeated measurement adds another point.
}

// ReadSeries reads the output of go test -bench and returns its series, sorted by axis,
// mechanism and unit. It skips results without an axis.
func ReadSeries(r io.Reader, name string) ([]Series, error) {
	byKey := map[seriesKey]*Series{}
	reader := benchfmt.NewReader(r, name)
	for reader.Scan() {
		switch record := reader.Result().(type) {
		case *benchfmt.Result:
			addResult(byKey, record)
		case *benchfmt.SyntaxError:
			return nil, fmt.Errorf("read benchmarks: %w", record)
		}
	}
	if err := reader.Err(); err != nil {
		return nil, fmt.Errorf("read benchmarks: %w", err)
	}
	var all []Series
	for _, s := range byKey {
		slices.SortFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Axis, b.Axis), cmp.Compare(a.Mechanism, b.Mechanism), cmp.Compare(a.Unit, b.Unit))
	})
	return all, nil
}

// seriesKey identifies a series among the benchmark results.
type seriesKey struct{ mechanism, axis, unit string }

func addResult(byKey map[seriesKey]*Series, r *benchfmt.Result) {
	mechanism, axis, x, ok := splitName(r.Name)
	if !ok {
		return
	}
	for _, v := range r.Values {
		unit, y := v.Unit, v.Value
		if v.OrigUnit != "" {
			unit, y = v.OrigUnit, v.OrigValue
		}
		key := seriesKey{mechanism, axis, unit}
		if byKey[key] == nil {
			byKey[key] = &Series{Mechanism: mechanism, Axis: axis, Unit: unit}
		}
		byKey[key].Points = append(byKey[key].Points, Point{x, y})
	}
}

// splitName splits the name of a benchmark into the mechanism and the axis with its value.
// The axis is the last label whose name is in Axes.
func splitName(name benchfmt.Name) (mechanism, axis string, x float64, ok bool) {
	base, parts := name.Parts()
	labels := []string{strings.TrimPrefix(string(base), "Scale")}
	for _, part := range slices.Backward(parts) {
		key, value, labelled := strings.Cut(strings.TrimPrefix(string(part), "/"), "=")
		number, err := strconv.ParseFloat(value, 64)
		switch _, known := Axes[key]; {
		case !labelled: // The GOMAXPROCS suffix.
		case known && !ok && err == nil:
			axis, x, ok = key, number, true
		default:
			labels = slices.Insert(labels, 1, key+"="+value)
		}
	}
	return strings.Join(labels, " "), axis, x, ok
}
