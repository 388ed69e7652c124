package fit

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// benchmarkOutput returns the output of a benchmark whose time per operation is cost(workers).
func benchmarkOutput(cost func(x float64) float64) string {
	var b strings.Builder
	for _, x := range []float64{49, 500, 1500, 4100} {
		fmt.Fprintf(&b, "BenchmarkScaleRead/rows=all/workers=%.0f-10 100 %f ns/op 7 wire-B/op\n", x, cost(x))
	}
	return b.String()
}

func readTimeSeries(t *testing.T, text string) Series {
	t.Helper()
	all, err := ReadSeries(strings.NewReader(text), "test")
	assert.NilError(t, err)
	assert.Equal(t, len(all), 2)
	assert.Equal(t, all[0].Mechanism+"|"+all[0].Axis+"|"+all[0].Unit, "Read rows=all|workers|ns/op")
	return all[0]
}

// Guards against a fit with a wrong slope, and against a small reported error for a line
// that misses the points.
func TestFitFindsSlope(t *testing.T) {
	s := readTimeSeries(t, benchmarkOutput(func(x float64) float64 { return 1000 + 50*x }))
	line, err := Fit(s.Points)
	assert.NilError(t, err)
	assert.Assert(t, line.Slope > 49.9 && line.Slope < 50.1 && line.Intercept > 990 && line.Intercept < 1010, "%+v", line)
	assert.Assert(t, line.Error < 0.001)
	wrong := line
	wrong.Slope = 75 // The data has a slope of 50.
	assert.Assert(t, wrong.relativeError(s.Points) > 0.3)
}

// Guards against weights whose sum is one: the library would divide by zero.
func TestFitOfConstant(t *testing.T) {
	line, err := Fit([]Point{{49, 2}, {500, 2}, {1500, 2}, {4100, 2}})
	assert.NilError(t, err)
	assert.Assert(t, line.Slope == 0 && line.Intercept == 2 && line.Exponent == 0, "%+v", line)
}

// Guards against a check that accepts growth faster than linear.
func TestNearLinear(t *testing.T) {
	linear := readTimeSeries(t, benchmarkOutput(func(x float64) float64 { return 1000 + 50*x }))
	square := readTimeSeries(t, benchmarkOutput(func(x float64) float64 { return 1000 + 50*x*x }))
	assert.NilError(t, CheckNearLinear([]Series{linear}, "Read rows=all"))
	assert.ErrorContains(t, CheckNearLinear([]Series{square}, "Read rows=all"), "exponent")
	assert.ErrorContains(t, CheckNearLinear([]Series{linear}, "Other"), "no series")
}

// Guards against a table or plot that leaves out a series, and against malformed input that
// is accepted.
func TestTableAndPlot(t *testing.T) {
	s := []Series{readTimeSeries(t, benchmarkOutput(func(x float64) float64 { return 2 * x }))}
	var b strings.Builder
	assert.NilError(t, WriteTables(&b, s))
	assert.Assert(t, strings.Contains(b.String(), "| at 49 | at 500 | at 4100 |"), b.String())
	assert.Assert(t, strings.Contains(b.String(), "| Read rows=all | ns/op |") && strings.Contains(b.String(), "| 8200 |"), b.String())
	assert.NilError(t, Plot(filepath.Join(t.TempDir(), "plot.svg"), s, "workers", "ns/op"))
	assert.ErrorContains(t, Plot("plot.svg", s, "members", "ns/op"), "no series")
	_, err := ReadSeries(strings.NewReader("BenchmarkScaleRead/workers=49 x y\n"), "test")
	assert.Assert(t, err != nil)
	_, err = Fit([]Point{{1, 1}, {2, 2}})
	assert.ErrorIs(t, err, ErrTooFewSizes)
}
