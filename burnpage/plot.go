package burnpage

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/fireflygate/fireflygate/gen/operations"
)

// Sizes of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 1.2 * vg.Centimeter
	lineWidth  = 1.5
)

var (
	barColor  = color.RGBA{R: 0x4c, G: 0x78, B: 0xa8, A: 0xff}
	goodColor = color.RGBA{R: 0x2e, G: 0x7d, B: 0x32, A: 0xff}
	allColor  = color.RGBA{R: 0x75, G: 0x75, B: 0x75, A: 0xff}
	// alertColors are those of the threshold lines.
	alertColors = map[string]color.Color{
		"page":   color.RGBA{R: 0xb0, B: 0x20, A: 0xff},
		"ticket": color.RGBA{R: 0xa0, G: 0x5a, A: 0xff},
	}
)

func formatUnit(n time.Duration, unit string) string { return fmt.Sprintf("%d%s", int64(n), unit) }

// burnPlot draws the burn by window, and the rates at which alerts are raised
// as lines across the windows that each looks at.
func burnPlot(r *operations.BurnReport) (template.HTML, error) {
	if len(r.Windows) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = "Burn by window"
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	values := make(plotter.Values, len(r.Windows))
	names := make([]string, len(r.Windows))
	position := map[int64]float64{}
	for i, w := range r.Windows {
		values[i], names[i], position[w.WindowMs] = w.Burn, lengthText(w.WindowMs), float64(i)
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return "", errors.Wrap(err, "bars")
	}
	bars.Color = barColor
	p.Add(bars)
	p.NominalX(names...)
	for _, rule := range r.Rules {
		const reach = 0.4
		line, err := newLine(plotter.XYs{
			{X: position[rule.ShortMs] - reach, Y: rule.Burn}, {X: position[rule.LongMs] + reach, Y: rule.Burn},
		}, alertColors[rule.Alert])
		if err != nil {
			return "", err
		}
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s at %g", rule.Alert, rule.Burn), line)
	}
	p.Legend.Top = true
	return svg(p)
}

// callsPlot draws good and all calls over the last hours.
func callsPlot(r *operations.BurnReport) (template.HTML, error) {
	if len(r.History) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = "Calls"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04", Time: plot.UTCUnixTime}
	p.X.Label.Text = "time (UTC)"
	var good, total plotter.XYs
	for _, point := range r.History {
		x := float64(point.StartUnixMs) / float64(time.Second/time.Millisecond)
		good = append(good, plotter.XY{X: x, Y: float64(point.Good)})
		total = append(total, plotter.XY{X: x, Y: float64(point.Total)})
	}
	for _, one := range []struct {
		name   string
		points plotter.XYs
		color  color.Color
	}{{"all", total, allColor}, {"good", good, goodColor}} {
		line, err := newLine(one.points, one.color)
		if err != nil {
			return "", err
		}
		p.Add(line)
		p.Legend.Add(one.name, line)
	}
	p.Legend.Top = true
	return svg(p)
}

func newLine(points plotter.XYs, c color.Color) (*plotter.Line, error) {
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, errors.Wrap(err, "line")
	}
	line.Color = c
	line.Width = vg.Points(lineWidth)
	return line, nil
}

// svg renders a plot as an element of an HTML page. What only a file of its
// own needs is left out: the prelude, and the names of name spaces, which
// look like addresses.
func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "svg")
	}
	text := out.Bytes()
	start := bytes.Index(text, []byte("<svg"))
	if start < 0 {
		return "", errors.AssertionFailedf("no svg element was drawn")
	}
	text = text[start:]
	for _, attribute := range []string{
		`xmlns="http://www.w3.org/2000/svg"`, `xmlns:xlink="http://www.w3.org/1999/xlink"`,
	} {
		text = bytes.ReplaceAll(text, []byte(attribute), nil)
	}
	return template.HTML(text), nil //nolint:gosec // drawn here; texts in it are escaped by the library.
}
