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

// engineCommand runs a stand-in engine.
type engineCommand struct {
	options           standin.EngineOptions
	modelList         string
	announceToList    string
	tokenIntervalMS   int
	prefillPerTokenUS int
	lingerMS          int
}

func (*engineCommand) Name() string { return "engine" }

func (*engineCommand) Synopsis() string { return "run a stand-in engine" }

func (*engineCommand) Usage() string {
	return "engine -id ID -address IP:PORT -model MODEL[,MODEL] -announce-to IP:PORT[,IP:PORT]:\n" +
		"  Runs a stand-in engine until SIGTERM, then finishes its generations and exits.\n"
}

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.ID, "id", "", "identifier of the engine")
	f.StringVar(&c.options.Address, "address", "127.0.0.1:0", "IP address and port to serve on")
	f.StringVar(&c.options.Advertise, "advertise", "", "announced IP address and port (default: -address)")
	f.StringVar(&c.options.DataCentre, "data-centre", "", "data centre of the engine")
	f.StringVar(&c.modelList, "model", "", "loaded models, separated by commas; none if empty")
	f.IntVar(&c.options.Slots, "slots", 8, "maximum number of concurrent generations")
	f.IntVar(&c.tokenIntervalMS, "interval-ms", 30, "time between two tokens, in milliseconds")
	f.IntVar(&c.prefillPerTokenUS, "prefill-us", 0, "time per prefix token before the first token, in microseconds")
	f.IntVar(&c.lingerMS, "linger-ms", 0, "time that a generation continues, or its result is kept, without a connection, in milliseconds; 0 for the default")
	f.BoolVar(&c.options.IgnoreFencing, "ignore-fencing", false, "accept orders with outdated fencing numbers")
	f.BoolVar(&c.options.AttemptChains, "attempt-chains", false, "make the generated text depend on the attempt")
	f.StringVar(&c.announceToList, "announce-to", "", "caller addresses of entry instances, separated by commas")
}

func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.options.ID == "" {
		fmt.Fprintln(os.Stderr, "gp-standin engine: -id must be set")
		return subcommands.ExitUsageError
	}
	if c.modelList != "" {
		c.options.Models = strings.Split(c.modelList, ",")
	}
	if c.announceToList != "" {
		c.options.EntryAddresses = strings.Split(c.announceToList, ",")
	}
	c.options.TokenInterval = time.Duration(c.tokenIntervalMS) * time.Millisecond
	c.options.PrefillPerToken = time.Duration(c.prefillPerTokenUS) * time.Microsecond
	c.options.Linger = time.Duration(c.lingerMS) * time.Millisecond
	log := telemetry.NewLogger(os.Stderr, c.options.ID)
	if err := standin.NewEngine(c.options, log).Run(ctx); err != nil {
		log.Error("the stand-in engine failed", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
