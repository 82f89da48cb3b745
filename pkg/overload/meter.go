package overload

import "time"

const (
	// meterWindow is the period over which rates are measured. The end of a burst has to be seen within a
	// second.
	meterWindow = time.Second
	// meterBuckets is the number of buckets of the window.
	meterBuckets = 5
	meterBucket  = meterWindow / meterBuckets
)

// meter counts events of several kinds in a sliding window. The zero value is ready for use. It is not safe for
// concurrent use.
type meter[T any] struct {
	startedAt time.Time
	current   int64
	// buckets holds the present bucket and the complete ones before it.
	buckets [meterBuckets + 1]T
}

// at returns the bucket for a time, after it has cleared those that left the window.
func (m *meter[T]) at(now time.Time) *T {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	index := max(m.current, int64(now.Sub(m.startedAt)/meterBucket))
	for i := max(m.current+1, index-meterBuckets); i <= index; i++ {
		var empty T
		m.buckets[i%int64(len(m.buckets))] = empty
	}
	m.current = index
	return &m.buckets[index%int64(len(m.buckets))]
}

// span returns the length of the period that the buckets cover.
func (m *meter[T]) span(now time.Time) time.Duration {
	elapsed := now.Sub(m.startedAt)
	return max(meterBucket, min(elapsed, meterBuckets*meterBucket+elapsed%meterBucket))
}
