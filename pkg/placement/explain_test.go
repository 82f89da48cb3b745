package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
)

// Guards against an explanation that differs from the decision, or changes the next one.
func TestExplanationsMatchDecisions(t *testing.T) {
	p := newEnginePool(1, 6)
	now := learnPaces(p, time.Unix(1000, 0), []float64{1.67, 1, 0.62, 1.67, 1, 0.62})
	run := Run{Tokens: 8000, EngineMemoryTokens: 88000}
	p.RecordUnreachable("e5", now)
	for i := range 40 {
		id := fmt.Sprint("e", i%6)
		p.RecordRequestStart(id)
		if i%3 == 0 {
			p.Reserve(id, 0, 0, 1)
		}
		d := p.ExplainRun(now, run, 8000)
		selected := p.SelectFreeEngine(now, run)
		if selected == nil {
			qt.Assert(t, d.Server, qt.Equals, "")
			qt.Assert(t, d.Reason, qt.Equals, "waits: no engine has a place")
			break
		}
		qt.Assert(t, p.placementCost(selected, now, run), qt.Equals, p.placementCost(p.Get(d.Server), now, run))
	}
	d := p.ExplainRun(now, run, 8000)
	qt.Assert(t, d.Candidates, qt.HasLen, 6)
	for _, c := range d.Candidates {
		qt.Check(t, c.Source, qt.Equals, pace.SourceOwn)
		qt.Check(t, c.PrefillMS > 0 && c.AgeMS >= 0, qt.IsTrue, qt.Commentf("%+v", c))
		qt.Check(t, c.Avoided, qt.Equals, c.Server == "e5")
	}
	calls := newEnginePool(1, 2)
	calls.RecordRequestStart("e0")
	qt.Check(t, calls.ExplainCall(now).Server, qt.Equals, "e1")
	calls.Update(directory.Server{ID: "e1", Service: "s", DataCentre: "a", StartedMS: 1, State: directory.Leaving}, now)
	qt.Check(t, calls.ExplainCall(now).Server, qt.Equals, "e0")
	qt.Check(t, NewPool("a", p.rand).ExplainCall(now), qt.DeepEquals, Decision{Reason: "no server takes requests", Candidates: []Candidate{}})
}
