package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var testRun = Run{Tokens: 9000, EngineMemoryTokens: 88000}

// Simulates a burst of prompts: it must spread over the engines, or the prefills run one after
// the other.
func TestEngineSpreadsABurst(t *testing.T) {
	p := newTestPool("local1", "local2", "local3", "remote1", "remote2", "remote3")
	counts := map[string]int{}
	for range 12 {
		s := p.SelectEngine(atMillis(0), testRun)
		counts[s.ID]++
		p.RecordRequestStart(s.ID)
		p.Reserve(s.ID, testRun.Tokens, 0, 1)
	}
	for id, n := range counts {
		qt.Assert(t, n <= 3, qt.IsTrue, qt.Commentf("%s got %d of 12", id, n))
	}
	qt.Assert(t, counts, qt.HasLen, 6)
}

// Simulates a burst at several gateways: if the placements of other gateways were ignored, all
// gateways would select the same engines.
func TestRunsOfOtherGateways(t *testing.T) {
	p := newTestPool("local1", "local2")
	p.RecordPeerPlacement("", Placement{Subject: "a", Server: "local1"}, atMillis(0))
	qt.Assert(t, p.SelectEngine(atMillis(100), testRun).ID, qt.Equals, "local2")
	// A prompt in prefill counts more than running streams.
	for range 3 {
		p.RecordRequestStart("local2")
	}
	qt.Assert(t, p.SelectEngine(atMillis(100), testRun).ID, qt.Equals, "local2")
	qt.Assert(t, p.SelectEngine(atMillis(2000), testRun).ID, qt.Equals, "local1")
	// Memory used by runs of other gateways is not available.
	for range 9 {
		p.RecordPeerPlacement("", Placement{Server: "local1"}, atMillis(2000))
	}
	qt.Assert(t, p.SelectEngine(atMillis(6000), testRun).ID, qt.Equals, "local2")
	// A run that returns to its cached prompt may itself be one of the recorded peer runs.
	returning := testRun
	returning.Prefer = []string{"local1"}
	qt.Assert(t, p.SelectEngine(atMillis(6000), returning).ID, qt.Equals, "local1")
	for range 9 {
		p.RecordPeerPlacement("", Placement{Backup: "local2"}, atMillis(20000))
	}
	qt.Assert(t, p.SelectEngine(atMillis(20000), testRun).ID, qt.Equals, "local1")
	for range 3 * maxPeerRuns {
		p.RecordPeerPlacement("", Placement{Server: "local1"}, atMillis(0))
	}
	qt.Assert(t, p.Get("local1").peerRuns, qt.HasLen, maxPeerRuns)
}

// Guards against streams that cross data centres although a local engine is less loaded.
func TestEngineIsLocalUnlessBusier(t *testing.T) {
	p := newTestPool("local1", "remote1")
	for range 2 {
		qt.Assert(t, p.SelectEngine(atMillis(0), testRun).ID, qt.Equals, "local1")
		p.RecordRequestStart("local1")
	}
	p.Reserve("local1", testRun.Tokens, 0, 1)
	qt.Assert(t, p.SelectEngine(atMillis(0), testRun).ID, qt.Equals, "remote1")
}

// Guards against repeating a prefill although an engine has the prompt cached, and against
// selecting a cached engine that is full, unreachable or excluded.
func TestEngineWithThePrompt(t *testing.T) {
	withPrompt := testRun
	withPrompt.Prefer = []string{"remote1"}
	p := newTestPool("local1", "remote1")
	qt.Assert(t, p.SelectEngine(atMillis(0), withPrompt).ID, qt.Equals, "remote1")
	excluded := withPrompt
	excluded.Exclude = []string{"remote1"}
	qt.Assert(t, p.SelectEngine(atMillis(0), excluded).ID, qt.Equals, "local1")
	p.Reserve("remote1", 80000, 0, 0)
	qt.Assert(t, p.SelectEngine(atMillis(0), withPrompt).ID, qt.Equals, "local1")
	p.Reserve("remote1", -80000, 0, 0)
	p.RecordUnreachable("remote1", atMillis(0))
	qt.Assert(t, p.SelectEngine(atMillis(1), withPrompt).ID, qt.Equals, "local1")
}

