package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
)

// learnPaces shows a pool the first events of n engines e0, e1, ... with the given paces, for some seconds that end
// at the returned time.
func learnPaces(p *Pool, from time.Time, paces []float64) time.Time {
	now := from
	for range 10 {
		for i, relative := range paces {
			now = now.Add(time.Millisecond)
			p.RecordFirstEvent(Process{ID: fmt.Sprint("e", i), StartedMS: 1}, pace.Prompt{Tokens: 8000},
				time.Duration(relative*float64(1000*time.Millisecond)), now)
		}
		now = now.Add(650 * time.Millisecond)
	}
	return now
}

// Guards against decisions that change where all engines have the same pace, whatever their prompts take.
func TestEqualPacesChangeNoDecision(t *testing.T) {
	run := Run{Tokens: 8000, EngineMemoryTokens: 88000}
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 9))
		plain, learned := newEnginePool(seed, 8), newEnginePool(seed, 8)
		paces := make([]float64, 8)
		for i := range paces {
			// Equal engines whose samples differ by chance.
			paces[i] = 0.95 + 0.1*random.Float64()
		}
		start := time.Unix(1000, 0)
		now := learnPaces(learned, start, paces)
		for range 200 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			id := fmt.Sprint("e", random.IntN(8))
			for _, p := range []*Pool{plain, learned} {
				p.RecordPrefill(id, now)
			}
			switch op := random.IntN(5); op {
			case 0:
				for _, p := range []*Pool{plain, learned} {
					p.RecordRequestStart(id)
				}
			case 1:
				for _, p := range []*Pool{plain, learned} {
					p.RecordRequestEnd(id, now)
				}
			case 2:
				for _, p := range []*Pool{plain, learned} {
					p.RecordPeerPlacement("", Placement{Subject: fmt.Sprint(now), Server: id, Backup: "e0"}, now)
				}
			case 3:
				for _, p := range []*Pool{plain, learned} {
					p.RecordLoad(id, LoadReport{Running: int(seed % 7), Slots: 6}, now)
				}
			}
			for name, choose := range map[string]func(p *Pool) *Server{
				"engine":     func(p *Pool) *Server { return p.SelectEngine(now, run) },
				"free":       func(p *Pool) *Server { return p.SelectFreeEngine(now, run) },
				"relocation": func(p *Pool) *Server { return p.SelectRelocationTarget(now, run, id) },
			} {
				a, b := choose(plain), choose(learned)
				qt.Assert(t, (a == nil) == (b == nil), qt.IsTrue, qt.Commentf("seed %d, %s", seed, name))
				if a != nil {
					qt.Assert(t, a.ID, qt.Equals, b.ID, qt.Commentf("seed %d, %s", seed, name))
				}
			}
			qt.Assert(t, plain.LatestPlacement(now, 4*time.Second, 8000), qt.Equals, learned.LatestPlacement(now, 4*time.Second, 8000))
		}
	}
}

// Guards against engines of different speed that get the same number of prompts.
func TestFastEnginesTakeMorePrompts(t *testing.T) {
	p := newEnginePool(1, 9)
	paces := []float64{1.67, 1, 0.62, 1.67, 1, 0.62, 1.67, 1, 0.62}
	now := learnPaces(p, time.Unix(1000, 0), paces)
	qt.Check(t, p.Get("e0").relativePace(now), qt.Equals, 1.0, qt.Commentf("no server says that the speed of its machine varies"))
	p.RecordLoad("e0", LoadReport{Slots: 6, Slowdown: 1}, now)
	taken := map[float64]int{}
	for range 12 {
		s := p.SelectEngine(now, Run{Tokens: 100, EngineMemoryTokens: 88000})
		p.RecordRequestStart(s.ID)
		p.Reserve(s.ID, 100, 0, 1)
		var i int
		_, _ = fmt.Sscanf(s.ID, "e%d", &i)
		taken[paces[i]]++
	}
	qt.Assert(t, taken[0.62] > taken[1] && taken[1] >= taken[1.67], qt.IsTrue, qt.Commentf("%v", taken))
	slow, fast := p.Get("e0"), p.Get("e2")
	qt.Check(t, p.PrefillTime(slow, 8000, now) > 1400*time.Millisecond, qt.IsTrue, qt.Commentf("%s", p.PrefillTime(slow, 8000, now)))
	qt.Check(t, p.PrefillTime(fast, 8000, now) < 800*time.Millisecond, qt.IsTrue, qt.Commentf("%s", p.PrefillTime(fast, 8000, now)))
	qt.Check(t, p.PrefillTime(nil, 16000, now) > 1700*time.Millisecond, qt.IsTrue, qt.Commentf("%s", p.PrefillTime(nil, 16000, now)))
	// Much later, a slow engine counts as usual again, so that its recovery is seen.
	qt.Check(t, slow.relativePace(now.Add(time.Minute)), qt.Equals, 1.0)
	// A failure never makes a fast engine look better.
	p.RecordFailure("e2")
	qt.Check(t, p.engineCost(fast, now, Run{}) >= p.engineCost(p.Get("e5"), now, Run{}), qt.IsTrue)
}

