package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against runs that leave an engine which is only slow, and against an engine that is gone and is left too
// late for the caller.
func TestSilenceDecision(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	const timeout, slowTimeout = 350, 1400
	for _, c := range []struct {
		name string
		silence
		want     silenceAction
		wantWait time.Duration
	}{
		{"nothing is known of the engine", silence{elapsed: ms(200), hasCopy: true}, waitOn, ms(150)},
		{"nothing explains the silence", silence{elapsed: ms(350), hasCopy: true}, leaveGone, 0},
		{"steps of a usual engine", silence{elapsed: ms(350), plausible: ms(100), hasCopy: true}, leaveGone, 0},
		{"a prompt is read: check early", silence{elapsed: ms(200), plausible: ms(618), hasCopy: true}, checkEngine, 0},
		{"a prompt is read: not yet", silence{elapsed: ms(150), plausible: ms(618), hasCopy: true}, waitOn, ms(50)},
		{"a prompt is read, reachable", silence{elapsed: ms(350), plausible: ms(618), hasCopy: true, checkedAt: ms(200)}, waitOn, ms(150)},
		{"reachable, checked again", silence{elapsed: ms(500), plausible: ms(618), hasCopy: true, checkedAt: ms(200)}, checkEngine, 0},
		{"longer than plausible", silence{elapsed: ms(618), plausible: ms(618), hasCopy: true, checkedAt: ms(500)}, leaveSlow, 0},
		{"a bound on what is plausible", silence{elapsed: ms(1400), plausible: ms(9000), hasCopy: true, checkedAt: ms(1300)}, leaveSlow, 0},
		{"gone: left at the timeout", silence{elapsed: ms(350), plausible: ms(9000), hasCopy: true, checkedAt: ms(200), unreachable: true}, leaveGone, 0},
		{"gone: an event may still come", silence{elapsed: ms(320), plausible: ms(618), hasCopy: true, checkedAt: ms(200), unreachable: true}, waitOn, ms(30)},
		{"no copy: the engine is checked", silence{elapsed: ms(200), plausible: ms(100)}, waitOn, ms(150)},
		{"no copy, timeout", silence{elapsed: ms(350), plausible: ms(100)}, checkEngine, 0},
		{"no copy, gone", silence{elapsed: ms(500), checkedAt: ms(350), unreachable: true}, leaveGone, 0},
		{"no copy, reachable", silence{elapsed: ms(360), checkedAt: ms(350)}, waitOn, ms(290)},
		{"no copy, reachable for long", silence{elapsed: ms(1400), checkedAt: ms(1250)}, leaveSlow, 0},
		{"no budget: the engine is checked", silence{elapsed: ms(350), hasCopy: true, denied: true}, checkEngine, 0},
		{"no budget, gone", silence{elapsed: ms(500), hasCopy: true, denied: true, checkedAt: ms(350), unreachable: true}, leaveGone, 0},
		{"no budget, reachable", silence{elapsed: ms(1400), hasCopy: true, denied: true, checkedAt: ms(1300)}, leaveSlow, 0},
	} {
		c.timeout, c.slowTimeout = ms(timeout), ms(slowTimeout)
		action, wait := c.decide()
		qt.Check(t, action, qt.Equals, c.want, qt.Commentf("%s", c.name))
		qt.Check(t, wait, qt.Equals, c.wantWait, qt.Commentf("%s", c.name))
	}
	// A decision to wait always lets time pass, and every silence ends.
	for elapsed := range 1500 {
		for _, plausible := range []int{0, 200, 618, 5000} {
			for _, hasCopy := range []bool{true, false} {
				d := silence{elapsed: ms(elapsed), plausible: ms(plausible), hasCopy: hasCopy, timeout: ms(timeout), slowTimeout: ms(slowTimeout), checkedAt: ms(max(0, elapsed-100))}
				action, wait := d.decide()
				qt.Assert(t, action != waitOn || wait > 0, qt.IsTrue, qt.Commentf("%+v", d))
				qt.Assert(t, elapsed < slowTimeout || action != waitOn, qt.IsTrue, qt.Commentf("%+v", d))
			}
		}
	}
}

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
