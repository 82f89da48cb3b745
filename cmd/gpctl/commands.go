package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/fleetstatus"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
)

// get sends a GET request to the operators' API, with retries until -timeout has passed.
func get(ctx context.Context, path string) ([]byte, error) {
	client, err := newClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, *timeoutFlag)
	defer cancel()
	return client.call(ctx, http.MethodGet, path, nil)
}

// printJSON prints a JSON response with indentation, or reports err.
func printJSON(raw []byte, err error) subcommands.ExitStatus {
	if err != nil {
		return reportError(err)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, raw, "", "  "); err != nil {
		return reportError(err)
	}
	fmt.Println(indented.String())
	return subcommands.ExitSuccess
}

// readDocument reads a configuration document and also returns its bytes.
func readDocument(file string) (*document.Document, []byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, eris.Wrap(err, "-file")
	}
	doc := document.Empty()
	return doc, raw, settings.Decode(file, raw, doc)
}

type getCommand struct{ stale bool }

func (*getCommand) Name() string     { return "get" }
func (*getCommand) Synopsis() string { return "print the configuration in force" }
func (*getCommand) Usage() string    { return "get [-stale]: print the configuration in force\n" }
func (c *getCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.stale, "stale", false, "read the version that one instance has applied, which may be outdated")
}

func (c *getCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.stale {
		return printJSON(get(ctx, "/v1/config?stale=1"))
	}
	return printJSON(get(ctx, "/v1/config"))
}

type diffCommand struct{ file string }

func (*diffCommand) Name() string     { return "diff" }
func (*diffCommand) Synopsis() string { return "print the changes that a file would make" }
func (*diffCommand) Usage() string {
	return "diff -file FILE: print the ops that turn the configuration in force into FILE\n"
}
func (c *diffCommand) SetFlags(f *flag.FlagSet) { f.StringVar(&c.file, "file", "", "target document") }

func (c *diffCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	target, _, err := readDocument(c.file)
	if err != nil {
		return reportUsageError(err)
	}
	body, err := get(ctx, "/v1/config")
	if err != nil {
		return reportError(err)
	}
	current := document.Empty()
	if err := json.Unmarshal(body, current); err != nil {
		return reportError(eris.Wrap(err, "decode the configuration in force"))
	}
	ops, err := document.Diff(current, target)
	if err != nil {
		return reportError(err)
	}
	fmt.Printf("base %d, %d ops\n", current.Version, len(ops))
	for _, op := range ops {
		if len(op.Value) == 0 {
			fmt.Printf("delete %s/%s\n", op.Section, op.Name)
		} else {
			fmt.Printf("set    %s/%s %s\n", op.Section, op.Name, op.Value)
		}
	}
	return subcommands.ExitSuccess
}

type applyCommand struct{ file, base, changeID string }

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "put a file in force" }
func (*applyCommand) Usage() string {
	return "apply -file FILE -base VERSION [-change-id ID]: put FILE in force if VERSION is still in force\n"
}
func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "file", "", "proposed document")
	f.StringVar(&c.base, "base", "", "version that the file is based on")
	f.StringVar(&c.changeID, "change-id", "", "identifier of the change, the same for each retry (default: a random one)")
}

func (c *applyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := strconv.ParseUint(c.base, 10, 64); err != nil {
		return reportUsageError(eris.New("-base: must be a version number"))
	}
	proposed, raw, err := readDocument(c.file)
	if err != nil {
		return reportUsageError(err)
	}
	if faults := proposed.Validate(); len(faults) > 0 {
		return printFaults(c.file, faults)
	}
	if c.changeID == "" {
		c.changeID = rand.Text()
	}
	fmt.Fprintln(os.Stderr, "change-id", c.changeID)
	client, err := newClient()
	if err != nil {
		return reportUsageError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, *timeoutFlag)
	defer cancel()
	query := url.Values{"base": {c.base}, "change_id": {c.changeID}}
	return printJSON(client.call(ctx, http.MethodPut, "/v1/config?"+query.Encode(), raw))
}

type validateCommand struct{ file string }

