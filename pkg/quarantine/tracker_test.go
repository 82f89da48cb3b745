package quarantine

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// play feeds reports to a tracker, 100 ms apart: "a b" is an engine that ended as it began a
// request with these parts, "a b | c" one on which two requests began, "+a" a sound run.
func play(t *Tracker, start time.Time, reports ...string) (time.Time, []Change) {
	now := start
	var changes []Change
	for i, r := range reports {
		now = now.Add(100 * time.Millisecond)
		if parts, ok := strings.CutPrefix(r, "+"); ok {
			changes = append(changes, t.Record(Report{Parts: strings.Fields(parts)}, now)...)
			continue
		}
		for _, parts := range strings.Split(r, "|") {
			changes = append(changes, t.Record(Report{Parts: strings.Fields(parts), Engine: fmt.Sprint("engine", i), StartedMS: start.UnixMilli()}, now)...)
		}
	}
	return now, changes
}

func newTracker() *Tracker { return NewTracker(rand.New(rand.NewPCG(1, 1))) }

// Guards against a harmful part that goes on ending engines, and against sound requests that are
// kept back because they share other parts with harmful ones or were on the same engine.
func TestSuspectedParts(t *testing.T) {
	for name, c := range map[string]struct {
		reports                string
		suspected, unsuspected string
	}{
		"two engines are not enough":                         {"first bad; first bad", "", "first bad"},
		"the pair until one of its parts is sound":           {"first bad; first bad; first bad", "first bad; bad x first", "first; bad; first x"},
		"the common part of different requests":              {"first bad; other bad; third bad", "bad; first bad", "first; other"},
		"a sound run clears a part of the pair":              {"first bad; first bad; +first; first bad", "bad; new bad", "first; first x"},
		"a sound run of the bad part itself ends it":         {"first bad; first bad; first bad; +first bad", "", "first bad"},
		"others that began on the same engines":              {"first bad | first; first bad | second; first bad | first", "first bad", "first; second"},
		"an engine that ended for another reason":            {"first bad; first; first bad; first bad", "first bad", "first"},
		"a popular part is sound between ended engines":      {"first x; +first; first y; first z; +first; first", "", "first x; first"},
		"two harmful parts":                                  {"a bad; b bad; c bad; a worse; d worse; e worse", "bad; worse", "a; b"},
		"prompts of one part":                                {"bad; bad; bad", "bad; bad x", "x"},
		"the same engine twice is one engine":                {"bad | bad x | bad y", "", "bad"},
		"sound before the first ended engine proves nothing": {"+bad; bad; bad; bad", "bad", "x"},
	} {
		tracker := newTracker()
		play(tracker, time.Now(), strings.Split(c.reports, "; ")...)
		for _, parts := range strings.Split(c.suspected, "; ") {
			qt.Check(t, c.suspected == "" || tracker.IsSuspected(strings.Fields(parts)), qt.IsTrue, qt.Commentf("%s: %s", name, parts))
		}
		for _, parts := range strings.Split(c.unsuspected, "; ") {
			qt.Check(t, tracker.IsSuspected(strings.Fields(parts)), qt.IsFalse, qt.Commentf("%s: %s", name, parts))
		}
	}
}

// Guards against a suspicion that never ends, and against more than one trial in a hold.
func TestSuspectedPartIsTriedAgain(t *testing.T) {
	tracker := newTracker()
	now, changes := play(tracker, time.Now(), "bad", "bad", "bad")
	qt.Assert(t, changes, qt.DeepEquals, []Change{{Parts: []string{"bad"}, Began: true, Endings: 3}})
	admitted, retryAfter := tracker.Admit([]string{"bad"}, now)
	qt.Assert(t, admitted, qt.IsFalse)
	qt.Assert(t, retryAfter >= baseHold && retryAfter <= 2*baseHold, qt.IsTrue)
	now = now.Add(retryAfter)
	admitted, _ = tracker.Admit([]string{"bad"}, now)
	qt.Assert(t, admitted, qt.IsTrue)
	admitted, _ = tracker.Admit([]string{"bad", "x"}, now.Add(time.Second))
	qt.Assert(t, admitted, qt.IsFalse)
	// One more engine doubles the hold.
	now, changes = play(tracker, now.Add(time.Second), "bad")
	qt.Assert(t, changes, qt.HasLen, 0)
	_, longer := tracker.Admit([]string{"bad"}, now)
	qt.Assert(t, longer > retryAfter+baseHold/2, qt.IsTrue)
	_, changes = play(tracker, now, "+bad")
	qt.Assert(t, changes, qt.DeepEquals, []Change{{Parts: []string{"bad"}, Endings: 4}})
}

// Guards against memory that grows with the ended engines and parts, and against evidence that
// counts for ever.
func TestEvidenceIsBounded(t *testing.T) {
	tracker := newTracker()
	now := time.Now()
	for i := range 3 * maxEndings {
		for j := range 2 * maxRequestsPerEnding {
			tracker.Record(Report{Parts: []string{fmt.Sprint(i, j), "bad"}, Engine: fmt.Sprint(i)}, now)
		}
		tracker.Record(Report{Parts: []string{fmt.Sprint("unknown", i)}}, now)
	}
	qt.Assert(t, tracker.endings, qt.HasLen, maxEndings)
	qt.Assert(t, tracker.endings[0].requests, qt.HasLen, maxRequestsPerEnding)
	qt.Assert(t, tracker.soundAt, qt.HasLen, 0)
	qt.Assert(t, tracker.IsSuspected([]string{"bad"}), qt.IsTrue)
	changes := tracker.Expire(now.Add(evidenceTTL + time.Second))
	qt.Assert(t, changes, qt.DeepEquals, []Change{{Parts: []string{"bad"}, Endings: maxEndings}})
	qt.Assert(t, tracker.IsSuspected([]string{"bad"}), qt.IsFalse)
}

// Guards against a flood of reports of sound runs.
func TestUnprovenParts(t *testing.T) {
	tracker := newTracker()
	now, _ := play(tracker, time.Now(), "first bad")
	qt.Assert(t, tracker.Unproven([]string{"x", "first"}, now), qt.DeepEquals, []string{"first"})
	now, _ = play(tracker, now, "+first x")
	qt.Assert(t, tracker.Unproven([]string{"first"}, now), qt.HasLen, 0)
	qt.Assert(t, tracker.Unproven([]string{"first"}, now.Add(soundInterval)), qt.HasLen, 1)
}
