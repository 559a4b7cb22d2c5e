package ctl

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/usage"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 0.8 * vg.Centimeter
)

// plotTotals draws the slot time of each tenant by region into a file, whose
// ending (.svg, .png, .pdf) says the format.
func plotTotals(totals []usage.Total, file string) error {
	var regions []string
	var tenants []ident.Tenant
	for _, t := range totals {
		if !slices.Contains(regions, string(t.Region)) {
			regions = append(regions, string(t.Region))
		}
		if !slices.Contains(tenants, t.Tenant) {
			tenants = append(tenants, t.Tenant)
		}
	}
	if len(regions) == 0 {
		return exitf(ExitProblem, "there is nothing to plot")
	}
	slices.Sort(regions)
	p := plot.New()
	p.Title.Text = "Use by region"
	p.Y.Label.Text = "slot time in s"
	p.Legend.Top = true
	p.NominalX(regions...)
	for i, tenant := range tenants {
		bars, err := plotter.NewBarChart(slotSeconds(totals, tenant, regions), barWidth)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i+1-len(tenants)) / 2
		p.Add(bars)
		p.Legend.Add(string(tenant), bars)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// slotSeconds sums a tenant's slot time over its services, by region.
func slotSeconds(totals []usage.Total, tenant ident.Tenant, regions []string) plotter.Values {
	const millisPerSecond = 1000
	values := make(plotter.Values, len(regions))
	for _, t := range totals {
		if t.Tenant == tenant {
			values[slices.Index(regions, string(t.Region))] += float64(t.SlotMillis) / millisPerSecond
		}
	}
	return values
}
