// Command gp-entry runs an entry instance, which receives callers' requests for
// generations and plain calls, queues them and forwards them to backend servers. It
// follows the document that the control instances accept.
//
// The exit status is 0 after a planned stop, 1 after a failure, and 2 on invalid
// usage or settings.
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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
