package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// Simulates a burst of prompts: streams must leave the engine that does the prefills, which would
// stall them.
func TestRelocateLeavesABusyReader(t *testing.T) {
	p := newTestPool("local1", "local2", "remote1")
	for i := range 3 {
		p.RecordPrefill("local1", atMillis(1000*i))
	}
	p.RecordRequestStart("local1")
	p.RecordRequestStart("local2")
	p.RecordPrefill("remote1", atMillis(0))
	target := p.SelectRelocationTarget(atMillis(3000), testRun, "local1")
	qt.Assert(t, target, qt.IsNotNil)
	// An engine with one stream costs less than an idle one, which is kept for prompts, and less
	// than one in another data centre.
	qt.Assert(t, target.ID, qt.Equals, "local2")
	// After prefillWindow, no prefill delays the stream any more.
	qt.Assert(t, p.SelectRelocationTarget(atMillis(3000).Add(2*prefillWindow), testRun, "local1"), qt.IsNil)
}

// Guards against relocations that gain little and against targets that are worse than the current
// engine.
func TestRelocateStays(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(p *Pool)
	}{
		{"few prompts arrive", func(p *Pool) {
			for _, id := range []string{"local3", "local4", "local5", "local6", "local7", "local8"} {
				p.Update(directory.Server{ID: id, Address: id, DataCentre: "local", StartedMS: 1, Slots: 6}, start)
			}
		}},
		{"all engines do prefills", func(p *Pool) {
			for range 3 {
				p.RecordPrefill("local1", atMillis(0))
				p.RecordPrefill("local2", atMillis(0))
			}
			p.RecordPrefill("local2", atMillis(0))
		}},
		{"no room on the target", func(p *Pool) {
			p.RecordPrefill("local1", atMillis(0))
			p.RecordPrefill("local1", atMillis(0))
			p.Reserve("local2", 80000, 0, 0)
		}},
		{"target is unreachable", func(p *Pool) {
			p.RecordPrefill("local1", atMillis(0))
			p.RecordPrefill("local1", atMillis(0))
			p.RecordUnreachable("local2", atMillis(0))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newTestPool("local1", "local2")
			p.RecordPrefill("local1", atMillis(0))
			p.RecordRequestStart("local1")
			tt.setUp(p)
			qt.Assert(t, p.SelectRelocationTarget(atMillis(10), testRun, "local1"), qt.IsNil)
		})
	}
	qt.Assert(t, newTestPool("local1").SelectRelocationTarget(atMillis(0), testRun, "gone"), qt.IsNil)
}

// Guards against unbounded growth of the recorded prefills.
func TestReadingsAreBounded(t *testing.T) {
	p := newTestPool("local1")
	for i := range 10 * maxPrefillStarts {
		p.RecordPrefill("local1", atMillis(i))
	}
	qt.Assert(t, p.Get("local1").prefillStarts, qt.HasLen, maxPrefillStarts)
	qt.Assert(t, p.Get("local1").prefillShare(atMillis(1000)), qt.Equals, maxPrefillShare)
	qt.Assert(t, p.Get("local1").prefillShare(atMillis(1000).Add(time.Minute)), qt.Equals, 0.0)
}
