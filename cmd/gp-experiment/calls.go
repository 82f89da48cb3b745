package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/loadmodel"
)

// callsCommand simulates overloads of calls with and without shedding, and prints a table for each pattern.
type callsCommand struct {
	output   io.Writer
	gateways string
	patterns string
	seeds    uint64
}

func (*callsCommand) Name() string     { return "calls" }
func (*callsCommand) Synopsis() string { return "simulate overloads of servers for calls" }

func (*callsCommand) Usage() string {
	return `gp-experiment calls [flags]

Simulates overloads of servers for calls in virtual time, and prints a table for each pattern
and number of gateways: the shares of the calls in their objective, served, and refused at least
once, the sends to servers per call, and the share of the sends that servers refused. Policies:
forward sends all calls to the servers; shed refuses at the gateways what exceeds their capacity.

  gp-experiment calls
  gp-experiment calls -patterns one-server-left,burst -gateways 62

Exit status: 0 on success, 2 on invalid usage.
`
}

func (c *callsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.gateways, "gateways", "3,16,95,300", "numbers of gateways, separated by commas")
	f.StringVar(&c.patterns, "patterns", "", "patterns to simulate, separated by commas; all if empty")
	f.Uint64Var(&c.seeds, "seeds", 3, "number of seeds to simulate; each generates different callers")
}

func (c *callsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	counts, err := parseCounts(c.gateways)
	if err == nil && (f.NArg() > 0 || c.seeds == 0) {
		err = eris.New("calls takes no arguments and requires at least one seed")
	}
	if err == nil {
		err = c.checkPatterns()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	for _, count := range counts {
		for _, pattern := range loadmodel.CallPatterns(count) {
			if c.patterns == "" || contains(c.patterns, pattern.Name) {
				c.printPattern(pattern)
			}
		}
	}
	return subcommands.ExitSuccess
}

// parseCounts parses positive numbers that are separated by commas.
func parseCounts(list string) (counts []int, err error) {
	for _, field := range strings.Split(list, ",") {
		count, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || count < 1 {
			return nil, eris.Errorf("invalid number %q", field)
		}
		counts = append(counts, count)
	}
	return counts, nil
}

// checkPatterns returns an error if a pattern is unknown.
func (c *callsCommand) checkPatterns() error {
	if c.patterns == "" {
		return nil
	}
	var known []string
	for _, p := range loadmodel.CallPatterns(1) {
		known = append(known, p.Name)
	}
	for _, name := range strings.Split(c.patterns, ",") {
		if !contains(strings.Join(known, ","), name) {
			return eris.Errorf("unknown pattern %q; known are %s", name, strings.Join(known, ", "))
		}
	}
	return nil
}

// contains reports whether a list of names that are separated by commas contains a name.
func contains(list, name string) bool {
	for _, field := range strings.Split(list, ",") {
		if field == name {
			return true
		}
	}
	return false
}

func (c *callsCommand) printPattern(pattern *loadmodel.CallPattern) {
	fmt.Fprintf(c.output, "%s, %d gateways: %s\n\n", pattern.Name, pattern.Gateways, pattern.Description)
	fmt.Fprintln(c.output, "| policy | calls | in time | served | refused | sends per call | sends refused |")
	fmt.Fprintln(c.output, "|---|---|---|---|---|---|---|")
	for _, policy := range loadmodel.CallPolicies() {
		var results []loadmodel.CallResult
		for seed := range c.seeds {
			results = append(results, loadmodel.SimulateCalls(pattern, policy, seed)...)
		}
		for _, kind := range pattern.Kinds {
			s := loadmodel.SummarizeCalls(results, func(r loadmodel.CallResult) bool {
				return r.Kind == kind.Name && loadmodel.IsOverloaded(r.ArrivedS)
			})
			fmt.Fprintf(c.output, "| %s, %s | %d | %.1f%% | %.1f%% | %.1f%% | %.2f | %.1f%% |\n", policy.Name, kind.Name, s.Calls,
				100*s.InTime, 100*s.Served, 100*s.Refused, s.SendsPerCall, 100*s.RefusedSends)
		}
	}
	fmt.Fprintln(c.output)
}
