package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Simulates a burst that exceeds all slots: the retry delay must follow the queue lengths instead
// of being the same for all callers.
func TestRetryAfterFollowsTheQueue(t *testing.T) {
	p := newTestPool("local1", "remote1")
	qt.Assert(t, p.RetryAfter(atMillis(0)), qt.Equals, defaultRetryAfter)
	for range 50 {
		p.RecordSuccess("local1", 120*time.Millisecond, atMillis(0))
		p.RecordSuccess("remote1", 120*time.Millisecond, atMillis(0))
	}
	p.RecordLoad("local1", LoadReport{Running: 6, Waiting: 24, Slots: 6}, atMillis(0))
	// 25 runs must finish before a slot is free: six run in parallel, 120 ms each.
	got := p.RetryAfter(atMillis(10))
	qt.Assert(t, got > 490*time.Millisecond && got < 510*time.Millisecond, qt.IsTrue, qt.Commentf("%s", got))
	// The server with the shortest wait determines the delay.
	p.RecordLoad("remote1", LoadReport{Running: 6, Waiting: 9, Slots: 6}, atMillis(0))
	got = p.RetryAfter(atMillis(10))
	qt.Assert(t, got > 195*time.Millisecond && got < 205*time.Millisecond, qt.IsTrue, qt.Commentf("%s", got))
	p.RecordLoad("remote1", LoadReport{Running: 1, Slots: 6}, atMillis(0))
	qt.Assert(t, p.RetryAfter(atMillis(10)), qt.Equals, minRetryAfter)
	// Expired load reports are ignored.
	qt.Assert(t, p.RetryAfter(atMillis(5000)), qt.Equals, defaultRetryAfter)
}

// Guards against callers in a data centre that is cut off who come back before the balancer has noticed it
// although they have time, or after a delay that they do not wait for.
func TestRetryElsewhereAfter(t *testing.T) {
	for _, test := range []struct{ untilNoticed, timeLeft, want time.Duration }{
		{2 * time.Second, 25 * time.Second, 2 * time.Second},
		{2 * time.Second, 600 * time.Millisecond, 150 * time.Millisecond},
		{-time.Second, 25 * time.Second, minRetryAfter},
		{2 * time.Second, 40 * time.Millisecond, minRetryAfter},
	} {
		qt.Check(t, RetryElsewhereAfter(test.untilNoticed, test.timeLeft), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
