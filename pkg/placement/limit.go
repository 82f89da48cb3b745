package placement

import (
	"math"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

const (
	// limitTargetShare is the share of a server's limit that all gateways together aim at.
	limitTargetShare = 0.95
	// tokenTTL is how long a gateway may use a part of a limit after it has accrued. Without it, many
	// idle gateways would each keep one request for the same moment.
	tokenTTL = 1500 * time.Millisecond
	// LimitWindow is the period over which the requests at a server with a limit are counted.
	LimitWindow = 4 * time.Second
	// A gateway need not keep to its share while all of them together send less than uncontendedShare of
	// what the limit allows in LimitWindow, and uncontendedBurst requests. The rest covers what they send
	// until they know of each other. A run that resumes from a copy goes there up to resumeShare and
	// resumeBurst: it reads only what the copy lacks, and elsewhere its whole prompt again.
	uncontendedShare = 0.75
	uncontendedBurst = 1.5
	resumeShare      = 1.2
	resumeBurst      = 2
	// limitTTL is how long a limit counts that neither this gateway nor another one has seen again.
	limitTTL = 15 * time.Second
	// limitBuckets is the number of buckets in which the requests of LimitWindow are counted.
	limitBuckets = 8
)

// serverLimit is the limit that a server names for the requests of all gateways together, and what
// this gateway sends within it.
type serverLimit struct {
	// rate is the limit in requests per second, 0 if the server named none, and seenAt the time of the
	// request to whose response that applies.
	rate   float64
	seenAt time.Time
	// accrued is the part of the limit that this gateway got since it knows of it, in requests, at
	// updatedAt; used is the part of it that was used or has expired.
	accrued, used float64
	updatedAt     time.Time
	// sends counts this gateway's requests by periods of LimitWindow/limitBuckets of clock.
	clock bucketClock
	sends [limitBuckets + 1]sendBucket
	// othersSends is the number of requests that the other gateways sent within LimitWindow, and
	// othersKnownAt when that was known last.
	othersSends   float64
	othersKnownAt time.Time
}

type sendBucket struct {
	index int64
	count float64
}

const sendBucketLength = LimitWindow / limitBuckets

func (l *serverLimit) recordSend(now time.Time, count float64) {
	index, _ := l.clock.position(now, sendBucketLength)
	bucket := &l.sends[index%int64(len(l.sends))]
	if bucket.index != index {
		*bucket = sendBucket{index: index}
	}
	bucket.count += count
	l.used += count
}

// ownSends returns the number of this gateway's requests within LimitWindow.
func (l *serverLimit) ownSends(now time.Time) (sum float64) {
	index, _ := l.clock.position(now, sendBucketLength)
	for _, bucket := range l.sends {
		if index-bucket.index <= limitBuckets {
			sum += bucket.count
		}
	}
	return sum
}

// isActive reports whether the limit holds.
func (l *serverLimit) isActive(now time.Time) bool {
	return l.rate > 0 && now.Sub(l.seenAt) <= limitTTL
}

// shareRate returns the part of the limit of a gateway with a share, in requests per second.
func (l *serverLimit) shareRate(share float64) float64 { return limitTargetShare * l.rate * share }

// accrue adds what a gateway with a share got since the last call, and lets expire what is too old.
func (l *serverLimit) accrue(share float64, now time.Time) {
	rate := l.shareRate(share)
	l.accrued += rate * max(0, now.Sub(l.updatedAt).Seconds())
	l.updatedAt = now
	l.used = max(l.used, math.Floor(l.accrued-rate*tokenTTL.Seconds()))
}

// isBelow reports whether all gateways together are known to send less in LimitWindow than a share of
// what the limit allows, and a burst; demand is the rate at which requests may arrive before that is
// known again.
func (l *serverLimit) isBelow(share, burst float64, now time.Time, demand float64) bool {
	if now.Sub(l.othersKnownAt) > usage.TotalsTTL {
		return false
	}
	expected := l.othersSends + l.ownSends(now) + demand*usage.Interval.Seconds()
	return expected <= share*l.rate*LimitWindow.Seconds()+burst
}

// allows reports whether the gateway may send one more request.
func (l *serverLimit) allows(now time.Time, demand ServiceDemand) bool {
	if !l.isActive(now) {
		return true
	}
	l.accrue(demand.Share, now)
	available := math.Floor(l.accrued) - l.used
	return available >= 1 || available >= 0 && l.isBelow(uncontendedShare, uncontendedBurst, now, demand.PerServer)
}

// allowsResume reports whether the gateway may resume a run from a copy at the server.
func (l *serverLimit) allowsResume(now time.Time, demand ServiceDemand) bool {
	return l.allows(now, demand) || l.isBelow(resumeShare, resumeBurst, now, 0)
}

// wait returns the time until the gateway may send one more request.
func (l *serverLimit) wait(now time.Time, demand ServiceDemand) time.Duration {
	l.accrue(demand.Share, now)
	rate := l.shareRate(demand.Share)
	if rate <= 0 {
		return limitTTL
	}
	return min(limitTTL, time.Duration((math.Floor(l.used)+1-l.accrued)/rate*float64(time.Second)))
}

// ServiceDemand is the demand for a service, as far as the limits of its servers need it.
type ServiceDemand struct {
	// Share is the share of this gateway in the limits, 0 to 1.
	Share float64
	// PerServer is the rate of requests of all gateways for one server of the service, per second.
	PerServer float64
}

// SetDemand sets the demand by which this gateway keeps to the limits of the servers.
func (p *Pool) SetDemand(d ServiceDemand) { p.demand = d }

// HasLimits reports whether a server of the pool has named a limit lately.
func (p *Pool) HasLimits(now time.Time) bool {
	return !p.lastLimitAt.IsZero() && now.Sub(p.lastLimitAt) <= limitTTL
}

// RecordLimit records the limit that a process named in the response to a request sent at sentAt, or
// that it named none if rate is 0. Of several responses, that to the latest request applies.
func (p *Pool) RecordLimit(process Process, rate float64, sentAt, now time.Time) (changed bool) {
	s := p.serverOf(process)
	if s == nil || s.limit == nil && rate <= 0 {
		return false
	}
	if s.limit == nil {
		// A random phase keeps the gateways from sending at the same moments.
		s.limit = &serverLimit{accrued: p.rand.Float64(), updatedAt: now}
	}
	l := s.limit
	if sentAt.Before(l.seenAt) {
		return false
	}
	l.accrue(p.demand.Share, now)
	changed = l.rate != rate
	l.rate, l.seenAt = rate, sentAt
	if rate > 0 && now.After(p.lastLimitAt) {
		p.lastLimitAt = now
	}
	return changed
}

// Limits returns what is known of the limits of the servers, for other gateways.
func (p *Pool) Limits(now time.Time) []usage.Limit {
	if !p.HasLimits(now) {
		return nil
	}
	var limits []usage.Limit
	for _, s := range p.servers {
		if l := s.limit; l != nil && now.Sub(l.seenAt) <= limitTTL {
			limits = append(limits, usage.Limit{
				Server: s.ID, StartedMS: s.StartedMS, Rate: l.rate, Age: max(0, now.Sub(l.seenAt)), Sends: l.ownSends(now),
			})
		}
	}
	return limits
}

// ApplyPeerLimit applies what all gateways together know of a server: its limit as it was named last,
// and the requests that all of them sent, of which reported were sent by this gateway. It reports
// whether the limit changed.
func (p *Pool) ApplyPeerLimit(o usage.Limit, reported float64, now time.Time) (changed bool) {
	s := p.serverOf(Process{ID: o.Server, StartedMS: o.StartedMS})
	if s == nil {
		return false
	}
	changed = p.RecordLimit(s.Process(), o.Rate, now.Add(-o.Age), now)
	if s.limit != nil {
		s.limit.othersSends, s.limit.othersKnownAt = max(0, o.Sends-reported), now
	}
	return changed
}

// isWithinLimit reports whether this gateway may send one more request to a server.
func (p *Pool) isWithinLimit(s *Server, now time.Time) bool {
	return s.limit == nil || s.limit.allows(now, p.demand)
}

// AllowsResume reports whether a run may be resumed from its copy at a server.
func (p *Pool) AllowsResume(id string, now time.Time) bool {
	s := p.servers[id]
	return s != nil && p.allowsVersion(s) && !s.isPaused(now) && (s.limit == nil || s.limit.allowsResume(now, p.demand))
}

// LimitWait returns the time until the limit or the pause of a server lets this gateway send one more
// request, and the rate at which the limits of all servers do so, in requests per second. It returns
// false if neither is what keeps requests from the servers.
func (p *Pool) LimitWait(now time.Time, exclude []string) (wait time.Duration, rate float64, limited bool) {
	if !p.HasLimits(now) && !now.Before(p.lastPauseEnd) {
		return 0, 0, false
	}
	for _, s := range p.servers {
		if !p.acceptsWork(s, exclude) {
			continue
		}
		w := max(0, s.pausedUntil.Sub(now))
		isLimited := s.limit != nil && s.limit.isActive(now)
		if isLimited {
			w = max(w, s.limit.wait(now, p.demand))
			rate += s.limit.shareRate(p.demand.Share)
		}
		if !isLimited && !s.isPaused(now) {
			continue
		}
		if !limited || w < wait {
			wait = w
		}
		limited = true
	}
	return max(0, wait), rate, limited
}
