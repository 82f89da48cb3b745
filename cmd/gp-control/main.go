// Command gp-control runs a control instance, which agrees with its peers on the
// document, the whole configuration of a deployment, and serves the operators' API.
// The lease holder among them sends orders to engines.
//
// The exit status is 0 after a planned stop, 1 if the instance could not start or
// could no longer write its consensus log, and 2 on invalid usage or settings.
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
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&validateCommand{}, "")
	subcommands.Register(&defaultsCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
