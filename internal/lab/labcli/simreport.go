package labcli

import (
	"fmt"
	"html"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/beamdoor/beamdoor/internal/lab/sim"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

const (
	reportFolderMode = 0o750
	reportFileMode   = 0o640
	chartWidth       = 18 * vg.Centimeter
	chartHeight      = 7 * vg.Centimeter
)

// curve is one line of a chart.
type curve struct {
	name  string
	value func(sim.Sample) float64
}

// chart is one drawing of a run over virtual time.
type chart struct {
	file   string
	title  string
	unit   string
	curves []curve
}

var charts = []chart{
	{"requests.svg", "requests and flows so far", "count", []curve{
		{"done", func(s sim.Sample) float64 { return float64(s.Done) }},
		{"refused, unknown or unanswered", func(s sim.Sample) float64 { return float64(s.Unfinished) }},
		{"broken flows", func(s sim.Sample) float64 { return float64(s.Broken) }},
	}},
	{"load.svg", "requests at the targets", "requests", []curve{
		{"busiest target", func(s sim.Sample) float64 { return s.Busiest }},
		{"mean", func(s sim.Sample) float64 { return s.Mean }},
	}},
	{"spread.svg", "revisions in force on the balancers", "revision", []curve{
		{"newest", func(s sim.Sample) float64 { return float64(s.Newest) }},
		{"oldest", func(s sim.Sample) float64 { return float64(s.Oldest) }},
	}},
}

// writeReport writes a page with charts for one seed of each scenario.
func writeReport(folder string, results []sim.Result) error {
	const step = "lab.sim_report"
	var page strings.Builder
	page.WriteString("<!doctype html><meta charset=utf-8><title>beamdoor simulation</title><h1>beamdoor simulation</h1>\n")
	seen := map[string]bool{}
	for _, result := range results {
		if seen[result.Scenario] {
			continue
		}
		seen[result.Scenario] = true
		path := filepath.Join(folder, result.Scenario)
		if err := os.MkdirAll(path, reportFolderMode); err != nil {
			return steperror.Wrap(step, path, err)
		}
		writeScenario(&page, result)
		for _, drawn := range charts {
			if err := drawn.save(filepath.Join(path, drawn.file), result.Series); err != nil {
				return steperror.Wrap(step, path, err)
			}
			fmt.Fprintf(&page, "<img src=\"%s/%s\">\n", result.Scenario, drawn.file)
		}
	}
	index := filepath.Join(folder, "index.html")
	return steperror.Wrap(step, index, os.WriteFile(index, []byte(page.String()), reportFileMode))
}

func writeScenario(page *strings.Builder, result sim.Result) {
	fmt.Fprintf(page, "<h2>%s, seed %d</h2>\n<p>%d flows, %d broken; %d requests done, %d refused, %d unknown, %d unanswered; busiest target over mean %.2f; %.0f control bytes a second at most; in force after %s at most</p>\n",
		html.EscapeString(result.Scenario), result.Seed, result.Flows, result.Broken, result.Done, result.NotRun, result.Unknown, result.NoAnswer,
		result.Imbalance, result.ControlBytes, result.InForce)
	for _, violation := range result.Violations {
		fmt.Fprintf(page, "<p><b>broken: %s</b>: %s</p>\n", html.EscapeString(violation.Rule), html.EscapeString(violation.Detail))
	}
}

// save draws the chart into an SVG file.
func (c chart) save(path string, series []sim.Sample) error {
	drawing := plot.New()
	drawing.Title.Text = c.title
	drawing.X.Label.Text = "virtual time, s"
	drawing.Y.Label.Text = c.unit
	var lines []any
	for _, line := range c.curves {
		points := make(plotter.XYs, len(series))
		for i, sample := range series {
			points[i] = plotter.XY{X: sample.At, Y: line.value(sample)}
		}
		lines = append(lines, line.name, points)
	}
	if err := plotutil.AddLines(drawing, lines...); err != nil {
		return err
	}
	drawing.Legend.Top = true
	drawing.Legend.Left = true
	return drawing.Save(chartWidth, chartHeight, path)
}
