package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// newLargePool returns a pool of servers in 21 data centres, the own one included.
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

// Guards against decisions whose cost grows with the number of servers, and against
// samples that are far from the best or leave the own data centre without need.
func TestLargePoolsAreSampled(t *testing.T) {
	p := newLargePool(11000)
	qt.Assert(t, len(p.sample()) <= sampleSize, qt.IsTrue)
	qt.Assert(t, newLargePool(sampleAll).sample(), qt.HasLen, sampleAll)
	busiest, remote := 0, 0
	const runs = 2000
	for range runs {
		s := p.Engine(at(0), run)
		p.Began(s.ID)
		busiest = max(busiest, s.Inflight)
		if s.DataCentre != "dc0" {
			remote++
		}
	}
	// 524 engines are local: four runs each, or two more in another data centre.
	qt.Assert(t, busiest <= 5, qt.IsTrue, qt.Commentf("%d runs at one engine", busiest))
	qt.Assert(t, remote < runs/2, qt.IsTrue, qt.Commentf("%d of %d in other data centres", remote, runs))
}

// Guards against lists that differ from the servers after any series of changes.
func TestListsFollowTheServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		for i := range rapid.IntRange(1, 60).Draw(t, "changes") {
			id := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "server"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				p.Remove(id)
			case 1:
				p.Ended(id)
			case 2:
				p.Began(id)
			default:
				p.Update(directory.Server{
					ID: id, DataCentre: rapid.SampledFrom([]string{"here", "there"}).Draw(t, "data centre"),
					StartedMS: int64(rapid.IntRange(1, 2).Draw(t, "start")),
					State:     rapid.SampledFrom([]directory.State{directory.Ready, directory.Leaving, directory.Gone}).Draw(t, "state"),
				}, at(i))
			}
			local := 0
			for id, s := range p.servers {
				if p.all.servers[s.inAll] != s {
					t.Fatalf("server %s is not at its place", id)
				}
				if s.DataCentre == "here" {
					local++
					if p.local.servers[s.inLocal] != s {
						t.Fatalf("server %s is not at its local place", id)
					}
				}
			}
			if len(p.all.servers) != len(p.servers) || len(p.local.servers) != local {
				t.Fatalf("%d and %d in the lists, %d and %d servers", len(p.all.servers), len(p.local.servers), len(p.servers), local)
			}
		}
	})
}

// The cost of one decision at the sizes of the users' sheets and of the stated target.
func BenchmarkDecisions(b *testing.B) {
	for _, servers := range []int{24, 600, 11000} {
		p := newLargePool(servers)
		decisions := map[string]func(){
			"engine":   func() { p.Engine(at(0), run) },
			"backup":   func() { p.Backup(at(0), run) },
			"relocate": func() { p.Relocate(at(0), run, "e00000") },
			"call":     func() { p.Call(at(0), nil) },
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
