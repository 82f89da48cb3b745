package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	testStart  = time.Unix(1_700_000_000, 0)
	testBounds = Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}
)

func responses(route string, newVersion bool, good, failed int, latency time.Duration) Counts {
	c := Counts{Route: route, NewVersion: newVersion, Sent: uint64(good + failed), Succeeded: uint64(good), Failed: uint64(failed)}
	c.Latencies[bucketOf(latency)] = uint32(good)
	return c
}

func situation(after time.Duration) Situation {
	return Situation{
		Now: testStart.Add(after), OrderedAt: testStart, StepAt: testStart, LeadingSince: testStart.Add(-time.Hour),
		Connected: 1, NewServers: 3, NewSlots: 30, OldSlots: 30,
	}
}

// Guards against counts that are lost or counted twice when a gateway restarts, or a report is repeated,
// overtaken by a later one or of another rollout.
func TestReportsAddUp(t *testing.T) {
	e := NewEvidence(7)
	report := func(number uint64, sent int) Report {
		return Report{Number: number, Counts: []Counts{responses("r", true, sent, 0, time.Millisecond)}}
	}
	for i, step := range []struct {
		instance    string
		incarnation uint64
		report      Report
		accepted    bool
		want        uint64
	}{
		{"a", 1, report(7, 10), true, 10}, {"a", 1, report(7, 10), true, 10}, {"a", 1, report(7, 4), false, 10},
		{"b", 1, report(7, 5), true, 15}, {"a", 2, report(7, 1), true, 16}, {"a", 1, report(7, 12), true, 18},
		{"b", 1, report(6, 50), false, 18}, {"a", 2, report(7, 3), true, 20},
	} {
		accepted := e.Add(step.instance, step.incarnation, step.report, testStart)
		sent, _ := e.Sent()
		qt.Assert(t, accepted, qt.Equals, step.accepted, qt.Commentf("report %d", i))
		qt.Assert(t, sent, qt.Equals, step.want, qt.Commentf("report %d", i))
	}
	qt.Assert(t, e.Reporting(testStart.Add(-time.Second)), qt.Equals, 2)
}

// Guards against a share that is raised, or a rollout that never ends, while no gateway reports.
func TestWithoutReports(t *testing.T) {
	r := Record{Number: 1, Duration: 5 * time.Second}
	e := NewEvidence(1)
	for after := time.Duration(0); after < r.Duration+RollbackReserve; after += 100 * time.Millisecond {
		qt.Assert(t, Decide(r, e, testBounds, situation(after)).Change, qt.IsFalse)
	}
	d := Decide(r, e, testBounds, situation(r.Duration+RollbackReserve))
	qt.Assert(t, d.State, qt.Equals, RolledBack)
	qt.Assert(t, d.Reason, qt.Equals, "time_limit")
}

// Guards against requests to a version whose servers do not exist yet or still warm up, and against a step
// that its servers have no room for.
func TestRoomOfNewServers(t *testing.T) {
	r := Record{Number: 1, Duration: 20 * time.Second}
	e := NewEvidence(1)
	e.Add("a", 1, Report{Number: 1, OldInFlight: 20, Counts: []Counts{responses("r", false, 400, 0, time.Second)}}, testStart.Add(900*time.Millisecond))
	s := situation(time.Second)
	s.NewServers = 0
	qt.Assert(t, Decide(r, e, testBounds, s).Change, qt.IsFalse)
	s.NewServers, s.WarmingServers = 3, 1
	qt.Assert(t, Decide(r, e, testBounds, s).Change, qt.IsFalse)
	s.WarmingServers, s.NewSlots = 0, 1
	d := Decide(r, e, testBounds, s)
	qt.Assert(t, d.Change && d.Share <= 0.05, qt.IsTrue, qt.Commentf("%+v", d))
	qt.Assert(t, newPlan(r, e, testBounds, s).room() < 1, qt.IsTrue)
}

