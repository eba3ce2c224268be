package experiment

import (
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Plot writes one picture for each tenant and fault to a directory: the tail
// of interactive requests against load, a line for each policy, the tail on a
// logarithmic scale.
func Plot(dir string, results []Result) error {
	type key struct{ tenant, fault string }
	lines := map[key]map[string]plotter.XYs{}
	for _, r := range results {
		if r.Shedding {
			continue
		}
		k := key{r.Tenant, string(r.Fault)}
		if lines[k] == nil {
			lines[k] = map[string]plotter.XYs{}
		}
		point := plotter.XY{X: 100 * r.Load, Y: float64(r.P99) / 1000}
		lines[k][r.Policy] = append(lines[k][r.Policy], point)
	}
	for k, policies := range lines {
		name := strings.ReplaceAll(fmt.Sprintf("%s-%s.svg", k.tenant, k.fault), " ", "-")
		title := fmt.Sprintf("%s, fault: %s", k.tenant, k.fault)
		if err := plotOne(filepath.Join(dir, name), title, policies); err != nil {
			return err
		}
	}
	return nil
}

func plotOne(file, title string, policies map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "load, percent of the slots"
	p.Y.Label.Text = "p99 of interactive requests, ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var args []any
	for _, name := range Policies {
		if len(policies[name]) > 0 {
			args = append(args, name, policies[name])
		}
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fmt.Errorf("experiment: plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("experiment: plot: %w", err)
	}
	return nil
}
