// Command gp-gateway runs a gateway: it serves callers of a deployment whose
// configuration is published as a whole.
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
