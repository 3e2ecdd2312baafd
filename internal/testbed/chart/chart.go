// Package chart draws numeric series to SVG or PNG files, as a cumulative distribution (Distribution) or over time
// (TimeSeries).
package chart

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is one curve of a chart.
type Series struct {
	Name   string    // label in the legend
	Values []float64 // Distribution sorts a copy; TimeSeries draws them in order
}

// maxPoints bounds the points per distribution curve, and thereby the file size.
const maxPoints = 200

// Sizes of the charts.
const (
	distributionWidth  = 18 * vg.Centimeter
	distributionHeight = 10 * vg.Centimeter
	timeSeriesWidth    = 24 * vg.Centimeter
	timeSeriesHeight   = 12 * vg.Centimeter
)

// Distribution draws the empirical cumulative distribution of each series. The extension of path, .svg or .png, sets
// the format.
func Distribution(path, title, xLabel string, series []Series) error {
	drawing := plot.New()
	drawing.Title.Text = title
	drawing.X.Label.Text, drawing.Y.Label.Text = xLabel, "share"
	drawing.Legend.Top, drawing.Legend.Left = true, true
	drawing.X.Min = 0
	drawing.Y.Min, drawing.Y.Max = 0, 1
	curves := make([]any, 0, 2*len(series))
	for _, curve := range series {
		curves = append(curves, curve.Name, cumulativeShares(curve.Values))
	}
	return save(drawing, curves, distributionWidth, distributionHeight, path)
}

// cumulativeShares returns the points of a cumulative distribution: each value and the share of values up to it.
func cumulativeShares(values []float64) plotter.XYs {
	points := plotter.XYs{}
	if len(values) == 0 {
		return points
	}
	sorted := slices.Sorted(slices.Values(values))
	step := max(1, len(sorted)/maxPoints)
	for i := 0; i < len(sorted); i += step {
		points = append(points, plotter.XY{X: sorted[i], Y: float64(i+1) / float64(len(sorted))})
	}
	return append(points, plotter.XY{X: sorted[len(sorted)-1], Y: 1})
}

// TimeSeries draws a curve for each series. The x coordinate of a value is its index in the series. The extension of
// path, .svg or .png, sets the format.
func TimeSeries(path, title, xLabel, yLabel string, series []Series) error {
	drawing := plot.New()
	drawing.Title.Text = title
	drawing.X.Label.Text, drawing.Y.Label.Text = xLabel, yLabel
	drawing.Legend.Top = true
	drawing.Y.Min = 0
	curves := make([]any, 0, 2*len(series))
	for _, curve := range series {
		points := make(plotter.XYs, len(curve.Values))
		for i, value := range curve.Values {
			points[i] = plotter.XY{X: float64(i), Y: value}
		}
		curves = append(curves, curve.Name, points)
	}
	return save(drawing, curves, timeSeriesWidth, timeSeriesHeight, path)
}

// save adds the curves, given as alternating names and points, and writes the file.
func save(drawing *plot.Plot, curves []any, width, height vg.Length, path string) error {
	if err := plotutil.AddLines(drawing, curves...); err != nil {
		return fmt.Errorf("chart: add curves to %s: %w", path, err)
	}
	if err := drawing.Save(width, height, path); err != nil {
		return fmt.Errorf("chart: write %s: %w", path, err)
	}
	return nil
}
