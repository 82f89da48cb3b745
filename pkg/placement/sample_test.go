package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// newLargePool returns a pool of servers in 21 data centres, including the gateway's.
func newLargePool(servers int) *Pool {
	p := NewPool("dc0", rand.New(rand.NewPCG(1, 2)))
	for i := range servers {
		p.Update(directory.Server{
			ID: fmt.Sprintf("e%05d", i), Service: "s", Address: fmt.Sprint(i), DataCentre: fmt.Sprintf("dc%d", i%21),
			StartedMS: 1, Slots: 24,
		}, start)
	}
	return p
}

// Guards against decisions whose cost grows with the number of servers, and against samples that
// miss good servers or use other data centres without need.
func TestLargePoolsAreSampled(t *testing.T) {
	p := newLargePool(11000)
	qt.Assert(t, len(p.candidateSample()) <= sampleSize, qt.IsTrue)
	qt.Assert(t, newLargePool(maxUnsampledServers).candidateSample(), qt.HasLen, maxUnsampledServers)
	busiest, remote := 0, 0
	const runs = 2000
	for range runs {
		s := p.SelectEngine(atMillis(0), testRun)
		p.RecordRequestStart(s.ID)
		busiest = max(busiest, s.Inflight)
		if s.DataCentre != "dc0" {
			remote++
		}
	}
	// 524 engines are local and get about four runs each. A remote engine is selected once the
	// local ones have two runs more.
	qt.Assert(t, busiest <= 5, qt.IsTrue, qt.Commentf("%d runs at one engine", busiest))
	qt.Assert(t, remote < runs/2, qt.IsTrue, qt.Commentf("%d of %d in other data centres", remote, runs))
}

// Guards against index lists that disagree with the server map after any sequence of changes.
func TestListsFollowTheServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		for i := range rapid.IntRange(1, 60).Draw(t, "changes") {
			id := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "server"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				p.Remove(id, start)
			case 1:
				p.RecordRequestEnd(id, start)
			case 2:
				p.RecordRequestStart(id)
			default:
				p.Update(directory.Server{
					ID: id, DataCentre: rapid.SampledFrom([]string{"local", "remote"}).Draw(t, "data centre"),
					StartedMS: int64(rapid.IntRange(1, 2).Draw(t, "start")),
					State:     rapid.SampledFrom([]directory.State{directory.Ready, directory.Leaving, directory.Gone}).Draw(t, "state"),
				}, atMillis(i))
			}
			local := 0
			for id, s := range p.servers {
				if p.all.servers[s.allIndex] != s {
					t.Fatalf("server %s is not at its index", id)
				}
				if s.DataCentre == "local" {
					local++
					if p.local.servers[s.localIndex] != s {
						t.Fatalf("server %s is not at its local index", id)
					}
				}
			}
			if len(p.all.servers) != len(p.servers) || len(p.local.servers) != local {
				t.Fatalf("lists hold %d and %d servers, want %d and %d", len(p.all.servers), len(p.local.servers), len(p.servers), local)
			}
		}
	})
}

// BenchmarkDecisions measures one decision at the pool sizes of existing deployments, and at the
// largest one that a gateway is meant for.
func BenchmarkDecisions(b *testing.B) {
	for _, servers := range []int{24, 600, 11000} {
		p := newLargePool(servers)
		decisions := map[string]func(){
			"engine":   func() { p.SelectEngine(atMillis(0), testRun) },
			"backup":   func() { p.SelectBackup(atMillis(0), testRun) },
			"relocate": func() { p.SelectRelocationTarget(atMillis(0), testRun, "e00000") },
			"call":     func() { p.SelectForCall(atMillis(0), nil) },
		}
		for _, name := range []string{"engine", "backup", "relocate", "call"} {
			b.Run(fmt.Sprintf("%s/%d", name, servers), func(b *testing.B) {
				for b.Loop() {
					decisions[name]()
				}
			})
		}
	}
}
