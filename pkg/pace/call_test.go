package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var callStart = time.Unix(1000, 0)

// Guards against a queue that is taken for slowness, and against reports that make a server look fast without
// bound.
func TestQueuesAreNotSlowness(t *testing.T) {
	now := callStart
	usual := math.Log(15.0)
	loaded, slow, lying := &Calls{}, &Calls{}, &Calls{}
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		loaded.RecordLatency(75*time.Millisecond, Load{Running: 6, Waiting: 24, Slots: 6}, now)
		slow.RecordLatency(75*time.Millisecond, Load{Running: 1, Slots: 6}, now)
		lying.RecordLatency(75*time.Millisecond, Load{Running: 1, Waiting: 1 << 40, Slots: 1}, now)
	}
	qt.Check(t, loaded.Relative(usual, now), qt.Equals, 1.0)
	qt.Check(t, slow.Relative(usual, now) > 3, qt.IsTrue)
	qt.Check(t, lying.Relative(usual, now) > 0.3, qt.IsTrue)
	// It is forgotten, so that a recovery is seen.
	qt.Check(t, slow.Relative(usual, now.Add(time.Minute)), qt.Equals, 1.0)
	var none *Calls
	qt.Check(t, none.Relative(usual, now), qt.Equals, 1.0)
}

// Guards against old, constant and enormous figures of reports.
func TestFigureAges(t *testing.T) {
	c := &Calls{}
	now := callStart
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		c.RecordFigure(1.67, now)
	}
	qt.Check(t, math.Abs(c.Slowdown(now)-1) < 0.01, qt.IsTrue, qt.Commentf("a machine that always reports the same: %.2f", c.Slowdown(now)))
	c.RecordFigure(1.67*2.5, now)
	qt.Check(t, c.Slowdown(now) > 2, qt.IsTrue)
	qt.Check(t, c.Slowdown(now.Add(100*time.Millisecond)) < 1.6, qt.IsTrue)
	qt.Check(t, c.Slowdown(now.Add(time.Second)) < 1.001, qt.IsTrue)
	c.RecordFigure(50, now)
	qt.Check(t, c.Slowdown(now) <= maxFigureRatio, qt.IsTrue)
	c.RecordFigure(0, now)
	c.RecordFigure(math.NaN(), now)
	qt.Check(t, c.Slowdown(now) > 1, qt.IsTrue)
}

// callServer simulates a server with slots and a queue in virtual time, whose service time grows with the
// concurrency.
type callServer struct {
	slots, queue int
	serviceMS    func(running int) float64
	// ends are the times at which the running calls end, in ms.
	ends    []callInService
	waiting []float64
}

type callInService struct{ sentAt, endsAt float64 }

// limiter bounds the concurrency at a server.
type limiter interface {
	limit() int
	record(latencyMS float64, l Load, nowMS float64)
}

// unlimited admits what the slots and the queue take.
type unlimited struct{ n int }

func (u unlimited) limit() int                  { return u.n }
func (unlimited) record(float64, Load, float64) {}

// gradientLimit follows the ratio of the lowest latency to the latest ones.
type gradientLimit struct{ current, lowest, recent float64 }

func (g *gradientLimit) limit() int { return max(1, int(g.current)) }

func (g *gradientLimit) record(latencyMS float64, _ Load, _ float64) {
	if g.lowest == 0 || latencyMS < g.lowest {
		g.lowest = latencyMS
	}
	g.lowest *= 1.0005
	if g.recent == 0 {
		g.recent = latencyMS
	}
	g.recent += 0.1 * (latencyMS - g.recent)
	gradient := max(0.5, min(1, 1.5*g.lowest/g.recent))
	g.current += 0.1 * (max(1, min(30, g.current*gradient+math.Sqrt(g.current)/2)) - g.current)
}

// aimdLimit adds a place per round and multiplies by 0.9 when a latency exceeds twice the lowest.
type aimdLimit struct{ current, lowest, cutAt float64 }

func (a *aimdLimit) limit() int { return max(1, int(a.current)) }

func (a *aimdLimit) record(latencyMS float64, _ Load, nowMS float64) {
	if a.lowest == 0 || latencyMS < a.lowest {
		a.lowest = latencyMS
	}
	a.lowest *= 1.0005
	if latencyMS > 2*a.lowest {
		if nowMS-a.cutAt > latencyMS {
			a.current, a.cutAt = max(1, 0.9*a.current), nowMS
		}
		return
	}
	a.current = min(30, a.current+1/a.current)
}

// kneeLimit is the lowest concurrency with nine tenths of the highest throughput that was seen.
type kneeLimit struct {
	slots   int
	logs    [64]float64
	samples [64]int
}

func (k *kneeLimit) limit() int {
	highest, best := 0, 0.0
	for n := 1; n <= k.slots; n++ {
		if k.samples[n] >= 8 {
			highest, best = n, max(best, float64(n)/math.Exp(k.logs[n]))
		}
	}
	for n := 1; n <= highest*3/4; n++ {
		if k.samples[n] >= 8 && float64(n)/math.Exp(k.logs[n]) >= 0.9*best {
			return n
		}
	}
	return k.slots
}

func (k *kneeLimit) record(latencyMS float64, l Load, _ float64) {
	n := min(len(k.logs)-1, l.Running)
	k.samples[n]++
	sample := math.Log(latencyMS / (1 + float64(l.Waiting)/float64(l.Slots)))
	k.logs[n] += (sample - k.logs[n]) * max(0.1, 1/float64(k.samples[n]))
}

// learnedLimit is the limit of Calls.
type learnedLimit struct {
	c     Calls
	slots int
}

func (k *learnedLimit) limit() int { return k.c.Limit(k.slots) }

