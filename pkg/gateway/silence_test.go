package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pausingHandler sends a stream that pauses once, after its fourth event.
func pausingHandler(pause time.Duration) http.HandlerFunc {
	return streamHandler(func(event int) bool {
		if event == 4 {
			time.Sleep(pause)
		}
		return true
	})
}

// Guards against streams that are cut although their engine is only slow: one that cannot go on elsewhere,
// and one that would have to begin with its prompt again.
func TestSlowStreamIsNotCut(t *testing.T) {
	for _, path := range []string{"/fixed/x", "/stream/x"} {
		f := newFixture(t)
		f.publish(1, testConfig())
		engine := f.addServer("pool", "e1", "local", pausingHandler(900*time.Millisecond))
		response := f.send("POST", path, nil)
		qt.Check(t, response.err, qt.IsNil, qt.Commentf("%s", path))
		qt.Check(t, response.body, qt.Equals, expectedEvents(1), qt.Commentf("%s", path))
		qt.Check(t, engine.receivedRequests(), qt.HasLen, 1, qt.Commentf("%s", path))
		f.mu.Lock()
		qt.Check(t, f.pool("pool").AllUnreachable(time.Now()), qt.IsFalse, qt.Commentf("%s", path))
		f.mu.Unlock()
	}
}

// Guards against a stalled stream that never ends because its engine sends a byte now and then, on a
// connection that is alive.
func TestStalledStreamThatSendsSingleBytesGoesOnElsewhere(t *testing.T) {
	f := newFixture(t)
	c := testConfig()
	c.Routes[2].Timeout = 10 * time.Second
	f.publish(1, c)
	// The first engine to be asked stalls in the middle of its fifth event.
	asked := make(chan struct{}, 10)
	handler := func(w http.ResponseWriter, r *http.Request) {
		select {
		case asked <- struct{}{}:
		default:
		}
		if len(asked) > 1 {
			streamHandler(nil)(w, r)
			return
		}
		streamHandler(func(event int) bool { return event < 4 })(w, r)
		_, _ = fmt.Fprint(w, "id: 5\ndata: ")
		for r.Context().Err() == nil {
			_, _ = fmt.Fprint(w, ".")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.addServer("pool", "e1", "local", handler)
	f.addServer("pool", "e2", "local", handler)
	startedAt := time.Now()
	response := f.send("POST", "/stream/x", nil)
	qt.Assert(t, response.err, qt.IsNil)
	qt.Assert(t, response.body, qt.Equals, expectedEvents(1))
	// Twice the pause of the route, and the resumed stream.
	qt.Assert(t, time.Since(startedAt) < 2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
}

// Guards against a run that stays at an engine that has stopped, although there is a copy.
func TestSilentStreamGoesOnFromItsCopy(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	handler := func(w http.ResponseWriter, r *http.Request) {
		if last, _ := strconv.Atoi(r.Header.Get("X-Last")); last > 0 {
			streamHandler(nil)(w, r)
			return
		}
		pausingHandler(3*time.Second)(w, r)
	}
	f.addServer("pool", "e1", "local", handler)
	f.addServer("pool", "e2", "remote", handler)
	startedAt := time.Now()
	response := f.send("POST", "/stream/x", nil)
	qt.Assert(t, response.err, qt.IsNil)
	qt.Assert(t, response.body, qt.Equals, expectedEvents(1))
	qt.Assert(t, time.Since(startedAt) < 700*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
}
