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

type serviceCommand struct {
	options    standin.ServiceOptions
	pools      string
	announceTo string
}

// Name implements subcommands.Command.
func (*serviceCommand) Name() string { return "service" }

// Synopsis implements subcommands.Command.
func (*serviceCommand) Synopsis() string { return "run a stand-in plain service" }

// Usage implements subcommands.Command.
func (*serviceCommand) Usage() string {
	return "service -id ID -address IP:PORT -pool SERVICE[,SERVICE] -announce-to IP:PORT[,IP:PORT]:\n" +
		"  Runs a stand-in plain service until SIGTERM, then finishes its calls and exits.\n"
}

// SetFlags implements subcommands.Command.
func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.ID, "id", "", "identifier of the backend server")
	f.StringVar(&c.options.Address, "address", "127.0.0.1:0", "IP address and port to serve on")
	f.StringVar(&c.options.DataCentre, "data-centre", "", "data centre of the backend server")
	f.StringVar(&c.pools, "pool", "", "services, separated by commas")
	f.IntVar(&c.options.Slots, "slots", 8, "calls that run at once; further ones are refused")
	f.DurationVar(&c.options.Delay, "delay", 0, "time that a call runs")
	f.IntVar(&c.options.RefusePercent, "refuse-percent", 0, "calls refused before they run")
	f.IntVar(&c.options.BreakBeforePercent, "break-before-percent", 0, "calls whose connection is closed and that do not run")
	f.IntVar(&c.options.BreakAfterPercent, "break-after-percent", 0, "calls whose connection is closed after they ran")
	f.StringVar(&c.options.Executions, "executions", "", "file to which each execution appends a line")
	f.StringVar(&c.announceTo, "announce-to", "", "caller addresses of entry instances, separated by commas")
}

// Execute implements subcommands.Command.
func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.options.ID == "" || c.pools == "" {
		fmt.Fprintln(os.Stderr, "gp-standin service: -id and -pool must be set")
		return subcommands.ExitUsageError
	}
	c.options.Pools = strings.Split(c.pools, ",")
	if c.announceTo != "" {
		c.options.AnnounceTo = strings.Split(c.announceTo, ",")
	}
	log := telemetry.NewLogger(os.Stderr, c.options.ID)
	if err := standin.RunService(ctx, c.options, log); err != nil {
		log.Error("service failed", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
