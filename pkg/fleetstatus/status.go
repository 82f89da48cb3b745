// Package fleetstatus collects the state of the gateways and coordinators of a deployment from their
// metrics and lists its faults.
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

	"github.com/geraniumpitch/geraniumpitch/pkg/httpstrict"
)

// ProcessStatus is the state of a gateway or coordinator.
type ProcessStatus struct {
	Address string `json:"address"`
	// Kind is "gateway" or "coordinator", empty if the state could not be read.
	Kind string `json:"kind,omitempty"`
	// Error is the reason why the state could not be read.
	Error string `json:"error,omitempty"`
	// Revision is the revision of the configuration that the process uses.
	Revision int64 `json:"revision"`
	// Role and Term are the state of a coordinator in the control group, empty for a gateway.
	Role string `json:"role,omitempty"`
	Term int64  `json:"term,omitempty"`
	// Ready is set if a gateway accepts callers.
	Ready bool `json:"ready,omitempty"`
	// Isolated is set if most coordinators are silent to a gateway and one of its services has only
	// unreachable backend servers.
	Isolated bool `json:"isolated,omitempty"`
	// ActivePeers is the number of coordinators from which a gateway received a recent event, or of
	// subscribers of a coordinator.
	ActivePeers int64 `json:"heard"`
	// Servers is the number of backend servers in the directory of a gateway, Inflight the number of
	// requests that it has in flight.
	Servers  int64 `json:"servers,omitempty"`
	Inflight int64 `json:"inflight,omitempty"`
}

// roleNames are the names of the values of gp_coordinator_role.
var roleNames = []string{"learner", "follower", "candidate", "leader"}

// client reads the metrics of all processes.
var client = &http.Client{Transport: httpstrict.NewDefaultTransport()}

// maxMetricsBytes bounds the metrics of one process, whose usual size is about 20 kB.
const maxMetricsBytes = 4 << 20

// Collect reads the state of the processes at all addresses concurrently. Addresses have the form
// "host:port/path"; the result is in their order.
func Collect(ctx context.Context, addresses []string) []ProcessStatus {
	processes := make([]ProcessStatus, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			p, err := fetch(ctx, address)
			if err != nil {
				p = ProcessStatus{Error: err.Error()}
			}
			p.Address = address
			processes[i] = p
		})
	}
	wg.Wait()
	return processes
}

func fetch(ctx context.Context, address string) (ProcessStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return ProcessStatus{}, eris.Wrap(err, "read metrics")
	}
	response, err := client.Do(request)
	if err != nil {
		return ProcessStatus{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return ProcessStatus{}, eris.Errorf("read metrics: status %d", response.StatusCode)
	}
	return parseMetrics(io.LimitReader(response.Body, maxMetricsBytes))
}

// parseMetrics reads the state of a process from metrics in the Prometheus text format.
func parseMetrics(r io.Reader) (ProcessStatus, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return ProcessStatus{}, eris.Wrap(err, "read metrics")
	}
	gauge := func(name string) int64 {
		family := families[name]
		if family == nil || len(family.Metric) == 0 || family.Metric[0].Gauge == nil {
			return 0
		}
		return int64(family.Metric[0].Gauge.GetValue())
	}
	switch {
	case families["gp_gateway_ready"] != nil:
		return ProcessStatus{
			Kind: "gateway", Revision: gauge("gp_gateway_revision"), Ready: gauge("gp_gateway_ready") == 1,
			Isolated: gauge("gp_gateway_isolated") == 1, ActivePeers: gauge("gp_gateway_coordinators_heard"),
			Servers: gauge("gp_gateway_servers"), Inflight: gauge("gp_gateway_inflight"),
		}, nil
	case families["gp_coordinator_followers"] != nil:
		p := ProcessStatus{
			Kind: "coordinator", Revision: gauge("gp_coordinator_revision"), Term: gauge("gp_coordinator_term"),
			ActivePeers: gauge("gp_coordinator_followers"), Role: "unknown",
		}
		if role := gauge("gp_coordinator_role"); role >= 0 && role < int64(len(roleNames)) {
			p.Role = roleNames[role]
		}
		return p, nil
	}
	// A coordinator without a slot in the control group does not export the metrics of the group.
	return ProcessStatus{}, errors.New("the metrics are neither of a gateway nor of a coordinator with a slot in the control group")
}

// Write prints the processes as a table, followed by their faults.
func Write(w io.Writer, processes []ProcessStatus) error {
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
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", p.Address, p.Kind, state, p.Revision, p.ActivePeers, p.Servers, p.Inflight)
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

// Faults returns the faults of a deployment: processes whose state could not be read, which are
// reported as not answering, or that are not ready, no leader or several ones, and configuration
// revisions older than the newest one.
func Faults(processes []ProcessStatus) []string {
	var faults []string
	leaders, coordinators, newestRevision := 0, 0, int64(0)
	for _, p := range processes {
		newestRevision = max(newestRevision, p.Revision)
		if p.Kind == "coordinator" {
			coordinators++
		}
		if p.Role == "leader" {
			leaders++
		}
	}
	if coordinators > 0 && leaders != 1 {
		faults = append(faults, fmt.Sprintf("%d coordinators are leaders, expected 1", leaders))
	}
	for _, p := range processes {
		switch {
		case p.Error != "":
			faults = append(faults, p.Address+" does not answer")
		case p.Revision < newestRevision:
			faults = append(faults, fmt.Sprintf("%s has revision %d, the newest is %d", p.Address, p.Revision, newestRevision))
		case p.Kind == "gateway" && !p.Ready:
			faults = append(faults, p.Address+" is not ready")
		}
	}
	return faults
}

// CollectTimeout is the timeout for collecting the state of all processes.
const CollectTimeout = 3 * time.Second
