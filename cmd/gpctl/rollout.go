package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/platform"
)

// rolloutAttemptTimeout bounds one request to one coordinator, which responds within 0.9 s.
const rolloutAttemptTimeout = 2 * time.Second

// rolloutCommand groups the commands for rollouts.
type rolloutCommand struct{}

func (*rolloutCommand) Name() string     { return "rollout" }
func (*rolloutCommand) Synopsis() string { return "move a service to a new version" }
func (*rolloutCommand) Usage() string {
	return `rollout begin|status [flags]: move a service to a new version

Example: gpctl rollout begin -coordinator 10.1.0.22:8080 -service app -to v2 -duration 60s
Example: gpctl rollout status -coordinator 10.1.0.22:8080 -service app
`
}
func (*rolloutCommand) SetFlags(*flag.FlagSet) {}

func (*rolloutCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, "gpctl rollout")
	commander.Register(&rolloutBeginCommand{}, "")
	commander.Register(&rolloutStatusCommand{}, "")
	return commander.Execute(ctx)
}

// rolloutFlags are the flags of both commands.
type rolloutFlags struct{ coordinators, service string }

func (r *rolloutFlags) set(f *flag.FlagSet) {
	f.StringVar(&r.coordinators, "coordinator", os.Getenv("GPCTL_COORDINATOR"),
		"operator addresses of coordinators as URLs, separated by commas (default $GPCTL_COORDINATOR)")
	f.StringVar(&r.service, "service", "", "name of the service")
}

// check returns the addresses of the coordinators.
func (r *rolloutFlags) check() ([]string, error) {
	if r.coordinators == "" {
		return nil, eris.New("-coordinator: must list at least one address")
	}
	if r.service == "" {
		return nil, eris.New("-service: must be set")
	}
	var addresses []string
	for _, address := range strings.Split(r.coordinators, ",") {
		address = strings.TrimSuffix(strings.TrimSpace(address), "/")
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// rolloutCall is one call to a coordinator.
type rolloutCall func(ctx context.Context, address string) (platform.RolloutReply, error)

// callCoordinators calls each address in turn until one gives a final response or ctx ends. An order may be
// repeated: an identical one changes nothing.
func callCoordinators(ctx context.Context, addresses []string, call rolloutCall) (platform.RolloutReply, error) {
	exhausted := &retriesExhaustedError{lastErr: errors.New("no request was sent")}
	for {
		for _, address := range addresses {
			attemptCtx, cancel := context.WithTimeout(ctx, rolloutAttemptTimeout)
			reply, err := call(attemptCtx, address)
			cancel()
			if err == nil && reply.Status < http.StatusInternalServerError {
				return reply, nil
			}
			if err == nil {
				err = fmt.Errorf("%s: status %d: %s", address, reply.Status, reply.Message)
			}
			var opErr *net.OpError
			exhausted.outcomeUnknown = exhausted.outcomeUnknown || !(errors.As(err, &opErr) && opErr.Op == "dial")
			exhausted.lastErr = err
		}
		select {
		case <-ctx.Done():
			return platform.RolloutReply{}, exhausted
		case <-time.After(retryDelay):
		}
	}
}

// rolloutResult returns the exit status of a call, and prints a refusal or an error.
func rolloutResult(reply platform.RolloutReply, err error, changes bool) subcommands.ExitStatus {
	var exhausted *retriesExhaustedError
	if errors.As(err, &exhausted) {
		fmt.Fprintln(os.Stderr, "gpctl:", exhausted.lastErr)
		if changes && exhausted.outcomeUnknown {
			fmt.Fprintln(os.Stderr, "gpctl: the order may still be accepted; repeat it, or read its state")
			return exitOutcomeUnknown
		}
		return exitUnavailable
	}
	if reply.Status != http.StatusOK {
		return reportError(fmt.Errorf("refused (%d): %s", reply.Status, reply.Message))
	}
	return subcommands.ExitSuccess
}

type rolloutBeginCommand struct {
	flags    rolloutFlags
	version  string
	duration time.Duration
}

func (*rolloutBeginCommand) Name() string     { return "begin" }
func (*rolloutBeginCommand) Synopsis() string { return "order a rollout" }
func (*rolloutBeginCommand) Usage() string {
	return "begin -coordinator ADDRESSES -service NAME -to VERSION -duration TIME: move the traffic of a service to servers of a version\n"
}

func (c *rolloutBeginCommand) SetFlags(f *flag.FlagSet) {
	c.flags.set(f)
	f.StringVar(&c.version, "to", "", "version to move the traffic to; its servers must run")
	f.DurationVar(&c.duration, "duration", 0, "time limit of the rollout")
}

func (c *rolloutBeginCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	addresses, err := c.flags.check()
	if err == nil && c.version == "" {
		err = eris.New("-to: must be set")
	}
	if err == nil && c.duration <= 0 {
		err = eris.New("-duration: must be above 0")
	}
	if err != nil {
		return reportUsageError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, *timeoutFlag)
	defer cancel()
	reply, err := callCoordinators(ctx, addresses, func(ctx context.Context, address string) (platform.RolloutReply, error) {
		return platform.OrderRollout(ctx, httpClient, address, c.flags.service, c.version, c.duration)
	})
	status := rolloutResult(reply, err, true)
	if status == subcommands.ExitSuccess {
		fmt.Println("accepted")
	}
	return status
}

type rolloutStatusCommand struct{ flags rolloutFlags }

func (*rolloutStatusCommand) Name() string     { return "status" }
func (*rolloutStatusCommand) Synopsis() string { return "print the state of a rollout" }
func (*rolloutStatusCommand) Usage() string {
	return "status -coordinator ADDRESSES -service NAME: print the state of the latest rollout of a service and its version\n"
}

func (c *rolloutStatusCommand) SetFlags(f *flag.FlagSet) { c.flags.set(f) }

func (c *rolloutStatusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	addresses, err := c.flags.check()
	if err != nil {
		return reportUsageError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, *timeoutFlag)
	defer cancel()
	reply, err := callCoordinators(ctx, addresses, func(ctx context.Context, address string) (platform.RolloutReply, error) {
		return platform.ReadRolloutState(ctx, httpClient, address, c.flags.service)
	})
	status := rolloutResult(reply, err, false)
	if status == subcommands.ExitSuccess {
		fmt.Println(reply.State, reply.Version)
	}
	return status
}
