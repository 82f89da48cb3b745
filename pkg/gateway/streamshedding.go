package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/overload"
)

// estimateInterval is the interval at which it is estimated again whether a waiting stream can still end in time:
// prompts that go before it arrive, and engines end.
const estimateInterval = time.Second

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
