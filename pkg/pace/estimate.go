// Package pace learns how fast the backend servers of a service work, relative to what is usual for the
// service, from what a gateway observes of them. It does no I/O: times are passed in. An estimate belongs to
// one process of a server; the next process at the same address starts without one.
//
// A pace is the ratio of the time that work takes on a server to the time that it usually takes: 1 is usual,
// 2 is half the speed. Estimates are kept as logarithms of such ratios.
package pace

import (
	"math"
	"time"
)

const (
	// bucketLength is the period over which samples are averaged. Servers are slowed down by others on
	// their machine for up to 600 ms at a time, which then counts as one bucket, however many samples
	// arrive in it.
	bucketLength = 600 * time.Millisecond
	// maxBuckets is the number of buckets that count. With a bucket every 600 ms, a lasting change of the
	// speed outweighs the older buckets after 2 s.
	maxBuckets = 10
	// halfLife is the time in which the weight of a sample halves.
	halfLife = 4 * time.Second
	// bucketTTL is the age at which a bucket no longer counts: its weight has fallen below a hundredth.
	bucketTTL = 7 * halfLife
	// priorWeight is the weight of the usual pace against the buckets, whose weight is 1 at most. One
	// sample may have been taken while the server was slowed down for a moment.
	priorWeight = 0.75
	// maxLog bounds a sample: servers of 0.6 times the usual speed that are slowed down five times are
	// 8.3 times as slow as usual.
	maxLog = 2.3
	// middleQuantile is the quantile of Median: somewhat less than a half, as servers are slowed down for a
	// moment and never sped up.
	middleQuantile = 0.45
	// lowQuantile is the quantile of Low. Delays on the way add to the time that a server takes and never
	// subtract from it.
	lowQuantile = 0.25
)

// bucket holds the samples of one period.
type bucket struct {
	startedAt time.Time
	// mean is the weighted mean of the samples, and weight the sum of their weights.
	mean, weight float64
}

// Estimate is a robust moving estimate of a logarithm. The zero value has no samples.
type Estimate struct {
	buckets [maxBuckets]bucket
	n       int
	// median, low and weight are those of the buckets at updatedAt.
	median, low, weight float64
	updatedAt           time.Time
}

// Add adds a sample with a weight of at most 1. A sample that is older than the latest bucket is ignored.
func (e *Estimate) Add(sample, weight float64, now time.Time) {
	if math.IsNaN(sample) || !(weight > 0) || now.Before(e.updatedAt) {
		return
	}
	if e.n == 0 || now.Sub(e.buckets[e.n-1].startedAt) >= bucketLength {
		if e.n == maxBuckets {
			copy(e.buckets[:], e.buckets[1:])
			e.n--
		}
		e.buckets[e.n] = bucket{startedAt: now}
		e.n++
	}
	b := &e.buckets[e.n-1]
	b.weight += weight
	b.mean += (sample - b.mean) * weight / b.weight
	e.update(now)
}

// update computes the weighted quantiles of the buckets.
func (e *Estimate) update(now time.Time) {
	var buffer [maxBuckets]point
	points, total := buffer[:0], 0.0
	for i := range e.n {
		b := &e.buckets[i]
		if age := now.Sub(b.startedAt); age < bucketTTL {
			p := point{b.mean, min(1, b.weight) * decay(age)}
			points, total = insert(points, p), total+p.weight
		}
	}
	e.median, e.low, e.weight, e.updatedAt = quantile(points, middleQuantile, total), quantile(points, lowQuantile, total), total, now
}

// point is a value with a weight.
type point struct{ value, weight float64 }

// insert inserts a point into a slice that is sorted by value.
func insert(points []point, p point) []point {
	points = append(points, p)
	at := len(points) - 1
	for ; at > 0 && points[at-1].value > p.value; at-- {
		points[at] = points[at-1]
	}
	points[at] = p
	return points
}

// quantile returns a weighted quantile of sorted points. It interpolates between the centres of the weights, so
// that it has no jumps.
func quantile(points []point, q, total float64) float64 {
	below, target := 0.0, q*total
	for i, p := range points {
		centre := below + p.weight/2
		if centre >= target {
			if i == 0 {
				return p.value
			}
			previous := below - points[i-1].weight/2
			return points[i-1].value + (p.value-points[i-1].value)*(target-previous)/(centre-previous)
		}
		below += p.weight
	}
	if len(points) == 0 {
		return 0
	}
	return points[len(points)-1].value
}

// Weight returns the weight of the samples at now, 0 if there are none. A bucket that has just been filled
// has the weight 1.
func (e *Estimate) Weight(now time.Time) float64 {
	if e == nil || e.n == 0 {
		return 0
	}
	return e.weight * decay(now.Sub(e.updatedAt))
}

// Median returns the weighted median of the samples, and Low their lower quartile.
func (e *Estimate) Median() float64 { return e.median }

// Low returns the weighted lower quartile of the samples.
func (e *Estimate) Low() float64 { return e.low }

// Age returns the time since the last sample.
func (e *Estimate) Age(now time.Time) time.Duration { return now.Sub(e.updatedAt) }

// shrunk returns the median, moved towards prior as far as the samples are few or old.
func (e *Estimate) shrunk(prior float64, now time.Time) float64 {
	w := e.Weight(now)
	if w == 0 {
		return prior
	}
	return prior + (e.median-prior)*w/(w+priorWeight)
}

// decay returns the weight of a sample of the given age.
func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// threshold returns a logarithm with differences up to width removed, so that equal servers whose estimates
// differ by chance are treated alike. It is continuous and leaves large differences nearly as they are.
func threshold(x, width float64) float64 {
	if math.Abs(x) <= width {
		return 0
	}
	ratio := width / x
	return x * (1 - ratio*ratio*ratio*ratio)
}

// usual is the usual value of a quantity over all servers of a service, as a logarithm. It follows slowly, so
// that the change of one server does not change what is usual.
type usual struct {
	log     float64
	samples float64
}

const (
	// minUsualSamples is the number of samples from which a usual value counts; it is their mean until then.
	minUsualSamples = 8
	// usualMemory is the number of samples over which a usual value moves to a new one.
	usualMemory = 40
	// maxUsualStep bounds the difference that one sample contributes. With a bound below the differences
	// between servers, the usual value is close to the median, so that the samples of servers that are
	// slowed down for a moment do not move it.
	maxUsualStep = 0.2
	// usualGain is the weight of a sample relative to that in a mean. It makes up for the bound.
	usualGain = 6
)

func (u *usual) add(sample float64) {
	u.samples++
	if u.samples <= minUsualSamples {
		u.log += (sample - u.log) / u.samples
		return
	}
	step := max(-maxUsualStep, min(maxUsualStep, sample-u.log))
	u.log += step * usualGain / min(u.samples, usualGain*usualMemory)
}

func (u *usual) known() bool { return u.samples >= minUsualSamples }
