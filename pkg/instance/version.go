package instance

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// VersionCommand is the subcommand that prints the version of the binary.
type VersionCommand struct{}

// Name implements subcommands.Command.
func (VersionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (VersionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (VersionCommand) Usage() string {
	return "version: print the version, the revision of the sources and the Go version\n"
}

// SetFlags implements subcommands.Command.
func (VersionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (VersionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("unknown: built without module information")
		return subcommands.ExitFailure
	}
	fmt.Println(describeBuild(info))
	return subcommands.ExitSuccess
}

// describeBuild returns the module path and version, the source revision and the Go
// version. The revision is marked if the sources were modified.
func describeBuild(info *debug.BuildInfo) string {
	revision, modified := "unknown", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				modified = " (modified)"
			}
		}
	}
	return fmt.Sprintf("%s %s, revision %s%s, %s", info.Main.Path, info.Main.Version, revision, modified, info.GoVersion)
}
