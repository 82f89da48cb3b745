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
	// evenPaceWidth is the logarithm of the difference, 35%, from which an engine counts as one of another speed, and
	// outlierPaceWidth that, a factor of 2, up to which placements treat the engines of a service alike whose engines
	// are not uneven: there, estimates differ under load, and all gateways would prefer the same few engines.
	evenPaceWidth    = 0.3
	outlierPaceWidth = 0.7
	// unevenShare is the share of the engines with an estimate that must differ by evenPaceWidth for the engines of a
	// service to count as uneven, and minKnownPaces the number of estimates that this needs.
	unevenShare   = 0.35
	minKnownPaces = 3
	// spreadInterval is how long it is used again whether the engines are uneven, and spreadSample about half of the
	// engines at most from which that is told.
	spreadInterval = time.Second
	spreadSample   = 256
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

// paceSpread tells whether the engines of a service differ in speed.
type paceSpread struct {
	uneven     bool
	computedAt time.Time
}

// updatePaceSpread computes the spread if it is older than spreadInterval.
func (p *Pool) updatePaceSpread(now time.Time) {
	if age := now.Sub(p.spread.computedAt); !p.spread.computedAt.IsZero() && age >= 0 && age < spreadInterval {
		return
	}
	known, different := 0, 0
	first, step := p.stride(spreadSample)
	for i := first; i < len(p.all.servers); i += step {
		s := p.all.servers[i]
		if s.engine == nil {
			continue
		}
		if source, _ := s.engine.Explain(now); source == pace.SourceNone {
			continue
		}
		known++
		if pace.Marked(s.engine.Pace(now), evenPaceWidth) != 1 {
			different++
		}
	}
	p.spread = paceSpread{uneven: known >= minKnownPaces && float64(different) >= unevenShare*float64(known), computedAt: now}
}

// relativePace returns the pace of a server's process: 1 is usual, 2 half the speed.
func (s *processPace) relativePace(now time.Time) float64 {
	if s.engine == nil {
		return 1
	}
	if age := now.Sub(s.paceAt); s.paceAt.IsZero() || age >= paceInterval || age < 0 {
		s.pace, s.paceAt = s.engine.Pace(now), now
		if s.spread == nil || !s.spread.uneven {
			s.pace = pace.Marked(s.pace, outlierPaceWidth)
		}
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
