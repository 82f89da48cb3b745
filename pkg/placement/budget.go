package placement

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// RetryBudget limits the sends beyond the first of each request of one service, over all gateways, so
// that retries do not multiply the load during an outage in which every request fails. Until the next
// exchange each gateway may send as many as it was granted. A gateway without recent grants keeps to the
// retries that its own requests allow, and to its share of the slack.
type RetryBudget struct {
	// RetryRatio is the number of retries allowed per request. RetrySlack is the number of retries
	// allowed, over all gateways, regardless of the number of requests.
	RetryRatio float64
	RetrySlack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Service is the name of the service in View, which tells the usage by all gateways.
	Service string
	View    *usage.View

	clock   bucketClock
	buckets [windowBuckets + 1]budgetBucket
	// wanted is the number of retries that lacked a grant since the last report.
	wanted float64
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

// budgetShares is the share of the budget of all gateways up to which retries of each purpose are
// allowed.
var budgetShares = [...]float64{Optional: 0.66, Restart: 0.74, Resume: usage.MaxBudgetShare}

// leaseFactors scales the part of a gateway, by its demand, in what all have left, of which it may use some
// until the next exchange. It leaves more of a grant to streams that have begun than to sends that only
// improve the latency.
var leaseFactors = [...]float64{Optional: 1, Restart: 1.5, Resume: 2.5}

const (
	// windowBuckets is the number of buckets that make up the sliding window.
	windowBuckets = 10
	// demandBuckets is the number of buckets over which the demand is averaged.
	demandBuckets = 3
)

type budgetBucket struct {
	// index is the number of the bucket by the clock of the budget.
	index             int64
	requests, retries float64
}

func (b *RetryBudget) bucketLength() time.Duration { return b.Window / windowBuckets }

func (b *RetryBudget) bucket(now time.Time) *budgetBucket {
	index, _ := b.clock.position(now, b.bucketLength())
	bucket := &b.buckets[index%int64(len(b.buckets))]
	if bucket.index != index {
		*bucket = budgetBucket{index: index}
	}
	return bucket
}

// RecordRequest records the first attempt of a request.
func (b *RetryBudget) RecordRequest(now time.Time) { b.bucket(now).requests++ }

// Usage returns the usage of the service by this gateway. The retries are those of at least Window,
// and the requests those of at most Window.
func (b *RetryBudget) Usage(now time.Time) usage.Service {
	current := b.bucket(now)
	var u usage.Service
	for _, bucket := range b.buckets {
		age := current.index - bucket.index
		if age > windowBuckets {
			continue
		}
		u.Retries += bucket.retries
		if age < windowBuckets {
			u.Requests += bucket.requests
		}
		if age <= demandBuckets {
			u.Demand += bucket.requests
		}
	}
	_, sinceBucketStart := b.clock.position(now, b.bucketLength())
	u.Demand /= (demandBuckets*b.bucketLength() + sinceBucketStart).Seconds()
	return u
}

// Report returns the usage for an exchange. The gateway keeps to the ceiling in it until the response.
func (b *RetryBudget) Report(now time.Time) usage.Service {
	u := b.Usage(now)
	u.Ceiling = b.View.LowerCeiling(b.Service, u.Retries)
	u.Wanted, b.wanted = b.wanted, 0
	return u
}

// AllowRetry reports whether a retry is within the budget and, if so, counts it.
func (b *RetryBudget) AllowRetry(now time.Time, purpose RetryPurpose) bool {
	switch b.decide(now, purpose) {
	case withinBudget:
		b.bucket(now).retries++
		return true
	case awaitsGrant:
		if purpose != Optional {
			b.wanted++
		}
	}
	return false
}

// AwaitsGrant reports whether all gateways together have budget left for a retry, and only this one may
// not use it before its next exchange.
func (b *RetryBudget) AwaitsGrant(now time.Time, purpose RetryPurpose) bool {
	return b.decide(now, purpose) == awaitsGrant
}

// budgetDecision is the decision about one more retry.
type budgetDecision uint8

const (
	withinBudget budgetDecision = iota
	awaitsGrant
	budgetUsedUp
)

// decide decides about one more retry.
func (b *RetryBudget) decide(now time.Time, purpose RetryPurpose) budgetDecision {
	own, share := b.Usage(now), budgetShares[purpose]
	part := b.View.Share(b.Service, own.Demand, now)
	// Older totals still tell which retries of the others are in the window.
	common, ok := b.View.Common(b.Service, own, now, b.Window)
	left := share*(b.RetryRatio*common.Total.Requests+b.RetrySlack*common.Coverage) - common.Total.Retries
	ceiling, age, isGranted := b.View.Ceiling(b.Service, now)
	isGranted = isGranted && age <= b.Window
	if !ok && b.View.Uptime(now) < b.Window {
		// The coordinators may have started again as well, and nobody remembers the retries of the previous process.
		share = min(share, usage.LostHistoryShare)
	}
	allowed := true
	switch {
	case ok && isGranted && common.Age <= usage.TotalsTTL:
		lease := min(1, leaseFactors[purpose]*part) * left
		if left >= float64(common.Gateways) || left >= 1 && purpose != Optional {
			lease = max(1, lease)
		}
		allowed = common.NewRetries+1 <= lease
	case ok:
		allowed = b.isWithinOwn(own, share, part) && common.NewRetries+1 <= part*left
	default:
		allowed = b.isWithinOwn(own, share, part)
	}
	switch {
	case !allowed:
		return budgetUsedUp
	case isGranted && own.Retries+1 > ceiling:
		return awaitsGrant
	}
	return withinBudget
}

// isWithinOwn reports whether one more retry is within what the requests of this gateway allow, and its
// part of the slack.
func (b *RetryBudget) isWithinOwn(own usage.Service, share, part float64) bool {
	return own.Retries+1 <= share*(b.RetryRatio*own.Requests+b.RetrySlack*part)
}

// Refund takes back a retry that was allowed at a time and not sent.
func (b *RetryBudget) Refund(allowedAt time.Time) {
	index, _ := b.clock.position(allowedAt, b.bucketLength())
	if bucket := &b.buckets[index%int64(len(b.buckets))]; bucket.index == index {
		bucket.retries--
	}
}
