package pace

import (
	"math"
	"time"
)

const (
	// evenWidth is the logarithm of the difference up to which engines count as equally fast: 15%. Estimates
	// of equal engines differ by less, while speeds of 0.6 and 1.6 differ from the usual by 51% and 47%.
	evenWidth = 0.15
	// streamsPerClass and streamClasses group the numbers of streams at an engine by which gaps are compared: each
	// stream lengthens a step by about 3%.
	streamsPerClass = 3
	streamClasses   = 5
	// aheadWeight is the weight of a first event whose prompt had others ahead of it: it is not known how much
	// of them was left.
	aheadWeight = 0.3
	// maxAhead is the number of prompts ahead up to which a first event gives a sample. With more, the engine is
	// overloaded, and what is ahead is not known well enough.
	maxAhead = 1
	// minPromptTokens is the size from which the time of a first event says how fast prompts are read: for
	// smaller ones, the way and the steps between take longer.
	minPromptTokens = 500
	// gapWeight is the weight of a sample of gaps. It is less than that of a first event, as the gaps depend
	// on what else runs at the engine, which a gateway knows in part.
	gapWeight = 0.5
)

// Engines is what is usual for the engines of a service. The zero value knows nothing.
type Engines struct {
	// perToken is the time per prompt token until the first event, in ms, and prompt the size of a prompt.
	perToken, prompt usual
	// gaps are the times between events, in ms, without and with a prompt that is read meanwhile, by the
	// number of streams.
	gaps [2][streamClasses]usual
	// prefillGap is the time between events while a prompt is read, whatever the number of streams.
	prefillGap usual
}

// Engine is what is known of one process of an engine. The zero value knows nothing.
type Engine struct {
	pace Estimate
	// shared is the estimate of all gateways.
	shared Shared
}

// Shared is an estimate that a coordinator merged from those of the gateways.
type Shared struct {
	// Log is the logarithm of the pace. Weight is the weight of its samples when it was received, and
	// Gateways the number of gateways that contributed.
	Log, Weight float64
	Gateways    int
	ReceivedAt  time.Time
}

// Prompt describes a prompt whose first event arrived.
type Prompt struct {
	// Tokens is its size. Ahead is the number of prompts that the engine had to read before it.
	Tokens, Ahead int
}

// RecordFirstEvent records the time from the start of an attempt to its first event. It returns the sample of the
// pace that it gives, with a weight of 0 if it gives none.
func (u *Engines) RecordFirstEvent(e *Engine, p Prompt, elapsed time.Duration, now time.Time) (log, weight float64) {
	if p.Tokens < minPromptTokens || elapsed <= 0 || p.Ahead > maxAhead {
		return 0, 0
	}
	u.prompt.add(math.Log(float64(p.Tokens)))
	tokens := float64(p.Tokens)
	weight = 1
	if p.Ahead > 0 {
		// On average, half of the first prompt ahead has been read.
		tokens += (float64(p.Ahead) - 0.5) * math.Exp(u.prompt.log)
		weight = aheadWeight
	}
	sample := math.Log(milliseconds(elapsed) / tokens)
	if p.Ahead == 0 {
		u.perToken.add(sample)
	}
	return e.add(&u.perToken, sample, weight, now)
}

// Gaps describes consecutive events of one stream.
type Gaps struct {
	// Mean is the mean time between them.
	Mean time.Duration
	// Streams is the number of streams at the engine, and Prefill tells whether it read a prompt meanwhile.
	Streams int
	Prefill bool
}

// RecordGaps records the times between events of a stream. It returns the sample of the pace that they give, with
// a weight of 0 if they give none.
func (u *Engines) RecordGaps(e *Engine, g Gaps, now time.Time) (log, weight float64) {
	if g.Mean <= 0 {
		return 0, 0
	}
	class := u.gapClass(g.Streams, g.Prefill)
	sample := math.Log(milliseconds(g.Mean))
	class.add(sample)
	if g.Prefill {
		u.prefillGap.add(sample)
	}
	return e.add(class, sample, gapWeight, now)
}

