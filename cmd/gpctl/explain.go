package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/explain"
)

type explainCommand struct{ json bool }

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show the path of a request from log files" }
func (*explainCommand) Usage() string {
	return `explain [-json] REQUEST-ID FILE...: show the path of a request from log files

The files hold the standard output of gateways and coordinators, in any order.
Exit status 1 tells that no line names the request.

Example: gpctl explain 1fc6a79ac4d49313 gateway-*.log
`
}
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print the lines as a JSON array")
}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return usage(eris.New("explain: needs a request identifier and at least one log file"))
	}
	var lines []explain.Line
	for _, name := range f.Args()[1:] {
		found, err := readLog(name)
		if err != nil {
			return usage(err)
		}
		lines = append(lines, found...)
	}
	path := explain.Path(lines, f.Arg(0))
	if c.json && len(path) > 0 {
		out, err := json.Marshal(path)
		return printJSON(out, err)
	}
	return report(explain.Write(os.Stdout, path))
}

func readLog(name string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "explain")
	}
	defer file.Close()
	lines, faulty, err := explain.Read(file)
	if faulty > 0 {
		fmt.Fprintf(os.Stderr, "gpctl: %s: %d faulty lines skipped\n", name, faulty)
	}
	return lines, err
}
