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
