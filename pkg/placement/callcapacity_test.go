package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// Guards against a capacity that includes servers which accept no calls, or that counts the time in a server's queue as
// the duration of a call: under overload, all calls wait.
func TestCallCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newEnginePool(1, 3)
	qt.Assert(t, p.CallCapacity(now), qt.Equals, 0.0)
	now = now.Add(time.Second)
	p.RecordSuccess("e0", 30*time.Millisecond, now)
	capacity := p.CallCapacity(now)
	qt.Assert(t, capacity > 599 && capacity < 601, qt.IsTrue, qt.Commentf("%.1f", capacity))
	qt.Assert(t, p.CallDuration(now), qt.Equals, 30*time.Millisecond)
	for _, id := range []string{"e1", "e2"} {
		p.Update(directory.Server{ID: id, Service: "s", DataCentre: "a", StartedMS: 1, Slots: 6, State: directory.Leaving}, now)
	}
	now = now.Add(time.Second)
	capacity = p.CallCapacity(now)
	qt.Assert(t, capacity > 199 && capacity < 201, qt.IsTrue, qt.Commentf("%.1f", capacity))
	// Twenty seconds in which each call waits for 24 others.
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		p.RecordLoad("e0", LoadReport{Running: 6, Waiting: 24, Slots: 6}, now)
		p.RecordSuccess("e0", 150*time.Millisecond, now)
	}
	capacity = p.CallCapacity(now)
	qt.Assert(t, capacity > 199 && capacity < 201, qt.IsTrue, qt.Commentf("%.1f", capacity))
	// The capacity of a large pool is estimated from a sample.
	large := newEnginePool(1, 1000)
	for i := range 1000 {
		large.RecordSuccess(fmt.Sprint("e", i), 30*time.Millisecond, now)
	}
	capacity = large.CallCapacity(now)
	qt.Assert(t, capacity > 199_000 && capacity < 201_000, qt.IsTrue, qt.Commentf("%.1f", capacity))
}

// Guards against calls that are sent on to servers which are known to be full, and against refusals while a server may
// have room.
func TestRoomForCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newEnginePool(1, 2)
	p.RecordLoad("e0", LoadReport{Running: 6, Waiting: 24, Slots: 6}, now)
	qt.Assert(t, p.HasRoomForCall(now, []string{"e0"}), qt.IsTrue)
	p.RecordLoad("e1", LoadReport{Running: 6, Waiting: 24, Slots: 6}, now)
	qt.Assert(t, p.HasRoomForCall(now, []string{"e0"}), qt.IsFalse)
	qt.Assert(t, p.HasRoomForCall(now, []string{"e0", "e1"}), qt.IsFalse)
	qt.Assert(t, p.HasRoomForCall(now.Add(callLoadTTL), []string{"e0"}), qt.IsTrue, qt.Commentf("the report has expired"))
	qt.Assert(t, p.IsBusy("e0", now), qt.IsTrue)
	avoided := newEnginePool(1, 2)
	avoided.RecordUnreachable("e1", now)
	qt.Assert(t, avoided.HasRoomForCall(now, []string{"e0"}), qt.IsTrue, qt.Commentf("it may be back"))
	p.RecordLoad("e0", LoadReport{Running: 5, Slots: 6}, now)
	qt.Assert(t, p.IsBusy("e0", now), qt.IsFalse)
}

// Guards against a rate of places that is above what the slots, the memory or the reading of prompts allow.
func TestPlaceRate(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newEnginePool(1, 10)
	run := Run{Tokens: 9500, EngineMemoryTokens: 88000}
	byReading := p.PlaceRate(now, run, 8000, time.Second)
	qt.Assert(t, byReading > 66_000 && byReading < 67_000, qt.IsTrue, qt.Commentf("%.0f", byReading))
	bySlots := p.PlaceRate(now, run, 8000, 10*time.Second)
	qt.Assert(t, bySlots > 47_900 && bySlots < 48_100, qt.IsTrue, qt.Commentf("%.0f", bySlots))
	byMemory := p.PlaceRate(now, Run{Tokens: 40000, EngineMemoryTokens: 88000}, 8000, 10*time.Second)
	qt.Assert(t, byMemory < 16_000, qt.IsTrue, qt.Commentf("%.0f", byMemory))
}

// The path of each call: capacity and duration, which are computed five times per second.
func BenchmarkCallCapacity(b *testing.B) {
	for _, servers := range []int{24, 600, 11000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			p := newEnginePool(1, servers)
			now := time.Unix(1000, 0)
			for i := range servers {
				p.RecordSuccess(fmt.Sprint("e", i), 30*time.Millisecond, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(5 * time.Millisecond)
				p.CallCapacity(now)
				p.CallDuration(now)
			}
		})
	}
}

func BenchmarkPlaceRate(b *testing.B) {
	for _, engines := range []int{24, 600, 11000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			p := newEnginePool(1, engines)
			run, now := Run{Tokens: 9500, EngineMemoryTokens: 88000}, time.Unix(1000, 0)
			b.ReportAllocs()
			for b.Loop() {
				p.PlaceRate(now, run, 8000, 10*time.Second)
			}
		})
	}
}
