package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/standin"
	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
	"github.com/google/subcommands"
)

type engineCommand struct {
	options    standin.EngineOptions
	models     string
	announceTo string
	intervalMS int
	prefillUS  int
	lingerMS   int
}

// Name implements subcommands.Command.
func (*engineCommand) Name() string { return "engine" }

// Synopsis implements subcommands.Command.
func (*engineCommand) Synopsis() string { return "run a stand-in engine" }

// Usage implements subcommands.Command.
func (*engineCommand) Usage() string {
	return "engine -id ID -address IP:PORT -model MODEL[,MODEL] -announce-to IP:PORT[,IP:PORT]:\n" +
		"  Runs a stand-in engine until SIGTERM, then finishes its generations and exits.\n"
}

// SetFlags implements subcommands.Command.
func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.ID, "id", "", "identifier of the engine")
	f.StringVar(&c.options.Address, "address", "127.0.0.1:0", "IP address and port to serve on")
	f.StringVar(&c.options.Advertise, "advertise", "", "announced IP address and port (default: address)")
	f.StringVar(&c.options.DataCentre, "data-centre", "", "data centre of the engine")
	f.StringVar(&c.models, "model", "", "models, separated by commas; empty starts an idle engine")
	f.IntVar(&c.options.Slots, "slots", 8, "generations that run at once")
	f.IntVar(&c.intervalMS, "interval-ms", 30, "time between two tokens, in milliseconds")
	f.IntVar(&c.prefillUS, "prefill-us", 0, "time per prefix token before the first token, in microseconds")
	f.IntVar(&c.lingerMS, "linger-ms", 0, "time that a generation goes on without a connection; 0 is the default")
	f.BoolVar(&c.options.IgnoreFencing, "ignore-fencing", false, "accept orders with old fencing numbers")
	f.BoolVar(&c.options.AttemptChains, "attempt-chains", false, "make the text depend on the attempt")
	f.StringVar(&c.announceTo, "announce-to", "", "caller addresses of entry instances, separated by commas")
}

// Execute implements subcommands.Command.
func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.options.ID == "" {
		fmt.Fprintln(os.Stderr, "gp-standin engine: -id must be set")
		return subcommands.ExitUsageError
	}
	if c.models != "" {
		c.options.Models = strings.Split(c.models, ",")
	}
	if c.announceTo != "" {
		c.options.AnnounceTo = strings.Split(c.announceTo, ",")
	}
	c.options.Interval = time.Duration(c.intervalMS) * time.Millisecond
	c.options.PrefillPerToken = time.Duration(c.prefillUS) * time.Microsecond
	c.options.Linger = time.Duration(c.lingerMS) * time.Millisecond
	log := telemetry.NewLogger(os.Stderr, c.options.ID)
	if err := standin.NewEngine(c.options, log).Run(ctx); err != nil {
		log.Error("engine failed", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
