package placement

import (
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

const (
	// minOutageServers is the number of servers of a data centre that must become unreachable
	// within outageWindow for its other servers to be avoided too.
	minOutageServers = 2
	outageWindow     = 600 * time.Millisecond
	// unreachableTimeout is how long a server counts as unreachable, or a data centre as in an
	// outage, if nothing was received from the server since. A successful probe ends this earlier, a
	// failed one renews it.
	unreachableTimeout = 3 * time.Second
	// initialProbeBackoff is the delay between the first two probes of a server, a tenth of the
	// time that engines usually take to restart. It doubles up to maxProbeBackoff, because
	// servers that ended for good stay in the pool for a while.
	initialProbeBackoff = 120 * time.Millisecond
	maxProbeBackoff     = time.Second
	// maxUnreachableTimes is the maximum number of times at which a server became unreachable that
	// are recorded per data centre.
	maxUnreachableTimes = 8
	// recentUnreachableTTL is how long a data centre is unfavourable for copies after one of its
	// servers became unreachable: its engines often fail together, and most of the failures are not
	// detected yet.
	recentUnreachableTTL = time.Second
)

// isAvoided reports whether a server is selected only if no other one is available.
func (p *Pool) isAvoided(s *Server, now time.Time) bool {
	return now.Before(s.avoidedUntil) || isUnreachable(s, now) || p.inOutage(s, now)
}

// isUnreachable reports whether the server became unreachable within unreachableTimeout and nothing
// was received from it since. A server that ended without an announcement counts as unreachable.
func isUnreachable(s *Server, now time.Time) bool {
	return s.lastUnreachableAt.After(s.lastAliveAt) && now.Sub(s.lastUnreachableAt) < unreachableTimeout
}

// inOutage reports whether several servers of the server's data centre became unreachable within a
// short time and nothing was received from this server since. When the engines of a data
// centre fail together or it is partitioned, requests would otherwise have to detect the failure of
// each server separately.
func (p *Pool) inOutage(s *Server, now time.Time) bool {
	times := p.unreachableTimes[s.DataCentre]
	if len(times) < minOutageServers {
		return false
	}
	latest := times[len(times)-1]
	return now.Sub(latest) < unreachableTimeout && latest.Sub(times[len(times)-minOutageServers]) < outageWindow &&
		s.lastAliveAt.Before(latest) && s.firstSeenAt.Before(latest)
}

// hasRecentUnreachable reports whether a server of a data centre became unreachable within
// recentUnreachableTTL.
func (p *Pool) hasRecentUnreachable(dataCentre string, now time.Time) bool {
	times := p.unreachableTimes[dataCentre]
	return len(times) > 0 && now.Sub(times[len(times)-1]) < recentUnreachableTTL
}

// RecordUnreachable records that a server could not be reached. The server is avoided until a
// probe succeeds, a response arrives or unreachableTimeout has passed, and at least for a backoff
// that doubles with each failure until a request succeeds.
func (p *Pool) RecordUnreachable(id string, now time.Time) {
	s := p.servers[id]
	if s == nil {
		return
	}
	p.recordUnreachableTime(s, now)
	if now.Before(s.avoidedUntil) {
		return
	}
	s.avoidBackoff = min(maxAvoidBackoff, max(initialAvoidBackoff, 2*s.avoidBackoff))
	s.avoidedUntil = now.Add(s.avoidBackoff)
}

// RecordUnannouncedEnd records that a server ended without announcing it.
func (p *Pool) RecordUnannouncedEnd(id string, now time.Time) {
	if s := p.servers[id]; s != nil {
		p.recordUnreachableTime(s, now)
	}
}

func (p *Pool) recordUnreachableTime(s *Server, now time.Time) {
	if !isUnreachable(s, now) {
		times := append(p.unreachableTimes[s.DataCentre], now)
		p.unreachableTimes[s.DataCentre] = slices.Delete(times, 0, max(0, len(times)-maxUnreachableTimes))
	}
	s.lastUnreachableAt, p.lastUnreachableAt = now, now
}

// Probe identifies a server to probe.
type Probe struct{ ID, Address string }

// DueProbes returns the servers that are due for a probe: unreachable servers, and the other servers
// of a data centre in an outage. During a partition, callers' requests would otherwise be spent on
// detecting that servers are still unreachable.
func (p *Pool) DueProbes(now time.Time) []Probe {
	if now.Sub(p.lastUnreachableAt) >= unreachableTimeout {
		return nil
	}
	var probes []Probe
	for _, s := range p.servers {
		if s.State == directory.Ready && !now.Before(s.nextProbeAt) && (isUnreachable(s, now) || p.inOutage(s, now)) {
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
	s.lastUnreachableAt, p.lastUnreachableAt = now, now
	return false
}

// allUnreachableTTL is how long AllUnreachable counts a server as unreachable from which nothing was
// received since. It exceeds maxAvoidBackoff, so that each server is tried again within it.
const allUnreachableTTL = 2 * maxAvoidBackoff

// AllUnreachable reports whether this gateway can reach no server of the service: the last attempt
// at every ready server failed, or there is no ready server.
func (p *Pool) AllUnreachable(now time.Time) bool {
	for _, s := range p.servers {
		if s.State == directory.Ready && (now.Sub(s.lastUnreachableAt) > allUnreachableTTL || s.lastAliveAt.After(s.lastUnreachableAt)) {
			return false
		}
	}
	return true
}
