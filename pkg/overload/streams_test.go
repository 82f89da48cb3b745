package overload

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against streams that wait for nothing until their deadline, and against refusals of streams that may end in
// time or of which nothing is known.
func TestStreamThatCannotEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		wait StreamWait
		want bool
	}{
		{"nothing ahead", StreamWait{PlaceRate: 8000, Share: 0.1, Shortest: 7 * time.Second, Left: 25 * time.Second}, false},
		{"long queue", StreamWait{AheadTokens: 80000, PlaceRate: 8000, Share: 0.1, Shortest: 7 * time.Second, Left: 25 * time.Second}, true},
		{"short queue", StreamWait{AheadTokens: 16000, PlaceRate: 8000, Share: 0.1, Shortest: 7 * time.Second, Left: 25 * time.Second}, false},
		{"no time", StreamWait{Shortest: 7 * time.Second, Left: 5 * time.Second}, true},
		{"unknown duration", StreamWait{AheadTokens: 80000, PlaceRate: 8000, Share: 0.1, Left: 25 * time.Second}, false},
		{"unknown rate", StreamWait{AheadTokens: 80000, Shortest: 7 * time.Second, Left: 25 * time.Second}, false},
		{"tiny rate", StreamWait{AheadTokens: 1 << 30, PlaceRate: 1e-9, Share: 1e-9, Shortest: time.Second, Left: 25 * time.Second}, true},
	} {
		qt.Check(t, test.wait.CannotEnd(), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}
