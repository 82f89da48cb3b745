// Command gp-standin runs a simulated backend server, for load trials and tests.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/geraniumpitch/geraniumpitch/pkg/instance"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(instance.VersionCommand{}, "")
	subcommands.Register(&engineCommand{}, "")
	subcommands.Register(&serviceCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
