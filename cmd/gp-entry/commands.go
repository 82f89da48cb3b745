package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/geraniumpitch/geraniumpitch/pkg/instance"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
)

const settingsUsage = "settings file, JSON with comments"

// loadSettings reads a settings file. It prints all faults of the file and returns the exit
// status.
func loadSettings(file string) (settings.Entry, subcommands.ExitStatus) {
	s, err := settings.LoadEntry(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return s, subcommands.ExitUsageError
	}
	return s, subcommands.ExitSuccess
}

type runCommand struct{ file string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run an entry instance until SIGTERM" }
func (*runCommand) Usage() string {
	return "gp-entry run -settings FILE\n\nExample: gp-entry run -settings examples/kerlavand/entry-quimper-1.json\n"
}
func (c *runCommand) SetFlags(f *flag.FlagSet) { f.StringVar(&c.file, "settings", "", settingsUsage) }

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, status := loadSettings(c.file)
	if status != subcommands.ExitSuccess {
		return status
	}
	log := telemetry.NewLogger(os.Stderr, s.Instance.ID)
	if err := instance.RunEntry(ctx, s, log); err != nil && !errors.Is(err, context.Canceled) {
		log.Error("the entry instance failed", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

type validateCommand struct{ file string }

func (*validateCommand) Name() string     { return "validate" }
func (*validateCommand) Synopsis() string { return "check a settings file and report all faults" }
func (*validateCommand) Usage() string    { return "gp-entry validate -settings FILE\n" }
func (c *validateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", settingsUsage)
}

func (c *validateCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, status := loadSettings(c.file)
	if status == subcommands.ExitSuccess {
		fmt.Println("the settings are valid")
	}
	return status
}

type defaultsCommand struct{}

func (*defaultsCommand) Name() string           { return "defaults" }
func (*defaultsCommand) Synopsis() string       { return "print the default settings" }
func (*defaultsCommand) Usage() string          { return "gp-entry defaults\n" }
func (*defaultsCommand) SetFlags(*flag.FlagSet) {}

func (*defaultsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(settings.DefaultEntry()); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
