package main

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"
)

// runCompare runs the command with args and returns its exit status and output.
func runCompare(t *testing.T, args ...string) (subcommands.ExitStatus, string) {
	t.Helper()
	var out bytes.Buffer
	command := &compareCommand{output: &out}
	flags := flag.NewFlagSet("compare", flag.ContinueOnError)
	command.SetFlags(flags)
	qt.Assert(t, flags.Parse(args), qt.IsNil)
	return command.Execute(context.Background(), flags), out.String()
}

// Guards against a comparison that omits its table or plot, and against invalid usage
// that exits with success.
func TestCompare(t *testing.T) {
	plotFolder := t.TempDir()
	loadFile := filepath.Join("..", "..", "loads", "tabashir-burst.json")
	status, out := runCompare(t, "-policies", "apart,together", "-seeds", "1", "-plots", plotFolder, loadFile)
	qt.Assert(t, status, qt.Equals, subcommands.ExitSuccess)
	qt.Assert(t, strings.Count(out, "\n| "), qt.Equals, 3, qt.Commentf("%s", out))
	svg, err := os.ReadFile(filepath.Join(plotFolder, "tabashir-burst.svg"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Contains(svg, []byte("together")), qt.IsTrue)
	for _, test := range []struct {
		want subcommands.ExitStatus
		args []string
	}{
		{subcommands.ExitUsageError, nil},
		{subcommands.ExitUsageError, []string{"-policies", "best", loadFile}},
		{subcommands.ExitUsageError, []string{"-seeds", "0", loadFile}},
		{subcommands.ExitFailure, []string{"none.json"}},
	} {
		status, _ := runCompare(t, test.args...)
		qt.Assert(t, status, qt.Equals, test.want, qt.Commentf("%v", test.args))
	}
}
