package overload

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// Guards against a large organisation that is cut although it sends what it always does, and against one that keeps
// more than its usual share by sending many times its usual load.
func TestExcessIsRefusedFirst(t *testing.T) {
	var o Organisations
	o.HandleTotals([]usage.OrganisationCalls{
		{Organisation: "large", Offered: 100, Usual: 100}, {Organisation: "small", Offered: 10, Usual: 10},
		{Organisation: "loud", Offered: 75, Usual: 10},
	})
	const offered, capacity = 185.0, 120.0
	qt.Assert(t, o.Share("large", capacity/offered, offered), qt.Equals, 1.0)
	qt.Assert(t, o.Share("small", capacity/offered, offered), qt.Equals, 1.0)
	loud := o.Share("loud", capacity/offered, offered)
	qt.Assert(t, loud*75 > 9.9 && loud*75 < 10.1, qt.IsTrue, qt.Commentf("%.2f calls per second", loud*75))
	qt.Assert(t, o.Share("unknown", capacity/offered, offered), qt.Equals, 1.0)
}

// Guards against shares that add up to another rate than the one that is admitted.
func TestSharesAddUp(t *testing.T) {
	var list []usage.OrganisationCalls
	offered := 0.0
	for i := range 24 {
		c := usage.OrganisationCalls{Organisation: fmt.Sprint(i), Offered: float64(1 + i*i%17), Usual: float64(1 + i%5)}
		list, offered = append(list, c), offered+c.Offered
	}
	var o Organisations
	o.HandleTotals(list)
	for _, share := range []float64{0.05, 0.3, 0.7, 0.95, 1} {
		admitted := 0.0
		for _, c := range list {
			admitted += c.Offered * o.Share(c.Organisation, share, offered)
		}
		qt.Assert(t, admitted > share*offered-1e-6 && admitted < share*offered+1e-6, qt.IsTrue, qt.Commentf("%.2f of %.2f", admitted, share*offered))
	}
}

// Guards against shares by organisation without the demand of the others, which would refuse by what one gateway sees.
func TestOrganisationsWithoutTotals(t *testing.T) {
	var o Organisations
	o.Record("a", at(0))
	qt.Assert(t, o.Share("a", 0.4, 100), qt.Equals, 0.4)
}

// Guards against an overload that raises the usual load of the organisation that causes it.
func TestUsualLoadIsMeasuredInCalm(t *testing.T) {
	var c Calls
	second := func(i int, calls int) {
		for j := range calls {
			c.Admit("a", false, 0, 0, at(time.Duration(i)*time.Second+time.Duration(j)*time.Second/time.Duration(calls)))
		}
		c.ReportOrganisations(at(time.Duration(i+1)*time.Second - time.Millisecond))
	}
	for i := range 30 {
		second(i, 4)
	}
	usual := func() float64 { return c.Organisations.Report(at(30 * time.Second))[0].Usual }
	qt.Assert(t, usual() > 3.3 && usual() < 4.7, qt.IsTrue, qt.Commentf("%.2f", usual()))
	before := usual()
	for i := 30; i < 60; i++ {
		c.HandleTotals(overloadedTotals, usage.Calls{}, nil, 0, at(time.Duration(i)*time.Second))
		c.RecordReport(24, 6, at(time.Duration(i)*time.Second))
		second(i, 30)
	}
	reported := c.ReportOrganisations(at(60 * time.Second))
	qt.Assert(t, reported, qt.HasLen, 1)
	qt.Assert(t, reported[0].Usual, qt.Equals, before)
	qt.Assert(t, reported[0].Offered > 20, qt.IsTrue)
}

func BenchmarkOrganisationShare(b *testing.B) {
	var list []usage.OrganisationCalls
	for i := range usage.MaxOrganisations {
		list = append(list, usage.OrganisationCalls{Organisation: fmt.Sprint(i), Offered: float64(1 + i), Usual: 5})
	}
	var o Organisations
	o.HandleTotals(list)
	b.ReportAllocs()
	for i := range b.N {
		o.Record("7", at(time.Duration(i)*time.Microsecond))
		o.Share("7", 0.7, 528)
	}
}

// Guards against a few requests in one second that count as an excess, and against an excess that is not seen for long.
func TestExcessOfStreams(t *testing.T) {
	o := Organisations{Smoothing: 0.25}
	second := func(offered float64) {
		o.HandleTotals([]usage.OrganisationCalls{{Organisation: "a", Offered: offered, Usual: 2}, {Organisation: "b", Offered: 2, Usual: 2}})
	}
	second(2)
	second(4)
	qt.Assert(t, o.ExcessShare("a"), qt.Equals, 0.0)
	for range 4 {
		second(15)
	}
	share := o.ExcessShare("a")
	qt.Assert(t, share > 0.6 && share < 0.8, qt.IsTrue, qt.Commentf("%.2f", share))
	qt.Assert(t, o.ExcessShare("b"), qt.Equals, 0.0)
	qt.Assert(t, o.ExcessShare("unknown"), qt.Equals, 0.0)
	o.HandleTotals(nil)
	qt.Assert(t, o.ExcessShare("a"), qt.Equals, 0.0, qt.Commentf("no gateway reports an overload"))
}
