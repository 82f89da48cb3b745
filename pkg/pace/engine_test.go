package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simEngine is an engine of a speed that is slowed down for a share of the time.
type simEngine struct {
	speed      float64
	estimate   *Engine
	slow       bool
	noiseUntil time.Duration
}

// simulation generates the samples of one gateway in virtual time.
type simulation struct {
	random  *rand.Rand
	engines []*simEngine
	usual   Engines
	now     time.Duration
}

const (
	// noiseShare, noiseTimes and noiseLength are those of the deployment with engines of three speeds.
	noiseShare  = 0.15
	noiseTimes  = 2.5
	noiseLength = 600 * time.Millisecond
)

func newSimulation(seed uint64, speeds ...float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1))}
	for _, speed := range speeds {
		s.engines = append(s.engines, &simEngine{speed: speed, estimate: &Engine{}})
	}
	return s
}

// threeSpeeds returns n engines of the speeds 0.6, 1.0 and 1.6.
func threeSpeeds(n int) []float64 {
	var speeds []float64
	for i := range n {
		speeds = append(speeds, []float64{0.6, 1, 1.6}[i%3])
	}
	return speeds
}

func (s *simulation) at() time.Time { return time.Unix(1000, 0).Add(s.now) }

// times returns how much longer than usual work takes at an engine now.
func (s *simulation) times(e *simEngine) float64 {
	if s.now >= e.noiseUntil {
		e.slow = s.random.Float64() < noiseShare
		e.noiseUntil = s.now + noiseLength/2 + time.Duration(s.random.Int64N(int64(noiseLength/2)))
	}
	if e.slow {
		return noiseTimes / e.speed
	}
	return 1 / e.speed
}

// run advances the time. Each engine shows the gaps of a stream every gapEvery, and a first event every
// firstEvery, on average; 0 means never.
func (s *simulation) run(length, gapEvery, firstEvery time.Duration) {
	const step = 50 * time.Millisecond
	for end := s.now + length; s.now < end; s.now += step {
		for _, e := range s.engines {
			times := s.times(e)
			happens := func(every time.Duration) bool {
				return every > 0 && s.random.Float64() < float64(step)/float64(every)
			}
			if happens(gapEvery) {
				g := Gaps{Streams: s.random.IntN(12), Prefill: s.random.IntN(4) == 0}
				ms := 9 * (3.37 + 0.1*float64(g.Streams))
				if g.Prefill {
					ms += 9 * 25
				}
				g.Mean = duration(ms * times)
				s.usual.RecordGaps(e.estimate, g, s.at())
			}
			if happens(firstEvery) {
				tokens := 4000 + s.random.IntN(8000)
				s.usual.RecordFirstEvent(e.estimate, Prompt{Tokens: tokens}, duration(float64(tokens)/8*times), s.at())
			}
		}
	}
}

// Guards against estimates that follow the noise, or do not tell the speeds apart.
func TestConstantSpeedsWithNoise(t *testing.T) {
	const seeds = 20
	bounds := map[float64][2]float64{0.6: {1.15, 2.2}, 1: {0.8, 1.3}, 1.6: {0.5, 0.85}}
	outside, engines := 0, 0
	for seed := range uint64(seeds) {
		s := newSimulation(seed, threeSpeeds(12)...)
		s.run(30*time.Second, 300*time.Millisecond, 4*time.Second)
		slowestFast, fastestSlow := 0.0, math.Inf(1)
		for _, e := range s.engines {
			got := e.estimate.Pace(s.at())
			engines++
			if b := bounds[e.speed]; got < b[0] || got > b[1] {
				outside++
			}
			if e.speed > 1 {
				slowestFast = max(slowestFast, got)
			} else if e.speed < 1 {
				fastestSlow = min(fastestSlow, got)
			}
		}
		qt.Check(t, slowestFast < fastestSlow, qt.IsTrue, qt.Commentf("seed %d: a fast engine %.2f, a slow one %.2f", seed, slowestFast, fastestSlow))
	}
	t.Logf("%d of %d estimates outside of the bounds", outside, engines)
	qt.Assert(t, outside <= engines/20, qt.IsTrue, qt.Commentf("%d of %d", outside, engines))
}

// Guards against decisions that change where all engines are equal.
func TestEqualEnginesHaveThePaceOne(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 1, 1, 1, 1, 1, 1, 1, 1)
		s.run(20*time.Second, 300*time.Millisecond, 4*time.Second)
		other := 0
		for _, e := range s.engines {
			if e.estimate.Pace(s.at()) != 1 {
				other++
			}
		}
		// Noise can cover most of the buckets of one engine.
		qt.Check(t, other <= 2, qt.IsTrue, qt.Commentf("seed %d: %d engines", seed, other))
	}
}

// Guards against an estimate that does not follow a lasting change within seconds.
func TestStepsUpAndDown(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 1, 1, 1, 1, 1, 1, 1, 1)
		s.run(15*time.Second, 300*time.Millisecond, 4*time.Second)
		changed := s.engines[0]
		follow := func(speed float64, reached func(pace float64) bool) time.Duration {
			changed.speed = speed
			from := s.now
			for !reached(changed.estimate.Pace(s.at())) && s.now-from < 30*time.Second {
				s.run(200*time.Millisecond, 300*time.Millisecond, 4*time.Second)
			}
			return s.now - from
		}
		slower := follow(0.2, func(pace float64) bool { return pace > 2.5 })
		s.run(15*time.Second, 300*time.Millisecond, 4*time.Second)
		faster := follow(1, func(pace float64) bool { return pace < 1.5 })
		qt.Check(t, slower < 5*time.Second, qt.IsTrue, qt.Commentf("seed %d: slower after %s", seed, slower))
		qt.Check(t, faster < 5*time.Second, qt.IsTrue, qt.Commentf("seed %d: as usual after %s", seed, faster))
		if seed < 3 {
			t.Logf("seed %d: five times slower seen after %s, recovery after %s", seed, slower, faster)
		}
	}
}

