package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	admitted, retryAfter := tracker.Admit([]string{"bad"}, 1, now)
	qt.Assert(t, admitted, qt.IsFalse)
	qt.Assert(t, retryAfter >= baseHold && retryAfter <= 2*baseHold, qt.IsTrue)
	now = now.Add(retryAfter)
	admitted, _ = tracker.Admit([]string{"bad"}, 1, now)
	qt.Assert(t, admitted, qt.IsTrue)
	admitted, _ = tracker.Admit([]string{"bad", "x"}, 1, now.Add(time.Second))
	qt.Assert(t, admitted, qt.IsFalse)
	// One more engine doubles the hold.
	now, changes = play(tracker, now.Add(time.Second), "bad")
	qt.Assert(t, changes, qt.HasLen, 0)
	_, longer := tracker.Admit([]string{"bad"}, 1, now)
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
	// Without a further end, another report would say nothing new.
	qt.Assert(t, tracker.Unproven([]string{"first"}, now.Add(time.Minute)), qt.HasLen, 0)
	tracker.Record(Report{Parts: []string{"first bad"}, Engine: "other"}, now.Add(time.Millisecond))
	tracker.Record(Report{Parts: []string{"first"}, Engine: "other"}, now.Add(time.Millisecond))
	qt.Assert(t, tracker.Unproven([]string{"first"}, now.Add(soundInterval/2)), qt.HasLen, 0)
	qt.Assert(t, tracker.Unproven([]string{"first"}, now.Add(soundInterval)), qt.HasLen, 1)
}

// event is an engine that ends at a time under requests, each with the flags u (uncertain) and r (repeated) and its parts:
// "u first bad", or a run that proved parts sound: "+first".
type event struct {
	at       time.Duration
	engine   string
	requests []string
}

// playEvents feeds events to a tracker whose gateway also has the sound runs.
func playEvents(t *Tracker, start time.Time, events []event) {
	for _, e := range events {
		now := start.Add(e.at)
		for _, r := range e.requests {
			if parts, ok := strings.CutPrefix(r, "+"); ok {
				t.RecordSound(strings.Fields(parts), now)
				t.Record(Report{Parts: t.Unproven(strings.Fields(parts), now)}, now)
				continue
			}
			flags, parts, _ := strings.Cut(r, " ")
			t.Record(Report{
				Parts: strings.Fields(parts), Engine: e.engine, StartedMS: 1, Uncertain: strings.Contains(flags, "u"), Repeated: strings.Contains(flags, "r"),
			}, now)
		}
	}
}

// sameMoment returns engines that end at the same moment under the same requests.
func sameMoment(at time.Duration, count int, requests ...string) (events []event) {
	for i := range count {
		events = append(events, event{at + time.Duration(i)*time.Millisecond, fmt.Sprint(at, "-", i), requests})
	}
	return events
}

// Guards against a harmful part that goes on ending engines because each end is uncertain: it may come before the head of
// the response, or some time after the first event. And against sound requests that are kept back because they waited at
// these engines, or because many engines ended at once for another reason.
func TestUncertainEvidence(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		events                 []event
		suspected, unsuspected string
	}{
		"two moments": {
			[]event{{0, "a", []string{"u first bad"}}, {second, "b", []string{"u first bad"}}}, "", "first bad",
		},
		"three moments": {
			[]event{{0, "a", []string{"u first bad"}}, {second, "b", []string{"u first bad"}}, {2 * second, "c", []string{"u other bad"}}}, "bad", "first; other",
		},
		"three attempts of one request": {
			[]event{{0, "a", []string{"u first bad"}}, {second / 10, "b", []string{"ur first bad"}}, {second / 5, "c", []string{"ur first bad"}}}, "first bad", "first; bad",
		},
		"the same engine again before its new start is known": {
			[]event{{0, "a", []string{"u first bad"}}, {2 * second, "a", []string{"u first bad"}}, {4 * second, "a", []string{"u first bad"}}}, "first bad", "first",
		},
		"several reports of one end": {
			[]event{{0, "a", []string{"u first bad"}}, {second / 3, "a", []string{"u first bad x"}}, {2 * second / 3, "a", []string{"u bad y"}}}, "", "first bad",
		},
		"a hundred engines at once": {sameMoment(0, 100, "u first", "u first popular", "u other"), "", "first; popular; other; first popular"},
		"a third of the engines every six seconds": {
			slices.Concat(sameMoment(0, 30, "u first x", "u first y"), []event{{3 * second, "", []string{"+first"}}},
				sameMoment(6*second, 30, "u first z", "u first y"), []event{{9 * second, "", []string{"+first y"}}},
				sameMoment(12*second, 30, "u first x2", "u first y"), []event{{15 * second, "", []string{"+first"}}}, sameMoment(18*second, 30, "u first y")),
			"", "first; first y; y; first x",
		},
		"requests that wait behind the harmful ones": {
			[]event{
				{0, "a", []string{"u first bad", "u first queued"}}, {second, "b", []string{"u first queued2", "u first bad"}}, {2 * second, "c", []string{"u first queued", "u first bad"}},
				{3 * second, "d", []string{"u first bad", "u first queued"}},
			}, "first bad; first bad x", "first; first queued; queued; first queued2",
		},
		"a popular part that was sound before": {
			[]event{
				{0, "", []string{"+popular"}}, {second, "a", []string{"u popular"}}, {2 * second, "b", []string{"u popular x"}}, {3 * second, "c", []string{"u popular"}},
				{4 * second, "d", []string{"u popular"}},
			}, "", "popular; popular x",
		},
		"a part that was sound before and is no longer": {
			[]event{
				{0, "", []string{"+bad"}}, {second, "a", []string{"u bad"}}, {2 * second, "b", []string{"u bad x"}}, {3 * second, "c", []string{"u bad"}},
				{4 * second, "d", []string{"u bad"}}, {5 * second, "e", []string{"u bad"}},
			}, "bad; bad x", "x",
		},
		"certain and uncertain": {
			[]event{{0, "a", []string{"u first bad"}}, {second / 10, "b", []string{"c first bad"}}, {second / 5, "c", []string{"c first bad"}}, {second / 4, "d", []string{"c first bad"}}},
			"first bad", "first",
		},
	} {
		tracker := newTracker()
		playEvents(tracker, time.Now(), c.events)
		for _, parts := range strings.Split(c.suspected, "; ") {
			qt.Check(t, c.suspected == "" || tracker.IsSuspected(strings.Fields(parts)), qt.IsTrue, qt.Commentf("%s: %s", name, parts))
		}
		for _, parts := range strings.Split(c.unsuspected, "; ") {
			qt.Check(t, tracker.IsSuspected(strings.Fields(parts)), qt.IsFalse, qt.Commentf("%s: %s", name, parts))
		}
	}
}

