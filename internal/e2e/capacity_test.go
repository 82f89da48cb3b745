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

// usage is what a process has spent so far.
type usage struct {
	// cpu is processor time, resident is memory in bytes, peers are bytes on
	// connections between our processes.
	cpu      time.Duration
	resident int64
	peers    int64
}

// clockTicks is the unit of processor time in /proc: 100 a second on Linux.
const clockTicks = 100

func processUsage(p *process) (usage, error) {
	var u usage
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
	u.cpu = time.Duration(user+system) * time.Second / clockTicks
	u.resident = pages * int64(os.Getpagesize())
	return u, nil
}

// peerBytes sums the byte counters on a metrics page.
func peerBytes(url string) (int64, error) {
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

func (d *deployment) entryUsage(e *node) usage {
	u, err := processUsage(e.process)
	if err == nil {
		u.peers, err = peerBytes(d.adminURL(e) + "/metrics")
	}
	if err != nil {
		d.t.Fatal(err)
	}
	return u
}

// BenchmarkControlCost reports what an entry instance spends on control with no
// work in flight: membership, announcements, configuration watch. Run it with
// -benchtime 1x; the figures are means over the instances.
func BenchmarkControlCost(b *testing.B) {
	for _, c := range []struct{ entries, engines int }{{1, 2}, {3, 2}, {3, 8}, {6, 8}, {12, 8}, {12, 24}} {
		b.Run(fmt.Sprintf("entries=%d/engines=%d", 3*c.entries, 3*c.engines), func(b *testing.B) {
			s := small()
			s.entries = []int{c.entries, c.entries, c.entries}
			s.engines = []int{c.engines, c.engines, c.engines}
			s.services = []int{0, 0, 0}
			d := startDeployment(b, s)
			const settle, interval = 10 * time.Second, 20 * time.Second
			time.Sleep(settle)
			before := make([]usage, len(d.entries))
			for i, e := range d.entries {
				before[i] = d.entryUsage(e)
			}
			time.Sleep(interval)
			var sum usage
			for i, e := range d.entries {
				after := d.entryUsage(e)
				sum.cpu += after.cpu - before[i].cpu
				sum.peers += after.peers - before[i].peers
				sum.resident += after.resident
			}
			n := float64(len(d.entries))
			b.ReportMetric(float64(sum.peers)/n/interval.Seconds(), "peer-bytes/s")
			b.ReportMetric(100*sum.cpu.Seconds()/n/interval.Seconds(), "cpu-%")
			b.ReportMetric(float64(sum.resident)/n/(1<<20), "resident-MB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkDocumentSize reports what entry and control instances hold and spend
// with documents of three sizes, while 2 changes a second come, which is 5 times
// the stated rate. Run it with -benchtime 1x.
func BenchmarkDocumentSize(b *testing.B) {
	for _, organisations := range []int{10, 1000, 35_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			s := fiveControl()
			s.control = []int{1, 1, 1}
			d := startDeployment(b, s)
			d.fill(organisations)
			d.checkInForce(d.version, d.entries)
			const settle, interval, pause = 5 * time.Second, 20 * time.Second, 500 * time.Millisecond
			time.Sleep(settle)
			entryBefore, controlBefore := d.entryUsage(d.entries[0]), d.controlUsage(d.control[0])
			changes := 0
			for end := time.Now().Add(interval); time.Now().Before(end); time.Sleep(pause) {
				d.propose(fmt.Sprint("measured ", changes), []document.Op{organisationOp(0, 2+changes)})
				changes++
			}
			entry, control := d.entryUsage(d.entries[0]), d.controlUsage(d.control[0])
			perChange := func(after, before time.Duration) float64 {
				return float64((after - before).Milliseconds()) / float64(changes)
			}
			b.ReportMetric(float64(entry.resident)/(1<<20), "entry-MB")
			b.ReportMetric(float64(control.resident)/(1<<20), "control-MB")
			b.ReportMetric(perChange(entry.cpu, entryBefore.cpu), "entry-cpu-ms/change")
			b.ReportMetric(perChange(control.cpu, controlBefore.cpu), "control-cpu-ms/change")
			b.ReportMetric(float64(control.peers-controlBefore.peers)/interval.Seconds(), "control-peer-bytes/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func organisationOp(i, weight int) document.Op {
	return op(document.SectionOrganisations, fmt.Sprintf("org-%d", i), document.Organisation{
		KeyHashes: []string{document.HashKey(fmt.Sprint("key", i))}, Weight: weight,
		Ranks: []string{document.Urgent, document.Patient}, TokensPerSecond: 1000, MaxInFlight: 10,
	})
}

// fill adds organisations in changes that stay below the size limit of one change.
func (d *deployment) fill(n int) {
	const perChange = 500
	for from := 0; from < n; from += perChange {
		var ops []document.Op
		for i := from; i < min(from+perChange, n); i++ {
			ops = append(ops, organisationOp(i, 1))
		}
		d.propose(fmt.Sprint("fill ", from), ops)
	}
}

func (d *deployment) controlUsage(c *node) usage {
	u, err := processUsage(c.process)
	if err == nil {
		u.peers, err = peerBytes(operatorURL(c) + "/metrics")
	}
	if err != nil {
		d.t.Fatal(err)
	}
	return u
}