// Guards against a backup that one data centre failure or partition takes away together with the
// engine, and against a backup engine without room.
func TestBackup(t *testing.T) {
	p := newTestPool("local1", "local2", "remote1", "remote2", "far1")
	backup := func(awayFrom string, exclude ...string) string {
		r := testRun
		r.EngineDataCentre, r.Exclude = awayFrom, exclude
		if s := p.SelectBackup(atMillis(0), r); s != nil {
			return s.DataCentre
		}
		return ""
	}
	qt.Assert(t, backup("local", "local1"), qt.Not(qt.Equals), "local")
	for range 20 {
		qt.Assert(t, backup("remote", "remote1"), qt.Equals, "local")
	}
	p.Reserve("local1", 0, 75000, 0)
	p.Reserve("local2", 0, 75000, 0)
	qt.Assert(t, backup("remote", "remote1"), qt.Equals, "far")
	p.RecordCopyRefusal("far1", atMillis(0))
	qt.Assert(t, backup("remote", "remote1"), qt.Equals, "")
	p.endCopyBackoff("far1")
	p.RecordUnreachable("far1", start)
	qt.Assert(t, backup("remote", "remote1"), qt.Equals, "")
}

// endCopyBackoff ends the backoff after a refused copy.
func (p *Pool) endCopyBackoff(id string) { p.servers[id].copyBackoffUntil = start }

// Simulates engines of one data centre that fail together: after the first failure, backups must go
// to another data centre.
func TestBackupAvoidsLosses(t *testing.T) {
	p := newTestPool("local1", "remote1", "remote2", "far1")
	r := testRun
	r.EngineDataCentre = "local"
	p.RecordUnreachable("remote1", atMillis(0))
	for range 20 {
		qt.Assert(t, p.SelectBackup(atMillis(10), r).ID, qt.Equals, "far1")
	}
	p.Reserve("far1", 0, 80000, 0)
	qt.Assert(t, p.SelectBackup(atMillis(10), r).ID, qt.Equals, "remote2")
}

// Guards against counting a run of another gateway on an engine after it was relocated or expired.
func TestRunsOfOtherGatewaysLeave(t *testing.T) {
	p := newTestPool("local1", "local2")
	peerCounts := func(id string, now time.Time) [3]int {
		running, prefilling, copies := p.Get(id).peerRunCounts(now)
		return [3]int{running, prefilling, copies}
	}
	p.RecordPeerPlacement("", Placement{Subject: "a", Server: "local1", Backup: "local2"}, atMillis(0))
	qt.Assert(t, peerCounts("local1", atMillis(100)), qt.Equals, [3]int{1, 1, 0})
	qt.Assert(t, peerCounts("local2", atMillis(100)), qt.Equals, [3]int{0, 0, 1})
	p.RecordPeerPlacement("local1", Placement{Subject: "a", Server: "local2", Backup: "local1", PromptCopied: true}, atMillis(900))
	qt.Assert(t, peerCounts("local1", atMillis(1000)), qt.Equals, [3]int{0, 0, 1})
	qt.Assert(t, peerCounts("local2", atMillis(1000)), qt.Equals, [3]int{1, 0, 0})
	// This gateway's own placement must not be counted a second time when it is sent back.
	p.RecordPeerPlacement("local1", Placement{Subject: "local", Server: "local1"}, atMillis(1000))
	qt.Assert(t, peerCounts("local1", atMillis(1000)), qt.Equals, [3]int{0, 0, 1})
	p.RecordPeerPlacement("", Placement{Subject: "old", Server: "local1", Age: 10 * time.Second}, atMillis(1000))
	qt.Assert(t, peerCounts("local1", atMillis(1000)), qt.Equals, [3]int{0, 0, 1})
}

// Guards against entries that outlive the prompt cache of the engines and against unbounded
// growth.
func TestPromptLocations(t *testing.T) {
	var m PromptLocations
	m.Record("a", "local1", false, atMillis(0))
	qt.Assert(t, m.CandidateEngines("a", atMillis(100)), qt.DeepEquals, []string{"local1"})
	qt.Assert(t, m.CandidateEngines("b", atMillis(100)), qt.HasLen, 0)
	m.Record("a", "remote1", false, atMillis(200))
	qt.Assert(t, m.CandidateEngines("a", atMillis(300)), qt.DeepEquals, []string{"remote1"})
	// For a relocated run, the engine that did the prefill is also a candidate.
	m.Record("a", "local1", true, atMillis(400))
	qt.Assert(t, m.CandidateEngines("a", atMillis(500)), qt.DeepEquals, []string{"local1", "remote1"})
	qt.Assert(t, m.CurrentEngine("a"), qt.Equals, "local1")
	qt.Assert(t, m.CandidateEngines("a", atMillis(401).Add(PromptLocationTTL)), qt.HasLen, 0)
	for i := range 3 * maxPromptLocations {
		m.Record(string(rune('a'+i%26))+time.Duration(i).String(), "x", false, atMillis(i))
	}
	qt.Assert(t, len(m.entries) <= maxPromptLocations, qt.IsTrue)
}
