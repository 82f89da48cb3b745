package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// Guards against estimates of other gateways that do not reach the decisions, or count for another process.
func TestSharedPacesReachThePool(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	f.addServer("pool", "e1", "local", streamHandler(nil))
	f.addServer("pool", "e2", "local", streamHandler(nil))
	f.HandlePaceEntries([]pace.Entry{
		{Process: pace.Process{ID: "e1", StartedMS: 1}, Log: 0.8, Weight: 5, Samples: 9, Gateways: 4},
		{Process: pace.Process{ID: "e2", StartedMS: 99}, Log: 0.8, Weight: 5, Samples: 9, Gateways: 4},
		{Process: pace.Process{ID: "gone", StartedMS: 1}, Log: 0.8, Weight: 5},
	})
	counts := f.paceClasses(time.Now())
	qt.Check(t, counts[placement.PaceSlow], qt.Equals, int64(1))
	qt.Check(t, counts[placement.PaceUsual], qt.Equals, int64(0))
	// A gateway that is cut off forgets it with time.
	counts = f.paceClasses(time.Now().Add(time.Minute))
	qt.Check(t, counts[placement.PaceUnknown], qt.Equals, int64(1))
}

// Guards against streams from which nothing is learned.
func TestStreamsGiveSamples(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	f.addServer("pool", "e1", "local", streamHandler(func(int) bool { time.Sleep(40 * time.Millisecond); return true }))
	for range 12 {
		response := f.send("POST", "/stream/x", map[string]string{"X-Prompt": "8000"})
		qt.Assert(t, response.err, qt.IsNil)
	}
	samples := f.TakePaceSamples()
	qt.Assert(t, len(samples) > 0, qt.IsTrue)
	qt.Check(t, samples[0].Process, qt.Equals, pace.Process{ID: "e1", StartedMS: 1})
	qt.Check(t, f.TakePaceSamples(), qt.HasLen, 0)
}
