package report

import (
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"sloestile/internal/testbed/judge"
)

// Growth draws, for each figure, how it grows with the size of a fleet: the median of the plays at
// each size, both axes logarithmic. A figure that is nowhere above zero is left out.
func Growth(dir string, sizes []int, plays [][]judge.Figures, names ...string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, name := range names {
		var points plotter.XYs
		unit := ""
		for i, n := range sizes {
			var x []float64
			for _, f := range plays[i] {
				x = append(x, f.Get(name))
			}
			if v := Of(x).Median; v > 0 {
				points = append(points, plotter.XY{X: float64(n), Y: v})
			}
			for _, f := range plays[i][0] {
				if f.Name == name {
					unit = f.Unit
				}
			}
		}
		if len(points) < 2 {
			continue
		}
		if err := plotGrowth(filepath.Join(dir, "growth-"+name+".png"), name+", "+unit, points); err != nil {
			return err
		}
	}
	return nil
}

func plotGrowth(path, label string, points plotter.XYs) error {
	c := plot.New()
	c.X.Label.Text, c.Y.Label.Text = "nodes", label
	c.X.Scale, c.Y.Scale = plot.LogScale{}, plot.LogScale{}
	c.X.Tick.Marker, c.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = servedColor, vg.Points(1.5)
	dots.Color, dots.Shape = servedColor, draw.CircleGlyph{}
	c.Add(line, dots)
	least, most := math.Inf(1), 0.0
	for _, p := range points {
		least, most = math.Min(least, p.Y), math.Max(most, p.Y)
	}
	// Whole decades, so that a figure that hardly grows looks like one.
	c.Y.Min, c.Y.Max = math.Pow(10, math.Floor(math.Log10(least))), math.Pow(10, math.Floor(math.Log10(most))+1)
	return c.Save(width, height, path)
}
