package placement

import (
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

const (
	// minOutageLosses is the number of servers that a data centre must lose within outageWindow
	// for its other servers to be avoided too.
	minOutageLosses = 2
	outageWindow    = 600 * time.Millisecond
	// suspicionTimeout is how long a server is avoided after it, or its data centre, was lost and
	// nothing was received from it. A successful probe ends it earlier, a failed one renews it.
	suspicionTimeout = 3 * time.Second
	// initialProbeBackoff is the delay between the first two probes of a server, a tenth of the
	// time that engines usually take to restart. It doubles up to maxProbeBackoff, because
	// servers that ended for good stay in the pool for a while.
	initialProbeBackoff = 120 * time.Millisecond
	maxProbeBackoff     = time.Second
	// maxLossTimes is the maximum number of losses that are recorded per data centre.
	maxLossTimes = 8
	// recentLossTTL is how long a data centre is unfavourable for copies after the loss of one
	// server: its engines often fail together, and most of the failures are not detected yet.
	recentLossTTL = time.Second
)

// isAvoided reports whether a server is selected only if no other one is available.
func (p *Pool) isAvoided(s *Server, now time.Time) bool {
	return now.Before(s.avoidedUntil) || isDown(s, now) || p.inOutage(s, now)
}

// isDown reports whether the server was lost and nothing was received from it since.
func isDown(s *Server, now time.Time) bool {
	return s.lastLossAt.After(s.lastAliveAt) && now.Sub(s.lastLossAt) < suspicionTimeout
}

// inOutage reports whether the server's data centre lost several servers within a short time and
// nothing was received from this server since. When the engines of a data centre fail together or
// it is partitioned, requests would otherwise have to detect the failure of each server
// separately.
func (p *Pool) inOutage(s *Server, now time.Time) bool {
	times := p.lossTimes[s.DataCentre]
	if len(times) < minOutageLosses {
		return false
	}
	latest := times[len(times)-1]
	return now.Sub(latest) < suspicionTimeout && latest.Sub(times[len(times)-minOutageLosses]) < outageWindow &&
		s.lastAliveAt.Before(latest) && s.firstSeenAt.Before(latest)
}

// hasRecentLoss reports whether a data centre lost a server within recentLossTTL.
func (p *Pool) hasRecentLoss(dataCentre string, now time.Time) bool {
	times := p.lossTimes[dataCentre]
	return len(times) > 0 && now.Sub(times[len(times)-1]) < recentLossTTL
}

// RecordUnreachable records that a server could not be reached. The server is avoided until a probe
// succeeds, and at least for a backoff that doubles with each failure.
func (p *Pool) RecordUnreachable(id string, now time.Time) {
	s := p.servers[id]
	if s == nil {
		return
	}
	p.recordLoss(s, now)
	if now.Before(s.avoidedUntil) {
		return
	}
	s.avoidBackoff = min(maxAvoidBackoff, max(initialAvoidBackoff, 2*s.avoidBackoff))
	s.avoidedUntil = now.Add(s.avoidBackoff)
}

// RecordUnannouncedEnd records that a server ended without announcing it.
func (p *Pool) RecordUnannouncedEnd(id string, now time.Time) {
	if s := p.servers[id]; s != nil {
		p.recordLoss(s, now)
	}
}

func (p *Pool) recordLoss(s *Server, now time.Time) {
	if !isDown(s, now) {
		times := append(p.lossTimes[s.DataCentre], now)
		p.lossTimes[s.DataCentre] = slices.Delete(times, 0, max(0, len(times)-maxLossTimes))
	}
	s.lastLossAt, p.lastLossAt = now, now
}

// Probe identifies a server to probe.
type Probe struct{ ID, Address string }

// DueProbes returns the servers that are due for a probe: lost servers, and the other servers of a
// data centre in an outage. During a partition, callers' requests would otherwise be spent on
// detecting that servers are still unreachable.
func (p *Pool) DueProbes(now time.Time) []Probe {
	if now.Sub(p.lastLossAt) >= suspicionTimeout {
		return nil
	}
	var probes []Probe
	for _, s := range p.servers {
		if s.State == directory.Ready && !now.Before(s.nextProbeAt) && (isDown(s, now) || p.inOutage(s, now)) {
			s.probeBackoff = min(maxProbeBackoff, max(initialProbeBackoff, 2*s.probeBackoff))
			s.nextProbeAt = now.Add(s.probeBackoff)
			probes = append(probes, Probe{s.ID, s.Address})
		}
	}
	return probes
}

// RecordProbe records the result of a probe. It reports whether the server is no longer avoided
// because of it.
func (p *Pool) RecordProbe(id string, reached bool, now time.Time) bool {
	s := p.servers[id]
	if s == nil {
		return false
	}
	if reached {
		wasAvoided := p.isAvoided(s, now)
		s.lastAliveAt, s.probeBackoff = now, 0
		return wasAvoided && !p.isAvoided(s, now)
	}
	s.lastLossAt, p.lastLossAt = now, now
	return false
}

// unreachableLossTTL is how long the loss of a server counts for AllUnreachable if nothing was
// received from the server since. It exceeds maxAvoidBackoff, so that each server is tried again
// within it.
const unreachableLossTTL = 2 * maxAvoidBackoff

// AllUnreachable reports whether this gateway can reach no server of the service: the last attempt
// at every ready server failed, or there is no ready server.
func (p *Pool) AllUnreachable(now time.Time) bool {
	for _, s := range p.servers {
		if s.State == directory.Ready && (now.Sub(s.lastLossAt) > unreachableLossTTL || s.lastAliveAt.After(s.lastLossAt)) {
			return false
		}
	}
	return true
}
