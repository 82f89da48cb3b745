// Command gp-load sends generations and plain calls to entry instances, checks
// each answer and reports outcomes and latencies as JSON.
//
// Exit codes: 0 when no guarantee was broken, 1 when one was, 2 for faulty
// arguments.
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

// options is what the arguments ask for.
type options struct {
	entries    []string
	callers    []caller
	model      string
	service    string
	orderPath  string
	readPath   string
	rate       float64
	duration   time.Duration
	grace      time.Duration
	inFlight   int
	orders     int
	reads      int
	urgent     int
	promptSize int
	minTokens  int
	maxTokens  int
	verify     bool
	executions string
	seed       uint64
}

// caller is one organisation with its key.
type caller struct{ organisation, key string }

func main() {
	o, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "gp-load:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	r := run(ctx, o)
	stop()
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil || r.ViolationCount > 0 {
		os.Exit(1)
	}
}

func parse(args []string) (options, error) {
	var o options
	var entries, callers, tokens string
	f := flag.NewFlagSet("gp-load", flag.ContinueOnError)
	f.StringVar(&entries, "entry", "", "caller addresses of entry instances (IP:PORT), separated by commas")
	f.StringVar(&callers, "caller", "", "ORGANISATION=KEY, separated by commas; one named twice sends twice as much")
	f.StringVar(&o.model, "model", "", "model of the generations")
	f.StringVar(&o.service, "service", "", "service of the plain calls")
	f.StringVar(&o.orderPath, "order-path", "orders", "path of the calls that are not idempotent (POST)")
	f.StringVar(&o.readPath, "read-path", "stock", "path of the idempotent calls (GET)")
	f.Float64Var(&o.rate, "rate", 10, "requests a second, whatever the answers take")
	f.DurationVar(&o.duration, "duration", 10*time.Second, "time during which requests are sent")
	f.DurationVar(&o.grace, "grace", 60*time.Second, "time that unfinished requests get after that")
	f.IntVar(&o.inFlight, "in-flight", 2000, "most requests in flight; more are counted as not sent")
	f.IntVar(&o.orders, "orders-percent", 0, "requests that are calls with a one-time key")
	f.IntVar(&o.reads, "reads-percent", 0, "requests that are idempotent calls")
	f.IntVar(&o.urgent, "urgent-percent", 50, "requests that are urgent; the others are patient")
	f.IntVar(&o.promptSize, "prompt-bytes", 200, "size of a prompt")
	f.StringVar(&tokens, "tokens", "20-200", "least and most tokens of a generation")
	f.BoolVar(&o.verify, "verify", true, "check that the tokens are those of the stand-in engine")
	f.StringVar(&o.executions, "executions", "", "files of executions of the stand-in services, separated by commas, to compare with the outcomes")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the mix of requests")
	if err := f.Parse(args); err != nil {
		return o, err
	}
	o.entries = strings.Split(entries, ",")
	for part := range strings.SplitSeq(callers, ",") {
		organisation, key, ok := strings.Cut(part, "=")
		if !ok || organisation == "" || key == "" {
			return o, fmt.Errorf("-caller: %q is not ORGANISATION=KEY", part)
		}
		o.callers = append(o.callers, caller{organisation, key})
	}
	if _, err := fmt.Sscanf(tokens, "%d-%d", &o.minTokens, &o.maxTokens); err != nil || o.minTokens < 1 || o.maxTokens < o.minTokens {
		return o, fmt.Errorf("-tokens: %q is not LEAST-MOST", tokens)
	}
	return o, o.check(entries)
}

func (o options) check(entries string) error {
	switch {
	case entries == "":
		return fmt.Errorf("-entry must be set")
	case o.orders < 0 || o.reads < 0 || o.orders+o.reads > 100:
		return fmt.Errorf("-orders-percent and -reads-percent must not exceed 100 together")
	case o.orders+o.reads > 0 && o.service == "":
		return fmt.Errorf("-service must be set for plain calls")
	case o.orders+o.reads < 100 && o.model == "":
		return fmt.Errorf("-model must be set for generations")
	case o.rate <= 0 || o.inFlight < 1 || o.promptSize < 1:
		return fmt.Errorf("-rate, -in-flight and -prompt-bytes must be above 0")
	}
	return nil
}
