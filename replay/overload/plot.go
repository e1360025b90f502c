package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// drawPlot writes a plot of each policy's goodput over the load to file. The file's
// extension selects the format.
func drawPlot(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Goodput at multiples of the usual load"
	p.X.Label.Text = "load"
	p.Y.Label.Text = "credit a second"
	p.Legend.Top = true
	var names []string
	lines := make(map[string]plotter.XYs)
	for _, r := range results {
		if _, ok := lines[r.Policy.Name]; !ok {
			names = append(names, r.Policy.Name)
		}
		lines[r.Policy.Name] = append(lines[r.Policy.Name], plotter.XY{X: r.Load, Y: r.Goodput})
	}
	var args []any
	for _, name := range names {
		args = append(args, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fmt.Errorf("overload: draw plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("overload: save plot: %w", err)
	}
	return nil
}
