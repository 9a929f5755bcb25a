package report

import (
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/lotusward/lotusward/internal/lab/scenario"
	"github.com/lotusward/lotusward/internal/lab/simulation"
)

// The size of plots and their lines, and the span over which a hit rate is taken.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	lineWidth  = vg.Length(1.5)
	hitRateBin = time.Second
)

// distributionPoints is how many points a distribution's line has at most.
const distributionPoints = 400

// smallestWait keeps waits off the origin of a logarithmic axis, in milliseconds.
const smallestWait = 1

// WritePlots writes, into a directory, the distribution of the first-token time
// and the hit rate over time of one scenario. The runs are of one seed, one for
// each policy. It returns the files' names.
func WritePlots(directory string, runs []Run) ([]string, error) {
	name := runs[0].Scenario.Deployment.Name + "-" + runs[0].Scenario.Name
	distribution := filepath.Join(directory, name+"-first-token.svg")
	if err := plotDistribution(distribution, runs); err != nil {
		return nil, err
	}
	overTime := filepath.Join(directory, name+"-hit-rate.svg")
	if err := plotHitRate(overTime, runs); err != nil {
		return nil, err
	}
	return []string{distribution, overTime}, nil
}

func plotDistribution(path string, runs []Run) error {
	drawn := plot.New()
	drawn.Title.Text = runs[0].Scenario.Deployment.Name + " " + runs[0].Scenario.Name + ": time to first token"
	drawn.X.Label.Text = "milliseconds"
	drawn.Y.Label.Text = "share of long requests"
	drawn.X.Scale = plot.LogScale{}
	drawn.X.Tick.Marker = plot.LogTicks{Prec: -1}
	drawn.Legend.Top = false
	return drawLines(drawn, path, runs, distributionOf)
}

// distributionOf is the cumulative distribution of a run's first-token times.
func distributionOf(run Run) plotter.XYs {
	values := waits(run.Result.Outcomes, scenario.LabelLong, run.Scenario.EventAt, run.Scenario.Duration)
	slices.Sort(values)
	stride := max(1, len(values)/distributionPoints)
	var points plotter.XYs
	for index := 0; index < len(values); index += stride {
		share := float64(index+1) / float64(len(values))
		points = append(points, plotter.XY{X: max(smallestWait, values[index]), Y: share})
	}
	return points
}

func plotHitRate(path string, runs []Run) error {
	drawn := plot.New()
	drawn.Title.Text = runs[0].Scenario.Deployment.Name + " " + runs[0].Scenario.Name + ": prefix hit rate"
	drawn.X.Label.Text = "seconds"
	drawn.Y.Label.Text = "share of prompt tokens"
	drawn.Y.Min, drawn.Y.Max = 0, 1
	return drawLines(drawn, path, runs, hitRateOf)
}

// hitRateOf is a run's hit rate in each second, by the time of arrival.
func hitRateOf(run Run) plotter.XYs {
	bins := int(run.Scenario.Duration / hitRateBin)
	prompt := make([]float64, bins)
	cached := make([]float64, bins)
	for _, outcome := range run.Result.Outcomes {
		bin := int(outcome.ArrivedAt / hitRateBin)
		if !counts(outcome) || bin >= bins {
			continue
		}
		prompt[bin] += float64(outcome.PromptTokens)
		cached[bin] += float64(outcome.CachedTokens)
	}
	var points plotter.XYs
	for bin := range bins {
		if prompt[bin] > 0 {
			points = append(points, plotter.XY{X: float64(bin), Y: cached[bin] / prompt[bin]})
		}
	}
	return points
}

// counts tells whether a request shows a hit rate: it ran on an engine.
func counts(outcome simulation.Outcome) bool {
	return outcome.Answered && outcome.Label != scenario.LabelPage
}

func drawLines(drawn *plot.Plot, path string, runs []Run, pointsOf func(Run) plotter.XYs) error {
	for index, run := range runs {
		points := pointsOf(run)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.DarkColors[index%len(plotutil.DarkColors)]
		line.Width = lineWidth
		line.Dashes = plotutil.Dashes(index)
		drawn.Add(line)
		drawn.Legend.Add(run.Policy, line)
	}
	drawn.Add(plotter.NewGrid())
	return drawn.Save(plotWidth, plotHeight, path)
}
