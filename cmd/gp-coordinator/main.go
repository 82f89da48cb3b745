// Command gp-coordinator runs a coordinator: it agrees with others on the
// configuration of a deployment and hears announcements of backend servers.
//
// Exit codes: 0 after a planned stop, 1 after a failure, 2 for faulty arguments
// or settings.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&validateCommand{}, "")
	subcommands.Register(&defaultsCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