// Guards against old servers that end while a gateway has requests there: one that has not reported share 1, has
// requests in flight, is silent for less than 5 s, or has not reported to a new leader yet.
func TestCompletionWaitsForEveryGateway(t *testing.T) {
	r := Record{Number: 1, Step: 3, Share: 1, Duration: 8 * time.Second}
	counts := func(n int) []Counts {
		return []Counts{responses("r", true, n, 0, 10*time.Millisecond), responses("r", false, 500, 0, 10*time.Millisecond)}
	}
	const at = 7 * time.Second
	decide := func(change func(e *Evidence, s *Situation)) Decision {
		e := NewEvidence(1)
		for i, n := range []int{10, 100} {
			for _, gateway := range []string{"a", "b"} {
				e.Add(gateway, 1, Report{Number: 1, Step: 3, Counts: counts(n)}, testStart.Add(at-time.Duration(500-300*i)*time.Millisecond))
			}
		}
		s := situation(at)
		s.StepAt, s.Connected = testStart.Add(at-time.Second), 2
		change(e, &s)
		return Decide(r, e, testBounds, s)
	}
	d := decide(func(*Evidence, *Situation) {})
	qt.Assert(t, d.State, qt.Equals, Complete, qt.Commentf("%+v", d))
	for name, change := range map[string]func(e *Evidence, s *Situation){
		"in flight": func(e *Evidence, _ *Situation) {
			e.Add("b", 1, Report{Number: 1, Step: 3, OldInFlight: 1, Counts: counts(101)}, testStart.Add(at))
		},
		"earlier step": func(e *Evidence, _ *Situation) {
			e.Add("c", 1, Report{Number: 1, Step: 2, Counts: counts(1)}, testStart.Add(at))
		},
		"silent for less than 5 s": func(e *Evidence, _ *Situation) {
			e.Add("c", 1, Report{Number: 1, Step: 2, Counts: counts(1)}, testStart.Add(at-4*time.Second))
		},
		"new leader": func(_ *Evidence, s *Situation) { s.LeadingSince, s.Connected = testStart.Add(at-2*time.Second), 3 },
	} {
		qt.Assert(t, decide(change).State, qt.Equals, InProgress, qt.Commentf(name))
	}
	d = decide(func(e *Evidence, _ *Situation) {
		e.Add("c", 1, Report{Number: 1, Step: 2, Counts: counts(1)}, testStart.Add(at-6*time.Second))
	})
	qt.Assert(t, d.State, qt.Equals, Complete, qt.Commentf("silent for more than 5 s: %+v", d))
}

// Guards against a verdict that blames the new version for what all versions do, or that misses what only one
// route shows.
func TestVerdict(t *testing.T) {
	fast, slow := 20*time.Millisecond, 120*time.Millisecond
	for _, tt := range []struct {
		name   string
		counts []Counts
		want   Fault
		route  string
	}{
		{"both fail alike", []Counts{responses("r", false, 300, 100, fast), responses("r", true, 30, 12, fast)}, NoFault, ""},
		{"new one fails", []Counts{responses("r", false, 300, 0, fast), responses("r", true, 12, 8, fast)}, Failures, ""},
		{"new one is slow", []Counts{responses("r", false, 300, 0, fast), responses("r", true, 8, 0, slow)}, Latency, ""},
		{"one failure", []Counts{responses("r", false, 300, 0, fast), responses("r", true, 0, 1, fast)}, NoFault, ""},
		{"unknown base", []Counts{responses("r", true, 4, 4, fast)}, NoFault, ""},
		{"one route", []Counts{
			responses("a", false, 300, 0, fast), responses("a", true, 900, 0, fast),
			responses("b", false, 300, 0, fast), responses("b", true, 10, 8, fast),
		}, Failures, "b"},
	} {
		e := NewEvidence(1)
		e.Add("a", 1, Report{Number: 1, Counts: tt.counts}, testStart)
		e.Observe(testStart)
		v := e.Judge(testStart)
		qt.Check(t, v.Bad, qt.Equals, tt.want != NoFault, qt.Commentf("%s: %+v", tt.name, v))
		if v.Bad {
			qt.Check(t, v.Fault, qt.Equals, tt.want, qt.Commentf(tt.name))
		}
		if tt.route != "" {
			qt.Check(t, v.Route, qt.Equals, tt.route, qt.Commentf(tt.name))
		}
	}
}

// Guards against a new version that accepts requests and answers none: no response is bad then.
func TestVersionThatDoesNotAnswer(t *testing.T) {
	e := NewEvidence(1)
	for i := range 40 {
		now := testStart.Add(time.Duration(i) * 100 * time.Millisecond)
		e.Add("a", 1, Report{Number: 1, Counts: []Counts{
			responses("r", false, 100+10*i, 0, 20*time.Millisecond), {Route: "r", NewVersion: true, Sent: uint64(i)},
		}}, now)
		e.Observe(now)
	}
	v := e.Judge(testStart.Add(4 * time.Second))
	qt.Assert(t, v.Bad, qt.IsTrue, qt.Commentf("%+v", v))
	qt.Assert(t, v.Fault, qt.Equals, Latency)
}

// Guards against a binomial tail that is off by the term at k, or not a probability.
func TestBinomialTail(t *testing.T) {
	for _, tt := range []struct{ n, k, p, want float64 }{
		{3, 3, 0.5, 0.125}, {3, 2, 0.5, 0.5}, {10, 1, 0.1, 0.6513215599}, {5, 0, 0.3, 1}, {4, 4, 1, 1}, {1, 1, 0.02, 0.02},
	} {
		got := binomialTail(tt.n, tt.k, tt.p)
		qt.Check(t, got > tt.want-1e-6 && got < tt.want+1e-6, qt.IsTrue, qt.Commentf("%+v: %g", tt, got))
	}
}
