package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// maxWhereBytes bounds the answer of a gateway, which lists some 60 candidates of 300 bytes.
const maxWhereBytes = 1 << 20

type whereCommand struct {
	gateway, route, service, session string
	promptTokens, outputTokens       int
	json                             bool
	output                           io.Writer
}

func (*whereCommand) Name() string { return "where" }
func (*whereCommand) Synopsis() string {
	return "show where a gateway would send a request now, and why"
}
func (*whereCommand) Usage() string {
	return `where -gateway ADDRESS -route NAME [flags]: show where a gateway would send a request now, and why

ADDRESS is the address of the gateway for readiness checks. Nothing is sent to a backend server, and no
place is taken. The candidates are listed from the best to the worst, with what is known of their speed.
The exit status is 1 if the gateway does not answer or does not know the route.

Example: gpctl where -gateway 127.10.1.1:7300 -route chat -prompt-tokens 8200 -output-tokens 1100
`
}

func (c *whereCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.gateway, "gateway", "", "address of the gateway for readiness checks")
	f.StringVar(&c.route, "route", "", "name of the route")
	f.StringVar(&c.service, "service", "", "service of the route (default: its first one)")
	f.StringVar(&c.session, "session", "", "last part of the prompt, which identifies the session")
	f.IntVar(&c.promptTokens, "prompt-tokens", 0, "size of the prompt, 0 if unknown")
	f.IntVar(&c.outputTokens, "output-tokens", 0, "size of the output, 0 if unknown")
	f.BoolVar(&c.json, "json", false, "print the answer of the gateway as JSON")
}

// whereAnswer is the answer of a gateway.
type whereAnswer struct {
	Route   string `json:"route"`
	Service string `json:"service"`
	placement.Decision
}

func (c *whereCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.gateway == "" || c.route == "" || f.NArg() > 0 {
		return reportUsageError(eris.New("where: -gateway and -route are required"))
	}
	ctx, cancel := context.WithTimeout(ctx, *timeoutFlag)
	defer cancel()
	raw, err := c.ask(ctx)
	if err != nil || c.json {
		return printJSON(raw, err)
	}
	var answer whereAnswer
	if err := json.Unmarshal(raw, &answer); err != nil {
		return reportError(eris.Wrap(err, "where: decode the answer of the gateway"))
	}
	output := c.output
	if output == nil {
		output = os.Stdout
	}
	return reportError(writeWhere(output, answer))
}

// ask returns the answer of the gateway.
func (c *whereCommand) ask(ctx context.Context) ([]byte, error) {
	address := c.gateway
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	query := url.Values{"route": {c.route}, "prompt_tokens": {strconv.Itoa(c.promptTokens)}, "output_tokens": {strconv.Itoa(c.outputTokens)}}
	if c.service != "" {
		query.Set("service", c.service)
	}
	if c.session != "" {
		query.Set("session", c.session)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(address, "/")+"/debug/where?"+query.Encode(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "where")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "where")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxWhereBytes))
	if err != nil {
		return nil, eris.Wrap(err, "where: read the answer of the gateway")
	}
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("where: the gateway answered %d: %s", response.StatusCode, strings.TrimSpace(string(raw)))
	}
	return raw, nil
}

// writeWhere writes the answer of a gateway as text.
func writeWhere(w io.Writer, answer whereAnswer) error {
	server := answer.Server
	if server == "" {
		server = "none"
	}
	fmt.Fprintf(w, "route %s, service %s: %s (%s)\n\n", answer.Route, answer.Service, server, answer.Reason)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVER\tDATA CENTRE\tCOST\tLOAD\tPROMPTS\tPLACE\tPACE\tSOURCE\tAGE\tFIRST EVENT\tREPORT\tSTATE")
	for _, c := range answer.Candidates {
		state := "ok"
		switch {
		case !c.Selectable:
			state = "takes no requests"
		case c.Avoided:
			state = "avoided"
		}
		age, report, prefill := "-", "-", "-"
		if c.Source != "none" {
			age = (time.Duration(c.AgeMS) * time.Millisecond).String()
		}
		if c.ReportAgeMS >= 0 {
			report = (time.Duration(c.ReportAgeMS) * time.Millisecond).String()
		}
		if c.PrefillMS > 0 {
			prefill = (time.Duration(c.PrefillMS) * time.Millisecond).String()
		}
		fmt.Fprintf(table, "%s\t%s\t%.2f\t%d\t%d\t%t\t%.2f\t%s\t%s\t%s\t%s\t%s\n",
			c.Server, c.DataCentre, c.Cost, c.Load, c.Prompts, c.Place, c.Pace, c.Source, age, prefill, report, state)
	}
	return eris.Wrap(table.Flush(), "where")
}
