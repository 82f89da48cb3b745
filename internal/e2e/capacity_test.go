package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// resourceUsage holds the resources that a process has used since its start.
type resourceUsage struct {
	// cpuTime is user and system time, residentBytes the resident memory, and
	// peerBytes the traffic on connections between entry and control instances.
	cpuTime       time.Duration
	residentBytes int64
	peerBytes     int64
}

// clockTicksPerSecond is the number of clock ticks, the unit of processor time in
// /proc, per second on Linux.
const clockTicksPerSecond = 100

func processUsage(p *process) (resourceUsage, error) {
	var u resourceUsage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return u, err
	}
	// The command name ends with ')'; user and system time are the 12th and
	// 13th fields after it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	u.cpuTime = time.Duration(user+system) * time.Second / clockTicksPerSecond
	u.residentBytes = pages * int64(os.Getpagesize())
	return u, nil
}

// readPeerBytes returns the sum of the peer byte counters on a metrics page.
func readPeerBytes(url string) (int64, error) {
	response, err := http.Get(url)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var total float64
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "peer_bytes") {
			value, err := strconv.ParseFloat(lines.Text()[strings.LastIndexByte(lines.Text(), ' ')+1:], 64)
			if err != nil {
				return 0, err
			}
			total += value
		}
	}
	return int64(total), lines.Err()
}

func (d *deployment) entryUsage(e *instanceProcess) resourceUsage {
	u, err := processUsage(e.process)
	if err == nil {
		u.peerBytes, err = readPeerBytes(d.adminURL(e) + "/metrics")
	}
	if err != nil {
		d.t.Fatal(err)
	}
	return u
}

// BenchmarkControlCost reports the resources that an entry instance uses for
// membership, announcements and the configuration watch while no request is in
// flight, as means over the instances. Run it with -benchtime 1x.
func BenchmarkControlCost(b *testing.B) {
	for _, c := range []struct{ entries, engines int }{{1, 2}, {3, 2}, {3, 8}, {6, 8}, {12, 8}, {12, 24}} {
		b.Run(fmt.Sprintf("entries=%d/engines=%d", 3*c.entries, 3*c.engines), func(b *testing.B) {
			s := smallTopology()
			s.entries = []int{c.entries, c.entries, c.entries}
			s.engines = []int{c.engines, c.engines, c.engines}
			s.services = []int{0, 0, 0}
			d := startDeployment(b, s)
			const warmUp, measurementTime = 10 * time.Second, 20 * time.Second
			time.Sleep(warmUp)
			before := make([]resourceUsage, len(d.entries))
			for i, e := range d.entries {
				before[i] = d.entryUsage(e)
			}
			time.Sleep(measurementTime)
			var sum resourceUsage
			for i, e := range d.entries {
				after := d.entryUsage(e)
				sum.cpuTime += after.cpuTime - before[i].cpuTime
				sum.peerBytes += after.peerBytes - before[i].peerBytes
				sum.residentBytes += after.residentBytes
			}
			n := float64(len(d.entries))
			b.ReportMetric(float64(sum.peerBytes)/n/measurementTime.Seconds(), "peer-bytes/s")
			b.ReportMetric(100*sum.cpuTime.Seconds()/n/measurementTime.Seconds(), "cpu-%")
			b.ReportMetric(float64(sum.residentBytes)/n/(1<<20), "resident-MB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkDocumentSize reports the memory, processor time and traffic of entry
// and control instances with documents of three sizes and 2 changes per second,
// which is 5 times the required rate. Run it with -benchtime 1x.
func BenchmarkDocumentSize(b *testing.B) {
	for _, organisations := range []int{10, 1000, 35_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			s := fiveControlTopology()
			s.control = []int{1, 1, 1}
			d := startDeployment(b, s)
			d.addOrganisations(organisations)
			d.waitInForce(d.version, d.entries)
			const warmUp, measurementTime, changeInterval = 5 * time.Second, 20 * time.Second, 500 * time.Millisecond
			time.Sleep(warmUp)
			entryBefore, controlBefore := d.entryUsage(d.entries[0]), d.controlUsage(d.control[0])
			changes := 0
			for deadline := time.Now().Add(measurementTime); time.Now().Before(deadline); time.Sleep(changeInterval) {
				d.propose(fmt.Sprint("measured ", changes), []document.Op{organisationOp(0, 2+changes)})
				changes++
			}
			entry, control := d.entryUsage(d.entries[0]), d.controlUsage(d.control[0])
			cpuMSPerChange := func(after, before time.Duration) float64 {
				return float64((after - before).Milliseconds()) / float64(changes)
			}
			b.ReportMetric(float64(entry.residentBytes)/(1<<20), "entry-MB")
			b.ReportMetric(float64(control.residentBytes)/(1<<20), "control-MB")
			b.ReportMetric(cpuMSPerChange(entry.cpuTime, entryBefore.cpuTime), "entry-cpu-ms/change")
			b.ReportMetric(cpuMSPerChange(control.cpuTime, controlBefore.cpuTime), "control-cpu-ms/change")
			b.ReportMetric(float64(control.peerBytes-controlBefore.peerBytes)/measurementTime.Seconds(), "control-peer-bytes/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// organisationOp returns an operation that sets organisation i with a weight.
func organisationOp(i, weight int) document.Op {
	return newOp(document.SectionOrganisations, fmt.Sprintf("org-%d", i), document.Organisation{
		KeyHashes: []string{document.HashKey(fmt.Sprint("key", i))}, Weight: weight,
		Ranks: []string{document.Urgent, document.Patient}, TokensPerSecond: 1000, MaxInFlight: 10,
	})
}

// addOrganisations adds n organisations, in changes that each stay below the size
// limit of a change.
func (d *deployment) addOrganisations(n int) {
	const organisationsPerChange = 500
	for from := 0; from < n; from += organisationsPerChange {
		var ops []document.Op
		for i := from; i < min(from+organisationsPerChange, n); i++ {
			ops = append(ops, organisationOp(i, 1))
		}
		d.propose(fmt.Sprint("fill ", from), ops)
	}
}

func (d *deployment) controlUsage(c *instanceProcess) resourceUsage {
	u, err := processUsage(c.process)
	if err == nil {
		u.peerBytes, err = readPeerBytes(operatorURL(c) + "/metrics")
	}
	if err != nil {
		d.t.Fatal(err)
	}
	return u
}
