package usage

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_700_000_000, 0)

// settledTable returns a table that has run long enough to know its gateways.
func settledTable() *Table { return NewTable(start.Add(-time.Minute)) }

// Guards against a budget that is granted again after a restart of all, and against one that is kept back although nothing was
// sent before.
func TestGrantsAfterAStart(t *testing.T) {
	const slack = 100
	granted := func(table *Table, uptime time.Duration) float64 {
		r := Report{Services: Services{"s": {Demand: 1, Wanted: slack}}, RetrySlack: slack, Uptime: uptime}
		return table.Exchange("g", r, 1, start).Ceilings["s"]
	}
	restarted := func() *Table { return NewTable(start.Add(-settleTime)) }
	first := restarted()
	first.SetNoHistory()
	qt.Check(t, granted(settledTable(), time.Second) > slack/2, qt.IsTrue)
	qt.Check(t, granted(restarted(), time.Minute) > slack/2, qt.IsTrue)
	qt.Check(t, granted(first, time.Second) > slack/2, qt.IsTrue)
	qt.Check(t, granted(restarted(), time.Second) <= LostHistoryShare*slack, qt.IsTrue)
}

// Guards against shares that add up to more than the whole, and against idle gateways that hold a
// share which others need.
func TestSharesFollowDemand(t *testing.T) {
	for _, gateways := range []int{1, 3, 16, 89, 300} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			table := settledTable()
			views := make([]View, gateways)
			demand := func(i int) float64 { return float64(i % 4) }
			for range 2 {
				for i := range views {
					r := Report{Services: Services{"s": {Demand: demand(i)}}}
					table.Record(fmt.Sprint(i), r, start)
					views[i].Update(table.Totals(start, gateways), r, start)
				}
			}
			sum := 0.0
			for i := range views {
				share := views[i].Share("s", demand(i), start)
				if demand(i) == 0 && gateways > 1 {
					qt.Assert(t, share, qt.Equals, 0.0)
				}
				sum += share
			}
			qt.Assert(t, sum <= 1+1e-9, qt.IsTrue, qt.Commentf("the shares add up to %g", sum))
			qt.Assert(t, gateways == 1 || sum > 0.99, qt.IsTrue, qt.Commentf("the shares add up to %g", sum))
		})
	}
}

// Guards against gateways that take the share of others which have not reported yet, as after the
// loss of the coordinator that had the reports, or which are cut off.
func TestShareWhileReportsAreMissing(t *testing.T) {
	const gateways = 89
	table := settledTable()
	views := make([]View, gateways)
	sum := 0.0
	for i := range views {
		r := Report{Services: Services{"s": {Demand: 1}}}
		table.Record(fmt.Sprint(i), r, start)
		views[i].Update(table.Totals(start, gateways), r, start)
		sum += views[i].Share("s", 1, start)
	}
	qt.Assert(t, sum <= 1.01, qt.IsTrue, qt.Commentf("the shares add up to %g", sum))

	// Two thirds of the gateways are cut off: the others know how many there were.
	partial := settledTable()
	sum = 0
	later := start.Add(20 * time.Second)
	for i := range gateways / 3 {
		partial.Record(fmt.Sprint(i), Report{Services: Services{"s": {Demand: 1}}}, later)
	}
	for i := range gateways / 3 {
		views[i].Update(partial.Totals(later, gateways/3), Report{Services: Services{"s": {Demand: 1}}}, later)
		sum += views[i].Share("s", 1, later)
	}
	qt.Assert(t, sum < 0.4, qt.IsTrue, qt.Commentf("a third of the gateways takes %g", sum))
	// A gateway that hears of no totals any more takes an equal share, and one that has just started
	// takes none.
	qt.Assert(t, views[88].Share("s", 50, later.Add(time.Second)), qt.Equals, 1.0/gateways)
	qt.Assert(t, (&View{}).Share("s", 50, start), qt.Equals, 0.0)
}

// Guards against a coordinator that has just started and passes the reports of few gateways for those
// of all.
func TestTotalsOfAStartingCoordinator(t *testing.T) {
	table := NewTable(start)
	r := Report{Services: Services{"s": {Requests: 10, Retries: 1, Demand: 1}}}
	table.Record("a", r, start)
	var v View
	v.Update(table.Totals(start, 1), r, start)
	_, ok := v.Common("s", r.Services["s"], start, TotalsTTL)
	qt.Assert(t, ok, qt.IsFalse)
	later := start.Add(settleTime)
	table.Record("b", r, later.Add(-time.Second))
	v.Update(table.Totals(later, 2), r, later)
	common, ok := v.Common("s", Service{Requests: 14, Retries: 3, Demand: 2}, later, TotalsTTL)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, common, qt.Equals, Common{
		Total: Service{Requests: 24, Retries: 2, Demand: 3, Ceiling: 2}, NewRetries: 2, Gateways: 2, Coverage: 1,
	})
	// The report of a gateway that is gone is dropped.
	qt.Assert(t, table.Totals(later.Add(2*reportTTL), 1).Reporting, qt.Equals, 0)
}