func (k *learnedLimit) record(latencyMS float64, l Load, nowMS float64) {
	k.c.RecordLatency(duration(latencyMS), l, millisAfter(nowMS))
}

func millisAfter(ms float64) time.Time { return callStart.Add(duration(ms)) }

// simulateCalls sends calls to one server for a minute. Calls beyond the limit are refused. It returns the share of
// all calls that are served within objectiveMS, in the second half.
func simulateCalls(s *callServer, l limiter, perSecond, objectiveMS float64, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 2))
	const lengthMS = 60_000.0
	sent, inTime := 0, 0
	noisy, noiseUntil := false, 0.0
	begin := func(sentAt, now float64) {
		running := len(s.ends) + 1
		ms := s.serviceMS(running) * (0.9 + 0.2*random.Float64())
		if noisy {
			ms *= noiseTimes
		}
		s.ends = append(s.ends, callInService{sentAt, now + ms})
	}
	for arrival, now := 0.0, 0.0; now < lengthMS; {
		first := -1
		for i := range s.ends {
			if first < 0 || s.ends[i].endsAt < s.ends[first].endsAt {
				first = i
			}
		}
		if first < 0 || arrival < s.ends[first].endsAt {
			now = arrival
			arrival += random.ExpFloat64() * 1000 / perSecond
			if now >= noiseUntil {
				noisy, noiseUntil = random.Float64() < noiseShare, now+300+300*random.Float64()
			}
			if now > lengthMS/2 {
				sent++
			}
			switch open := len(s.ends) + len(s.waiting); {
			case open >= l.limit() || open >= s.slots+s.queue:
			case len(s.ends) < s.slots:
				begin(now, now)
			default:
				s.waiting = append(s.waiting, now)
			}
			continue
		}
		done := s.ends[first]
		now = done.endsAt
		report := Load{Running: len(s.ends), Waiting: len(s.waiting), Slots: s.slots}
		s.ends = append(s.ends[:first], s.ends[first+1:]...)
		if len(s.waiting) > 0 {
			sentAt := s.waiting[0]
			s.waiting = s.waiting[1:]
			begin(sentAt, now)
		}
		if now > lengthMS/2 && now-done.sentAt <= objectiveMS {
			inTime++
		}
		l.record(now-done.sentAt, report, now)
	}
	return float64(inTime) / float64(sent)
}

// Guards against a limit that falls because of what slows down the machine as a whole and is reported.
func TestReportedSlowdownDoesNotLowerTheLimit(t *testing.T) {
	now := callStart
	told, untold := &Calls{}, &Calls{}
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		slowdown := 1.0
		if i/10%6 == 0 {
			slowdown = 3
		}
		told.RecordFigure(slowdown, now)
		told.RecordLatency(duration(15*slowdown), Load{Running: 6, Slots: 6, Slowdown: slowdown}, now)
		untold.RecordLatency(duration(15*slowdown), Load{Running: 6, Slots: 6}, now)
	}
	qt.Check(t, told.Limit(6), qt.Equals, 6)
	qt.Check(t, untold.Limit(6) >= 4, qt.IsTrue, qt.Commentf("%d", untold.Limit(6)))
}

// Compares the ways to limit the concurrency at a server; docs/design/learned-speed.md has the figures.
// Guards against a server that slows down long before it is full and is filled all the same, and against a
// limit on one that does not.
func TestLimitsOfConcurrency(t *testing.T) {
	early := func(running int) float64 { return 15 * max(1, math.Pow(float64(running)/3, 1.8)) }
	flat := func(int) float64 { return 15 }
	for _, c := range []struct {
		name      string
		serviceMS func(int) float64
		perSecond float64
	}{
		{"slows down from 3 of 12, 250 calls/s", early, 250},
		{"slows down from 3 of 12, 150 calls/s", early, 150},
		{"constant up to 12, 700 calls/s", flat, 700},
		{"constant up to 12, 1000 calls/s", flat, 1000},
	} {
		shares := map[string]float64{}
		for name, newLimiter := range map[string]func() limiter{
			"none":     func() limiter { return unlimited{36} },
			"slots":    func() limiter { return unlimited{12} },
			"gradient": func() limiter { return &gradientLimit{current: 12} },
			"AIMD":     func() limiter { return &aimdLimit{current: 12} },
			"knee":     func() limiter { return &kneeLimit{slots: 12} },
			"learned":  func() limiter { return &learnedLimit{slots: 12} },
		} {
			const seeds = 5
			for seed := range uint64(seeds) {
				shares[name] += simulateCalls(&callServer{slots: 12, queue: 24, serviceMS: c.serviceMS}, newLimiter(), c.perSecond, 60, seed) / seeds
			}
		}
		t.Logf("%s: in time without a limit %.2f, slots %.2f, gradient %.2f, AIMD %.2f, knee %.2f, learned %.2f", c.name,
			shares["none"], shares["slots"], shares["gradient"], shares["AIMD"], shares["knee"], shares["learned"])
		qt.Check(t, shares["learned"] >= shares["slots"]-0.05, qt.IsTrue, qt.Commentf("%s: %v", c.name, shares))
	}
}

// Guards against a limit that stays at the slots of a server that slows down long before it is full.
func TestLimitOfAServerThatSlowsDownEarly(t *testing.T) {
	early, now := &Calls{}, callStart
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		running := 1 + i%12
		early.RecordLatency(duration(15*max(1, math.Pow(float64(running)/3, 1.8))), Load{Running: running, Slots: 12}, now)
	}
	limit := early.Limit(12)
	qt.Check(t, limit >= 2 && limit <= 5, qt.IsTrue, qt.Commentf("limit %d", limit))
}
