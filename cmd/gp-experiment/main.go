// Command gp-experiment simulates load patterns under several placement policies.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/geraniumpitch/geraniumpitch/pkg/instance"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(instance.VersionCommand{}, "")
	subcommands.Register(&compareCommand{output: os.Stdout}, "")
	subcommands.Register(&callsCommand{output: os.Stdout}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
