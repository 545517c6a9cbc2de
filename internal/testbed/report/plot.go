package report

import (
	"fmt"
	"image/color"
	"math"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

var (
	servedColor  = color.RGBA{R: 20, G: 90, B: 160, A: 255}
	refusedColor = color.RGBA{R: 200, G: 90, B: 20, A: 255}
	faultColor   = color.NRGBA{R: 120, G: 120, B: 120, A: 60}
)

const (
	width  = 18 * vg.Centimeter
	height = 9 * vg.Centimeter
)

// plotDay draws the share served and the share of tries refused over the day, with the faults as
// grey bands.
func plotDay(path string, p Play) error {
	c := plot.New()
	c.Title.Text = fmt.Sprintf("%s, seed %d", p.Day.Name, p.Day.Seed)
	c.X.Label.Text, c.Y.Label.Text = "s", "share"
	c.Y.Min, c.Y.Max, c.X.Min, c.X.Max = 0, 1.15, 0, p.Day.Length.Seconds()
	for i, f := range p.Day.Faults {
		from, to := f.At.Seconds(), (f.At + max(f.For, p.Day.Length/200)).Seconds()
		band, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: 1.05}, {X: from, Y: 1.05}})
		if err != nil {
			return err
		}
		band.Color, band.Width = faultColor, 0
		c.Add(band)
		if i > 0 && p.Day.Faults[i-1].Kind == f.Kind {
			continue // a series, such as a rolling restart, is named once
		}
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: from, Y: 1.06 + 0.045*float64(i%2)}}, Labels: []string{f.Kind}})
		if err != nil {
			return err
		}
		c.Add(label)
	}
	var served, refused plotter.XYs
	for i, s := range p.Verdict.Series {
		at := float64(i) + 0.5
		if s.Offered > 0 {
			served = append(served, plotter.XY{X: at, Y: math.Min(1, s.Served/s.Offered)})
		}
		if s.Tries > 0 {
			refused = append(refused, plotter.XY{X: at, Y: s.Refused / s.Tries})
		}
	}
	for _, l := range []struct {
		name   string
		points plotter.XYs
		color  color.Color
	}{{"worth served in time, of that offered", served, servedColor}, {"tries refused", refused, refusedColor}} {
		if len(l.points) == 0 {
			continue
		}
		line, err := plotter.NewLine(l.points)
		if err != nil {
			return err
		}
		line.Color, line.Width = l.color, vg.Points(1.5)
		c.Add(line)
		c.Legend.Add(l.name, line) // at the bottom, where little is drawn
	}
	return c.Save(width, height, path)
}

// plotSeeds draws some figures of all plays side by side, a point for each seed; a top of zero goes
// by the points.
func plotSeeds(path string, plays []Play, unit string, top float64, names ...string) error {
	c := plot.New()
	c.Title.Text = fmt.Sprintf("%s, %d seeds", plays[0].Day.Name, len(plays))
	c.Y.Label.Text = unit
	c.NominalX(names...)
	for i, name := range names {
		var points plotter.XYs
		for k, p := range plays {
			x := float64(i) + 0.3*(float64(k)/float64(max(1, len(plays)-1))-0.5)
			points = append(points, plotter.XY{X: x, Y: p.Verdict.Figures.Get(name)})
		}
		s, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("%s: %w", strconv.Quote(name), err)
		}
		s.Color, s.Shape, s.Radius = servedColor, draw.CircleGlyph{}, vg.Points(3)
		c.Add(s)
	}
	if c.Y.Min = 0; top > 0 {
		c.Y.Max = top
	}
	c.X.Min, c.X.Max = -0.5, float64(len(names))-0.5
	return c.Save(width, height, path)
}
