package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// failuresToEject in a row take a server out of service.
	failuresToEject = 5
	// latencyFactor over the pool's median takes a server out of service.
	latencyFactor = 3
	// leastOutlierLatency keeps scheduling noise of fast pools from ejecting.
	leastOutlierLatency = 50 * time.Millisecond
	// leastLatencySamples is the number of answers before a latency counts.
	leastLatencySamples = 10
	// leastServersForMedian is the number of servers that make a median.
	leastServersForMedian = 3
	firstEjection         = 5 * time.Second
	lastEjection          = 60 * time.Second
	// urgentProbeAfter is how long a due probe waits for patient work before it
	// takes an urgent request.
	urgentProbeAfter = time.Second
)

// health is what is known about the faults of a server.
type health struct {
	failures int
	ejected  bool
	// until is the end of the ejection; then one probe request is sent.
	until    time.Time
	probing  bool
	ejection time.Duration
	restored time.Time
	// latency is the moving mean of the time to the first token, in seconds.
	latency float64
	samples int
	// bucket is the place in the histogram plus 1, 0 if in none.
	bucket int
}

// latencyBuckets of an eighth of a power of two cover 1 µs to 4 h.
const latencyBuckets = 272

// latencies is a histogram of the servers' latencies, so that the median needs
// no sorting.
type latencies struct {
	counts [latencyBuckets]int
	total  int
}

func (l *latencies) remove(s *server) {
	if s.health.bucket > 0 {
		l.counts[s.health.bucket-1]--
		l.total--
		s.health.bucket = 0
	}
}

func (l *latencies) place(s *server) {
	l.remove(s)
	b := min(max(int(8*math.Log2(max(s.health.latency*1e6, 1))), 0), latencyBuckets-1)
	s.health.bucket = b + 1
	l.counts[b]++
	l.total++
}

// median returns the median latency in seconds, 0 if there are too few servers.
func (l *latencies) median() float64 {
	if l.total < leastServersForMedian {
		return 0
	}
	seen := 0
	for b, n := range l.counts {
		if seen += n; seen*2 >= l.total {
			return math.Exp2(float64(b+1)/8) / 1e6
		}
	}
	return 0
}

// observe takes in the end of a grant.
func (d *directory) observe(now time.Time, s *server, u Usage, probe bool) {
	h := &s.health
	switch u.Outcome {
	case OK:
		h.failures = 0
		slow := d.slow(s, u.FirstToken)
		if probe && h.ejected {
			d.probed(now, s, !slow)
			return
		}
		if slow && !h.ejected {
			d.eject(now, s)
		}
	case Failed:
		h.failures++
		if probe && h.ejected {
			d.probed(now, s, false)
		} else if h.failures >= failuresToEject && !h.ejected {
			d.eject(now, s)
		}
	case NoRoom:
		s.noRoom = true
		h.probing = h.probing && !probe
		d.file(s)
	case Cancelled:
		h.probing = h.probing && !probe
	}
}

// slow takes in a latency and reports whether the server is an outlier.
func (d *directory) slow(s *server, first time.Duration) bool {
	if first <= 0 || !s.announced {
		return false
	}
	const newest = 0.2
	h := &s.health
	if h.samples == 0 {
		h.latency = first.Seconds()
	}
	h.samples++
	h.latency += newest * (first.Seconds() - h.latency)
	median := d.latencies.median()
	limit := max(latencyFactor*median, leastOutlierLatency.Seconds())
	if h.ejected {
		return median > 0 && first.Seconds() > limit
	}
	d.latencies.place(s)
	return median > 0 && h.samples >= leastLatencySamples && h.latency > limit
}

// eject takes a server out of service, unless half of the pool already is.
func (d *directory) eject(now time.Time, s *server) {
	if !s.announced || 2*(len(d.ejected)+1) > d.present {
		return
	}
	h := &s.health
	if h.ejection == 0 || now.Sub(h.restored) > lastEjection {
		h.ejection = firstEjection
	} else {
		h.ejection = min(2*h.ejection, lastEjection)
	}
	h.ejected, h.probing, h.until = true, false, now.Add(h.ejection)
	d.latencies.remove(s)
	d.ejected = append(d.ejected, s)
	d.ejections++
	d.file(s)
}

// probed ends a probe: the server is back in service or out for twice as long.
func (d *directory) probed(now time.Time, s *server, good bool) {
	h := &s.health
	if !good {
		h.ejection = min(2*h.ejection, lastEjection)
		h.probing, h.until = false, now.Add(h.ejection)
		return
	}
	d.restore(s)
	h.restored = now
	d.file(s)
}

// restore ends an ejection.
func (d *directory) restore(s *server) {
	h := &s.health
	if !h.ejected {
		return
	}
	h.ejected, h.probing, h.failures, h.samples, h.latency = false, false, 0, 0, 0
	i := slices.Index(d.ejected, s)
	d.ejected = slices.Delete(d.ejected, i, i+1)
}

// boundEjections puts the servers back that were ejected first while more than
// half of the pool is ejected, as can happen when others leave.
func (d *directory) boundEjections(now time.Time) {
	for 2*len(d.ejected) > d.present {
		s := d.ejected[0]
		d.restore(s)
		s.health.restored = now
		d.file(s)
	}
}

// dueProbe returns an ejected server that is to get this request as its probe.
func (d *directory) dueProbe(now time.Time, e *entry) *server {
	if e.Resumed > 0 {
		return nil
	}
	for _, s := range d.ejected {
		due := s.health.until
		if e.Rank == Urgent {
			due = due.Add(urgentProbeAfter)
		}
		if !s.health.probing && now.After(due) && s.load() < s.slots && !excluded(e, s) {
			return s
		}
	}
	return nil
}

// probeDue reports whether an ejected server waits for its probe.
func (d *directory) probeDue(now time.Time) bool {
	for _, s := range d.ejected {
		if !s.health.probing && now.After(s.health.until) && s.load() < s.slots {
			return true
		}
	}
	return false
}