func (u *Engines) gapClass(streams int, prefill bool) *usual {
	i := 0
	if prefill {
		i = 1
	}
	return &u.gaps[i][max(0, min(streamClasses-1, streams/streamsPerClass))]
}

// add adds a sample of a quantity to the pace of the engine, if it is known what is usual.
func (e *Engine) add(usual *usual, sample, weight float64, now time.Time) (log, added float64) {
	if !usual.known() {
		return 0, 0
	}
	log = max(-maxLog, min(maxLog, sample-usual.log))
	e.pace.Add(log, weight, now)
	return log, weight
}

// RecordShared records an estimate that a coordinator merged.
func (e *Engine) RecordShared(s Shared) { e.shared = s }

// Source tells where the estimate of a pace comes from.
type Source string

// The sources of an estimate.
const (
	// SourceNone means that there are too few samples: the pace counts as usual.
	SourceNone Source = "none"
	// SourceOwn means that the samples are those of this gateway, SourceShared that most of them are those of
	// other gateways.
	SourceOwn    Source = "own"
	SourceShared Source = "shared"
)

// Pace returns the pace of an engine: 1 if it is unknown or differs little from the usual.
func (e *Engine) Pace(now time.Time) float64 {
	if e == nil {
		return 1
	}
	x := threshold(e.log(now), evenWidth)
	if x == 0 {
		return 1
	}
	return math.Exp(max(-maxLog, min(maxLog, x)))
}

// log returns the logarithm of the pace: the samples of this gateway, shrunk towards those of all gateways,
// which are shrunk towards the usual.
func (e *Engine) log(now time.Time) float64 {
	prior := 0.0
	if w := e.sharedWeight(now); w > 0 {
		prior = e.shared.Log * w / (w + priorWeight)
	}
	return e.pace.shrunk(prior, now)
}

func (e *Engine) sharedWeight(now time.Time) float64 {
	if e.shared.Weight == 0 {
		return 0
	}
	return e.shared.Weight * decay(now.Sub(e.shared.ReceivedAt))
}

// Explain returns the source of the estimate and the age of its last sample.
func (e *Engine) Explain(now time.Time) (Source, time.Duration) {
	if e == nil {
		return SourceNone, 0
	}
	own, shared := e.pace.Weight(now), e.sharedWeight(now)
	switch {
	case own+shared < priorWeight/2:
		return SourceNone, 0
	case shared > own:
		return SourceShared, now.Sub(e.shared.ReceivedAt)
	}
	return SourceOwn, e.pace.Age(now)
}

// PrefillTime returns the time that an engine takes until the first event of a prompt with nothing ahead of
// it, and false if that is not known.
func (u *Engines) PrefillTime(e *Engine, tokens int, now time.Time) (time.Duration, bool) {
	if !u.perToken.known() {
		return 0, false
	}
	size := float64(tokens)
	if tokens <= 0 {
		size = math.Exp(u.prompt.log)
	}
	return duration(math.Exp(u.perToken.log) * size * e.Pace(now)), true
}

// RelativeSize returns the size of a prompt relative to the usual one of the service, 1 if either is unknown.
// It is bounded to a quarter and four times.
func (u *Engines) RelativeSize(tokens int) float64 {
	if tokens <= 0 || !u.prompt.known() {
		return 1
	}
	x := threshold(math.Log(float64(tokens))-u.prompt.log, evenWidth)
	return math.Exp(max(-math.Ln2*2, min(math.Ln2*2, x)))
}

// Gap returns the usual time between events at an engine, 0 if it is unknown.
func (u *Engines) Gap(e *Engine, streams int, prefill bool, now time.Time) time.Duration {
	class := u.gapClass(streams, prefill)
	if prefill && !class.known() {
		class = &u.prefillGap
	}
	if !class.known() {
		return 0
	}
	return duration(math.Exp(class.log) * e.Pace(now))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
