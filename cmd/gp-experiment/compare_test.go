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

func execute(t *testing.T, args ...string) (subcommands.ExitStatus, string) {
	t.Helper()
	var out bytes.Buffer
	c := &compareCommand{out: &out}
	f := flag.NewFlagSet("compare", flag.ContinueOnError)
	c.SetFlags(f)
	qt.Assert(t, f.Parse(args), qt.IsNil)
	return c.Execute(context.Background(), f), out.String()
}

// Guards against a comparison without its table or plot, and against wrong usage
// that looks like success.
func TestCompare(t *testing.T) {
	folder := t.TempDir()
	load := filepath.Join("..", "..", "loads", "tabashir-burst.json")
	status, out := execute(t, "-policies", "apart,together", "-seeds", "1", "-plots", folder, load)
	qt.Assert(t, status, qt.Equals, subcommands.ExitSuccess)
	qt.Assert(t, strings.Count(out, "\n| "), qt.Equals, 3, qt.Commentf("%s", out))
	plot, err := os.ReadFile(filepath.Join(folder, "tabashir-burst.svg"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Contains(plot, []byte("together")), qt.IsTrue)
	for _, tt := range []struct {
		want subcommands.ExitStatus
		args []string
	}{
		{subcommands.ExitUsageError, nil},
		{subcommands.ExitUsageError, []string{"-policies", "best", load}},
		{subcommands.ExitUsageError, []string{"-seeds", "0", load}},
		{subcommands.ExitFailure, []string{"none.json"}},
	} {
		status, _ := execute(t, tt.args...)
		qt.Assert(t, status, qt.Equals, tt.want, qt.Commentf("%v", tt.args))
	}
}
