package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests to a server that refused one and asked this gateway for a pause: of calls and
// of streams, also if it is the only server or has the prompt; and against a pause that does not end.
func TestServerThatAsksForAPauseGetsNoRequests(t *testing.T) {
	const pause = 1200 * time.Millisecond
	for _, tt := range []struct{ path, service string }{{"/safe/x", "app"}, {"/once/x", "app"}, {"/stream/x", "pool"}} {
		t.Run(tt.path, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			var arrivals arrivalLog
			busy := true
			server := f.addServer(tt.service, "busy", "local", arrivals.handler(0, func(w http.ResponseWriter, r *http.Request) {
				if busy {
					busy = false
					w.Header().Set("X-Pause", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
					respondNotRun(w, r)
					return
				}
				streamHandler(nil)(w, r)
			}))
			send := func() callerResponse {
				return f.send("POST", tt.path, map[string]string{"X-Subject": "part", "X-Prompt": "100"})
			}
			got := send()
			pausedAt := time.Now()
			qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
			retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, retryAfter > 0.8 && retryAfter <= pause.Seconds(), qt.IsTrue, qt.Commentf("Retry-After %g", retryAfter))
			got = send()
			qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, got.duration < 100*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %s", got.duration))
			f.addServer(tt.service, "other", "remote", streamHandler(nil))
			for time.Since(pausedAt) < pause-200*time.Millisecond {
				qt.Assert(t, send().status, qt.Equals, http.StatusOK)
				time.Sleep(20 * time.Millisecond)
			}
			qt.Assert(t, server.receivedRequests(), qt.HasLen, 1)
			time.Sleep(time.Until(pausedAt.Add(pause)))
			for range 20 {
				f.send("POST", tt.path, map[string]string{"X-Prompt": "100"})
			}
			qt.Assert(t, len(server.receivedRequests()) > 1, qt.IsTrue)
		})
	}
}

// Guards against callers who are told to come back while the pause of the only server goes on: they are
// refused again.
func TestRefusalSaysWhenThePauseEnds(t *testing.T) {
	for _, tt := range []struct{ pause, least, most float64 }{{5, 4, 5}, {60, 10, 10}} {
		t.Run(fmt.Sprint(tt.pause), func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			f.addServer("app", "busy", "local", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Pause", fmt.Sprint(tt.pause))
				respondNotRun(w, r)
			})
			for range 2 {
				got := f.send("POST", "/once/x", nil)
				qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
				retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, retryAfter >= tt.least && retryAfter <= tt.most, qt.IsTrue, qt.Commentf("Retry-After %g", retryAfter))
			}
		})
	}
}
