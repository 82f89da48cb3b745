package loadmodel

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// EngineSpec describes the speed and the capacity of an engine.
type EngineSpec struct {
	// StepMS is the duration of one step, in which every run generates one token, and
	// StepPerRunMS the time that each run adds to it, in milliseconds.
	StepMS       float64 `json:"step_ms"`
	StepPerRunMS float64 `json:"step_per_run_ms"`
	// ReadTokensPerMS is the prefill speed, and ChunkTokens the number of tokens of one prompt
	// that are processed per step.
	ReadTokensPerMS float64 `json:"read_tokens_per_ms"`
	ChunkTokens     int     `json:"chunk_tokens"`
	// FirstMS is an additional delay before the first token.
	FirstMS float64 `json:"first_ms"`
	// Runs is the maximum number of concurrent runs, and MemoryTokens the memory that they share.
	Runs         int `json:"runs"`
	MemoryTokens int `json:"memory_tokens"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int `json:"tokens_per_event"`
}

// task is one run: the execution of a stream on one engine.
type task struct {
	stream *streamState
	// prefillLeft is the number of tokens that still need prefill, and firstTokenAt the earliest
	// time of the first token.
	prefillLeft  int
	firstTokenAt time.Duration
	// priority orders waiting and prefilling tasks, 0 first. sequence breaks ties.
	priority, sequence int
	// relocates is true if the stream is to be relocated at its first event.
	relocates bool
	// tokensSinceEvent is the number of tokens generated since the last event.
	tokensSinceEvent int
}

// engine executes tasks in steps.
type engine struct {
	spec       EngineSpec
	id         string
	dataCentre string
	// speed is relative to that of spec. noisyUntil is the time at which it is drawn again whether the engine is
	// slowed down, and noisy the last result.
	speed      float64
	noisy      bool
	noisyUntil time.Duration
	// incarnation counts the restarts of the engine's process. A restart ends all tasks.
	incarnation int
	failed      bool
	waiting     []*task
	running     []*task
	copyTokens  int
	// cachedUntil holds the time until which the prompt of a subject stays in the engine's cache.
	cachedUntil map[string]time.Duration
	// stepScheduled is true while the end of a step is scheduled.
	stepScheduled bool
	// lastTaskSequence is the sequence of the latest task.
	lastTaskSequence int
}

func (e *engine) usedMemory() int {
	used := e.copyTokens
	for _, t := range e.running {
		used += t.stream.tokens()
	}
	return used
}

// hasRoom reports whether a copy fits beside the admitted runs.
func (e *engine) hasRoom(tokens int) bool { return e.usedMemory()+tokens <= e.spec.MemoryTokens }

// admit moves waiting tasks into the batch in order of priority while there is room.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, compareByPriority)
	for len(e.waiting) > 0 {
		t := e.waiting[0]
		if len(e.running) >= e.spec.Runs || e.usedMemory()+t.stream.tokens() > e.spec.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, t)
	}
}

func compareByPriority(a, b *task) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.sequence, b.sequence))
}

// slowdown returns how much longer than specified a step takes that begins at now.
func (e *engine) slowdown(now time.Duration, noise Noise, random *rand.Rand) float64 {
	if noise.Share == 0 {
		return 1 / e.speed
	}
	if now >= e.noisyUntil {
		e.noisy = random.Float64() < noise.Share
		e.noisyUntil = now + milliseconds(noise.LengthMS*(0.5+0.5*random.Float64()))
	}
	if e.noisy {
		return noise.Times / e.speed
	}
	return 1 / e.speed
}

// runStep executes one step that begins at now and takes slowdown times as long as specified. It returns the step's duration and the tasks that
// generate a token at its end.
func (e *engine) runStep(now time.Duration, slowdown float64) (duration time.Duration, decoded []*task) {
	e.admit()
	var prefilling *task
	decoding := 0
	for _, t := range e.running {
		switch {
		case t.prefillLeft > 0:
			if prefilling == nil || compareByPriority(t, prefilling) < 0 {
				prefilling = t
			}
		case now >= t.firstTokenAt:
			decoding++
			decoded = append(decoded, t)
		}
	}
	ms := e.spec.StepMS + e.spec.StepPerRunMS*float64(decoding)
	if prefilling != nil {
		chunk := min(prefilling.prefillLeft, e.spec.ChunkTokens)
		ms += float64(chunk) / e.spec.ReadTokensPerMS
		ms *= slowdown
		prefilling.prefillLeft -= chunk
		if prefilling.prefillLeft == 0 {
			prefilling.firstTokenAt = now + milliseconds(ms+e.spec.FirstMS)
		}
	}
	if prefilling == nil {
		ms *= slowdown
	}
	return milliseconds(ms), decoded
}

func (e *engine) remove(t *task) {
	isTask := func(other *task) bool { return other == t }
	e.running = slices.DeleteFunc(e.running, isTask)
	e.waiting = slices.DeleteFunc(e.waiting, isTask)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
