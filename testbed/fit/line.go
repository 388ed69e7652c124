package fit

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Line is the line fitted to the points of a series.
type Line struct {
	Intercept, Slope float64
	// Error is the root mean square of the relative residuals; 0.1 means that
	// the line misses the points by 10 % on average.
	Error float64
	// Exponent is the power of the size with which the value grows: 0 for a
	// constant cost, 1 for a linear one, 2 for a quadratic one.
	Exponent float64
}

// ErrTooFewSizes means that a series has points at fewer than three sizes.
var ErrTooFewSizes = errors.New("a line needs points at three sizes")

// At returns the value of the line at size x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit fits a line to points at three or more sizes, otherwise it returns ErrTooFewSizes. The
// weight of a point is the inverse square of its value, so that the relative error is as
// small at small sizes as at large ones.
func Fit(points []Point) (Line, error) {
	sizes := map[float64]bool{}
	var xs, ys, weights, logX, logY []float64
	for _, p := range points {
		sizes[p.X] = true
		xs, ys = append(xs, p.X), append(ys, p.Y)
		weight := 1.0
		if p.Y != 0 {
			weight = 1 / (p.Y * p.Y)
		}
		weights = append(weights, weight)
		if p.X > 0 && p.Y > 0 {
			logX, logY = append(logX, math.Log(p.X)), append(logY, math.Log(p.Y))
		}
	}
	if len(sizes) < 3 {
		return Line{}, ErrTooFewSizes
	}
	// stat divides by the sum of the weights minus one. Scaling the weights to their
	// number keeps that divisor from being zero.
	floats.Scale(float64(len(weights))/floats.Sum(weights), weights)
	var l Line
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, weights, false)
	if len(logX) > 1 {
		_, l.Exponent = stat.LinearRegression(logX, logY, nil, false)
	}
	l.Error = l.relativeError(points)
	return l, nil
}

// relativeError returns the root mean square of the relative distances of points from the line.
func (l Line) relativeError(points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		distance := l.At(p.X) - p.Y
		if p.Y != 0 {
			distance /= p.Y
		}
		sum += distance * distance
	}
	return math.Sqrt(sum / float64(len(points)))
}
