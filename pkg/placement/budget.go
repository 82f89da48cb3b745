package placement

import "time"

// RetryBudget limits the sends beyond the first of each request of one service, so that retrying does
// not double the load during an outage in which every request fails. The gateways do not coordinate:
// each one may use the retries that its own requests allow and a fixed fraction of the service's slack.
type RetryBudget struct {
	// RetryRatio is the number of retries allowed per request. RetrySlack is the number of retries
	// allowed, over all gateways, regardless of the number of requests.
	RetryRatio float64
	RetrySlack float64
	// Window is the length of the sliding window.
	Window time.Duration

	buckets [windowBuckets + 1]budgetBucket
}

// RetryPurpose is the reason for a send beyond the first of a request.
type RetryPurpose uint8

// Purposes, in ascending order of the share of the budget that they may use.
const (
	// Optional sends improve the latency of a request that goes on without them.
	Optional RetryPurpose = iota
	// Restart begins a request again of which the caller has received nothing.
	Restart
	// Resume continues a response that has begun.
	Resume
)

// String returns the name of the purpose for metrics.
func (p RetryPurpose) String() string {
	return [...]string{Optional: "optional", Restart: "restart", Resume: "resume"}[p]
}

// budgetShares is the share of the budget up to which retries of each purpose are allowed. What is
// left covers arrivals that fall into another window than their sends.
var budgetShares = [...]float64{Optional: 0.5, Restart: 0.7, Resume: 0.85}

const (
	// windowBuckets is the number of buckets that make up the sliding window.
	windowBuckets = 10
	// assumedGateways is the number of gateways that the slack is divided among. With fewer
	// gateways a part of the slack stays unused, with more it is exceeded.
	assumedGateways = 16
)

type budgetBucket struct {
	index             int64
	requests, retries float64
}

func (b *RetryBudget) bucketLength() time.Duration { return b.Window / windowBuckets }

func (b *RetryBudget) bucket(now time.Time) *budgetBucket {
	index := now.UnixNano() / int64(b.bucketLength())
	bucket := &b.buckets[index%int64(len(b.buckets))]
	if bucket.index != index {
		*bucket = budgetBucket{index: index}
	}
	return bucket
}

// RecordRequest records the first attempt of a request.
func (b *RetryBudget) RecordRequest(now time.Time) { b.bucket(now).requests++ }

// AllowRetry reports whether a retry is within the budget and, if so, counts it. The retries of at
// least Window are compared with the requests of at most Window.
func (b *RetryBudget) AllowRetry(now time.Time, purpose RetryPurpose) bool {
	current := b.bucket(now)
	requests, retries := 0.0, 0.0
	for _, bucket := range b.buckets {
		age := current.index - bucket.index
		if age <= windowBuckets {
			retries += bucket.retries
		}
		if age < windowBuckets {
			requests += bucket.requests
		}
	}
	if retries+1 > budgetShares[purpose]*(b.RetryRatio*requests+b.RetrySlack/assumedGateways) {
		return false
	}
	current.retries++
	return true
}

// Refund takes back a retry that was allowed at a time and not sent.
func (b *RetryBudget) Refund(allowedAt time.Time) {
	index := allowedAt.UnixNano() / int64(b.bucketLength())
	if bucket := &b.buckets[index%int64(len(b.buckets))]; bucket.index == index {
		bucket.retries--
	}
}
