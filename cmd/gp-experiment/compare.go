package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/geraniumpitch/geraniumpitch/pkg/loadmodel"
)

// compareCommand simulates load patterns under each policy and prints a table for each pattern.
type compareCommand struct {
	output     io.Writer
	policies   string
	seeds      uint64
	gateways   string
	plotFolder string
}

func (*compareCommand) Name() string     { return "compare" }
func (*compareCommand) Synopsis() string { return "simulate load patterns under several policies" }

func (*compareCommand) Usage() string {
	return `gp-experiment compare [flags] LOAD...

Simulates the load pattern in each file (JSON with comments, see loads) under each
policy in virtual time and prints a table. With -plots, it also writes for each pattern a
plot of the mean duration of streams by the time of their arrival.

  gp-experiment compare loads/tabashir-burst.json
  gp-experiment compare -policies apart,together -seeds 20 -plots plots loads/*.json

Policies: apart relocates runs away from engines that prefill prompts; together does not;
blind is together without exchanging the placement of runs between gateways. silent also makes
streams wait for a place and leave engines without an event; learned and shared do so with the
paces of engines that one gateway, or all of them, learn.

Exit status: 0 on success, 1 if a file cannot be read or a plot cannot be written, 2 on
invalid usage.
`
}

func (c *compareCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.policies, "policies", "apart,together,blind", "policies to compare, separated by commas")
	f.Uint64Var(&c.seeds, "seeds", 10, "number of seeds to simulate; each generates different callers")
	f.StringVar(&c.gateways, "gateways", "", "numbers of gateways to simulate in place of those of the load, separated by commas")
	f.StringVar(&c.plotFolder, "plots", "", "folder for plots in SVG; no plots if empty")
}

func (c *compareCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	policies, err := parsePolicies(c.policies)
	if err != nil || f.NArg() == 0 || c.seeds == 0 {
		fmt.Fprintln(os.Stderr, cmp.Or(err, eris.New("compare requires a load file and at least one seed")))
		return subcommands.ExitUsageError
	}
	for _, file := range f.Args() {
		if err := c.compareLoad(file, policies); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

// parsePolicies returns the policies with the given names, which are separated by commas.
func parsePolicies(names string) ([]loadmodel.Policy, error) {
	available := loadmodel.Policies()
	var selected []loadmodel.Policy
	for _, name := range strings.Split(names, ",") {
		index := slices.IndexFunc(available, func(p loadmodel.Policy) bool { return p.Name == name })
		if index < 0 {
			return nil, eris.Errorf("unknown policy %q", name)
		}
		selected = append(selected, available[index])
	}
	return selected, nil
}

// compareLoad simulates the load pattern in a file under each policy.
func (c *compareCommand) compareLoad(file string, policies []loadmodel.Policy) error {
	load, err := loadmodel.ReadLoadPattern(file)
	if err != nil {
		return err
	}
	if c.gateways == "" {
		return c.comparePolicies(load, policies)
	}
	for _, field := range strings.Split(c.gateways, ",") {
		n, err := strconv.Atoi(field)
		if err != nil || n <= 0 {
			return eris.Errorf("invalid number of gateways %q", field)
		}
		changed := load.WithGateways(n)
		changed.Name = fmt.Sprintf("%s-%d", load.Name, n)
		if err := c.comparePolicies(changed, policies); err != nil {
			return err
		}
	}
	return nil
}

// comparePolicies simulates a load pattern under each policy and prints the table.
func (c *compareCommand) comparePolicies(load *loadmodel.LoadPattern, policies []loadmodel.Policy) error {
	fmt.Fprintf(c.output, "%s: %s\n\n", load.Name, load.Description)
	fmt.Fprintln(c.output, "| policy | streams | in time | first event s, median and 95% | whole s | longest pause s | read again | copies | runs | silent |")
	fmt.Fprintln(c.output, "|---|---|---|---|---|---|---|---|---|---|")
	streamsByPolicy := map[string][]loadmodel.Stream{}
	for _, policy := range policies {
		var streams []loadmodel.Stream
		for seed := range c.seeds {
			streams = append(streams, loadmodel.Simulate(load, policy, seed)...)
		}
		streamsByPolicy[policy.Name] = streams
		summary := loadmodel.Summarize(streams)
		fmt.Fprintf(c.output, "| %s | %d | %.1f%% | %.2f %.2f | %.2f %.2f | %.2f %.2f | %.1f%% | %.2f | %.2f | %.3f |\n", policy.Name, summary.Streams,
			100*summary.InTime, summary.FirstEvent.Median, summary.FirstEvent.P95, summary.Duration.Median, summary.Duration.P95,
			summary.MaxPause.Median, summary.MaxPause.P95,
			100*summary.RepeatedPrefillShare, summary.Copies, summary.Attempts, summary.SilentMoves)
	}
	fmt.Fprintln(c.output)
	if c.plotFolder == "" {
		return nil
	}
	return c.writePlot(load, policies, streamsByPolicy)
}

// policyColors are the line colours of the policies in a plot.
var policyColors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff}, color.RGBA{R: 0xc2, G: 0x4d, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x55, G: 0x55, B: 0x55, A: 0xff},
}

// writePlot plots the mean duration of the streams that arrive in each second.
func (c *compareCommand) writePlot(load *loadmodel.LoadPattern, policies []loadmodel.Policy, streamsByPolicy map[string][]loadmodel.Stream) error {
	chart := plot.New()
	chart.Title.Text = load.Name
	chart.X.Label.Text, chart.Y.Label.Text = "arrival, s", "mean duration of streams, s"
	chart.Y.Min = 0
	for i, policy := range policies {
		line, err := plotter.NewLine(meanDurations(streamsByPolicy[policy.Name]))
		if err != nil {
			return eris.Wrapf(err, "draw the line of policy %q", policy.Name)
		}
		line.Color = policyColors[i%len(policyColors)]
		chart.Add(line)
		chart.Legend.Add(policy.Name, line)
	}
	if err := os.MkdirAll(c.plotFolder, 0o755); err != nil {
		return eris.Wrap(err, "create the folder for plots")
	}
	file := filepath.Join(c.plotFolder, load.Name+".svg")
	if err := chart.Save(18*vg.Centimeter, 9*vg.Centimeter, file); err != nil {
		return eris.Wrapf(err, "write the plot %q", file)
	}
	fmt.Fprintf(c.output, "plot: %s\n\n", file)
	return nil
}

// meanDurations returns the mean duration of streams by the second of their arrival, in
// ascending order.
func meanDurations(streams []loadmodel.Stream) plotter.XYs {
	sums, counts := map[int]float64{}, map[int]int{}
	for _, stream := range streams {
		sums[int(stream.ArrivedS)] += stream.DurationS
		counts[int(stream.ArrivedS)]++
	}
	var points plotter.XYs
	for second, count := range counts {
		points = append(points, plotter.XY{X: float64(second), Y: sums[second] / float64(count)})
	}
	slices.SortFunc(points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
	return points
}
