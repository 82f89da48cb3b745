package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// Guards against streams that go before more urgent ones, and against streams that are late anyway and make
// others late.
func TestAdmissionOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	later := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	urgent := &PendingStream{Rank: 0, OnTimeUntil: later(3)}
	patient := &PendingStream{Rank: 2, OnTimeUntil: later(1)}
	patientNew := &PendingStream{Rank: 2, OnTimeUntil: later(9)}
	resumed := &PendingStream{Rank: 2, OnTimeUntil: later(9), Resumes: true}
	late := &PendingStream{Rank: 0, OnTimeUntil: later(-1)}
	q := &AdmissionQueue{}
	for _, s := range []*PendingStream{late, resumed, patientNew, patient, urgent, urgent} {
		q.Join(s)
	}
	qt.Assert(t, q.Len(), qt.Equals, 5)
	for i, want := range []*PendingStream{urgent, patient, patientNew, resumed, late} {
		for _, s := range []*PendingStream{urgent, patient, patientNew, resumed, late} {
			qt.Check(t, s.joined && q.IsNext(s, now), qt.Equals, s == want, qt.Commentf("place %d: %+v", i, *s))
		}
		q.Leave(want)
	}
	qt.Assert(t, q.Len(), qt.Equals, 0)
	// Equal streams keep the order of their arrival, also against one that does not wait yet.
	first, second := &PendingStream{OnTimeUntil: now}, &PendingStream{OnTimeUntil: now}
	q.Join(first)
	qt.Assert(t, q.IsNext(second, now), qt.IsFalse)
	q.Join(second)
	qt.Assert(t, q.IsNext(first, now), qt.IsTrue)
	qt.Assert(t, q.IsNext(second, now), qt.IsFalse)
}

func newEnginePool(seed uint64, engines int) *Pool {
	p := NewPool("a", rand.New(rand.NewPCG(seed, 1)))
	for i := range engines {
		p.Update(directory.Server{ID: fmt.Sprint("e", i), Service: "s", DataCentre: "a", StartedMS: 1, Slots: 6}, time.Unix(0, 0))
	}
	return p
}

// Guards against streams that are sent to engines without a place, and against waits for a place that
// cannot come.
func TestFreeEngines(t *testing.T) {
	now := time.Unix(1000, 0)
	run := Run{Tokens: 5000, EngineMemoryTokens: 55000}
	p := newEnginePool(1, 1)
	qt.Assert(t, p.SelectFreeEngine(now, run), qt.IsNotNil)
	p.Reserve("e0", 0, 0, maxPrefillsPerEngine)
	qt.Check(t, p.SelectFreeEngine(now, run), qt.IsNil, qt.Commentf("prompts ahead"))
	p.Reserve("e0", 45000, 0, -maxPrefillsPerEngine)
	qt.Check(t, p.SelectFreeEngine(now, run), qt.IsNil, qt.Commentf("memory in use"))
	p.Reserve("e0", -45000, 0, 0)
	for range 6 {
		p.RecordRequestStart("e0")
	}
	qt.Check(t, p.SelectFreeEngine(now, run), qt.IsNil, qt.Commentf("slots in use"))
	qt.Check(t, p.CanWait(now, run), qt.IsTrue)
	qt.Check(t, p.CanWait(now, Run{Tokens: 54000, EngineMemoryTokens: 55000}), qt.IsFalse, qt.Commentf("larger than the memory"))
	qt.Check(t, p.CanWait(now, Run{Tokens: 5000}), qt.IsFalse, qt.Commentf("unknown memory"))
	p.RecordUnreachable("e0", now)
	qt.Check(t, p.CanWait(now, run), qt.IsFalse, qt.Commentf("no engine can be reached"))
}

// claimsOfAFreshEngine plays an engine that appears to gateways whose streams all wait, each of which
// learns of the others' placements after placementLag. It returns the time of the first placement and the
// number of prompts at the engine one prefill later.
func claimsOfAFreshEngine(gateways int, seed uint64, sel func(p *Pool, now time.Time, r Run) *Server) (first time.Duration, prompts int) {
	random := rand.New(rand.NewPCG(seed, 2))
	run := Run{Tokens: 5000, EngineMemoryTokens: 55000}
	start := time.Unix(1000, 0)
	pools, phases := make([]*Pool, gateways), make([]time.Duration, gateways)
	for i := range pools {
		pools[i] = newEnginePool(seed+uint64(i), 1)
		phases[i] = time.Duration(random.IntN(int(claimInterval/time.Millisecond))) * time.Millisecond
	}
	type notice struct {
		from int
		due  time.Duration
	}
	var notices []notice
	first = prefillDuration
	for tick := time.Duration(0); tick < prefillDuration; tick += time.Millisecond {
		for len(notices) > 0 && notices[0].due <= tick {
			for j, p := range pools {
				if j != notices[0].from {
					p.RecordPeerPlacement("", Placement{Subject: fmt.Sprint(notices[0]), Server: "e0", Age: placementLag}, start.Add(tick))
				}
			}
			notices = notices[1:]
		}
		for i, p := range pools {
			// Each gateway tries at its interval, and when it is told of the engine.
			if tick > 0 && tick%claimInterval != phases[i] {
				continue
			}
			now := start.Add(tick)
			if sel(p, now, run) == nil {
				continue
			}
			first = min(first, tick)
			prompts++
			p.Reserve("e0", run.Tokens, 0, 1)
			notices = append(notices, notice{i, tick + placementLag})
		}
	}
	return first, prompts
}

// Replays engines that start again while streams wait at all gateways. Without claims, each gateway sends
// its streams to the engine before it knows of the others'.
func TestWaitingGatewaysShareAFreshEngine(t *testing.T) {
	const plays = 40
	for _, gateways := range []int{3, 16, 95, 300} {
		total, wait := 0, time.Duration(0)
		for seed := range uint64(plays) {
			first, prompts := claimsOfAFreshEngine(gateways, 1000*seed, func(p *Pool, now time.Time, r Run) *Server {
				return p.ClaimFreeEngine(now, r, 1/float64(gateways))
			})
			total, wait = total+prompts, wait+first
		}
		mean, meanWait := float64(total)/plays, wait/plays
		t.Logf("%d gateways: %.1f prompts, the first after %s", gateways, mean, meanWait)
		// The places of one engine, and as many again that are claimed while the first claims become known.
		qt.Check(t, mean <= 2*maxPrefillsPerEngine, qt.IsTrue, qt.Commentf("%d gateways: %.1f prompts", gateways, mean))
		qt.Check(t, mean >= 1, qt.IsTrue, qt.Commentf("%d gateways: %.1f prompts", gateways, mean))
		qt.Check(t, meanWait <= 2*placementLag, qt.IsTrue, qt.Commentf("%d gateways: %s", gateways, meanWait))
	}
	_, herd := claimsOfAFreshEngine(16, 1, func(p *Pool, now time.Time, r Run) *Server { return p.SelectFreeEngine(now, r) })
	qt.Assert(t, herd >= 16, qt.IsTrue, qt.Commentf("%d", herd))
}

func BenchmarkClaimFreeEngine(b *testing.B) {
	for _, engines := range []int{24, 600, 11000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			p := newEnginePool(1, engines)
			run := Run{Tokens: 5000, EngineMemoryTokens: 55000}
			now := time.Unix(1000, 0)
			for b.Loop() {
				now = now.Add(claimInterval)
				p.ClaimFreeEngine(now, run, 0.1)
			}
		})
	}
}
