package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var run = Run{Tokens: 9000, Memory: 88000}

// Replays a burst of prompts: they spread over the engines instead of being read
// one after the other.
func TestEngineSpreadsABurst(t *testing.T) {
	p := newTestPool("here1", "here2", "here3", "there1", "there2", "there3")
	counts := map[string]int{}
	for range 12 {
		s := p.Engine(at(0), run)
		counts[s.ID]++
		p.Began(s.ID)
		p.Reserve(s.ID, run.Tokens, 0, 1)
	}
	for id, n := range counts {
		qt.Assert(t, n <= 3, qt.IsTrue, qt.Commentf("%s got %d of 12", id, n))
	}
	qt.Assert(t, counts, qt.HasLen, 6)
}

// Replays a burst at several gateways: without what the others tell, each of them
// would choose the same engines.
func TestRunsOfOtherGateways(t *testing.T) {
	p := newTestPool("here1", "here2")
	p.PlacedElsewhere("", Placement{Subject: "a", Server: "here1"}, at(0))
	qt.Assert(t, p.Engine(at(100), run).ID, qt.Equals, "here2")
	// A prompt that is being read counts more than running streams.
	for range 3 {
		p.Began("here2")
	}
	qt.Assert(t, p.Engine(at(100), run).ID, qt.Equals, "here2")
	qt.Assert(t, p.Engine(at(2000), run).ID, qt.Equals, "here1")
	// Their memory counts as taken.
	for range 9 {
		p.PlacedElsewhere("", Placement{Server: "here1"}, at(2000))
	}
	qt.Assert(t, p.Engine(at(6000), run).ID, qt.Equals, "here2")
	// A run that comes back to its prompt is one of them.
	back := run
	back.Prefer = []string{"here1"}
	qt.Assert(t, p.Engine(at(6000), back).ID, qt.Equals, "here1")
	for range 9 {
		p.PlacedElsewhere("", Placement{Backup: "here2"}, at(20000))
	}
	qt.Assert(t, p.Engine(at(20000), run).ID, qt.Equals, "here1")
	for range 3 * maxElsewhere {
		p.PlacedElsewhere("", Placement{Server: "here1"}, at(0))
	}
	qt.Assert(t, p.Get("here1").elsewhere, qt.HasLen, maxElsewhere)
}

// Guards against streams that cross data centres without need.
func TestEngineIsLocalUnlessBusier(t *testing.T) {
	p := newTestPool("here1", "there1")
	for range 2 {
		qt.Assert(t, p.Engine(at(0), run).ID, qt.Equals, "here1")
		p.Began("here1")
	}
	p.Reserve("here1", run.Tokens, 0, 1)
	qt.Assert(t, p.Engine(at(0), run).ID, qt.Equals, "there1")
}

// Guards against a prompt that is read again although an engine has it, and
// against an engine that has it but is full, lost or failed for this run.
func TestEngineWithThePrompt(t *testing.T) {
	prefer := run
	prefer.Prefer = []string{"there1"}
	p := newTestPool("here1", "there1")
	qt.Assert(t, p.Engine(at(0), prefer).ID, qt.Equals, "there1")
	excluded := prefer
	excluded.Exclude = []string{"there1"}
	qt.Assert(t, p.Engine(at(0), excluded).ID, qt.Equals, "here1")
	p.Reserve("there1", 80000, 0, 0)
	qt.Assert(t, p.Engine(at(0), prefer).ID, qt.Equals, "here1")
	p.Reserve("there1", -80000, 0, 0)
	p.Unreachable("there1", at(0))
	qt.Assert(t, p.Engine(at(1), prefer).ID, qt.Equals, "here1")
}

