// Command gpctl is the operators' command line.
//
// The exit status is 0 on success, 1 when a change or a file was refused, 2 on
// wrong usage, 3 when no control instance did what was asked and nothing was
// changed, and 4 when a change may still be accepted.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/instance"
)

// Exit statuses beyond those of subcommands.
const (
	exitRefused     = subcommands.ExitFailure
	exitUnavailable = subcommands.ExitStatus(3)
	exitUnknown     = subcommands.ExitStatus(4)
)

var (
	controlFlag = flag.String("control", os.Getenv("GPCTL_CONTROL"),
		"operator addresses of control instances as URLs, separated by commas (default $GPCTL_CONTROL)")
	keyFlag     = flag.String("key-file", "", "file with the operator's key (default: the key in $GPCTL_KEY)")
	timeoutFlag = flag.Duration("timeout", 30*time.Second, "time for all attempts together")
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(instance.VersionCommand{}, "")
	for _, c := range []subcommands.Command{
		&getCommand{}, &diffCommand{}, &applyCommand{}, &validateCommand{}, &auditCommand{}, &statusCommand{}, &hashKeyCommand{},
		&explainCommand{},
	} {
		subcommands.Register(c, "")
	}
	subcommands.ImportantFlag("control")
	subcommands.ImportantFlag("key-file")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := subcommands.Execute(ctx)
	stop()
	os.Exit(int(code))
}

// newClient returns a client with the addresses and the key of the flags.
func newClient() (*client, error) {
	if *controlFlag == "" {
		return nil, &usageError{eris.New("-control: must list at least one address")}
	}
	key := os.Getenv("GPCTL_KEY")
	if *keyFlag != "" {
		raw, err := os.ReadFile(*keyFlag)
		if err != nil {
			return nil, &usageError{eris.Wrap(err, "-key-file")}
		}
		key = string(raw)
	}
	c := &client{key: strings.TrimSpace(key)}
	for _, address := range strings.Split(*controlFlag, ",") {
		address = strings.TrimSuffix(strings.TrimSpace(address), "/")
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		c.addresses = append(c.addresses, address)
	}
	return c, nil
}

// usageError is an error of the arguments.
type usageError struct{ error }

// usage prints an error of the arguments.
func usage(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "gpctl:", err)
	return subcommands.ExitUsageError
}

// report prints an error and returns its exit status.
func report(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, "gpctl:", err)
	return statusOf(err)
}
