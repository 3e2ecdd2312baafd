// Package chart draws figures as curves into SVG or PNG files: how they are distributed (Distribution), or how they
// change (TimeSeries).
package chart

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Line is one curve of a chart.
type Line struct {
	Name    string    // in the legend
	Figures []float64 // Distribution sorts a copy of them; TimeSeries draws them in their order
}

// maxPoints bounds the points of a distribution's curve, and with them the size of the file.
const maxPoints = 200

// Sizes of the drawings.
const (
	distributionWidth  = 18 * vg.Centimeter
	distributionHeight = 10 * vg.Centimeter
	timeSeriesWidth    = 24 * vg.Centimeter
	timeSeriesHeight   = 12 * vg.Centimeter
)

// Distribution draws for each line the share of its figures that is no larger than each figure. The ending of path,
// .svg or .png, chooses the format.
func Distribution(path, title, unit string, lines []Line) error {
	drawing := plot.New()
	drawing.Title.Text = title
	drawing.X.Label.Text, drawing.Y.Label.Text = unit, "share"
	drawing.Legend.Top, drawing.Legend.Left = true, true
	drawing.X.Min = 0
	drawing.Y.Min, drawing.Y.Max = 0, 1
	curves := make([]any, 0, 2*len(lines))
	for _, line := range lines {
		curves = append(curves, line.Name, shares(line.Figures))
	}
	return save(drawing, curves, distributionWidth, distributionHeight, path)
}

// shares are the points of a distribution's curve.
func shares(figures []float64) plotter.XYs {
	points := plotter.XYs{}
	if len(figures) == 0 {
		return points
	}
	sorted := slices.Sorted(slices.Values(figures))
	step := max(1, len(sorted)/maxPoints)
	for i := 0; i < len(sorted); i += step {
		points = append(points, plotter.XY{X: sorted[i], Y: float64(i+1) / float64(len(sorted))})
	}
	return append(points, plotter.XY{X: sorted[len(sorted)-1], Y: 1})
}

// TimeSeries draws each line's figures in their order, one a unit of the horizontal axis. The ending of path, .svg or
// .png, chooses the format.
func TimeSeries(path, title, along, unit string, lines []Line) error {
	drawing := plot.New()
	drawing.Title.Text = title
	drawing.X.Label.Text, drawing.Y.Label.Text = along, unit
	drawing.Legend.Top = true
	drawing.Y.Min = 0
	curves := make([]any, 0, 2*len(lines))
	for _, line := range lines {
		points := make(plotter.XYs, len(line.Figures))
		for i, figure := range line.Figures {
			points[i] = plotter.XY{X: float64(i), Y: figure}
		}
		curves = append(curves, line.Name, points)
	}
	return save(drawing, curves, timeSeriesWidth, timeSeriesHeight, path)
}

// save adds curves, each a name and its points, and writes the file.
func save(drawing *plot.Plot, curves []any, width, height vg.Length, path string) error {
	if err := plotutil.AddLines(drawing, curves...); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	if err := drawing.Save(width, height, path); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}
