package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// addMortalServers adds servers that end under a request with harmfulPart before they have sent anything. Their listening
// sockets stay open for a time after their connections. It returns the number of ended servers.
func (f *fixture) addMortalServers(service string, count int, lingering time.Duration) *atomic.Int32 {
	ended := &atomic.Int32{}
	for i := range count {
		var server *testServer
		var once sync.Once
		ready := make(chan struct{})
		server = f.addServer(service, fmt.Sprint("mortal", i), "local", func(w http.ResponseWriter, r *http.Request) {
			if !strings.Contains(r.Header.Get("X-Shared"), harmfulPart) {
				streamHandler(nil)(w, r)
				return
			}
			<-ready
			once.Do(func() {
				ended.Add(1)
				time.AfterFunc(lingering, func() { _ = server.Listener.Close() })
			})
			panic(http.ErrAbortHandler)
		})
		close(ready)
	}
	return ended
}

// Guards against a harmful part that ends one engine after the other because these send no head of a response before, or
// go on accepting connections for some milliseconds.
func TestEnginesThatEndWithoutAHead(t *testing.T) {
	for _, lingering := range []time.Duration{0, 60 * time.Millisecond} {
		f := newFixture(t)
		f.publish(1, testConfig())
		ended := f.addMortalServers("pool", 30, lingering)
		f.send("POST", "/stream/a", map[string]string{"X-Shared": "first"})
		sendHarmful := func(number int) callerResponse {
			return f.send("POST", "/stream/a", map[string]string{"X-Shared": "first " + harmfulPart, "X-Subject": fmt.Sprint("own", number)})
		}
		for i := range 4 {
			sendHarmful(i)
		}
		// This is less than the time that all gateways have to learn of it.
		time.Sleep(time.Second)
		before := ended.Load()
		for i := range 4 {
			response := sendHarmful(10 + i)
			qt.Check(t, response.status, qt.Equals, http.StatusServiceUnavailable)
		}
		qt.Check(t, ended.Load(), qt.Equals, before)
		for range 3 {
			response := f.send("POST", "/stream/a", map[string]string{"X-Shared": "first"})
			qt.Check(t, response.body, qt.Equals, expectedEvents(1))
		}
	}
}

// Guards against calls with a harmful prompt that end one server after the other, and against sound ones that are refused.
func TestCallsWithHarmfulPrompts(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	ended := f.addMortalServers("app", 16, 0)
	f.send("GET", "/safe/a", map[string]string{"X-Shared": "first"})
	for i := range 8 {
		f.send("GET", "/safe/a", map[string]string{"X-Shared": "first " + harmfulPart, "X-Subject": fmt.Sprint("own", i)})
	}
	qt.Assert(t, ended.Load() <= 5, qt.IsTrue, qt.Commentf("%d servers ended", ended.Load()))
	response := f.send("GET", "/safe/a", map[string]string{"X-Shared": "first " + harmfulPart})
	qt.Assert(t, response.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, response.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	response = f.send("GET", "/safe/a", map[string]string{"X-Shared": "first"})
	qt.Assert(t, response.status, qt.Equals, http.StatusOK)
}

// Guards against an engine that a supervisor starts again at once: it never refuses a connection, and its end is known
// from its next announcement only. An engine that had announced its end gives no evidence.
func TestEndThatTheNextAnnouncementShows(t *testing.T) {
	for _, test := range []struct {
		name     string
		state    directory.State
		next     directory.Server
		evidence bool
	}{
		{"the same engine, started again", directory.Ready, directory.Server{ID: "e", StartedMS: 2}, true},
		{"another engine at its address", directory.Ready, directory.Server{ID: "other", StartedMS: 2}, true},
		{"a renewal", directory.Ready, directory.Server{ID: "e", StartedMS: 1}, false},
		{"an engine that was leaving", directory.Leaving, directory.Server{ID: "e", StartedMS: 2}, false},
	} {
		f := newFixture(t)
		f.publish(1, testConfig())
		received, end := make(chan struct{}, 20), make(chan struct{})
		engine := f.addServer("pool", "e", "local", func(http.ResponseWriter, *http.Request) {
			received <- struct{}{}
			<-end
			panic(http.ErrAbortHandler)
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.send("POST", "/stream/a", map[string]string{"X-Shared": "first bad"})
		}()
		<-received
		f.HandleAnnouncements([]directory.Server{engine.announcement("pool", test.state, 2)})
		close(end)
		<-done
		unproven := func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.quarantine.Unproven([]string{"bad"}, time.Now()))
		}
		qt.Check(t, unproven(), qt.Equals, 0, qt.Commentf("%s", test.name))
		next := engine.announcement("pool", directory.Ready, 3)
		next.ID, next.StartedMS = test.next.ID, test.next.StartedMS
		f.HandleAnnouncements([]directory.Server{next})
		qt.Check(t, unproven() == 1, qt.Equals, test.evidence, qt.Commentf("%s", test.name))
	}
}
