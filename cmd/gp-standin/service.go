package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/geraniumpitch/geraniumpitch/pkg/standin"
	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
	"github.com/google/subcommands"
)

// serviceCommand runs a stand-in plain service.
type serviceCommand struct {
	options        standin.PlainServiceOptions
	poolList       string
	announceToList string
}

func (*serviceCommand) Name() string { return "service" }

func (*serviceCommand) Synopsis() string { return "run a stand-in plain service" }

func (*serviceCommand) Usage() string {
	return "service -id ID -address IP:PORT -pool SERVICE[,SERVICE] -announce-to IP:PORT[,IP:PORT]:\n" +
		"  Runs a stand-in plain service until SIGTERM, then finishes its calls and exits.\n"
}

func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.ID, "id", "", "identifier of the backend server")
	f.StringVar(&c.options.Address, "address", "127.0.0.1:0", "IP address and port to serve on")
	f.StringVar(&c.options.DataCentre, "data-centre", "", "data centre of the backend server")
	f.StringVar(&c.poolList, "pool", "", "names of the services that it serves, separated by commas")
	f.IntVar(&c.options.Slots, "slots", 8, "maximum number of concurrent calls; more are refused")
	f.DurationVar(&c.options.Delay, "delay", 0, "duration of a call")
	f.IntVar(&c.options.RefusePercent, "refuse-percent", 0, "percentage of calls that are refused before they run")
	f.IntVar(&c.options.BreakBeforePercent, "break-before-percent", 0, "percentage of calls whose connection is closed before they run")
	f.IntVar(&c.options.BreakAfterPercent, "break-after-percent", 0, "percentage of calls whose connection is closed after they have run")
	f.StringVar(&c.options.ExecutionsPath, "executions", "", "file to which a line is appended for each execution")
	f.StringVar(&c.announceToList, "announce-to", "", "caller addresses of entry instances, separated by commas")
}

func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.options.ID == "" || c.poolList == "" {
		fmt.Fprintln(os.Stderr, "gp-standin service: -id and -pool must be set")
		return subcommands.ExitUsageError
	}
	c.options.Pools = strings.Split(c.poolList, ",")
	if c.announceToList != "" {
		c.options.EntryAddresses = strings.Split(c.announceToList, ",")
	}
	log := telemetry.NewLogger(os.Stderr, c.options.ID)
	if err := standin.RunPlainService(ctx, c.options, log); err != nil {
		log.Error("the stand-in service failed", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
