package placement

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
		Silence
		want     SilenceAction
		wantWait time.Duration
	}{
		{"nothing is known of the engine", Silence{Elapsed: ms(200), HasCopy: true}, WaitOn, ms(150)},
		{"nothing explains the silence", Silence{Elapsed: ms(350), HasCopy: true}, LeaveGone, 0},
		{"steps of a usual engine", Silence{Elapsed: ms(350), Plausible: ms(100), HasCopy: true}, LeaveGone, 0},
		{"a prompt is read: check early", Silence{Elapsed: ms(200), Plausible: ms(618), HasCopy: true}, CheckEngine, 0},
		{"a prompt is read: not yet", Silence{Elapsed: ms(150), Plausible: ms(618), HasCopy: true}, WaitOn, ms(50)},
		{"a prompt is read, reachable", Silence{Elapsed: ms(350), Plausible: ms(618), HasCopy: true, CheckedAt: ms(200)}, WaitOn, ms(150)},
		{"reachable, checked again", Silence{Elapsed: ms(500), Plausible: ms(618), HasCopy: true, CheckedAt: ms(200)}, CheckEngine, 0},
		{"longer than plausible", Silence{Elapsed: ms(618), Plausible: ms(618), HasCopy: true, CheckedAt: ms(500)}, LeaveSlow, 0},
		{"a bound on what is plausible", Silence{Elapsed: ms(1400), Plausible: ms(9000), HasCopy: true, CheckedAt: ms(1300)}, LeaveSlow, 0},
		{"gone: left at the timeout", Silence{Elapsed: ms(350), Plausible: ms(9000), HasCopy: true, CheckedAt: ms(200), Unreachable: true}, LeaveGone, 0},
		{"gone: an event may still come", Silence{Elapsed: ms(320), Plausible: ms(618), HasCopy: true, CheckedAt: ms(200), Unreachable: true}, WaitOn, ms(30)},
		{"no copy: the engine is checked", Silence{Elapsed: ms(200), Plausible: ms(100)}, WaitOn, ms(150)},
		{"no copy, timeout", Silence{Elapsed: ms(350), Plausible: ms(100)}, CheckEngine, 0},
		{"no copy, gone", Silence{Elapsed: ms(500), CheckedAt: ms(350), Unreachable: true}, LeaveGone, 0},
		{"no copy, reachable", Silence{Elapsed: ms(360), CheckedAt: ms(350)}, WaitOn, ms(290)},
		{"no copy, reachable for long", Silence{Elapsed: ms(1400), CheckedAt: ms(1250)}, LeaveSlow, 0},
		{"no budget: the engine is checked", Silence{Elapsed: ms(350), HasCopy: true, Denied: true}, CheckEngine, 0},
		{"no budget, gone", Silence{Elapsed: ms(500), HasCopy: true, Denied: true, CheckedAt: ms(350), Unreachable: true}, LeaveGone, 0},
		{"no budget, reachable", Silence{Elapsed: ms(1400), HasCopy: true, Denied: true, CheckedAt: ms(1300)}, LeaveSlow, 0},
	} {
		c.Timeout, c.SlowTimeout = ms(timeout), ms(slowTimeout)
		action, wait := c.Decide()
		qt.Check(t, action, qt.Equals, c.want, qt.Commentf("%s", c.name))
		qt.Check(t, wait, qt.Equals, c.wantWait, qt.Commentf("%s", c.name))
	}
	// A decision to wait always lets time pass, and every silence ends.
	for elapsed := range 1500 {
		for _, plausible := range []int{0, 200, 618, 5000} {
			for _, hasCopy := range []bool{true, false} {
				d := Silence{Elapsed: ms(elapsed), Plausible: ms(plausible), HasCopy: hasCopy, Timeout: ms(timeout), SlowTimeout: ms(slowTimeout), CheckedAt: ms(max(0, elapsed-100))}
				action, wait := d.Decide()
				qt.Assert(t, action != WaitOn || wait > 0, qt.IsTrue, qt.Commentf("%+v", d))
				qt.Assert(t, elapsed < slowTimeout || action != WaitOn, qt.IsTrue, qt.Commentf("%+v", d))
			}
		}
	}
}