// Guards against the estimate of an earlier process, and against a time for prompts before anything is known.
func TestRestartForgetsThePace(t *testing.T) {
	p := newEnginePool(1, 3)
	qt.Check(t, p.PrefillTime(p.Get("e0"), 20000, time.Unix(1000, 0)), qt.Equals, prefillDuration)
	qt.Check(t, p.PrefillTime(nil, 0, time.Unix(1000, 0)), qt.Equals, prefillDuration)
	now := learnPaces(p, time.Unix(1000, 0), []float64{4, 1, 1})
	p.RecordLoad("e1", LoadReport{Slots: 6, Slowdown: 1}, now)
	qt.Check(t, p.Get("e0").relativePace(now) > 2, qt.IsTrue)
	// Announced again by a delayed announcement, it is the same process.
	p.Remove("e0", now)
	p.Update(directory.Server{ID: "e0", Service: "s", DataCentre: "a", StartedMS: 1, Slots: 6}, now)
	qt.Check(t, p.Get("e0").relativePace(now) > 2, qt.IsTrue)
	p.Update(directory.Server{ID: "e0", Service: "s", DataCentre: "a", StartedMS: 2, Slots: 6}, now)
	qt.Check(t, p.Get("e0").relativePace(now), qt.Equals, 1.0)
	// A late first event of the earlier process does not count.
	p.RecordFirstEvent(Process{ID: "e0", StartedMS: 1}, pace.Prompt{Tokens: 8000}, 9*time.Second, now)
	qt.Check(t, p.Get("e0").relativePace(now.Add(time.Second)), qt.Equals, 1.0)
}

// Guards against a gap that is taken for a fault although the engine reads a prompt, is slow, or was slowed down.
func TestPlausibleGap(t *testing.T) {
	p := newEnginePool(1, 3)
	now := time.Unix(1000, 0)
	process := func(id string) Process { return Process{ID: id, StartedMS: 1} }
	gap, _ := p.PlausibleGap(process("e0"), now)
	qt.Check(t, gap, qt.Equals, time.Duration(0))
	fresh := newEnginePool(1, 2)
	fresh.RecordLoad("e1", LoadReport{Slots: 6, Slowdown: 1}, now)
	fresh.RecordPrefill("e0", now)
	gap, _ = fresh.PlausibleGap(process("e0"), now)
	qt.Check(t, gap, qt.Equals, 575*time.Millisecond, qt.Commentf("nothing learned yet"))
	record := func(reading bool, ms int) {
		for range 20 {
			for _, id := range []string{"e0", "e1"} {
				if reading {
					p.RecordPrefill(id, now)
				}
				now = now.Add(400 * time.Millisecond)
				p.RecordGaps(process(id), time.Duration(ms)*time.Millisecond, time.Duration(ms)*time.Millisecond, 300*time.Millisecond, now)
			}
		}
		now = now.Add(30 * time.Second)
	}
	record(false, 40)
	record(true, 258)
	gap, e := p.PlausibleGap(process("e0"), now)
	qt.Check(t, e.Prefill, qt.IsFalse)
	qt.Check(t, gap < 150*time.Millisecond, qt.IsTrue, qt.Commentf("without a prompt: %s", gap))
	p.RecordPrefill("e0", now)
	gap, e = p.PlausibleGap(process("e0"), now.Add(100*time.Millisecond))
	qt.Check(t, e.Prefill, qt.IsTrue)
	qt.Check(t, gap, qt.Equals, time.Duration(0), qt.Commentf("with a prompt, on machines of constant speed"))
	p.RecordLoad("e1", LoadReport{Slots: 6, Slowdown: 1}, now)
	gap, _ = p.PlausibleGap(process("e0"), now.Add(100*time.Millisecond))
	qt.Check(t, gap > 550*time.Millisecond && gap < 700*time.Millisecond, qt.IsTrue, qt.Commentf("with a prompt: %s", gap))
	p.RecordGaps(process("e2"), 430*time.Millisecond, 430*time.Millisecond, 430*time.Millisecond, now)
	gap, _ = p.PlausibleGap(process("e2"), now.Add(time.Second))
	qt.Check(t, gap >= 645*time.Millisecond, qt.IsTrue, qt.Commentf("a recent gap: %s", gap))
	gap, _ = p.PlausibleGap(process("e2"), now.Add(time.Minute))
	qt.Check(t, gap < 150*time.Millisecond, qt.IsTrue, qt.Commentf("an old gap: %s", gap))
	// The reports of a slowdown are too old to count by now.
	p.RecordGaps(process("e1"), 430*time.Millisecond, 430*time.Millisecond, 430*time.Millisecond, now.Add(time.Minute))
	gap, _ = p.PlausibleGap(process("e1"), now.Add(time.Minute))
	qt.Check(t, gap >= 645*time.Millisecond, qt.IsTrue, qt.Commentf("a slow engine on a machine of constant speed: %s", gap))
}

