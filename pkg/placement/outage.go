package placement

import (
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

const (
	// outageServers is the number of servers of one data centre that were lost
	// within outageWindow from which on the others there are avoided too.
	outageServers = 2
	outageWindow  = 600 * time.Millisecond
	// suspicion is how long a server is avoided without a sign of life after it, or
	// its data centre, was lost. Probes end it sooner, and renew it as they fail.
	suspicion = 3 * time.Second
	// probePause is the wait between the first two probes of one server: a tenth of
	// the usual time that engines need to start again. It doubles up to
	// longestProbePause, as servers that ended for good are known for a while.
	probePause        = 120 * time.Millisecond
	longestProbePause = time.Second
	// maxLosses bounds the losses that are remembered for one data centre.
	maxLosses = 8
	// lossMemory is how long one lost server makes its data centre a bad place for
	// copies: the engines of one die together, and most are not found out yet.
	lossMemory = time.Second
)

// avoided tells whether a server gets work only if no other is left.
func (p *Pool) avoided(s *Server, now time.Time) bool {
	return now.Before(s.avoidUntil) || down(s, now) || p.inOutage(s, now)
}

// down tells whether the server was lost and has shown no sign of life since.
func down(s *Server, now time.Time) bool {
	return s.lostAt.After(s.lastAnswer) && now.Sub(s.lostAt) < suspicion
}

// inOutage tells whether a server is in a data centre of which several servers
// were lost just now, and has shown no sign of life since. It answers a data
// centre whose engines die together, or that is cut off: without it, every request
// would find out for each of them.
func (p *Pool) inOutage(s *Server, now time.Time) bool {
	times := p.losses[s.DataCentre]
	if len(times) < outageServers {
		return false
	}
	latest := times[len(times)-1]
	return now.Sub(latest) < suspicion && latest.Sub(times[len(times)-outageServers]) < outageWindow &&
		s.lastAnswer.Before(latest) && s.firstSeen.Before(latest)
}

// lossyCentre tells whether a server of a data centre was lost just now.
func (p *Pool) lossyCentre(dataCentre string, now time.Time) bool {
	times := p.losses[dataCentre]
	return len(times) > 0 && now.Sub(times[len(times)-1]) < lossMemory
}

// Unreachable passes a server over until a probe reaches it, and at least for a
// time that doubles with each failure.
func (p *Pool) Unreachable(id string, now time.Time) {
	s := p.servers[id]
	if s == nil {
		return
	}
	p.noteLoss(s, now)
	if now.Before(s.avoidUntil) {
		return
	}
	s.penalty = min(longestPenalty, max(firstPenalty, 2*s.penalty))
	s.avoidUntil = now.Add(s.penalty)
}

// EndedUnannounced notes that a server ended without announcing it.
func (p *Pool) EndedUnannounced(id string, now time.Time) {
	if s := p.servers[id]; s != nil {
		p.noteLoss(s, now)
	}
}

func (p *Pool) noteLoss(s *Server, now time.Time) {
	if !down(s, now) {
		times := append(p.losses[s.DataCentre], now)
		p.losses[s.DataCentre] = slices.Delete(times, 0, max(0, len(times)-maxLosses))
	}
	s.lostAt, p.lastLoss = now, now
}

// Probe names a server that is to be probed.
type Probe struct{ ID, Address string }

// Probes returns the servers that are to be probed now: those that were lost, and
// the others of a data centre in an outage. It answers cuts: the requests of callers
// would otherwise find out again and again that a server is still out of reach.
func (p *Pool) Probes(now time.Time) []Probe {
	if now.Sub(p.lastLoss) >= suspicion {
		return nil
	}
	var probes []Probe
	for _, s := range p.servers {
		if s.State == directory.Ready && !now.Before(s.probeAt) && (down(s, now) || p.inOutage(s, now)) {
			s.probeWait = min(longestProbePause, max(probePause, 2*s.probeWait))
			s.probeAt = now.Add(s.probeWait)
			probes = append(probes, Probe{s.ID, s.Address})
		}
	}
	return probes
}

// Probed notes the outcome of a probe. It returns true if the server takes work
// again because of it.
func (p *Pool) Probed(id string, reached bool, now time.Time) bool {
	s := p.servers[id]
	if s == nil {
		return false
	}
	if reached {
		avoided := p.avoided(s, now)
		s.lastAnswer, s.probeWait = now, 0
		return avoided && !p.avoided(s, now)
	}
	s.lostAt, p.lastLoss = now, now
	return false
}

// starvedFor is how long the loss of a server counts without a sign of life. It
// exceeds the longest penalty, so that each server is tried again within it.
const starvedFor = 2 * longestPenalty

// Starved tells whether work for this service fails here: all servers that take
// work could not be reached when they were tried last, or there is none.
func (p *Pool) Starved(now time.Time) bool {
	for _, s := range p.servers {
		if s.State == directory.Ready && (now.Sub(s.lostAt) > starvedFor || s.lastAnswer.After(s.lostAt)) {
			return false
		}
	}
	return true
}
