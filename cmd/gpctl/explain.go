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
The exit status is 1 if no line mentions the request.

Example: gpctl explain 1fc6a79ac4d49313 gateway-*.log
`
}
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print the lines as a JSON array")
}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return reportUsageError(eris.New("explain: a request identifier and at least one log file are required"))
	}
	var lines []explain.Line
	for _, name := range f.Args()[1:] {
		fileLines, err := readLogFile(name)
		if err != nil {
			return reportUsageError(err)
		}
		lines = append(lines, fileLines...)
	}
	events := explain.Path(lines, f.Arg(0))
	if c.json && len(events) > 0 {
		out, err := json.Marshal(events)
		return printJSON(out, err)
	}
	return reportError(explain.Write(os.Stdout, events))
}

// readLogFile returns the log lines of a file and warns about malformed ones.
func readLogFile(name string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "explain")
	}
	defer file.Close()
	lines, malformed, err := explain.Read(file)
	if malformed > 0 {
		fmt.Fprintf(os.Stderr, "gpctl: %s: skipped %d malformed lines\n", name, malformed)
	}
	return lines, err
}
