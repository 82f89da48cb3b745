package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/overload"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// estimateInterval is the interval at which it is estimated again whether a waiting stream can still end in time:
// prompts that go before it arrive, and engines end.
const estimateInterval = time.Second

const (
	// streamDemandSmoothing averages the demand of organisations for streams over about four seconds: most of them offer
	// one or two per second.
	streamDemandSmoothing = 0.25
	// streamOverloadTTL is how long the demand of organisations is exchanged after a stream waited: three intervals of
	// the exchange.
	streamOverloadTTL = 3 * usage.Interval
)

// streamControl is the demand of organisations for the streams of a service.
type streamControl struct {
	overload.Organisations
	// waitedAt is the latest time at which a stream waited here for a place.
	waitedAt time.Time
}

// streamControl returns the demand of organisations for the streams of a service; g.mu is held.
func (g *Gateway) streamControl(service string) *streamControl {
	c := g.streamControls[service]
	if c == nil {
		c = &streamControl{Organisations: overload.Organisations{Smoothing: streamDemandSmoothing}}
		g.streamControls[service] = c
	}
	return c
}

// recordStreamDemand counts a stream of an organisation, and returns a random number from 0 to 1 for updateExcess.
func (g *Gateway) recordStreamDemand(service *routing.Service, organisation string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streamControl(service.Name).Record(organisation, time.Now())
	return g.rand.Float64()
}

// reportStreamDemand adds the demand of organisations for streams to a report while streams wait, and measures their
// usual load otherwise; g.mu is held.
func (g *Gateway) reportStreamDemand(report *usage.Report, now time.Time) {
	for service, c := range g.streamControls {
		if now.Sub(c.waitedAt) > streamOverloadTTL {
			c.Measure(now)
			continue
		}
		if report.Organisations == nil {
			report.Organisations = usage.Organisations{}
		}
		report.Organisations[service] = c.Report(now)
	}
}

// updateExcess decides whether a stream is beyond the usual load of its organisation; g.mu is held. The demand of
// organisations is only known while streams wait.
func (s *streamState) updateExcess() {
	excess := s.lastEventID == "" && s.excessDraw < s.g.streamControl(s.req.service.Name).ExcessShare(s.req.organisation)
	if excess && !s.pending.Excess {
		s.g.log.Info("stream is beyond the usual load of its organisation", "request", s.req.fields.ID, "service", s.req.service.Name,
			"organisation", s.req.organisation, "rank", s.req.rank)
	}
	s.pending.Excess = excess
}

var errCannotEnd = eris.New("no engine has a place, and with the prompts that are ahead a stream would not end before the deadline")

// cannotEnd reports whether the stream, which waits for a place, cannot end before its deadline.
func (s *streamState) cannotEnd() bool {
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	history := g.durations[s.req.route.Name]
	if history == nil {
		return false
	}
	now, service := time.Now(), s.req.service.Name
	wait := overload.StreamWait{
		AheadTokens: g.admissionQueue(service).AheadOf(&s.pending, now), Share: g.demandShare(service, now),
		Shortest: history.Shortest(), Left: s.req.deadline.Sub(now),
	}
	if wait.AheadTokens > 0 {
		wait.PlaceRate = g.pool(service).PlaceRate(now, s.requirements(), s.req.fields.PromptTokens, history.Average())
	}
	if !wait.CannotEnd() {
		return false
	}
	g.log.Info("a stream that waits cannot end before its deadline", "request", s.req.fields.ID, "service", service, "rank", s.req.rank,
		"prompt_tokens", s.req.fields.PromptTokens, "ahead_tokens", wait.AheadTokens, "place_rate", wait.PlaceRate, "share", wait.Share,
		"shortest_ms", wait.Shortest.Milliseconds(), "left_ms", wait.Left.Milliseconds())
	return true
}
