package scale

import (
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

var (
	pointColor  = color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}
	fitColor    = color.RGBA{R: 0x7f, G: 0x7f, B: 0x7f, A: 0xff}
	budgetColor = color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff}
)

// Plots draws each cost over its size into a folder, both axes logarithmic, with the fit, up to the
// target where it is extrapolated, and the budget. A cost that is nowhere above zero has no plot.
func (r *Result) Plots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, s := range r.Series {
		var points plotter.XYs
		for _, p := range s.Points {
			if p.Value > 0 {
				points = append(points, plotter.XY{X: float64(p.Size), Y: p.Value})
			}
		}
		if len(points) == 0 {
			continue
		}
		if err := s.plot(filepath.Join(dir, strings.ReplaceAll(s.Cost.Name, "/", "-")+".png"), points); err != nil {
			return fmt.Errorf("plot of %s: %w", s.Cost.Name, err)
		}
	}
	return nil
}

func (s *Series) plot(path string, points plotter.XYs) error {
	p := plot.New()
	p.Title.Text = s.Cost.Name
	p.X.Label.Text, p.Y.Label.Text = s.Dimension, string(s.Cost.Unit)
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	dots.Color, dots.Shape = pointColor, draw.CircleGlyph{}
	p.Add(dots)
	p.Legend.Add("measured", dots)
	sizes := Sizes(s.Points)
	from, to := float64(sizes[0]), float64(max(s.Target, sizes[len(sizes)-1]))
	fitTo, name := to, "fit "+exponent(s.Fit)
	if s.Fit.Label != "" {
		fitTo, name = float64(sizes[len(sizes)-1]), name+", "+s.Fit.Label
	}
	if !math.IsNaN(s.Fit.Exponent) {
		at := func(x float64) float64 { return s.Fit.Factor * math.Pow(x, s.Fit.Exponent) }
		if err := addLine(p, name, fitColor, plotter.XYs{{X: from, Y: at(from)}, {X: fitTo, Y: at(fitTo)}}); err != nil {
			return err
		}
	}
	if s.Cost.Budget > 0 {
		if err := addLine(p, "budget", budgetColor, plotter.XYs{{X: from, Y: s.Cost.Budget}, {X: to, Y: s.Cost.Budget}}); err != nil {
			return err
		}
	}
	// Whole decades, so that a cost that hardly grows looks like one.
	p.Y.Min = math.Pow(10, math.Floor(math.Log10(p.Y.Min)))
	p.Y.Max = math.Pow(10, math.Floor(math.Log10(p.Y.Max))+1)
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(plotWidth, plotHeight, path)
}

func addLine(p *plot.Plot, name string, c color.Color, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = c, vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
