package placement

import "time"

// RetryBudget limits the retries of one service, so that retrying does not double the load during an
// outage in which every request fails. The gateways do not coordinate: each one may use the
// retries that its own requests allow and a fixed fraction of the service's slack.
type RetryBudget struct {
	// RetryRatio is the number of retries allowed per request. RetrySlack is the number of retries
	// allowed, over all gateways, regardless of the number of requests.
	RetryRatio float64
	RetrySlack float64
	// Window is the length of the sliding window.
	Window time.Duration

	buckets [windowBuckets]budgetBucket
}

const (
	// windowBuckets is the number of buckets that make up the sliding window.
	windowBuckets = 10
	// budgetSafetyFactor is the share of the limit that is used: the limit holds for every window of
	// this length, and the windows of callers and gateways are not aligned.
	budgetSafetyFactor = 0.7
	// assumedGateways is the number of gateways that the slack is divided among. With fewer
	// gateways a part of the slack stays unused, with more it is exceeded.
	assumedGateways = 16
)

type budgetBucket struct {
	index             int64
	requests, retries float64
}

func (b *RetryBudget) bucket(now time.Time) *budgetBucket {
	index := now.UnixNano() / int64(b.Window/windowBuckets)
	bucket := &b.buckets[index%windowBuckets]
	if bucket.index != index {
		*bucket = budgetBucket{index: index}
	}
	return bucket
}

// RecordRequest records the first attempt of a request.
func (b *RetryBudget) RecordRequest(now time.Time) { b.bucket(now).requests++ }

// AllowRetry reports whether a retry is within the budget and, if so, counts it.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	current := b.bucket(now)
	requests, retries := 0.0, 0.0
	for _, bucket := range b.buckets {
		if current.index-bucket.index < windowBuckets {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	if retries+1 > budgetSafetyFactor*(b.RetryRatio*requests+b.RetrySlack/assumedGateways) {
		return false
	}
	current.retries++
	return true
}
