package fit

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 7 * vg.Inch
)

// Plot writes a plot of the series of one axis and unit to a file, with logarithmic scales.
// Markers are measurements, joined by lines. It returns an error when no series matches.
func Plot(file string, series []Series, axis, unit string) error {
	p := plot.New()
	p.Title.Text = "Cost by " + axis
	p.X.Label.Text, p.Y.Label.Text = axis, unit
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	n := 0
	for _, s := range series {
		if s.Axis != axis || s.Unit != unit {
			continue
		}
		if err := addSeries(p, s, n); err != nil {
			return err
		}
		n++
	}
	if n == 0 {
		return fmt.Errorf("plot: no series in %s by %s", unit, axis)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

func addSeries(p *plot.Plot, s Series, n int) error {
	points := make(plotter.XYs, len(s.Points))
	for i, point := range s.Points {
		points[i] = plotter.XY{X: point.X, Y: point.Y}
	}
	line, markers, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", s.Mechanism, err)
	}
	line.Color, markers.Color = plotutil.Color(n), plotutil.Color(n)
	line.Dashes, markers.Shape = plotutil.Dashes(n), plotutil.Shape(n)
	p.Add(line, markers)
	p.Legend.Add(s.Mechanism, line, markers)
	return nil
}
