// Command gp-load sends requests for generations and plain calls to entry instances,
// checks each response and reports outcomes and latencies as JSON.
//
// The exit status is 0 if no guarantee was broken, 1 if one was or the report could
// not be written, and 2 on invalid usage.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// options holds the values of the command-line arguments.
type options struct {
	entries           []string
	callers           []caller
	model             string
	service           string
	orderPath         string
	readPath          string
	requestsPerSecond float64
	sendDuration      time.Duration
	gracePeriod       time.Duration
	maxInFlight       int
	ordersPercent     int
	readsPercent      int
	urgentPercent     int
	promptBytes       int
	minTokens         int
	maxTokens         int
	verifyTokens      bool
	executionFiles    string
	seed              uint64
}

// caller is an organisation and the API key that it authenticates with.
type caller struct{ organisation, key string }

func main() {
	o, err := parseArguments(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "gp-load:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	result := run(ctx, o)
	stop()
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil || result.ViolationCount > 0 {
		os.Exit(1)
	}
}

// parseArguments returns the options given by the command-line arguments.
func parseArguments(args []string) (options, error) {
	var o options
	var entryList, callerList, tokenRange string
	f := flag.NewFlagSet("gp-load", flag.ContinueOnError)
	f.StringVar(&entryList, "entry", "", "caller addresses of entry instances (IP:PORT), separated by commas")
	f.StringVar(&callerList, "caller", "", "ORGANISATION=KEY, separated by commas; one that is listed twice sends twice as many requests")
	f.StringVar(&o.model, "model", "", "model of the generations")
	f.StringVar(&o.service, "service", "", "service of the plain calls")
	f.StringVar(&o.orderPath, "order-path", "orders", "path of the calls that are not idempotent (POST)")
	f.StringVar(&o.readPath, "read-path", "stock", "path of the idempotent calls (GET)")
	f.Float64Var(&o.requestsPerSecond, "rate", 10, "requests per second, independent of response times")
	f.DurationVar(&o.sendDuration, "duration", 10*time.Second, "time during which requests are sent")
	f.DurationVar(&o.gracePeriod, "grace", 60*time.Second, "time after -duration within which unfinished requests must end")
	f.IntVar(&o.maxInFlight, "in-flight", 2000, "maximum number of requests in flight; a request above it is not sent but counted")
	f.IntVar(&o.ordersPercent, "orders-percent", 0, "percentage of requests that are calls with a one-time key")
	f.IntVar(&o.readsPercent, "reads-percent", 0, "percentage of requests that are idempotent calls")
	f.IntVar(&o.urgentPercent, "urgent-percent", 50, "percentage of requests that are urgent; the others are patient")
	f.IntVar(&o.promptBytes, "prompt-bytes", 200, "size of a prompt in bytes")
	f.StringVar(&tokenRange, "tokens", "20-200", "minimum and maximum number of tokens of a generation")
	f.BoolVar(&o.verifyTokens, "verify", true, "check that the tokens are the ones that a stand-in engine generates")
	f.StringVar(&o.executionFiles, "executions", "", "execution files of the stand-in services, separated by commas, to compare with the outcomes")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the random choice of requests")
	if err := f.Parse(args); err != nil {
		return o, err
	}
	o.entries = strings.Split(entryList, ",")
	for part := range strings.SplitSeq(callerList, ",") {
		organisation, key, ok := strings.Cut(part, "=")
		if !ok || organisation == "" || key == "" {
			return o, fmt.Errorf("-caller: %q is not ORGANISATION=KEY", part)
		}
		o.callers = append(o.callers, caller{organisation, key})
	}
	if _, err := fmt.Sscanf(tokenRange, "%d-%d", &o.minTokens, &o.maxTokens); err != nil || o.minTokens < 1 || o.maxTokens < o.minTokens {
		return o, fmt.Errorf("-tokens: %q is not MINIMUM-MAXIMUM", tokenRange)
	}
	return o, o.validate(entryList)
}

// validate returns an error for the first invalid option. entryList is the value of -entry.
func (o options) validate(entryList string) error {
	switch {
	case entryList == "":
		return fmt.Errorf("-entry must be set")
	case o.ordersPercent < 0 || o.readsPercent < 0 || o.ordersPercent+o.readsPercent > 100:
		return fmt.Errorf("-orders-percent and -reads-percent must not be negative or exceed 100 in total")
	case o.ordersPercent+o.readsPercent > 0 && o.service == "":
		return fmt.Errorf("-service must be set for plain calls")
	case o.ordersPercent+o.readsPercent < 100 && o.model == "":
		return fmt.Errorf("-model must be set for generations")
	case o.requestsPerSecond <= 0 || o.maxInFlight < 1 || o.promptBytes < 1:
		return fmt.Errorf("-rate, -in-flight and -prompt-bytes must be above 0")
	}
	return nil
}
