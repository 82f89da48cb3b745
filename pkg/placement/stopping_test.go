package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests that a stopping gateway takes and cannot finish, and against refusing those
// that it can.
func TestFitsBeforeStop(t *testing.T) {
	const limit, usual = 25 * time.Second, 6 * time.Second
	for _, test := range []struct {
		name    string
		request StopRequest
		want    bool
	}{
		{"a call whose limit ends before the stop", StopRequest{Left: 2 * time.Second, Limit: 1500 * time.Millisecond}, true},
		{"a call that may run longer", StopRequest{Left: time.Second, Limit: 1500 * time.Millisecond, UsualDuration: 20 * time.Millisecond}, false},
		{"a stream that usually fits", StopRequest{Left: 7 * time.Second, Limit: limit, UsualDuration: usual, Resumable: true}, true},
		{"a stream that usually does not fit", StopRequest{Left: 5 * time.Second, Limit: limit, UsualDuration: usual, Resumable: true}, false},
		{"a stream of unknown length", StopRequest{Left: 7 * time.Second, Limit: limit, Resumable: true}, false},
		{"a stream that cannot be resumed", StopRequest{Left: 7 * time.Second, Limit: limit, UsualDuration: usual}, false},
		{"no time left", StopRequest{Left: -time.Millisecond, Limit: time.Millisecond}, false},
	} {
		qt.Check(t, FitsBeforeStop(test.request), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}
