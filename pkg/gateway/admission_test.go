package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// prefillingEngine prefills one prompt after the other, each for a while, and records the order in which
// requests reach it.
type prefillingEngine struct {
	prefill sync.Mutex
	mu      sync.Mutex
	order   []string
}

func (e *prefillingEngine) handler(duration time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.order = append(e.order, r.Header.Get("X-Name"))
		e.mu.Unlock()
		e.prefill.Lock()
		time.Sleep(duration)
		e.prefill.Unlock()
		streamHandler(nil)(w, r)
	}
}

func (e *prefillingEngine) arrivals() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.order...)
}

// publishRankedStreams puts a configuration in force in which the streams of the route "fixed" are more
// urgent than those of "stream".
func (f *fixture) publishRankedStreams() {
	c := testConfig()
	for i := range c.Routes {
		c.Routes[i].Rank, c.Routes[i].Objective, c.Routes[i].Timeout = 2, 10*time.Second, 20*time.Second
	}
	c.Routes[3].Rank, c.Routes[3].Objective = 0, 4*time.Second
	f.publish(1, c)
}

// Replays a burst of prompts before one engine: streams that it cannot begin soon wait at the gateway, and
// a more urgent one that comes later goes before them.
func TestUrgentStreamGoesBeforeWaitingOnes(t *testing.T) {
	f := newFixture(t)
	f.publishRankedStreams()
	engine := &prefillingEngine{}
	f.addServer("pool", "e", "local", engine.handler(400*time.Millisecond))
	var streams sync.WaitGroup
	send := func(name, path string) {
		streams.Go(func() {
			response := f.send("POST", path, map[string]string{"X-Name": name, "X-Prompt": "8000", "X-Subject": name})
			qt.Check(t, response.status, qt.Equals, http.StatusOK, qt.Commentf("%s", name))
			qt.Check(t, response.body, qt.Equals, expectedEvents(1), qt.Commentf("%s", name))
		})
		time.Sleep(20 * time.Millisecond)
	}
	for i := 1; i <= 4; i++ {
		send(fmt.Sprint("patient-", i), "/stream/x")
	}
	qt.Check(t, f.waitingStreams(), qt.Equals, 2)
	send("urgent", "/fixed/x")
	streams.Wait()
	qt.Assert(t, engine.arrivals(), qt.DeepEquals, []string{"patient-1", "patient-2", "urgent", "patient-3", "patient-4"})
	qt.Assert(t, f.waitingStreams(), qt.Equals, 0)
}

// Guards against a stream that waits until its deadline although it is known that it can no longer be
// served, and against one that stays in the queue after its caller has left.
func TestStreamThatCannotEndInTimeIsRefused(t *testing.T) {
	f := newFixture(t)
	f.publishRankedStreams()
	engine := &prefillingEngine{}
	f.addServer("pool", "e", "local", engine.handler(3*time.Second))
	var streams sync.WaitGroup
	defer streams.Wait()
	for i := 1; i <= 2; i++ {
		streams.Go(func() { f.send("POST", "/stream/x", map[string]string{"X-Prompt": "8000", "X-Subject": fmt.Sprint(i)}) })
	}
	for len(engine.arrivals()) < 2 {
		time.Sleep(time.Millisecond)
	}
	f.recordDuration("stream", 5*time.Second)
	refused := f.send("POST", "/stream/x", map[string]string{"X-Prompt": "8000", "X-Subject": "3", "X-Patience": "4000"})
	qt.Assert(t, refused.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, refused.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Assert(t, refused.duration < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", refused.duration))
	qt.Assert(t, engine.arrivals(), qt.HasLen, 2)
	qt.Assert(t, f.waitingStreams(), qt.Equals, 0)
}