// Guards against evidence that became known late and counts although a run proved the part sound meanwhile.
func TestSoundRunsBeforeALateReport(t *testing.T) {
	tracker, now := newTracker(), time.Now()
	tracker.RecordSound([]string{"popular"}, now)
	for i := range 6 {
		tracker.Record(Report{Parts: []string{"popular"}, Engine: fmt.Sprint(i), Age: time.Duration(i+1) * time.Second}, now)
	}
	qt.Assert(t, tracker.IsSuspected([]string{"popular"}), qt.IsFalse)
}

// Guards against memory that grows with the prompts that are served.
func TestProvenPartsAreBounded(t *testing.T) {
	tracker, now := newTracker(), time.Now()
	for i := range 10 * maxProvenParts {
		tracker.RecordSound([]string{fmt.Sprint(i), "popular"}, now)
	}
	qt.Assert(t, len(tracker.proven)+len(tracker.formerlyProven) <= maxProvenParts, qt.IsTrue)
	qt.Assert(t, tracker.provenAt("popular"), qt.Equals, now)
}

// Guards against trials that add up: all gateways together let three requests at most through to engines within hours,
// whatever their number, and each gateway gets a request with the part every second.
func TestTrialsOfAllGateways(t *testing.T) {
	// reportTime is how long the others take to learn of an ended engine.
	const reportTime = 2 * time.Second
	for _, test := range []struct {
		gateways int
		length   time.Duration
	}{{3, 8 * time.Hour}, {16, 4 * time.Hour}, {95, time.Hour}, {300, time.Hour}, {1000, 30 * time.Minute}} {
		random := rand.New(rand.NewPCG(7, uint64(test.gateways)))
		start := time.Now()
		trackers := make([]*Tracker, test.gateways)
		for i := range trackers {
			trackers[i] = NewTracker(random)
			for end := range 3 {
				trackers[i].Record(Report{Parts: []string{"bad"}, Engine: fmt.Sprint(end)}, start)
			}
		}
		type trial struct {
			gateway int
			at      time.Time
		}
		var unreported []trial
		trials := 0
		for now := start; now.Sub(start) < test.length; now = now.Add(time.Second) {
			for len(unreported) > 0 && now.Sub(unreported[0].at) >= reportTime {
				for i, tracker := range trackers {
					if i != unreported[0].gateway {
						tracker.Record(Report{Parts: []string{"bad"}, Engine: fmt.Sprint("trial of ", unreported[0].gateway), StartedMS: unreported[0].at.UnixMilli(), Age: reportTime}, now)
					}
				}
				unreported = unreported[1:]
			}
			for i, tracker := range trackers {
				tracker.Expire(now)
				if admitted, _ := tracker.Admit([]string{"bad"}, test.gateways, now); admitted {
					trials++
					unreported = append(unreported, trial{i, now})
					tracker.Record(Report{Parts: []string{"bad"}, Engine: fmt.Sprint("trial of ", i), StartedMS: now.UnixMilli()}, now)
				}
			}
		}
		t.Logf("%d gateways, %s: %d trials", test.gateways, test.length, trials)
		qt.Check(t, trials >= 1 && trials <= 3, qt.IsTrue, qt.Commentf("%d gateways, %s: %d trials", test.gateways, test.length, trials))
	}
}

// Measures the report of an engine that ended with many others under requests with common parts.
func BenchmarkRecordEndOfMany(b *testing.B) {
	tracker, now := newTracker(), time.Now()
	for i := range 2 * maxEndings {
		for j := range maxRequestsPerEnding {
			tracker.Record(Report{Parts: []string{"popular", fmt.Sprint(i % 8), fmt.Sprint(i, j)}, Engine: fmt.Sprint(i), Uncertain: true}, now)
		}
	}
	i := 0
	for b.Loop() {
		i++
		tracker.Record(Report{Parts: []string{"popular", fmt.Sprint(i % 8)}, Engine: fmt.Sprint("e", i), Uncertain: true}, now)
	}
}
