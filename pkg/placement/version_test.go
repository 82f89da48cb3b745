package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
)

// newVersionPool returns a pool with old servers of version v1 and new ones of version v2, in two data centres.
func newVersionPool(old, updated int) *Pool {
	p := NewPool("local", rand.New(rand.NewPCG(1, 2)))
	for i := range old + updated {
		s := directory.Server{
			ID: fmt.Sprintf("e%05d", i), Service: "s", Address: fmt.Sprint(i), DataCentre: []string{"local", "remote"}[i%2],
			StartedMS: int64(i + 1), Slots: 6, Version: "v1",
		}
		if i >= old {
			s.Version = "v2"
		}
		p.Update(s, start)
	}
	return p
}

// Guards against a selection of any kind that sends a request to a server of a version that is not allowed
// for it, also if the servers of the allowed version are few among many, or busier.
func TestSelectionsKeepToTheVersion(t *testing.T) {
	now := atMillis(0)
	for _, servers := range []int{20, 5000} {
		p := newVersionPool(servers, 4)
		updated := fmt.Sprintf("e%05d", servers)
		// The new servers are the worse choice in each respect but the version.
		for i := range 4 {
			id := fmt.Sprintf("e%05d", servers+i)
			p.RecordRequestStart(id)
			p.RecordFailure(id)
		}
		for range 12 {
			p.RecordPrefill(updated, now)
			p.RecordRequestStart(updated)
		}
		selections := map[string]func() *Server{
			"call":   func() *Server { return p.SelectForCall(now, nil) },
			"engine": func() *Server { return p.SelectEngine(now, testRun) },
			"free":   func() *Server { return p.SelectFreeEngine(now, testRun) },
			"claim": func() *Server {
				// A gateway claims a place with a probability, once in each interval.
				for i := range 100 {
					if s := p.ClaimFreeEngine(now.Add(time.Duration(i)*claimInterval), testRun, 1); s != nil {
						return s
					}
				}
				return nil
			},
			"relocation": func() *Server { return p.SelectRelocationTarget(now, testRun, updated) },
			"caching": func() *Server {
				run := testRun
				run.Prefer = []string{"e00000", "e00001", updated}
				return p.SelectCachingEngine(now, run)
			},
			"backup": func() *Server {
				run := testRun
				run.EngineDataCentre = "local"
				return p.SelectBackup(now, run)
			},
		}
		for name, selection := range selections {
			for _, version := range []string{"v2", "v1"} {
				p.Restrict(version)
				selected := selection()
				qt.Assert(t, selected, qt.IsNotNil, qt.Commentf("%s of %s among %d", name, version, servers))
				qt.Check(t, selected.Version, qt.Equals, version, qt.Commentf("%s among %d", name, servers))
			}
			p.Restrict("v9")
			qt.Check(t, selection(), qt.IsNil, qt.Commentf("%s", name))
			p.Unrestrict()
			qt.Check(t, selection(), qt.IsNotNil, qt.Commentf("%s", name))
		}
	}
}

// Guards against a request that waits for a place, or names a time to its caller, because of servers that it
// may not use.
func TestWaitsKeepToTheVersion(t *testing.T) {
	p := newVersionPool(1, 1)
	now := atMillis(0)
	p.RecordPause(p.Get("e00001").Process(), atMillis(700))
	p.RecordLoad("e00001", LoadReport{Running: 6, Waiting: 6, Slots: 6}, now)
	p.RecordSuccess("e00001", atMillis(900).Sub(now), now)
	p.Restrict("v2")
	qt.Assert(t, p.CanWait(now, testRun), qt.IsFalse)
	wait, _, limited := p.LimitWait(now, nil)
	qt.Assert(t, limited, qt.IsTrue)
	qt.Assert(t, wait, qt.Equals, atMillis(700).Sub(now))
	qt.Assert(t, p.RetryAfter(now) > defaultRetryAfter, qt.IsTrue)
	p.Restrict("v1")
	qt.Assert(t, p.CanWait(now, testRun), qt.IsTrue)
	_, _, limited = p.LimitWait(now, nil)
	qt.Assert(t, limited, qt.IsFalse)
	qt.Assert(t, p.RetryAfter(now), qt.Equals, defaultRetryAfter)
}

// Guards against a list of versions that disagrees with the servers after any sequence of changes: requests
// would be refused, or go to a version that is not the established one.
func TestVersionsFollowTheServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		for i := range rapid.IntRange(1, 60).Draw(t, "changes") {
			id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "server"))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				p.Remove(id, start)
			case 1:
				p.RecordRequestStart(id)
			case 2:
				p.RecordLeaving(Process{ID: id, StartedMS: 1})
			default:
				p.Update(directory.Server{
					ID: id, DataCentre: rapid.SampledFrom([]string{"local", "remote"}).Draw(t, "data centre"),
					Version:   rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version"),
					StartedMS: int64(rapid.IntRange(1, 3).Draw(t, "start")),
					State:     rapid.SampledFrom([]directory.State{directory.Ready, directory.Leaving, directory.Gone}).Draw(t, "state"),
				}, atMillis(i))
			}
			want, members := map[string]int64{}, map[string]int{}
			for _, s := range p.servers {
				members[s.Version]++
				oldest, found := want[s.Version]
				if s.State == directory.Ready && !s.leaving && (!found || s.StartedMS < oldest) {
					want[s.Version] = s.StartedMS
				}
			}
			got := map[string]int64{}
			for _, v := range p.ReadyVersions() {
				got[v.Version] = v.StartedMS
			}
			if !maps.Equal(got, want) {
				t.Fatalf("ready versions are %v, want %v", got, want)
			}
			for version, count := range members {
				p.Restrict(version)
				all, local := p.selectable()
				if len(all) != count || slices.ContainsFunc(all, func(s *Server) bool { return s.Version != version }) {
					t.Fatalf("group of %q has %d servers, want %d", version, len(all), count)
				}
				if slices.ContainsFunc(local, func(s *Server) bool { return s.Version != version || s.DataCentre != "local" }) {
					t.Fatalf("group of %q has other servers in its local list", version)
				}
			}
			p.Unrestrict()
		}
	})
}

// Guards against allocations for each request in deployments without rollouts, and in those with one version.
func TestVersionsAreCheap(t *testing.T) {
	p := newVersionPool(3, 0)
	p.ReadyVersions()
	var ready []rollout.ReadyVersion
	allocations := testing.AllocsPerRun(100, func() {
		ready = p.ReadyVersions()
		p.Restrict(rollout.Choose(nil, 0, rollout.Draw{}, ready).Version)
		p.candidateSample()
		p.Unrestrict()
	})
	qt.Assert(t, allocations, qt.Equals, 0.0)
	qt.Assert(t, ready, qt.HasLen, 1)
}
