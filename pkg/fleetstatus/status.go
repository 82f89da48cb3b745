// Package fleetstatus reads the state of gateways and coordinators from their metrics.
package fleetstatus

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
)

// Process is the state of one process.
type Process struct {
	Address string `json:"address"`
	// Kind is "gateway" or "coordinator", empty if the process does not answer.
	Kind string `json:"kind,omitempty"`
	// Error tells why there is no state.
	Error string `json:"error,omitempty"`
	// Revision is the one of the configuration in force there.
	Revision int64 `json:"revision"`
	// Role is the role of a coordinator in its group, empty at a gateway.
	Role string `json:"role,omitempty"`
	Term int64  `json:"term,omitempty"`
	// Ready and Isolated tell whether a gateway wants callers, and whether it is cut off.
	Ready    bool `json:"ready,omitempty"`
	Isolated bool `json:"isolated,omitempty"`
	// Heard are the coordinators that a gateway hears, or the gateways that follow a
	// coordinator.
	Heard int64 `json:"heard"`
	// Servers are the backend servers that a gateway knows, Inflight its requests there.
	Servers  int64 `json:"servers,omitempty"`
	Inflight int64 `json:"inflight,omitempty"`
}

// roles are the values of gp_coordinator_role.
var roles = []string{"learner", "follower", "candidate", "leader"}

// readLimit bounds the metrics of one process, about 20 kB.
const readLimit = 4 << 20

// Collect reads all addresses, each "host:port/path", in their order.
func Collect(ctx context.Context, addresses []string) []Process {
	processes := make([]Process, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			p, err := read(ctx, address)
			if err != nil {
				p = Process{Error: err.Error()}
			}
			p.Address = address
			processes[i] = p
		})
	}
	wait.Wait()
	return processes
}

func read(ctx context.Context, address string) (Process, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return Process{}, eris.Wrap(err, "read metrics")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Process{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Process{}, eris.Errorf("read metrics: status %d", response.StatusCode)
	}
	return parse(io.LimitReader(response.Body, readLimit))
}

// parse reads metrics in the Prometheus text format.
func parse(r io.Reader) (Process, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return Process{}, eris.Wrap(err, "read metrics")
	}
	value := func(name string) int64 {
		family := families[name]
		if family == nil || len(family.Metric) == 0 || family.Metric[0].Gauge == nil {
			return 0
		}
		return int64(family.Metric[0].Gauge.GetValue())
	}
	switch {
	case families["gp_gateway_ready"] != nil:
		return Process{
			Kind: "gateway", Revision: value("gp_gateway_revision"), Ready: value("gp_gateway_ready") == 1,
			Isolated: value("gp_gateway_isolated") == 1, Heard: value("gp_gateway_coordinators_heard"),
			Servers: value("gp_gateway_servers"), Inflight: value("gp_gateway_inflight"),
		}, nil
	case families["gp_coordinator_followers"] != nil:
		p := Process{
			Kind: "coordinator", Revision: value("gp_coordinator_revision"), Term: value("gp_coordinator_term"),
			Heard: value("gp_coordinator_followers"), Role: "unknown",
		}
		if role := value("gp_coordinator_role"); role >= 0 && role < int64(len(roles)) {
			p.Role = roles[role]
		}
		return p, nil
	}
	// A coordinator without a slot has no state of the group.
	return Process{}, errors.New("neither a gateway nor a coordinator with a slot of the control group")
}

// Write prints the processes and what is wrong between them.
func Write(w io.Writer, processes []Process) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ADDRESS\tKIND\tSTATE\tREVISION\tHEARD\tSERVERS\tIN FLIGHT")
	for _, p := range processes {
		state := p.Role
		switch {
		case p.Error != "":
			fmt.Fprintf(table, "%s\t-\t%s\n", p.Address, p.Error)
			continue
		case p.Isolated:
			state = "isolated"
		case p.Kind == "gateway" && p.Ready:
			state = "ready"
		case p.Kind == "gateway":
			state = "not ready"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", p.Address, p.Kind, state, p.Revision, p.Heard, p.Servers, p.Inflight)
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "print the status")
	}
	for _, fault := range Faults(processes) {
		if _, err := fmt.Fprintln(w, "!", fault); err != nil {
			return eris.Wrap(err, "print the status")
		}
	}
	return nil
}

// Faults names what is wrong: processes that do not answer, no leader or several,
// and revisions behind the newest one.
func Faults(processes []Process) []string {
	var faults []string
	leaders, coordinators, newest := 0, 0, int64(0)
	for _, p := range processes {
		newest = max(newest, p.Revision)
		if p.Kind == "coordinator" {
			coordinators++
		}
		if p.Role == "leader" {
			leaders++
		}
	}
	if coordinators > 0 && leaders != 1 {
		faults = append(faults, fmt.Sprintf("%d coordinators lead", leaders))
	}
	for _, p := range processes {
		switch {
		case p.Error != "":
			faults = append(faults, p.Address+" does not answer")
		case p.Revision < newest:
			faults = append(faults, fmt.Sprintf("%s has revision %d, the newest is %d", p.Address, p.Revision, newest))
		case p.Kind == "gateway" && !p.Ready:
			faults = append(faults, p.Address+" is not ready")
		}
	}
	return faults
}

// Limit bounds one collection.
const Limit = 3 * time.Second
