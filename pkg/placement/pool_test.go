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
// and against requests without any server while a lost one is left.
func TestUnreachableServersComeBack(t *testing.T) {
	p := newTestPool("here1", "there1")
	p.Unreachable("here1", at(0))
	qt.Assert(t, share(p, at(50))["here1"], qt.Equals, 0)
	qt.Assert(t, share(p, at(250))["here1"], qt.Equals, 100)
	qt.Assert(t, share(p, at(50), "there1")["here1"], qt.Equals, 100)
	// The pause doubles with each failure, up to its bound.
	for _, ms := range []int{250, 700, 1600, 3300, 5000} {
		p.Unreachable("here1", at(ms))
	}
	qt.Assert(t, share(p, at(5000+int(longestPenalty/time.Millisecond)+1))["here1"], qt.Equals, 100)
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