// Guards against a backup that is lost together with its engine, or with the link
// to a data centre, and against one for which there is no room.
func TestBackup(t *testing.T) {
	p := newTestPool("here1", "here2", "there1", "there2", "far1")
	backup := func(awayFrom string, exclude ...string) string {
		r := run
		r.AwayFrom, r.Exclude = awayFrom, exclude
		if s := p.Backup(at(0), r); s != nil {
			return s.DataCentre
		}
		return ""
	}
	qt.Assert(t, backup("here", "here1"), qt.Not(qt.Equals), "here")
	for range 20 {
		qt.Assert(t, backup("there", "there1"), qt.Equals, "here")
	}
	p.Reserve("here1", 0, 75000, 0)
	p.Reserve("here2", 0, 75000, 0)
	qt.Assert(t, backup("there", "there1"), qt.Equals, "far")
	p.CopyRefused("far1", at(0))
	qt.Assert(t, backup("there", "there1"), qt.Equals, "")
	p.noCopiesAgain("far1")
	p.Unreachable("far1", start)
	qt.Assert(t, backup("there", "there1"), qt.Equals, "")
}

// noCopiesAgain ends the pause after a refused copy.
func (p *Pool) noCopiesAgain(id string) { p.servers[id].noCopiesUntil = start }

// Replays engines of one data centre that die together: after the first loss, copies
// go where no engine was lost.
func TestBackupAvoidsLosses(t *testing.T) {
	p := newTestPool("here1", "there1", "there2", "far1")
	r := run
	r.AwayFrom = "here"
	p.Unreachable("there1", at(0))
	for range 20 {
		qt.Assert(t, p.Backup(at(10), r).ID, qt.Equals, "far1")
	}
	p.Reserve("far1", 0, 80000, 0)
	qt.Assert(t, p.Backup(at(10), r).ID, qt.Equals, "there2")
}

// Guards against runs that count where they are no more: a run that moved, and one
// that was placed long ago.
func TestRunsOfOtherGatewaysLeave(t *testing.T) {
	p := newTestPool("here1", "here2")
	uses := func(id string, now time.Time) [3]int {
		running, reading, copies := p.Get(id).othersUse(now)
		return [3]int{running, reading, copies}
	}
	p.PlacedElsewhere("", Placement{Subject: "a", Server: "here1", Backup: "here2"}, at(0))
	qt.Assert(t, uses("here1", at(100)), qt.Equals, [3]int{1, 1, 0})
	qt.Assert(t, uses("here2", at(100)), qt.Equals, [3]int{0, 0, 1})
	p.PlacedElsewhere("here1", Placement{Subject: "a", Server: "here2", Backup: "here1", Copied: true}, at(900))
	qt.Assert(t, uses("here1", at(1000)), qt.Equals, [3]int{0, 0, 1})
	qt.Assert(t, uses("here2", at(1000)), qt.Equals, [3]int{1, 0, 0})
	// A placement of this gateway that comes back counts by itself already.
	p.PlacedElsewhere("here1", Placement{Subject: "own", Server: "here1"}, at(1000))
	qt.Assert(t, uses("here1", at(1000)), qt.Equals, [3]int{0, 0, 1})
	p.PlacedElsewhere("", Placement{Subject: "old", Server: "here1", Age: 10 * time.Second}, at(1000))
	qt.Assert(t, uses("here1", at(1000)), qt.Equals, [3]int{0, 0, 1})
}

// Guards against placements that outlive the memory of engines or grow without bound.
func TestMemory(t *testing.T) {
	var m Memory
	m.Note("a", "here1", false, at(0))
	qt.Assert(t, m.Engines("a", at(100)), qt.DeepEquals, []string{"here1"})
	qt.Assert(t, m.Engines("b", at(100)), qt.HasLen, 0)
	m.Note("a", "there1", false, at(200))
	qt.Assert(t, m.Engines("a", at(300)), qt.DeepEquals, []string{"there1"})
	// A run that moved may find its prompt at the engine that read it, too.
	m.Note("a", "here1", true, at(400))
	qt.Assert(t, m.Engines("a", at(500)), qt.DeepEquals, []string{"here1", "there1"})
	qt.Assert(t, m.Current("a"), qt.Equals, "here1")
	qt.Assert(t, m.Engines("a", at(401).Add(MemoryLife)), qt.HasLen, 0)
	for i := range 3 * memoryEntries {
		m.Note(string(rune('a'+i%26))+time.Duration(i).String(), "x", false, at(i))
	}
	qt.Assert(t, len(m.entries) <= memoryEntries, qt.IsTrue)
}
