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

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/console"
	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/orders"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
	"github.com/geraniumpitch/geraniumpitch/pkg/wal"
)

// stopTimeout bounds a planned stop, which waits for operators' requests; these are short.
const stopTimeout = 15 * time.Second

type runCommand struct{ file string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run a control instance" }
func (*runCommand) Usage() string {
	return "run -settings FILE: run a control instance until SIGTERM\n"
}
func (c *runCommand) SetFlags(f *flag.FlagSet) { f.StringVar(&c.file, "settings", "", "settings file") }

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := settings.LoadControl(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gp-control:", err)
		return subcommands.ExitUsageError
	}
	log := telemetry.NewLogger(os.Stderr, s.Instance.ID)
	if err := run(ctx, s, log); err != nil {
		log.Error("the control instance failed", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run runs a control instance until ctx ends or its consensus log cannot be written.
func run(ctx context.Context, s settings.Control, log *slog.Logger) error {
	tlsConfig, err := s.TLS.Config()
	if err != nil {
		return err
	}
	if tlsConfig == nil {
		log.Warn("mutual TLS between processes is disabled: use this for tests only")
	}
	metrics, err := telemetry.New()
	if err != nil {
		return err
	}
	counters := &rpc.Counters{}
	if err := telemetry.RegisterPeerBytes(metrics.Meter("rpc"), counters.Sent.Load, counters.Received.Load); err != nil {
		return err
	}
	dialer := rpc.NewDialer(tlsConfig, counters)
	defer dialer.Close()
	if err := dialer.BindSource(s.PeerAddress); err != nil {
		return err
	}
	controlService := control.New(s, dialer, rpc.NewServer(tlsConfig, counters, log), metrics, openStore)
	operatorConsole := console.New(controlService, func(key string) (string, bool) { return controlService.Auth().Operator(key) })
	controlService.Mount(console.Prefix, operatorConsole.Handler())
	k := kernel.New(log)
	if err := k.Register(controlService); err != nil {
		return err
	}
	if len(s.Entries) > 0 {
		source, err := rpc.SourceAddr(s.PeerAddress)
		if err != nil {
			return err
		}
		orderService, err := orders.NewService(s, func() orders.ControlNode { return controlService.Node() }, dialer, engine.NewClient(source), metrics.Meter("orders"), log)
		if err != nil {
			return err
		}
		if err := k.Register(orderService); err != nil {
			return err
		}
	}
	if err := k.Start(ctx); err != nil {
		return err
	}
	log.Info("control instance started", "peer_address", s.PeerAddress, "operator_address", s.OperatorAddress)
	var runErr error
	select {
	case <-ctx.Done():
	case <-controlService.Failed():
		runErr = fmt.Errorf("the consensus log in %s cannot be written", s.DataFolder)
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	k.Stop(stopCtx)
	log.Info("control instance stopped")
	return runErr
}

// openStore opens the consensus log in folder. It returns the log, the state stored in it
// and the identity of the disk.
func openStore(folder string) (control.Store, consensus.StoredState, consensus.DiskID, error) {
	store, stored, diskID, err := wal.Open(folder)
	if err != nil {
		return nil, consensus.StoredState{}, "", err
	}
	return store, stored, diskID, nil
}

type validateCommand struct{ file string }

func (*validateCommand) Name() string     { return "validate" }
func (*validateCommand) Synopsis() string { return "check a settings file" }
func (*validateCommand) Usage() string    { return "validate -settings FILE: check a settings file\n" }
func (c *validateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings file")
}

func (c *validateCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	s, err := settings.LoadControl(c.file)
	if err == nil {
		_, err = control.NewAuth(s.Operators)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "gp-control:", err)
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
	out, err := json.MarshalIndent(settings.DefaultControl(), "", "  ")
	if err != nil {
		fmt.Fprintln(os.Stderr, "gp-control:", err)
		return subcommands.ExitFailure
	}
	fmt.Println(string(out))
	return subcommands.ExitSuccess
}
