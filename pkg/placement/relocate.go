package placement

import (
	"slices"
	"time"
)

const (
	// readingWindow is the time over which the prompts that an engine reads are
	// counted: about the length of a stream, whose events they hold up.
	readingWindow = 5 * time.Second
	// maxReadings bounds the readings that are remembered for one engine.
	maxReadings = 16
	// busiestReading is the largest share of time that reading is assumed to take.
	busiestReading = 0.9
	// batchSlowdown is the part of a step that each further stream of an engine costs.
	batchSlowdown = 0.03
	// idleCost keeps engines without streams free for prompts.
	idleCost = 0.1
	// remoteSlowdown is the price of an engine in another data centre.
	remoteSlowdown = 0.1
	// relocateGain is the least ratio between the times that a stream takes here
	// and there for which it is moved; a move costs a copy of the memory.
	relocateGain = 1.2
)

func (s *Server) noteReading(at time.Time) {
	s.readings = append(s.readings, at)
	s.readings = slices.Delete(s.readings, 0, max(0, len(s.readings)-maxReadings))
}

// Reads notes that an engine begins to read a prompt.
func (p *Pool) Reads(id string, now time.Time) {
	if s := p.servers[id]; s != nil {
		s.noteReading(now)
	}
}

// readingShare returns the share of its time in which the engine has read prompts
// lately.
func (s *Server) readingShare(now time.Time) float64 {
	n := 0
	for _, at := range s.readings {
		if now.Sub(at) < readingWindow {
			n++
		}
	}
	return min(busiestReading, float64(n)*float64(readingLife)/float64(readingWindow))
}

// slowness returns how long a stream takes on an engine beside others, relative to
// a stream that is alone.
func (p *Pool) slowness(s *Server, now time.Time, streams int) float64 {
	return (1 + batchSlowdown*float64(streams)) / (1 - s.readingShare(now))
}

// Relocate chooses the engine on which a run goes on once its prompt was read, and
// returns nil if it is best left where it is. Reading one prompt holds up all
// streams of an engine for about a second. It answers bursts of prompts: a part of
// the engines reads them, and the streams go on undisturbed on the others.
func (p *Pool) Relocate(now time.Time, r Run, from string) *Server {
	current := p.servers[from]
	if current == nil {
		return nil
	}
	stay := p.slowness(current, now, current.streams(now))
	var candidates []*Server
	for _, s := range p.ready(now, append([]string{from}, r.Exclude...)) {
		if !p.avoided(s, now) && !p.lossyCentre(s.DataCentre, now) && !now.Before(s.noCopiesUntil) && fits(s, now, r) {
			candidates = append(candidates, s)
		}
	}
	cost := func(s *Server) float64 {
		n := s.streams(now)
		c := p.slowness(s, now, n+1)
		if n == 0 {
			c += idleCost
		}
		if s.DataCentre != p.dataCentre {
			c += remoteSlowdown
		}
		return c
	}
	best := p.cheapest(candidates, cost)
	if best == nil || cost(best)*relocateGain > stay {
		return nil
	}
	return best
}

// streams returns the number of runs on an engine, as far as is known.
func (s *Server) streams(now time.Time) int {
	others, _, _ := s.othersUse(now)
	n := s.Inflight + others
	if now.Sub(s.loadAt) < reportedLife {
		n = max(n, s.load.Running+s.load.Waiting)
	}
	return n
}
