package overload

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

var testStart = time.Unix(1000, 0)

// at returns a time of a test.
func at(d time.Duration) time.Time { return testStart.Add(d) }

// overloadedTotals are the totals of 230 calls per second at servers that serve 200, with a full queue.
var overloadedTotals = usage.Calls{Offered: 230, Sent: 230, Served: 200, Full: 30, Reports: 230, Queue: 4 * 230}

// Guards against a refusal while servers report no waiting call, whatever the demand and the totals are.
func TestNothingIsRefusedWhileNothingWaits(t *testing.T) {
	var c Calls
	for i := range 50 {
		now := at(time.Duration(i) * 20 * time.Millisecond)
		qt.Assert(t, c.Admit("a", false, 1, 0.999, now), qt.IsTrue)
		c.RecordSend(now)
		c.RecordServed(now)
		c.RecordReport(0, 6, now)
	}
	c.HandleTotals(overloadedTotals, usage.Calls{}, nil, 200, at(0))
	onTime, late := c.Shares(200, at(2*time.Second))
	qt.Assert(t, onTime, qt.Equals, 1.0)
	qt.Assert(t, late, qt.Equals, 1.0)
}

// Guards against an admitted rate that is not the measured capacity, and against late calls that take the places of
// those that can be on time.
func TestAdmittedShareFollowsTheMeasuredCapacity(t *testing.T) {
	var c Calls
	c.SetObjective(150*time.Millisecond, 30*time.Millisecond)
	c.HandleTotals(overloadedTotals, usage.Calls{}, nil, 0, at(0))
	onTime, late := c.Shares(0, at(100*time.Millisecond))
	qt.Assert(t, onTime > 0.55 && onTime < 200.0/230, qt.IsTrue, qt.Commentf("share %.3f", onTime))
	qt.Assert(t, late, qt.Equals, 0.0)
	// Servers that complete as much with a short queue leave the share of the capacity.
	steady := usage.Calls{Offered: 230, Sent: 200, Served: 200, Reports: 200, Queue: 80}
	for i := 1; i < 4; i++ {
		c.HandleTotals(steady, usage.Calls{}, nil, 0, at(time.Duration(i)*time.Second))
	}
	onTime, _ = c.Shares(0, at(3*time.Second))
	qt.Assert(t, onTime > 0.84 && onTime < 0.96, qt.IsTrue, qt.Commentf("share %.3f", onTime))
}

// Guards against refusals that go on after servers were added or a burst has ended: the share follows the ready
// servers at once, and load reports without waiting calls within a third of a second.
func TestOverloadEnds(t *testing.T) {
	var c Calls
	c.HandleTotals(overloadedTotals, usage.Calls{}, nil, 200, at(0))
	c.RecordReport(12, 6, at(0))
	before, _ := c.Shares(200, at(10*time.Millisecond))
	qt.Assert(t, before < 0.9, qt.IsTrue)
	withServers, _ := c.Shares(600, at(10*time.Millisecond))
	qt.Assert(t, withServers, qt.Equals, 1.0)
	for i := range 5 {
		c.RecordReport(0, 6, at(time.Duration(100+100*i)*time.Millisecond))
	}
	after, _ := c.Shares(200, at(510*time.Millisecond))
	qt.Assert(t, after, qt.Equals, 1.0)
}

// Guards against a gateway without coordinators that refuses all, or nothing, of what it is offered.
func TestLocalShareFollowsLoadReports(t *testing.T) {
	var c Calls
	for i := range 200 {
		c.RecordReport(24, 6, at(time.Duration(i)*50*time.Millisecond))
	}
	full, late := c.Shares(0, at(10*time.Second))
	qt.Assert(t, full > 0.29 && full < 0.31, qt.IsTrue, qt.Commentf("share %.3f", full))
	qt.Assert(t, late, qt.Equals, 0.0)
	for i := range 40 {
		c.RecordReport(1, 6, at(10*time.Second+time.Duration(i)*50*time.Millisecond))
	}
	light, _ := c.Shares(0, at(12*time.Second))
	qt.Assert(t, light, qt.Equals, 1.0)
}

// Guards against rates over another period than the last second, which would hide the end of a burst.
func TestRatesCoverTheLastSecond(t *testing.T) {
	var c Calls
	for i := range 500 {
		c.Admit("a", false, 0, 0, at(time.Duration(i)*10*time.Millisecond))
	}
	rate := c.Rates(at(5 * time.Second)).Offered
	qt.Assert(t, rate > 75 && rate < 125, qt.IsTrue, qt.Commentf("%.1f per second", rate))
	qt.Assert(t, c.Rates(at(7*time.Second)).Offered, qt.Equals, 0.0)
}

// Guards against callers with a shorter time limit than the route allows that count as late for good, and against
// repeated calls that do not.
func TestLateCalls(t *testing.T) {
	const limit, objective, duration = 1200 * time.Millisecond, 200 * time.Millisecond, 30 * time.Millisecond
	var limits TimeLimits
	for i := range 40 {
		qt.Assert(t, limits.IsLate(limit, limit, objective, duration), qt.IsFalse)
		isLate := limits.IsLate(600*time.Millisecond, limit, objective, duration)
		qt.Assert(t, isLate, qt.Equals, i < minCommonCalls-1)
		repeated := time.Duration(700+(i*37)%200) * time.Millisecond
		qt.Assert(t, limits.IsLate(repeated, limit, objective, duration), qt.IsTrue, qt.Commentf("call %d", i))
	}
	qt.Assert(t, limits.IsLate(1190*time.Millisecond, limit, objective, duration), qt.IsFalse)
	qt.Assert(t, limits.IsLate(0, limit, objective, duration), qt.IsFalse)
}

func BenchmarkAdmit(b *testing.B) {
	var c Calls
	c.HandleTotals(overloadedTotals, usage.Calls{}, nil, 200, at(0))
	b.ReportAllocs()
	for i := range b.N {
		now := at(time.Duration(i) * time.Microsecond)
		if i%100 == 0 {
			c.RecordReport(12, 6, now)
			c.HandleTotals(overloadedTotals, usage.Calls{}, nil, 200, now)
		}
		c.Admit("a", i%4 == 0, 200, 0.5, now)
	}
}