func (*validateCommand) Name() string     { return "validate" }
func (*validateCommand) Synopsis() string { return "check a file without a control instance" }
func (*validateCommand) Usage() string    { return "validate -file FILE: check a document\n" }
func (c *validateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "file", "", "document to check")
}

func (c *validateCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	doc, _, err := readDocument(c.file)
	if err != nil {
		return reportError(err)
	}
	if faults := doc.Validate(); len(faults) > 0 {
		return printFaults(c.file, faults)
	}
	fmt.Println(c.file, "is valid")
	return subcommands.ExitSuccess
}

// printFaults prints the faults of a document and returns the exit status of a refusal.
func printFaults(file string, faults []document.Fault) subcommands.ExitStatus {
	for _, fault := range faults {
		fmt.Fprintf(os.Stderr, "%s: %s\n", file, fault)
	}
	return exitRefused
}

type auditCommand struct{ after, limit uint64 }

func (*auditCommand) Name() string     { return "audit" }
func (*auditCommand) Synopsis() string { return "print the audit trail" }
func (*auditCommand) Usage() string    { return "audit [-after SEQ] [-limit N]: print audit entries\n" }
func (c *auditCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.after, "after", 0, "print entries after this sequence number")
	f.Uint64Var(&c.limit, "limit", 1000, "print at most this many entries")
}

func (c *auditCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return printJSON(get(ctx, fmt.Sprintf("/v1/audit?after=%d&limit=%d", c.after, c.limit)))
}

type statusCommand struct {
	metrics string
	json    bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "print the state of all instances" }
func (*statusCommand) Usage() string {
	return `status [-metrics HOST:PORT/PATH,...] [-json]: print the state of each instance

Without -metrics, it queries the control instances of -control. With -metrics, it reads the
metrics of gateways and coordinators and reports faults: a process that does not respond,
a revision that is behind, no leader. The exit status is 1 if there are any.

Example: gpctl status -metrics 10.1.0.19:9464/metrics,10.1.0.22:9464/metrics
`
}

func (s *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.metrics, "metrics", "", "metrics addresses of gateways and coordinators, separated by commas")
	f.BoolVar(&s.json, "json", false, "with -metrics, print a JSON array")
}

// printDeployment prints the state of gateways and coordinators, as read from their metrics.
func (s *statusCommand) printDeployment(ctx context.Context) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, min(*timeoutFlag, fleetstatus.CollectTimeout))
	defer cancel()
	processes := fleetstatus.Collect(ctx, strings.Split(s.metrics, ","))
	status := subcommands.ExitSuccess
	if s.json {
		out, err := json.Marshal(processes)
		status = printJSON(out, err)
	} else if err := fleetstatus.Write(os.Stdout, processes); err != nil {
		return reportError(err)
	}
	if status == subcommands.ExitSuccess && len(fleetstatus.Faults(processes)) > 0 {
		return exitRefused
	}
	return status
}

func (s *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s.metrics != "" {
		return s.printDeployment(ctx)
	}
	client, err := newClient()
	if err != nil {
		return reportUsageError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, *timeoutFlag)
	defer cancel()
	responded := 0
	for _, address := range client.addresses {
		body, _, err := client.attempt(ctx, http.MethodGet, address+"/v1/status", nil)
		if err != nil {
			fmt.Printf("%s: %v\n", address, err)
			continue
		}
		responded++
		fmt.Printf("%s: %s", address, body)
	}
	if responded == 0 {
		return exitUnavailable
	}
	return subcommands.ExitSuccess
}

type hashKeyCommand struct{}

func (*hashKeyCommand) Name() string     { return "hash-key" }
func (*hashKeyCommand) Synopsis() string { return "print the hash of a key" }
func (*hashKeyCommand) Usage() string {
	return "hash-key < FILE: print the SHA-256 hash of the key on standard input, for settings and documents\n"
}
func (*hashKeyCommand) SetFlags(*flag.FlagSet) {}

func (*hashKeyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	raw, err := io.ReadAll(io.LimitReader(os.Stdin, 64<<10))
	key := bytes.TrimSpace(raw)
	if err == nil && len(key) == 0 {
		err = eris.New("the key is empty")
	}
	if err != nil {
		return reportError(err)
	}
	fmt.Println(document.HashKey(string(key)))
	return subcommands.ExitSuccess
}
