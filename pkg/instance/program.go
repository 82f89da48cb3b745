package instance

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// Program is the command line of a process that is configured by a settings file
// of type T.
type Program[T any] struct {
	// Name is the name of the binary. Description describes the process that it runs,
	// such as "a gateway".
	Name, Description string
	// SettingsFile is the default settings file.
	SettingsFile string
	// Load reads and validates a settings file. Default returns the default settings.
	Load    func(file string) (T, error)
	Default func() T
	// InstanceID returns the identifier of the instance for log lines.
	InstanceID func(T) string
	// Run runs the process until ctx ends.
	Run func(ctx context.Context, file string, settings T, log *slog.Logger) error
}

// Main runs the subcommand in the arguments and returns the exit status: 0 after a
// planned stop, 1 after a failure, 2 for invalid arguments or settings.
func (p Program[T]) Main() int {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&command{
		name: "run", synopsis: "run " + p.Description, file: &p.SettingsFile,
		usage: fmt.Sprintf("run [-settings FILE]: run %s until SIGTERM\n\nExample: %s run -settings settings.json\n", p.Description, p.Name),
		run:   p.run,
	}, "")
	subcommands.Register(&command{
		name: "validate", synopsis: "check a settings file", file: &p.SettingsFile,
		usage: "validate [-settings FILE]: check a settings file and report all faults\n", run: p.validate,
	}, "")
	subcommands.Register(&command{
		name: "defaults", synopsis: "print the default settings", usage: "defaults: print the default settings\n", run: p.defaults,
	}, "")
	subcommands.Register(VersionCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return int(subcommands.Execute(ctx))
}

func (p *Program[T]) run(ctx context.Context) subcommands.ExitStatus {
	s, err := p.Load(p.SettingsFile)
	if err != nil {
		return p.reportInvalid(err)
	}
	if runLogged(p.InstanceID(s), func(log *slog.Logger) error { return p.Run(ctx, p.SettingsFile, s, log) }) != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (p *Program[T]) validate(context.Context) subcommands.ExitStatus {
	if _, err := p.Load(p.SettingsFile); err != nil {
		return p.reportInvalid(err)
	}
	fmt.Println(p.SettingsFile, "is valid")
	return subcommands.ExitSuccess
}

func (p *Program[T]) defaults(context.Context) subcommands.ExitStatus {
	encoded, err := json.MarshalIndent(p.Default(), "", "  ")
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return subcommands.ExitFailure
	}
	fmt.Println(string(encoded))
	return subcommands.ExitSuccess
}

// reportInvalid prints an error in the settings and returns the exit status for it.
func (p *Program[T]) reportInvalid(err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
	return subcommands.ExitUsageError
}

// command implements one subcommand of a program.
type command struct {
	name, synopsis, usage string
	// file is set by the flag -settings. It is nil for commands without settings.
	file *string
	run  func(context.Context) subcommands.ExitStatus
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }
func (c *command) Usage() string    { return c.usage }

func (c *command) SetFlags(f *flag.FlagSet) {
	if c.file != nil {
		f.StringVar(c.file, "settings", *c.file, "settings file")
	}
}

func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx)
}
