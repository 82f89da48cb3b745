package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a stream that is moved although its engine regularly takes that long between events, with a copy
// at another engine.
func TestSlowEngineIsNotTakenForASilentOne(t *testing.T) {
	f := newFixture(t)
	c := testConfig()
	c.Routes[2].Timeout = 10 * time.Second
	f.publish(1, c)
	handler := streamHandler(func(event int) bool {
		// Below the event timeout at first, so that the gateway knows the engine.
		time.Sleep([]time.Duration{300, 320, 340, 300, 400, 400, 400, 300, 400, 300}[event-1] * time.Millisecond)
		return true
	})
	engines := []*testServer{f.addServer("pool", "e1", "local", handler), f.addServer("pool", "e2", "remote", handler)}
	response := f.send("POST", "/stream/x", nil)
	qt.Assert(t, response.err, qt.IsNil)
	qt.Assert(t, response.body, qt.Equals, expectedEvents(1))
	qt.Assert(t, len(engines[0].receivedRequests())+len(engines[1].receivedRequests()), qt.Equals, 1)
}

// Guards against gaps that are measured while the events wait for a slow caller.
func TestGapMeter(t *testing.T) {
	var m gapMeter
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	for i, done := range []bool{false, false, false, true} {
		qt.Check(t, m.add(at(100*i)), qt.Equals, done)
	}
	qt.Check(t, m.mean(), qt.Equals, 100*time.Millisecond)
	qt.Check(t, m.longest, qt.Equals, 100*time.Millisecond)
	m = gapMeter{}
	qt.Check(t, m.add(at(5000)), qt.IsFalse)
	qt.Check(t, m.add(at(5430)), qt.IsTrue)
	qt.Check(t, m.mean(), qt.Equals, 430*time.Millisecond)
}
