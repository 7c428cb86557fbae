package result

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// A fit needs at least minSizes fleet sizes with at least minPlays runs each.
const (
	minSizes = 4
	minPlays = 2
)

// Point is a metric's value in one run.
type Point struct {
	Size  int // number of sidecars
	Play  int // number of the run among the runs of the same size, from 1
	Value float64
}

// Series holds the values of one metric at each size of the fleet.
type Series struct {
	Name   string
	Unit   string
	Points []Point
	Fit    *Fit // nil if there are too few points
}

// Fit is the least-squares line value = Intercept + Slope*size, and the deviation of the points from it.
type Fit struct {
	Intercept   float64
	Slope       float64   // increase per sidecar
	RSquared    float64   // coefficient of determination R²; 1 if all points are on the line
	Residuals   []float64 // value minus the line's value, for each point in order
	MaxResidual float64   // the largest absolute residual
	RMSResidual float64   // root mean square of the residuals
	PlayRange   float64   // largest difference between the values of two plays of the same size
}

// At returns the line's value at a number of sidecars.
func (f *Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// Usable reports whether a run may be part of a fit: it did not end early, and the machine was not saturated.
func (r *Run) Usable() bool { return r.Stopped == "" && !r.Saturated }

// AllSeries returns the series of all metrics of the usable runs, in the order in which the metrics first appear.
func AllSeries(runs []*Run) []Series {
	var names []string
	byName := map[string]*Series{}
	for _, run := range runs {
		if !run.Usable() {
			continue
		}
		for _, m := range run.Metrics() {
			s := byName[m.Name]
			if s == nil {
				s = &Series{Name: m.Name, Unit: m.Unit}
				byName[m.Name] = s
				names = append(names, m.Name)
			}
			s.Points = append(s.Points, Point{Size: run.Size.Sidecars, Play: run.Play, Value: m.Value})
		}
	}
	all := make([]Series, len(names))
	for i, name := range names {
		all[i] = *byName[name]
		all[i].Fit = fit(all[i].Points)
	}
	return all
}

// fit returns the least-squares line through the points. It returns nil if there are too few points; see minSizes.
func fit(points []Point) *Fit {
	bySize := valuesBySize(points)
	sizesWithEnoughPlays := 0
	for _, values := range bySize {
		if len(values) >= minPlays {
			sizesWithEnoughPlays++
		}
	}
	if sizesWithEnoughPlays < minSizes {
		return nil
	}
	sizes, values := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		sizes[i], values[i] = float64(p.Size), p.Value
	}
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	f.RSquared = stat.RSquared(sizes, values, nil, f.Intercept, f.Slope)
	for i := range points {
		f.Residuals = append(f.Residuals, values[i]-f.At(sizes[i]))
	}
	f.MaxResidual = floats.Norm(f.Residuals, math.Inf(1))
	f.RMSResidual = floats.Norm(f.Residuals, 2) / math.Sqrt(float64(len(points)))
	for _, values := range bySize {
		f.PlayRange = max(f.PlayRange, slices.Max(values)-slices.Min(values))
	}
	return &f
}

// valuesBySize groups the values of the points by the number of sidecars.
func valuesBySize(points []Point) map[int][]float64 {
	bySize := map[int][]float64{}
	for _, p := range points {
		bySize[p.Size] = append(bySize[p.Size], p.Value)
	}
	return bySize
}
