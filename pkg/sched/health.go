package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// maxConsecutiveFailures is the number of failures in a row after which a server is
	// ejected.
	maxConsecutiveFailures = 5
	// outlierLatencyFactor is the multiple of the pool's median latency above which a
	// server is ejected.
	outlierLatencyFactor = 3
	// minOutlierLatency keeps scheduling noise in fast pools from causing ejections.
	minOutlierLatency = 50 * time.Millisecond
	// minLatencySamples is the number of responses after which the latency of a server is
	// judged.
	minLatencySamples = 10
	// minServersForMedian is the least number of servers with a measured latency for which
	// a median is computed.
	minServersForMedian = 3
	initialEjectionTime = 5 * time.Second
	maxEjectionTime     = 60 * time.Second
	// urgentProbeDelay is how long a due probe is reserved for patient work before an
	// urgent request may be used for it.
	urgentProbeDelay = time.Second
)

// health tracks the failures and the latency of a server.
type health struct {
	consecutiveFailures int
	ejected             bool
	// ejectedUntil is the end of the ejection; after it, one probe request is sent.
	ejectedUntil time.Time
	probing      bool
	ejectionTime time.Duration
	restoredAt   time.Time
	// meanLatencySeconds is the moving mean of the time to the first token.
	meanLatencySeconds float64
	latencySamples     int
	// bucketNumber is the index in the latency histogram plus 1, or 0 if the server is
	// not counted.
	bucketNumber int
}

// latencyBuckets is the number of buckets. Each covers an eighth of a power of two,
// together from 1 µs to 4 h.
const latencyBuckets = 272

// latencyHistogram counts the servers by latency, so that the median needs no sorting.
type latencyHistogram struct {
	counts [latencyBuckets]int
	total  int
}

func (l *latencyHistogram) remove(s *server) {
	if s.health.bucketNumber > 0 {
		l.counts[s.health.bucketNumber-1]--
		l.total--
		s.health.bucketNumber = 0
	}
}

func (l *latencyHistogram) record(s *server) {
	l.remove(s)
	bucket := min(max(int(8*math.Log2(max(s.health.meanLatencySeconds*1e6, 1))), 0), latencyBuckets-1)
	s.health.bucketNumber = bucket + 1
	l.counts[bucket]++
	l.total++
}

// median returns the median latency in seconds, or 0 if too few servers have one.
func (l *latencyHistogram) median() float64 {
	if l.total < minServersForMedian {
		return 0
	}
	cumulative := 0
	for bucket, count := range l.counts {
		if cumulative += count; cumulative*2 >= l.total {
			return math.Exp2(float64(bucket+1)/8) / 1e6
		}
	}
	return 0
}

// recordOutcome updates the health of a server at the end of a grant and ejects or
// restores the server.
func (d *serverDirectory) recordOutcome(now time.Time, s *server, u Usage, isProbe bool) {
	h := &s.health
	switch u.Outcome {
	case OK:
		h.consecutiveFailures = 0
		slow := d.recordLatency(s, u.TimeToFirstToken)
		if isProbe && h.ejected {
			d.finishProbe(now, s, !slow)
			return
		}
		if slow && !h.ejected {
			d.eject(now, s)
		}
	case Failed:
		h.consecutiveFailures++
		if isProbe && h.ejected {
			d.finishProbe(now, s, false)
		} else if h.consecutiveFailures >= maxConsecutiveFailures && !h.ejected {
			d.eject(now, s)
		}
	case ServerFull:
		s.refusedAsFull = true
		h.probing = h.probing && !isProbe
		d.updateLevel(s)
	case Cancelled:
		h.probing = h.probing && !isProbe
	}
}

// recordLatency adds a latency sample and reports whether the server is an outlier. It
// compares the server's mean with the median of the pool, or only the sample if the server
// is ejected.
func (d *serverDirectory) recordLatency(s *server, timeToFirstToken time.Duration) bool {
	if timeToFirstToken <= 0 || !s.announced {
		return false
	}
	const newestWeight = 0.2
	h := &s.health
	if h.latencySamples == 0 {
		h.meanLatencySeconds = timeToFirstToken.Seconds()
	}
	h.latencySamples++
	h.meanLatencySeconds += newestWeight * (timeToFirstToken.Seconds() - h.meanLatencySeconds)
	median := d.latencies.median()
	maxLatency := max(outlierLatencyFactor*median, minOutlierLatency.Seconds())
	if h.ejected {
		return median > 0 && timeToFirstToken.Seconds() > maxLatency
	}
	d.latencies.record(s)
	return median > 0 && h.latencySamples >= minLatencySamples && h.meanLatencySeconds > maxLatency
}

// eject takes a server out of service, unless more than half of the pool would then be
// ejected.
func (d *serverDirectory) eject(now time.Time, s *server) {
	if !s.announced || 2*(len(d.ejectedServers)+1) > d.presentServers {
		return
	}
	h := &s.health
	if h.ejectionTime == 0 || now.Sub(h.restoredAt) > maxEjectionTime {
		h.ejectionTime = initialEjectionTime
	} else {
		h.ejectionTime = min(2*h.ejectionTime, maxEjectionTime)
	}
	h.ejected, h.probing, h.ejectedUntil = true, false, now.Add(h.ejectionTime)
	d.latencies.remove(s)
	d.ejectedServers = append(d.ejectedServers, s)
	d.ejections++
	d.updateLevel(s)
}

// finishProbe ends a probe. A healthy server returns to service, an unhealthy one stays
// ejected for twice as long as before.
func (d *serverDirectory) finishProbe(now time.Time, s *server, healthy bool) {
	h := &s.health
	if !healthy {
		h.ejectionTime = min(2*h.ejectionTime, maxEjectionTime)
		h.probing, h.ejectedUntil = false, now.Add(h.ejectionTime)
		return
	}
	d.endEjection(s)
	h.restoredAt = now
	d.updateLevel(s)
}

// endEjection clears the ejection of a server and its failure and latency history.
func (d *serverDirectory) endEjection(s *server) {
	h := &s.health
	if !h.ejected {
		return
	}
	h.ejected, h.probing, h.consecutiveFailures, h.latencySamples, h.meanLatencySeconds = false, false, 0, 0, 0
	i := slices.Index(d.ejectedServers, s)
	d.ejectedServers = slices.Delete(d.ejectedServers, i, i+1)
}

// limitEjections restores the servers that were ejected earliest while more than half of
// the pool is ejected, which happens when other servers leave.
func (d *serverDirectory) limitEjections(now time.Time) {
	for 2*len(d.ejectedServers) > d.presentServers {
		s := d.ejectedServers[0]
		d.endEjection(s)
		s.health.restoredAt = now
		d.updateLevel(s)
	}
}

// probeTarget returns an ejected server for which this request is to be the probe, or
// nil.
func (d *serverDirectory) probeTarget(now time.Time, e *poolEntry) *server {
	if e.ResumedTokens > 0 {
		return nil
	}
	for _, s := range d.ejectedServers {
		dueAt := s.health.ejectedUntil
		if e.Rank == Urgent {
			dueAt = dueAt.Add(urgentProbeDelay)
		}
		if !s.health.probing && now.After(dueAt) && s.load() < s.slots && !isExcluded(e, s) {
			return s
		}
	}
	return nil
}

// hasDueProbe reports whether an ejected server is due for a probe and has a free slot.
func (d *serverDirectory) hasDueProbe(now time.Time) bool {
	for _, s := range d.ejectedServers {
		if !s.health.probing && now.After(s.health.ejectedUntil) && s.load() < s.slots {
			return true
		}
	}
	return false
}