// Guards against single samples that make an engine look slow: a gateway with two requests per second among
// 142 engines sees each of them about once a minute.
func TestFewSamplesCountAsUsual(t *testing.T) {
	s := newSimulation(3, threeSpeeds(142)...)
	s.run(2*time.Minute, 0, 71*time.Second)
	for _, e := range s.engines {
		got := e.estimate.Pace(s.at())
		qt.Check(t, got > 0.5 && got < 3, qt.IsTrue, qt.Commentf("speed %.1f: %.2f", e.speed, got))
	}
	// A single sample at an engine that is slowed down counts for less than half, in logarithms.
	single := &Engine{}
	s.usual.RecordFirstEvent(single, Prompt{Tokens: 8000}, duration(math.Exp(s.usual.perToken.log)*8000*2.5), s.at())
	qt.Assert(t, single.Pace(s.at()) < math.Pow(2.5, 0.6), qt.IsTrue, qt.Commentf("%.2f", single.Pace(s.at())))
	// It is forgotten, so that the engine is tried again.
	qt.Assert(t, single.Pace(s.at().Add(time.Minute)), qt.Equals, 1.0)
	source, _ := single.Explain(s.at().Add(time.Minute))
	qt.Assert(t, source, qt.Equals, SourceNone)
}

// Guards against estimates before it is known what is usual, from prompts of unknown size, and against times
// that are no numbers.
func TestUnknownCountsAsUsual(t *testing.T) {
	var u Engines
	e := &Engine{}
	now := time.Unix(1000, 0)
	for range 20 {
		u.RecordFirstEvent(e, Prompt{}, 5*time.Second, now)
		u.RecordFirstEvent(e, Prompt{Tokens: 8000}, 0, now)
		u.RecordGaps(e, Gaps{}, now)
	}
	qt.Check(t, e.Pace(now), qt.Equals, 1.0)
	_, known := u.PrefillTime(e, 8000, now)
	qt.Check(t, known, qt.IsFalse)
	qt.Check(t, u.Gap(e, 1, true, now), qt.Equals, time.Duration(0))
	qt.Check(t, u.RelativeSize(8000), qt.Equals, 1.0)
	var none *Engine
	qt.Check(t, none.Pace(now), qt.Equals, 1.0)
	e.pace.Add(math.NaN(), 1, now)
	e.pace.Add(1, 1, now.Add(-time.Hour))
	qt.Check(t, e.Pace(now), qt.Equals, 1.0)
}

// Guards against a time for a prompt that ignores its size or the pace of the engine.
func TestPrefillTime(t *testing.T) {
	s := newSimulation(5, threeSpeeds(9)...)
	s.run(30*time.Second, 0, 500*time.Millisecond)
	for _, e := range s.engines {
		for _, tokens := range []int{2000, 8000, 16000} {
			got, known := s.usual.PrefillTime(e.estimate, tokens, s.at())
			want := duration(float64(tokens) / 8 / e.speed)
			qt.Check(t, known && got > want*7/10 && got < want*18/10, qt.IsTrue, qt.Commentf("speed %.1f, %d tokens: %s, want %s", e.speed, tokens, got, want))
		}
	}
	qt.Check(t, s.usual.RelativeSize(8000), qt.Equals, 1.0)
	qt.Check(t, s.usual.RelativeSize(1<<30), qt.Equals, 4.0)
}

// Guards against an estimate of other gateways that outlives its samples, or outweighs fresh ones of this
// gateway.
func TestSharedEstimatesAge(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &Engine{}
	e.RecordShared(Shared{Log: math.Log(3), Weight: 6, Gateways: 12, ReceivedAt: now})
	qt.Check(t, e.Pace(now) > 2.4, qt.IsTrue)
	source, age := e.Explain(now.Add(time.Second))
	qt.Check(t, source, qt.Equals, SourceShared)
	qt.Check(t, age, qt.Equals, time.Second)
	qt.Check(t, e.Pace(now.Add(time.Minute)), qt.Equals, 1.0)
	for i := range 8 {
		e.pace.Add(0, 1, now.Add(time.Duration(i)*bucketLength))
	}
	qt.Check(t, e.Pace(now.Add(8*bucketLength)) < 1.2, qt.IsTrue)
}

// Guards against the estimate of an engine that is pulled along by another one, whatever that one shows.
func TestOneEngineDoesNotChangeTheUsual(t *testing.T) {
	s := newSimulation(7, 1, 1, 1, 1, 1, 1, 1, 1, 1, 0.05)
	s.run(30*time.Second, 300*time.Millisecond, 4*time.Second)
	for _, e := range s.engines[:9] {
		got := e.estimate.Pace(s.at())
		qt.Check(t, got > 0.6 && got < 1.3, qt.IsTrue, qt.Commentf("%.2f", got))
	}
	qt.Check(t, s.engines[9].estimate.Pace(s.at()) > 5, qt.IsTrue)
}
