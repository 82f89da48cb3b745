package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against retrying every request during an outage: in no window may the retries exceed
// Ratio times the requests plus this gateway's share of the slack.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const ratio, slack = 0.8, 150.0
	window := 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		b := RetryBudget{RetryRatio: ratio, RetrySlack: slack, Window: window}
		var requests, retries []time.Time
		now := start
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests = append(requests, now)
			}
			if b.AllowRetry(now, RetryPurpose(rapid.IntRange(int(Optional), int(Resume)).Draw(t, "purpose"))) {
				retries = append(retries, now)
			}
		}
		for _, from := range retries {
			retryCount := countWithin(retries, from, window)
			// The limit is based on the requests of this window or of the one before it.
			requestCount := max(countWithin(requests, from, window), countWithin(requests, from.Add(-window), window))
			if limit := ratio*float64(requestCount) + slack/assumedGateways; float64(retryCount) > limit {
				t.Fatalf("%d retries within %s, %g allowed", retryCount, window, limit)
			}
		}
	})
}

func countWithin(times []time.Time, from time.Time, window time.Duration) (n int) {
	for _, timestamp := range times {
		if !timestamp.Before(from) && timestamp.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// Guards against a budget that stays exhausted after its window has passed.
func TestBudgetRecovers(t *testing.T) {
	b := RetryBudget{RetryRatio: 0.5, RetrySlack: 0, Window: 10 * time.Second}
	for range 10 {
		b.RecordRequest(atMillis(0))
	}
	granted := 0
	for range 10 {
		if b.AllowRetry(atMillis(1), Restart) {
			granted++
		}
	}
	qt.Assert(t, granted, qt.Equals, 3)
	qt.Assert(t, b.AllowRetry(atMillis(12000), Restart), qt.IsFalse)
	for range 10 {
		b.RecordRequest(atMillis(12000))
	}
	qt.Assert(t, b.AllowRetry(atMillis(12001), Restart), qt.IsTrue)
}
