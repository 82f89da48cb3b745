package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/quarantine"
)

// harmfulPart is the part of a prompt under which fragile engines end.
const harmfulPart = "bad"

// addFragileEngines adds engines that send the head of a response to a prompt with harmfulPart and
// then end: their connections break off, and new ones are refused. It returns the number of ended
// engines.
func (f *fixture) addFragileEngines(count int) *atomic.Int32 {
	ended := &atomic.Int32{}
	for i := range count {
		var engine *testServer
		ready := make(chan struct{})
		engine = f.addServer("pool", fmt.Sprint("fragile", i), "local", func(w http.ResponseWriter, r *http.Request) {
			if !strings.Contains(r.Header.Get("X-Shared"), harmfulPart) {
				streamHandler(nil)(w, r)
				return
			}
			<-ready
			_ = http.NewResponseController(w).Flush()
			if engine.Listener.Close() == nil {
				ended.Add(1)
			}
			panic(http.ErrAbortHandler)
		})
		close(ready)
	}
	return ended
}

// Guards against a request that ends one engine after the other because each break-off is followed
// by a further attempt.
func TestOneRequestEndsFewEngines(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	ended := f.addFragileEngines(8)
	response := f.send("POST", "/stream/a", map[string]string{"X-Shared": harmfulPart})
	qt.Assert(t, response.status, qt.Equals, http.StatusBadGateway)
	qt.Assert(t, ended.Load() <= 2, qt.IsTrue, qt.Commentf("%d engines ended", ended.Load()))
}

// Guards against requests that are not alike but have one part in common, each of which ends
// engines, and against sound requests that are refused because they have the other parts.
func TestHarmfulPartIsKeptFromEngines(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	ended := f.addFragileEngines(12)
	for i := range 6 {
		f.send("POST", "/stream/a", map[string]string{"X-Shared": "first " + harmfulPart, "X-Subject": fmt.Sprint("own", i)})
	}
	qt.Assert(t, ended.Load() <= 4, qt.IsTrue, qt.Commentf("%d engines ended", ended.Load()))
	response := f.send("POST", "/stream/a", map[string]string{"X-Shared": "first " + harmfulPart})
	qt.Assert(t, response.status, qt.Equals, http.StatusServiceUnavailable)
	retryAfter, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, retryAfter > 30, qt.IsTrue)
	qt.Assert(t, response.duration < 200*time.Millisecond, qt.IsTrue)
	for range 3 {
		response = f.send("POST", "/stream/a", map[string]string{"X-Shared": "first"})
		qt.Assert(t, response.body, qt.Equals, expectedEvents(1))
	}
}

// Guards against a gateway that learns of a harmful part only from its own callers, and goes on
// waiting for engines that have not begun to answer it.
func TestReportsOfOtherGateways(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	engine := f.addServer("pool", "slow", "local", hang)
	done := make(chan callerResponse)
	go func() { done <- f.send("POST", "/stream/a", map[string]string{"X-Shared": "other " + harmfulPart}) }()
	for deadline := time.Now().Add(time.Second); len(engine.receivedRequests()) == 0; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
	for i := range 3 {
		f.HandlePromptReport(quarantine.Report{Parts: []string{fmt.Sprint(i), harmfulPart}, Engine: fmt.Sprint("e", i), StartedMS: 1})
	}
	response := <-done
	qt.Assert(t, response.status, qt.Equals, http.StatusBadGateway)
	qt.Assert(t, response.duration < time.Second, qt.IsTrue)
	response = f.send("POST", "/stream/a", map[string]string{"X-Shared": harmfulPart})
	qt.Assert(t, response.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, engine.receivedRequests(), qt.HasLen, 1)
	// The engine was not at fault.
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Assert(t, f.pool("pool").AllUnreachable(time.Now()), qt.IsFalse)
	qt.Assert(t, f.unstarted, qt.HasLen, 0)
}

// Guards against suspicions from engines that only close connections, or that end while their runs
// have been writing for some time.
func TestOtherBreakOffsAreNoEvidence(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	for i := range 3 {
		f.addServer("pool", fmt.Sprint("rude", i), "local", func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
	}
	var last *testServer
	last = f.addServer("pool", "ends later", "local", streamHandler(func(event int) bool {
		if event == 2 {
			time.Sleep(2 * beginWindow)
			_ = last.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		return true
	}))
	for range 4 {
		f.send("POST", "/stream/a", map[string]string{"X-Shared": "sound"})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Assert(t, f.quarantine.Unproven([]string{"sound"}, time.Now()), qt.HasLen, 0)
}
