package workload

import (
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	// These packages register the output formats.
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gonum.org/v1/plot/vg/vgsvg"
)

const (
	pictureWidth  = 10 * vg.Inch
	pictureHeight = 8 * vg.Inch
	padding       = vg.Inch / 4
	legendPadding = vg.Inch / 24
	// minDrawnSeconds is the lower bound of drawn completion times, since a logarithmic
	// axis cannot show 0.
	minDrawnSeconds = 1e-4
)

// WritePicture draws the completion times over the times at which the requests were
// due, and below them the fragmentation. The format is "png" or "svg".
func (r *Report) WritePicture(out io.Writer, format string) error {
	canvas, err := draw.NewFormattedCanvas(pictureWidth, pictureHeight, format)
	if err != nil {
		return errors.Wrap(err, "draw picture")
	}
	completions, err := r.drawCompletions()
	if err != nil {
		return errors.Wrap(err, "draw completion times")
	}
	fragmentation, err := r.drawFragmentation()
	if err != nil {
		return errors.Wrap(err, "draw fragmentation")
	}
	end := max(completions.X.Max, fragmentation.X.Max)
	plots := [][]*plot.Plot{{completions}, {fragmentation}}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: padding, PadRight: padding}
	for n, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[n][0].X.Min, plots[n][0].X.Max = 0, end
		plots[n][0].Draw(row[0])
	}
	_, err = canvas.WriteTo(out)
	return errors.Wrap(err, "write picture")
}

func (r *Report) drawCompletions() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Completion time from the time at which a request was due"
	p.X.Label.Text = "due, after the start of the run [s]"
	p.Y.Label.Text = "completion time [s]"
	var named []any
	for _, c := range r.Classes {
		if len(c.Points) > 0 {
			named = append(named, c.Class.String(), c.points())
		}
	}
	if err := plotutil.AddScatters(p, named...); err != nil {
		return nil, err
	}
	p.Legend.Padding = legendPadding
	useLogScale(p)
	return p, nil
}

func (c *ClassReport) points() plotter.XYs {
	points := make(plotter.XYs, len(c.Points))
	for i, point := range c.Points {
		points[i] = plotter.XY{X: point.Due.Seconds(), Y: max(point.Taken.Seconds(), minDrawnSeconds)}
	}
	return points
}

// useLogScale makes the time axis logarithmic, unless the plot has no range of
// positive times.
func useLogScale(p *plot.Plot) {
	if p.Y.Min <= 0 || p.Y.Min >= p.Y.Max {
		return
	}
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
}

func (r *Report) drawFragmentation() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Fragmentation, as reported by each zone's planner"
	p.X.Label.Text = "time since the start of the run [s]"
	p.Y.Label.Text = "1 - largest adjacent gang / free"
	var named []any
	for _, zone := range r.zones() {
		var points plotter.XYs
		for _, s := range r.Samples {
			if s.AvailabilityZone == zone {
				points = append(points, plotter.XY{X: s.At.Seconds(), Y: s.Fragmentation})
			}
		}
		named = append(named, zone, points)
	}
	if err := plotutil.AddLines(p, named...); err != nil {
		return nil, err
	}
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	return p, nil
}
