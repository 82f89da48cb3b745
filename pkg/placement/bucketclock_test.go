package placement

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"
)

// stepTimeOfDay returns a time whose reading of the time of day has stepped by whole seconds, but not
// that of the monotonic clock.
func stepTimeOfDay(t time.Time, step time.Duration) time.Time {
	// The layout of time.Time with a monotonic reading: the seconds are above 30 bits of nanoseconds.
	fields := (*struct {
		wall uint64
		ext  int64
		loc  *time.Location
	})(unsafe.Pointer(&t))
	fields.wall += uint64(int64(step/time.Second) << 30)
	return t
}

// Guards against windows that a step of the time of day empties: the slack of the retry budget, or the
// limit of a server, would be used twice.
func TestStepOfTheTimeOfDayKeepsTheWindows(t *testing.T) {
	base := time.Now()
	for _, step := range []time.Duration{30 * time.Second, -30 * time.Second, time.Second} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			stepped := stepTimeOfDay(base.Add(time.Second), step)
			qt.Assert(t, stepped.Round(0).Sub(base.Round(0)), qt.Equals, step+time.Second)
			qt.Assert(t, stepped.Sub(base), qt.Equals, time.Second)

			b := RetryBudget{RetryRatio: 0.8, RetrySlack: 20, Window: 10 * time.Second, View: singleView(base)}
			retries := 0
			for _, now := range []time.Time{base, stepped, base.Add(1100 * time.Millisecond)} {
				for range 50 {
					if b.AllowRetry(now, Restart) {
						retries++
					}
				}
			}
			qt.Assert(t, retries > 0 && retries <= 20, qt.IsTrue, qt.Commentf("%d retries with a slack of 20", retries))

			var l serverLimit
			l.recordSend(base, 1)
			l.recordSend(stepped, 1)
			qt.Assert(t, l.ownSends(stepped), qt.Equals, 2.0)
		})
	}
}