// Guards against a budget that shrinks as gateways are killed: their requests were sent in the window too.
func TestRequestsOfEndedProcessesCount(t *testing.T) {
	table := settledTable()
	table.Record("a", Report{Incarnation: 1, Services: Services{"s": {Requests: 100, Retries: 30, Demand: 10}}}, start)
	table.Record("a", Report{Incarnation: 2, Services: Services{"s": {Requests: 1}}}, start)
	for _, tt := range []struct {
		after                     time.Duration
		wantRequests, wantRetries float64
	}{{0, 101, 30}, {endedTTL / 2, 51, 30}, {endedTTL, 1, 30}, {endedTTL + time.Millisecond, 1, 0}} {
		now := start.Add(tt.after)
		table.Record("a", Report{Incarnation: 2, Services: Services{"s": {Requests: 1}}}, now)
		totals := table.Totals(now, 1).Services["s"]
		qt.Assert(t, totals, qt.Equals, Service{Requests: tt.wantRequests, Retries: tt.wantRetries, Ceiling: tt.wantRetries})
	}
}

// Guards against grants that add up to more than the budget: whatever gateways report, and in whatever
// order, all that they may still send stays within it, also with the part that an ended process held.
func TestGrantsKeepToTheBudget(t *testing.T) {
	const ratio, slack = 0.8, 150.0
	table := settledTable()
	report := func(requests, retries, ceiling float64) Report {
		return Report{
			Incarnation: 1, Services: Services{"s": {Requests: requests, Retries: retries, Demand: requests / 10, Ceiling: ceiling}},
			RetryRatio: ratio, RetrySlack: slack, Gateways: 3,
		}
	}
	budget := func(requests float64) float64 { return MaxBudgetShare * (ratio*requests + slack) }
	ceilings := map[string]float64{}
	for _, g := range []string{"a", "b", "c", "a", "b", "c"} {
		ceilings[g] = table.Exchange(g, report(40, 0, ceilings[g]/2), 3, start).Ceilings["s"]
		qt.Assert(t, ceilings["a"]+ceilings["b"]+ceilings["c"] <= budget(120), qt.IsTrue, qt.Commentf("%v", ceilings))
	}
	// A gateway that needs more gets what the others give back.
	retries := 0.0
	for range 8 {
		retries = ceilings["a"]
		for _, g := range []string{"a", "b", "c"} {
			r := report(40, 0, ceilings[g]/2)
			if g == "a" {
				r = report(40, retries, retries)
			}
			ceilings[g] = table.Exchange(g, r, 3, start).Ceilings["s"]
			qt.Assert(t, ceilings["a"]+ceilings["b"]+ceilings["c"] <= budget(120), qt.IsTrue, qt.Commentf("%v", ceilings))
		}
	}
	qt.Assert(t, ceilings["a"] > budget(120)/2, qt.IsTrue, qt.Commentf("%v", ceilings))
	// All use what they may. The process of c ends unseen and another one reports.
	restarted := report(0, 0, 0)
	restarted.Incarnation = 2
	granted := table.Exchange("c", restarted, 3, start).Ceilings["s"]
	qt.Assert(t, ceilings["a"]+ceilings["b"]+ceilings["c"]+granted <= budget(120), qt.IsTrue, qt.Commentf("%v and %g", ceilings, granted))
	// A coordinator that has just started and a gateway of an earlier version grant and get nothing.
	qt.Assert(t, NewTable(start).Exchange("a", report(40, 0, 0), 1, start).Ceilings, qt.IsNil)
	qt.Assert(t, table.Exchange("a", Report{Services: Services{"s": {Requests: 4}}}, 3, start).Ceilings, qt.IsNil)
}

// Guards against an organisation whose demand is not that of all gateways together, and against more organisations in
// the totals than the control budget allows.
func TestOrganisationsOfAllGateways(t *testing.T) {
	start := time.Unix(1000, 0)
	table := NewTable(start)
	report := func(instance string, offered float64) Report {
		r := Report{Organisations: Organisations{"s": {{Organisation: "a", Offered: offered, Usual: 1}}}}
		for i := range 2 * MaxOrganisations {
			r.Organisations["s"] = append(r.Organisations["s"], OrganisationCalls{Organisation: instance + string(rune('A'+i)), Offered: 0.1})
		}
		return r
	}
	table.Record("g1", report("g1", 3), start)
	table.Record("g2", report("g2", 4), start)
	table.Record("g3", Report{}, start)
	organisations := table.Totals(start.Add(time.Second), 3).Organisations["s"]
	qt.Assert(t, organisations, qt.HasLen, MaxOrganisations)
	qt.Assert(t, organisations[0], qt.Equals, OrganisationCalls{Organisation: "a", Offered: 7, Usual: 2})
}
