package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/geraniumpitch/geraniumpitch/pkg/coordinator"
	"github.com/geraniumpitch/geraniumpitch/pkg/instance"
	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
	"github.com/geraniumpitch/geraniumpitch/platform"
)

type runCommand struct{ file string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run a coordinator" }
func (*runCommand) Usage() string {
	return "run [-settings FILE]: run a coordinator until SIGTERM\n\nExample: gp-coordinator run -settings coordinator.json\n"
}
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", platform.SettingsFile(), "settings file")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := settings.LoadCoordinator(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gp-coordinator:", err)
		return subcommands.ExitUsageError
	}
	err = instance.Main(s.Instance.ID, func(log *slog.Logger) error { return run(ctx, c.file, s, log) })
	if err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// stopLimit bounds a planned stop: open proposals take an election at most.
const stopLimit = 3 * time.Second

func run(ctx context.Context, file string, s settings.Coordinator, log *slog.Logger) error {
	instance.LimitMemory(s.MemoryMB)
	counters := &rpc.Counters{}
	dialer := rpc.NewDialer(nil, counters)
	defer dialer.Close()
	if err := dialer.BindSource(s.PeerAddress); err != nil {
		return err
	}
	c := coordinator.New(s, dialer, rpc.NewServer(nil, counters, log), log)
	metrics, err := telemetry.New()
	if err != nil {
		return err
	}
	if err := c.Instrument(metrics.Meter("coordinator")); err != nil {
		return err
	}
	k := kernel.New(log)
	if s.MetricsAddress != "" {
		if err := k.Register(instance.NewMetricsServer(s.MetricsAddress, metrics.Handler(), log)); err != nil {
			return err
		}
	}
	if err := k.Register(c); err != nil {
		return err
	}
	if err := k.Register(coordinator.NewOperators(s.OperatorAddress, platform.Handler(c, log), log)); err != nil {
		return err
	}
	reload := func() {
		next, err := settings.LoadCoordinator(file)
		if err != nil {
			log.Error("the new settings are faulty, the old ones stay in force", "error", err)
			return
		}
		c.AddSeeds(next.PeerSeeds())
	}
	return instance.Run(ctx, k, file, reload, nil, stopLimit)
}

type validateCommand struct{ file string }

func (*validateCommand) Name() string     { return "validate" }
func (*validateCommand) Synopsis() string { return "check a settings file" }
func (*validateCommand) Usage() string    { return "validate -settings FILE: check a settings file\n" }
func (c *validateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", platform.SettingsFile(), "settings file")
}

func (c *validateCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := settings.LoadCoordinator(c.file); err != nil {
		fmt.Fprintln(os.Stderr, "gp-coordinator:", err)
		return subcommands.ExitUsageError
	}
	fmt.Println(c.file, "is valid")
	return subcommands.ExitSuccess
}

type defaultsCommand struct{}

func (*defaultsCommand) Name() string           { return "defaults" }
func (*defaultsCommand) Synopsis() string       { return "print the default settings" }
func (*defaultsCommand) Usage() string          { return "defaults: print the default settings\n" }
func (*defaultsCommand) SetFlags(*flag.FlagSet) {}

func (*defaultsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	out, err := json.MarshalIndent(settings.DefaultCoordinator(), "", "  ")
	if err != nil {
		fmt.Fprintln(os.Stderr, "gp-coordinator:", err)
		return subcommands.ExitFailure
	}
	fmt.Println(string(out))
	return subcommands.ExitSuccess
}
