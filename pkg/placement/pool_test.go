package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newTestPool returns a pool of a gateway in "here" with these servers, named by
// their data centre and a number: "here1", "there2".
func newTestPool(ids ...string) *Pool {
	p := NewPool("here", rand.New(rand.NewPCG(1, 2)))
	for _, id := range ids {
		p.Update(directory.Server{ID: id, Service: "s", Address: id, DataCentre: id[:len(id)-1], StartedMS: 1, Slots: 6}, start)
	}
	return p
}

// share returns how often each server is chosen for a call.
func share(p *Pool, now time.Time, exclude ...string) map[string]int {
	counts := map[string]int{}
	for range 100 {
		if s := p.Call(now, exclude); s != nil {
			counts[s.ID]++
		}
	}
	return counts
}

// Guards against calls that go to a loaded, remote, failing, slow or lost server
// while a better one is there.
func TestCallAvoids(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(p *Pool)
		want  string
	}{
		{"remote", func(*Pool) {}, "here1"},
		{"own requests in flight", func(p *Pool) { p.Began("here1"); p.Began("here1") }, "there1"},
		{"reported load", func(p *Pool) { p.Reported("here1", Load{Running: 6, Waiting: 3, Slots: 6}, at(0)) }, "there1"},
		{"unreachable", func(p *Pool) { p.Unreachable("here1", at(0)) }, "there1"},
		{"failing with good health", func(p *Pool) {
			for range 3 {
				p.Failed("here1")
			}
		}, "there1"},
		{"slow", func(p *Pool) {
			for range 20 {
				p.Succeeded("here1", 400*time.Millisecond, at(0))
				p.Succeeded("there1", 20*time.Millisecond, at(0))
			}
		}, "there1"},
		{"leaving", func(p *Pool) {
			p.Update(directory.Server{ID: "here1", DataCentre: "here", StartedMS: 1, State: directory.Leaving}, at(0))
		}, "there1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newTestPool("here1", "there1")
			tt.spoil(p)
			qt.Assert(t, share(p, at(10)), qt.DeepEquals, map[string]int{tt.want: 100})
		})
	}
}

// Guards against a server that is never tried again after it could not be reached,
// against requests that find out instead of probes, and against requests without any
// server while a lost one is left.
func TestUnreachableServersComeBack(t *testing.T) {
	p := newTestPool("here1", "there1")
	p.Unreachable("here1", at(0))
	qt.Assert(t, share(p, at(50), "there1")["here1"], qt.Equals, 100)
	qt.Assert(t, p.Probes(at(50)), qt.DeepEquals, []Probe{{"here1", "here1"}})
	qt.Assert(t, p.Probes(at(60)), qt.HasLen, 0)
	qt.Assert(t, p.Probed("here1", false, at(100)), qt.IsFalse)
	qt.Assert(t, share(p, at(250))["here1"], qt.Equals, 0)
	qt.Assert(t, p.Probes(at(250)), qt.HasLen, 1)
	qt.Assert(t, p.Probed("here1", true, at(300)), qt.IsTrue)
	qt.Assert(t, share(p, at(300))["here1"], qt.Equals, 100)
	qt.Assert(t, p.Probes(at(500)), qt.HasLen, 0)
	// The pause between probes grows while they fail, up to its bound.
	q, probes := newTestPool("here1"), 0
	q.Unreachable("here1", at(0))
	for ms := 0; ms < 10000; ms += 20 {
		for range q.Probes(at(ms)) {
			probes++
			q.Probed("here1", false, at(ms))
		}
	}
	qt.Assert(t, probes >= 10 && probes <= 14, qt.IsTrue, qt.Commentf("%d probes in 10 s", probes))
	// A server that accepts connections and answers nothing is passed over for a
	// pause that doubles with each failure, up to its bound.
	for _, ms := range []int{1000, 2000, 4000, 8000, 16000} {
		p.Unreachable("here1", at(ms))
		p.Probed("here1", true, at(ms+1))
		qt.Assert(t, share(p, at(ms+200))["here1"], qt.Equals, 0)
	}
	qt.Assert(t, share(p, at(16000+int(longestPenalty/time.Millisecond)+1))["here1"], qt.Equals, 100)
	// Without any probe it is tried again after a while.
	p.Unreachable("here1", at(30000))
	qt.Assert(t, share(p, at(30000).Add(suspicion-time.Millisecond))["here1"], qt.Equals, 0)
	qt.Assert(t, share(p, at(30000).Add(suspicion))["here1"], qt.Equals, 100)
	qt.Assert(t, p.Probed("gone", true, at(0)), qt.IsFalse)
}

