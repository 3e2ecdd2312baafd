package testbed

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Line is one curve of a chart: the share of figures up to each.
type Line struct {
	Name    string
	Figures []float64
}

// mostPoints keeps a chart's file small.
const maxPoints = 200

// Shares draws, for each line, which share of its figures is no more than each; to a file, by its ending SVG or PNG.
func Distribution(path, title, unit string, lines []Line) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, unit, "share"
	p.Legend.Top, p.Legend.Left = true, true
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, 1
	var drawn []any
	for _, l := range lines {
		v := slices.Clone(l.Figures)
		slices.Sort(v)
		points := plotter.XYs{}
		step := max(1, len(v)/maxPoints)
		for i := 0; i < len(v); i += step {
			points = append(points, plotter.XY{X: v[i], Y: float64(i+1) / float64(len(v))})
		}
		if len(v) > 0 {
			points = append(points, plotter.XY{X: v[len(v)-1], Y: 1})
		}
		drawn = append(drawn, l.Name, points)
	}
	if err := plotutil.AddLines(p, drawn...); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	if err := p.Save(18*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}

// Course draws each line's figures in their order, one a unit along; to a file, by its ending SVG or PNG.
func TimeSeries(path, title, along, unit string, lines []Line) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, along, unit
	p.Legend.Top = true
	p.Y.Min = 0
	var drawn []any
	for _, l := range lines {
		points := make(plotter.XYs, len(l.Figures))
		for i, v := range l.Figures {
			points[i] = plotter.XY{X: float64(i), Y: v}
		}
		drawn = append(drawn, l.Name, points)
	}
	if err := plotutil.AddLines(p, drawn...); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	if err := p.Save(24*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}
