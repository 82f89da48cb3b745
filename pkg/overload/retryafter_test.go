package overload

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// Guards against a time that callers do not wait for, times that bring all callers back together, and times before
// there is room.
func TestRetryAfter(t *testing.T) {
	for _, test := range []struct{ room, left, shortest, longest time.Duration }{
		{0, 1200 * time.Millisecond, 235 * time.Millisecond, 400 * time.Millisecond},
		{10 * time.Second, 1200 * time.Millisecond, 235 * time.Millisecond, 400 * time.Millisecond},
		{120 * time.Millisecond, 1200 * time.Millisecond, 120 * time.Millisecond, 180 * time.Millisecond},
		{time.Millisecond, 1200 * time.Millisecond, 50 * time.Millisecond, 50 * time.Millisecond},
		{60 * time.Millisecond, 90 * time.Millisecond, 0, 30 * time.Millisecond},
		{60 * time.Millisecond, -time.Second, 0, 0},
	} {
		for _, random := range []float64{0, 0.5, 1} {
			got := RetryAfter(test.room, test.left, random)
			qt.Check(t, got >= test.shortest && got <= test.longest, qt.IsTrue, qt.Commentf("%+v: %s", test, got))
		}
		if test.longest > test.shortest {
			qt.Check(t, RetryAfter(test.room, test.left, 0) != RetryAfter(test.room, test.left, 1), qt.IsTrue, qt.Commentf("%+v", test))
		}
	}
}

// Guards against a promise of room while more calls are offered than the servers serve.
func TestNoRoomUnderOverload(t *testing.T) {
	var c Calls
	c.HandleTotals(usage.Calls{Offered: 20, Sent: 20, Served: 20, Reports: 20}, usage.Calls{}, nil, 0, at(0))
	c.RecordReport(6, 6, at(0))
	qt.Assert(t, c.Room(0, 30*time.Millisecond, at(0)), qt.Equals, 60*time.Millisecond)
	c.HandleTotals(overloadedTotals, overloadedTotals.Scale(0), nil, 0, at(0))
	qt.Assert(t, c.Room(0, 30*time.Millisecond, at(0)), qt.Equals, time.Duration(0))
}
