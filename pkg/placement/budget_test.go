package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against an outage in which every request is sent again: in no window may
// the repeats exceed the ratio of the requests and the gateway's part of the slack.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const ratio, slack = 0.8, 150.0
	window := 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Ratio: ratio, Slack: slack, Window: window}
		var requests, repeats []time.Time
		now := start
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
			}
			if b.Repeat(now) {
				repeats = append(repeats, now)
			}
		}
		for _, from := range repeats {
			used := countWithin(repeats, from, window)
			// The bound counts requests of this window or the one before it.
			earned := max(countWithin(requests, from, window), countWithin(requests, from.Add(-window), window))
			if limit := ratio*float64(earned) + slack/slackSharers; float64(used) > limit {
				t.Fatalf("%d repeats within %s, %g allowed", used, window, limit)
			}
		}
	})
}

func countWithin(times []time.Time, from time.Time, window time.Duration) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// Guards against a budget that never recovers after it was used up.
func TestBudgetRecovers(t *testing.T) {
	b := Budget{Ratio: 0.5, Slack: 0, Window: 10 * time.Second}
	for range 10 {
		b.Request(at(0))
	}
	granted := 0
	for range 10 {
		if b.Repeat(at(1)) {
			granted++
		}
	}
	qt.Assert(t, granted, qt.Equals, 3)
	qt.Assert(t, b.Repeat(at(12000)), qt.IsFalse)
	for range 10 {
		b.Request(at(12000))
	}
	qt.Assert(t, b.Repeat(at(12001)), qt.IsTrue)
}
