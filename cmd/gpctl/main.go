// Command gpctl is the command-line client of the operators' API.
//
// The exit status is 0 on success, 1 if a change or a file was refused, status
// found faults, explain found no line or another error occurred, 2 on invalid
// usage, 3 if no control instance served the request and nothing was changed, and
// 4 if the outcome of a change is unknown.
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

// Exit statuses in addition to those of package subcommands.
const (
	exitRefused        = subcommands.ExitFailure
	exitUnavailable    = subcommands.ExitStatus(3)
	exitOutcomeUnknown = subcommands.ExitStatus(4)
)

var (
	controlFlag = flag.String("control", os.Getenv("GPCTL_CONTROL"),
		"operator addresses of control instances as URLs, separated by commas (default $GPCTL_CONTROL)")
	keyFileFlag = flag.String("key-file", "", "file with the operator's key (default: the key in $GPCTL_KEY)")
	timeoutFlag = flag.Duration("timeout", 30*time.Second, "timeout of a command, including all retries")
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(instance.VersionCommand{}, "")
	for _, c := range []subcommands.Command{
		&getCommand{}, &diffCommand{}, &applyCommand{}, &validateCommand{}, &auditCommand{}, &statusCommand{}, &hashKeyCommand{},
		&explainCommand{}, &rolloutCommand{}, &whereCommand{},
	} {
		subcommands.Register(c, "")
	}
	subcommands.ImportantFlag("control")
	subcommands.ImportantFlag("key-file")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// newClient returns a client for the addresses and the key given by flags or environment
// variables.
func newClient() (*client, error) {
	if *controlFlag == "" {
		return nil, &usageError{eris.New("-control: must list at least one address")}
	}
	key := os.Getenv("GPCTL_KEY")
	if *keyFileFlag != "" {
		raw, err := os.ReadFile(*keyFileFlag)
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

// usageError is an error in the command-line arguments.
type usageError struct{ error }

// reportUsageError prints an error in the command-line arguments.
func reportUsageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "gpctl:", err)
	return subcommands.ExitUsageError
}

// reportError prints an error, if there is one, and returns its exit status.
func reportError(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, "gpctl:", err)
	return exitStatus(err)
}
