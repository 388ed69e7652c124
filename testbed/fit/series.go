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

// Axes are the sizes on which a cost may depend, each with the values that the
// tables show: today's, one in between and those of two years from now.
var Axes = map[string][]float64{
	"workers":  {49, 500, 4100},
	"members":  {3, 9, 60},
	"services": {4, 28, 230},
	"claims":   {1000, 20000, 60000},
}

// Point is one measurement.
type Point struct{ X, Y float64 }

// Series holds the measurements of one unit of one mechanism along an axis.
type Series struct {
	Mechanism string // Name of the benchmark and its labels other than the axis.
	Axis      string
	Unit      string
	Points    []Point // By X. Repeated measurements are repeated points.
}

// Read reads the output of go test -bench. Results without an axis are skipped.
func Read(r io.Reader, name string) ([]Series, error) {
	found := map[seriesKey]*Series{}
	reader := benchfmt.NewReader(r, name)
	for reader.Scan() {
		switch record := reader.Result().(type) {
		case *benchfmt.Result:
			add(found, record)
		case *benchfmt.SyntaxError:
			return nil, fmt.Errorf("read benchmarks: %w", record)
		}
	}
	if err := reader.Err(); err != nil {
		return nil, fmt.Errorf("read benchmarks: %w", err)
	}
	var all []Series
	for _, s := range found {
		slices.SortFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Axis, b.Axis), cmp.Compare(a.Mechanism, b.Mechanism), cmp.Compare(a.Unit, b.Unit))
	})
	return all, nil
}

// seriesKey identifies a series.
type seriesKey struct{ mechanism, axis, unit string }

func add(found map[seriesKey]*Series, r *benchfmt.Result) {
	mechanism, axis, x, ok := split(r.Name)
	if !ok {
		return
	}
	for _, v := range r.Values {
		unit, y := v.Unit, v.Value
		if v.OrigUnit != "" {
			unit, y = v.OrigUnit, v.OrigValue
		}
		key := seriesKey{mechanism, axis, unit}
		if found[key] == nil {
			found[key] = &Series{Mechanism: mechanism, Axis: axis, Unit: unit}
		}
		found[key].Points = append(found[key].Points, Point{x, y})
	}
}

// split separates the axis, which is the last label with a known name, from
// the rest of a benchmark's name.
func split(name benchfmt.Name) (mechanism, axis string, x float64, ok bool) {
	base, parts := name.Parts()
	labels := []string{strings.TrimPrefix(string(base), "Scale")}
	for _, part := range slices.Backward(parts) {
		key, value, labelled := strings.Cut(strings.TrimPrefix(string(part), "/"), "=")
		number, err := strconv.ParseFloat(value, 64)
		switch _, known := Axes[key]; {
		case !labelled: // The number of processors.
		case known && !ok && err == nil:
			axis, x, ok = key, number, true
		default:
			labels = slices.Insert(labels, 1, key+"="+value)
		}
	}
	return strings.Join(labels, " "), axis, x, ok
}
