package main

import (
	"bytes"
	"context"
	"flag"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"
)

// Guards against a comparison that omits a policy, and against invalid usage that exits with success.
func TestCalls(t *testing.T) {
	run := func(args ...string) (subcommands.ExitStatus, string) {
		var out bytes.Buffer
		command := &callsCommand{output: &out}
		flags := flag.NewFlagSet("calls", flag.ContinueOnError)
		command.SetFlags(flags)
		qt.Assert(t, flags.Parse(args), qt.IsNil)
		return command.Execute(context.Background(), flags), out.String()
	}
	status, out := run("-gateways", "3", "-seeds", "1", "-patterns", "one-server-left")
	qt.Assert(t, status, qt.Equals, subcommands.ExitSuccess)
	qt.Assert(t, strings.Count(out, "\n| forward, "), qt.Equals, 2, qt.Commentf("%s", out))
	qt.Assert(t, strings.Count(out, "\n| shed, "), qt.Equals, 2, qt.Commentf("%s", out))
	for _, args := range [][]string{{"-gateways", "0"}, {"-patterns", "none"}, {"-seeds", "0"}, {"argument"}} {
		status, _ := run(args...)
		qt.Assert(t, status, qt.Equals, subcommands.ExitUsageError, qt.Commentf("%v", args))
	}
}