// Guards against calls that go to a server which is slow at this moment, against reports that count after their
// time, and against a capacity that ignores the speed of servers.
func TestCallsFollowExpectedLatency(t *testing.T) {
	p := newEnginePool(1, 3)
	now := time.Unix(1000, 0)
	for range 100 {
		for i, latency := range []time.Duration{15, 15, 60} {
			now = now.Add(10 * time.Millisecond)
			id := fmt.Sprint("e", i)
			p.RecordLoad(id, LoadReport{Running: 1, Slots: 6, Slowdown: 1}, now)
			p.RecordSuccess(id, latency*time.Millisecond, now)
		}
	}
	share := func(at time.Time) (counts map[string]int) {
		counts = map[string]int{}
		for range 100 {
			counts[p.SelectForCall(at, nil).ID]++
		}
		return counts
	}
	qt.Check(t, share(now)["e2"], qt.Equals, 0)
	qt.Check(t, share(now)["e0"] > 20 && share(now)["e1"] > 20, qt.IsTrue, qt.Commentf("%v", share(now)))
	p.RecordLoad("e0", LoadReport{Running: 1, Slots: 6, Slowdown: 2.5}, now)
	qt.Check(t, share(now.Add(10 * time.Millisecond))["e0"], qt.Equals, 0)
	later := now.Add(3 * time.Second)
	qt.Check(t, share(later)["e0"] > 0, qt.IsTrue)
}

// Guards against decisions whose cost grows with the number of servers. Their servers have estimates.
func BenchmarkPacedDecisions(b *testing.B) {
	for _, n := range []int{24, 600, 11000} {
		p := newEnginePool(1, n)
		paces := make([]float64, n)
		for i := range paces {
			paces[i] = []float64{1.67, 1, 0.62}[i%3]
		}
		now := learnPaces(p, time.Unix(1000, 0), paces)
		for i := range n {
			p.RecordSuccess(fmt.Sprint("e", i), 15*time.Millisecond, now)
		}
		run := Run{Tokens: 8000, EngineMemoryTokens: 88000}
		for name, decide := range map[string]func(){
			"engine":   func() { p.SelectEngine(now, run) },
			"call":     func() { p.SelectForCall(now, nil) },
			"capacity": func() { p.CallCapacity(now) },
			"gap":      func() { p.PlausibleGap(Process{ID: "e1", StartedMS: 1}, now) },
			"record":   func() { p.RecordGaps(Process{ID: "e1", StartedMS: 1}, time.Second/9, time.Second, time.Second/3, now) },
		} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(time.Millisecond)
					decide()
				}
			})
		}
	}
}
