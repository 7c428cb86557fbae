package result

import (
	"errors"
	"image/color"
	"os"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a panel; a plot has one panel for each metric.
const (
	panelWidth  = 12 * vg.Centimeter
	panelHeight = 7 * vg.Centimeter
	panelGap    = 5 * vg.Millimeter
	pointRadius = 2.5
)

// Colours of the points and of the fitted line.
var (
	pointColour = color.RGBA{R: 0x1f, G: 0x4e, B: 0x79, A: 0xff}
	lineColour  = color.RGBA{R: 0xc0, G: 0x50, B: 0x1d, A: 0xff}
)

// DefaultPlotMetrics are the metrics that a plot shows by default. A plot omits those that its runs do not have.
var DefaultPlotMetrics = []string{
	"rest: hollow sidecar, processor time",
	"rest: hollow sidecar, memory",
	"rest: hollow sidecar, bytes read",
	"rest: discovery, calls",
	"rest: discovery, processor time",
	"loaded: real sidecar, processor time",
	"loaded: real sidecar, memory",
	"loaded: added to direct calls, p99",
	"start: discovery, bytes out",
	"changes: from a file's replacement to its being in force there, last",
	"changes: hollow sidecar, processor time of an event",
	"burst: from the first of all replacements to the last change's being in force, last",
	"replace: from discovery's word of a start to its being heard, last",
	"replace: discovery, bytes out",
	"gone: from discovery's word of the loss to its being heard, last",
	"back: from a hollow sidecar's start to its being ready, last",
}

// ErrNothingToPlot is returned by WritePlot if no usable run has any of the requested metrics.
var ErrNothingToPlot = errors.New("plot: no usable run has any of the requested metrics")

// WritePlot writes an SVG file that plots the named metrics of usable runs over the size of the fleet: each run is a
// point, and the fit is a line. It ignores names that no run has, and returns ErrNothingToPlot if no name remains.
func WritePlot(path string, runs []*Run, names []string) error {
	var panels [][]*plot.Plot
	for _, series := range AllSeries(runs) {
		if !slices.Contains(names, series.Name) {
			continue
		}
		panel, err := newPanel(series)
		if err != nil {
			return err
		}
		panels = append(panels, []*plot.Plot{panel})
	}
	if len(panels) == 0 {
		return ErrNothingToPlot
	}
	return drawPanels(path, panels)
}

// newPanel returns the panel of one metric.
func newPanel(series Series) (*plot.Plot, error) {
	panel := plot.New()
	panel.Title.Text = series.Name
	panel.X.Label.Text = "sidecars"
	panel.Y.Label.Text = series.Unit
	panel.X.Min, panel.Y.Min = 0, 0
	points := make(plotter.XYs, len(series.Points))
	for i, p := range series.Points {
		points[i] = plotter.XY{X: float64(p.Size), Y: p.Value}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	scatter.GlyphStyle = draw.GlyphStyle{Color: pointColour, Radius: pointRadius, Shape: draw.CircleGlyph{}}
	panel.Add(plotter.NewGrid(), scatter)
	if series.Fit != nil {
		line := plotter.NewFunction(series.Fit.At)
		line.Color = lineColour
		panel.Add(line)
	}
	return panel, nil
}

// drawPanels writes an SVG file with the panels, one below the other. Each row of panels has one element.
func drawPanels(path string, panels [][]*plot.Plot) (err error) {
	canvas := vgsvg.New(panelWidth, panelHeight*vg.Length(len(panels)))
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: panelGap}
	for row, rowCanvases := range plot.Align(panels, tiles, draw.New(canvas)) {
		panels[row][0].Draw(rowCanvases[0])
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	_, err = canvas.WriteTo(file)
	return err
}
