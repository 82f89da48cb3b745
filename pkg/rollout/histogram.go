package rollout

import (
	"math"
	"time"
)

const (
	// histogramBuckets is the number of buckets of a Histogram.
	histogramBuckets = 32
	// smallestLatency is the upper bound of the first bucket, and bucketRatio the ratio between the upper
	// bounds of two buckets: the last bucket begins at about two minutes.
	smallestLatency = 2 * time.Millisecond
	bucketRatio     = 1.45
)

// Histogram counts latencies in buckets of exponentially growing width. It has a fixed size, so that
// reports of all gateways add up without loss.
type Histogram [histogramBuckets]uint32

// Add counts a latency.
func (h *Histogram) Add(latency time.Duration) { h[bucketOf(latency)]++ }

// Merge adds the counts of another histogram.
func (h *Histogram) Merge(other Histogram) {
	for i, count := range other {
		h[i] += count
	}
}

// Total returns the number of latencies.
func (h *Histogram) Total() (total uint64) {
	for _, count := range h {
		total += uint64(count)
	}
	return total
}

func bucketOf(latency time.Duration) int {
	if latency <= smallestLatency {
		return 0
	}
	bucket := math.Ceil(math.Log(float64(latency)/float64(smallestLatency)) / math.Log(bucketRatio))
	return min(histogramBuckets-1, int(bucket))
}

// UpperBound returns the largest latency that a bucket counts. The last bucket counts all larger ones too.
func UpperBound(bucket int) time.Duration {
	return time.Duration(float64(smallestLatency) * math.Pow(bucketRatio, float64(bucket)))
}