// Replays a cut: servers of the data centre that no request has tried are probed,
// too, and come back one by one.
func TestProbesOfAnOutage(t *testing.T) {
	p := newTestPool("here1", "there1", "there2", "there3")
	p.Unreachable("there1", at(0))
	qt.Assert(t, p.Probes(at(1)), qt.HasLen, 1)
	p.Unreachable("there2", at(10))
	qt.Assert(t, p.Probes(at(200)), qt.HasLen, 3)
	qt.Assert(t, p.Probed("there3", true, at(210)), qt.IsTrue)
	qt.Assert(t, p.avoided(p.Get("there3"), at(220)), qt.IsFalse)
	qt.Assert(t, p.avoided(p.Get("there1"), at(220)), qt.IsTrue)
	// Servers that end without a word, such as restarted ones, count as lost.
	q := newTestPool("there1", "there2", "there3")
	q.EndedUnannounced("there1", at(0))
	q.EndedUnannounced("there2", at(1))
	qt.Assert(t, q.avoided(q.Get("there3"), at(2)), qt.IsTrue)
	for i := range 10 * maxLosses {
		q.Unreachable("there1", at(i*10000))
	}
	qt.Assert(t, len(q.losses["there"]) <= maxLosses, qt.IsTrue)
}

// Replays a data centre whose servers die together: without the outage rule every
// request would find out for each of them.
func TestOutageOfADataCentre(t *testing.T) {
	p := newTestPool("here1", "here2", "here3", "here4", "there1")
	p.Unreachable("here1", at(0))
	qt.Assert(t, share(p, at(10))["there1"], qt.Equals, 0)
	p.Unreachable("here2", at(10))
	qt.Assert(t, share(p, at(20)), qt.DeepEquals, map[string]int{"there1": 100})
	// One that answers is used again.
	p.Reported("here3", Load{Slots: 6}, at(30))
	qt.Assert(t, share(p, at(40))["here3"], qt.Equals, 100)
	// One that started after the outage is not part of it.
	p.Update(directory.Server{ID: "here5", Address: "here5", DataCentre: "here", StartedMS: 9, Slots: 6}, at(100))
	p.Began("here3")
	p.Began("here3")
	qt.Assert(t, share(p, at(110)), qt.DeepEquals, map[string]int{"here5": 100})
}

// Guards against what was known of a server that started again under its identifier.
func TestRestartClearsWhatIsKnown(t *testing.T) {
	p := newTestPool("here1")
	p.Failed("here1")
	p.Unreachable("here1", at(0))
	p.Reserve("here1", 8000, 0, 1)
	changed := p.Update(directory.Server{ID: "here1", Address: "here1", DataCentre: "here", StartedMS: 2}, at(1))
	qt.Assert(t, changed, qt.IsTrue)
	s := p.Get("here1")
	qt.Assert(t, s.Tokens, qt.Equals, 0)
	qt.Assert(t, s.failures, qt.Equals, 0.0)
	qt.Assert(t, p.Starved(at(2)), qt.IsFalse)
}

// Guards against a gateway that stays in rotation although it reaches no server,
// and against one that leaves it while a server answers.
func TestStarved(t *testing.T) {
	p := newTestPool("there1", "there2")
	qt.Assert(t, p.Starved(at(0)), qt.IsFalse)
	p.Unreachable("there1", at(0))
	qt.Assert(t, p.Starved(at(1)), qt.IsFalse)
	p.Unreachable("there2", at(1))
	qt.Assert(t, p.Starved(at(2)), qt.IsTrue)
	p.Succeeded("there2", time.Millisecond, at(3))
	qt.Assert(t, p.Starved(at(4)), qt.IsFalse)
	qt.Assert(t, newTestPool().Starved(at(0)), qt.IsTrue)
}
