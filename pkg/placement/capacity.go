package placement

import (
	"math"
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
)

const (
	// paceInterval is how long a computed pace is used: it changes little within it, and a decision compares
	// dozens of engines.
	paceInterval = 200 * time.Millisecond
	// maxPrefillScale bounds the prefill that placements assume, relative to prefillDuration.
	maxPrefillScale = 8
)

// PrefillTime returns the time until the first event of a prompt that a server begins to read now with nothing
// ahead of it. A nil server is one of the usual pace, and 0 tokens a prompt of the usual size. It is
// prefillDuration, scaled by the pace of the server, until the service's time per prompt token is known.
func (p *Pool) PrefillTime(s *Server, tokens int, now time.Time) time.Duration {
	var engine *pace.Engine
	if s != nil {
		engine = s.engine
	}
	if d, known := p.engines.PrefillTime(engine, tokens, now); known {
		return d
	}
	return s.assumedPrefill(now)
}

// relativePace returns the pace of a server's process that placements use: 1 is usual, 2 half the speed. It is 1
// unless servers of the service report how long work takes on their machines: where all engines are equally fast,
// estimates differ under load, and all gateways would prefer the same few engines.
func (s *processPace) relativePace(now time.Time) float64 {
	if s.engine == nil || !s.machines.vary(now) {
		return 1
	}
	if age := now.Sub(s.paceAt); s.paceAt.IsZero() || age >= paceInterval || age < 0 {
		s.pace, s.paceAt = s.engine.Pace(now), now
	}
	return s.pace
}

// assumedPrefill returns the duration of a usual prompt's prefill at a server that placements assume.
func (s *Server) assumedPrefill(now time.Time) time.Duration {
	if s == nil {
		return prefillDuration
	}
	return scaled(prefillDuration, s.relativePace(now))
}

func scaled(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// LatestPlacement returns the latest time of a placement at an engine of the usual pace with which the first
// event of a stream with a prompt of the given size is on time.
func (p *Pool) LatestPlacement(arrivedAt time.Time, objective time.Duration, tokens int) time.Time {
	return arrivedAt.Add(objective - scaled(prefillDuration, min(maxPrefillScale, p.engines.RelativeSize(tokens))))
}

// pacedCost returns the cost of an engine with the given load for a run. A run adds the cost of a prefill, and all
// of it takes longer at a slow engine; at engines of the usual pace, only the load counts.
func pacedCost(load, pace float64) float64 {
	if pace == 1 {
		return load
	}
	return (load+prefillCost)*pace - prefillCost
}

// usualServiceLog returns the median of the servers' service times, as a logarithm, and false if fewer than two
// are known.
func usualServiceLog(servers []*Server, now time.Time) (float64, bool) {
	var logs [sampleSize]float64
	known := logs[:0]
	for _, s := range servers {
		if log, weight := s.calls.ServiceLog(now); weight > 0 && len(known) < cap(known) {
			known = append(known, log)
		}
	}
	if len(known) < 2 {
		return 0, false
	}
	slices.Sort(known)
	return known[(len(known)-1)/2], true
}

// expectedLatency returns the latency of a call at a server relative to the usual one, queues aside. An estimate
// older than latencyTTL counts as usual, so that a server that was slow gets a call that shows whether it still
// is.
func (s *Server) expectedLatency(usualLog float64, known bool, now time.Time) float64 {
	if s.calls == nil {
		return 1
	}
	ratio := s.calls.Slowdown(now)
	if known && now.Sub(s.latencySampledAt) < latencyTTL {
		ratio *= s.calls.Relative(usualLog, now)
	}
	return max(minLatencyRatio, ratio)
}

// minLatencyRatio bounds how much better than usual a server may look, as its reports may be false.
const minLatencyRatio = 0.25

// withFailures scales a cost by a failure rate, which never lowers it.
func withFailures(cost, failureRate float64) float64 { return cost + math.Abs(cost)*failureRate }
