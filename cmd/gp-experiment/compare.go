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
	"strings"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/geraniumpitch/geraniumpitch/pkg/loadmodel"
)

// compareCommand plays loads against policies and writes a table and plots.
type compareCommand struct {
	out      io.Writer
	policies string
	seeds    uint64
	folder   string
}

func (*compareCommand) Name() string     { return "compare" }
func (*compareCommand) Synopsis() string { return "play load patterns against policies" }

func (*compareCommand) Usage() string {
	return `gp-experiment compare [flags] LOAD...

Plays each load file (JSON with comments, see loads) against each policy in
virtual time and prints a table. With -plots, a plot of the length of streams by the
time of their arrival is written for each load.

  gp-experiment compare loads/tabashir-burst.json
  gp-experiment compare -policies apart,together -seeds 20 -plots plots loads/*.json

Policies: apart lets runs leave the engines that read prompts, together does not, blind
is together without telling other gateways where runs are.

Exit codes: 0 done, 1 a load cannot be played or a plot not written, 2 wrong usage.
`
}

func (c *compareCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.policies, "policies", "apart,together,blind", "policies to compare, separated by commas")
	f.Uint64Var(&c.seeds, "seeds", 10, "number of seeds; each draws other callers")
	f.StringVar(&c.folder, "plots", "", "folder for plots in SVG, empty for none")
}

func (c *compareCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	policies, err := choosePolicies(c.policies)
	if err != nil || f.NArg() == 0 || c.seeds == 0 {
		fmt.Fprintln(os.Stderr, cmp.Or(err, eris.New("compare needs a load file and a seed")))
		return subcommands.ExitUsageError
	}
	for _, file := range f.Args() {
		if err := c.compare(file, policies); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

func choosePolicies(names string) ([]loadmodel.Policy, error) {
	all := loadmodel.Policies()
	var chosen []loadmodel.Policy
	for _, name := range strings.Split(names, ",") {
		i := slices.IndexFunc(all, func(p loadmodel.Policy) bool { return p.Name == name })
		if i < 0 {
			return nil, eris.Errorf("there is no policy %q", name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

func (c *compareCommand) compare(file string, policies []loadmodel.Policy) error {
	load, err := loadmodel.ReadLoad(file)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: %s\n\n", load.Name, load.Pattern)
	fmt.Fprintln(c.out, "| policy | streams | in time | first event s, median and 95% | whole s | longest pause s | read again | copies |")
	fmt.Fprintln(c.out, "|---|---|---|---|---|---|---|---|")
	played := map[string][]loadmodel.Stream{}
	for _, p := range policies {
		var streams []loadmodel.Stream
		for seed := range c.seeds {
			streams = append(streams, loadmodel.Play(load, p, seed)...)
		}
		played[p.Name] = streams
		s := loadmodel.Summarize(streams)
		fmt.Fprintf(c.out, "| %s | %d | %.1f%% | %.2f %.2f | %.2f %.2f | %.2f %.2f | %.1f%% | %.2f |\n", p.Name, s.Streams,
			100*s.InTime, s.First.Median, s.First.P95, s.Whole.Median, s.Whole.P95, s.Pause.Median, s.Pause.P95,
			100*s.ReadAgain, s.Copies)
	}
	fmt.Fprintln(c.out)
	if c.folder == "" {
		return nil
	}
	return c.plot(load, policies, played)
}

// lineColors tell the policies apart in a plot.
var lineColors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff}, color.RGBA{R: 0xc2, G: 0x4d, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x55, G: 0x55, B: 0x55, A: 0xff},
}

// plot draws the mean length of the streams that arrive in each second.
func (c *compareCommand) plot(load *loadmodel.Load, policies []loadmodel.Policy, played map[string][]loadmodel.Stream) error {
	p := plot.New()
	p.Title.Text = load.Name
	p.X.Label.Text, p.Y.Label.Text = "arrival, s", "mean length of streams, s"
	p.Y.Min = 0
	for i, policy := range policies {
		line, err := plotter.NewLine(meanLengths(played[policy.Name]))
		if err != nil {
			return eris.Wrap(err, "draw a line")
		}
		line.Color = lineColors[i%len(lineColors)]
		p.Add(line)
		p.Legend.Add(policy.Name, line)
	}
	if err := os.MkdirAll(c.folder, 0o755); err != nil {
		return eris.Wrap(err, "make the folder for plots")
	}
	file := filepath.Join(c.folder, load.Name+".svg")
	if err := p.Save(18*vg.Centimeter, 9*vg.Centimeter, file); err != nil {
		return eris.Wrap(err, "write the plot")
	}
	fmt.Fprintf(c.out, "plot: %s\n\n", file)
	return nil
}

func meanLengths(streams []loadmodel.Stream) plotter.XYs {
	sums, counts := map[int]float64{}, map[int]int{}
	for _, s := range streams {
		sums[int(s.ArrivedS)] += s.WholeS
		counts[int(s.ArrivedS)]++
	}
	var points plotter.XYs
	for second, n := range counts {
		points = append(points, plotter.XY{X: float64(second), Y: sums[second] / float64(n)})
	}
	slices.SortFunc(points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
	return points
}
