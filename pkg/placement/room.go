package placement

import (
	"math"
	"time"
)

// stride returns the first server and the step between servers with which a loop over all servers considers at most
// about twice limit of them. In contrast to candidateSample, it needs no memory.
func (p *Pool) stride(limit int) (first, step int) {
	step = max(1, len(p.all.servers)/limit)
	if step > 1 {
		first = p.rand.IntN(step)
	}
	return first, step
}

// HasRoomForCall reports whether a server that is not excluded may have room for a call: it has not reported
// lately that as many calls wait as it has slots. Avoided servers count, as they are selected if there are no others.
func (p *Pool) HasRoomForCall(now time.Time, exclude []string) bool {
	first, step := p.stride(maxUnsampledServers)
	for i := first; i < len(p.all.servers); i += step {
		s := p.all.servers[i]
		if !p.isSelectable(s, now, exclude) {
			continue
		}
		if now.Sub(s.loadReportedAt) >= callLoadTTL || s.lastLoad.Waiting < max(1, s.lastLoad.Slots) {
			return true
		}
	}
	return false
}

// IsBusy reports whether a server reported lately that calls wait or that all its slots are in use.
func (p *Pool) IsBusy(id string, now time.Time) bool {
	s := p.servers[id]
	return s != nil && now.Sub(s.loadReportedAt) < callLoadTTL && s.lastLoad.Slots > 0 && s.lastLoad.Running+s.lastLoad.Waiting >= s.lastLoad.Slots
}

// PlaceRate returns the rate at which the engines take runs like r with prompts of some tokens, each of which lasts for a
// duration, in tokens of prompts per second. Of a large pool, it is estimated from a sample.
func (p *Pool) PlaceRate(now time.Time, r Run, promptTokens int, duration time.Duration) (rate float64) {
	considered := 0
	first, step := p.stride(maxUnsampledServers)
	for i := first; i < len(p.all.servers); i += step {
		s := p.all.servers[i]
		considered++
		if !p.isSelectable(s, now, r.Exclude) || p.isAvoided(s, now) {
			continue
		}
		runs := math.Inf(1)
		if prefill := p.PrefillTime(s, promptTokens, now); prefill > 0 {
			runs = 1 / prefill.Seconds()
		}
		if duration > 0 && s.Slots > 0 {
			runs = min(runs, float64(s.Slots)/duration.Seconds())
		}
		if duration > 0 && r.EngineMemoryTokens > 0 && r.Tokens > 0 {
			runs = min(runs, (1-memoryReserveShare)*float64(r.EngineMemoryTokens)/float64(r.Tokens)/duration.Seconds())
		}
		if !math.IsInf(runs, 1) {
			rate += runs * float64(promptTokens)
		}
	}
	return rate * float64(len(p.all.servers)) / float64(max(1, considered))
}
