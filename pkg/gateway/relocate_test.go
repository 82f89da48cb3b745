package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// newBusyEngineFixture returns a gateway with two engines: a busy one, which prefills many
// prompts and is selected because it has the prompt cached, and a free one. The handler onStop serves
// the request to stop the run at the busy engine.
func newBusyEngineFixture(t *testing.T, onStop http.HandlerFunc) (f *fixture, busy, free *testServer) {
	f = newFixture(t)
	f.publish(1, testConfig())
	stopped := make(chan struct{})
	busy = f.addServer("pool", "e1", "local", func(w http.ResponseWriter, r *http.Request) {
		streamHandler(func(i int) bool {
			if i < 3 || r.Header.Get("X-Copy") != "/" {
				return true
			}
			// The first run continues until it is stopped.
			select {
			case <-stopped:
				panic(http.ErrAbortHandler)
			case <-time.After(200 * time.Millisecond):
				return true
			}
		})(w, r)
	})
	busy.copyHandler = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/copy/stop" {
			onStop(w, r)
			close(stopped)
			return
		}
		_, _ = io.WriteString(w, "handle-of-e1")
	}
	f.mu.Lock()
	for range 4 {
		f.pool("pool").RecordPrefill("e1", time.Now())
	}
	f.promptLocations.Record("part", "e1", false, time.Now())
	f.mu.Unlock()
	free = f.addServer("pool", "e2", "remote", streamHandler(nil))
	return f, busy, free
}

var relocatableRun = map[string]string{"X-Subject": "part", "X-Prompt": "8000"}

// Replays a burst of prompts at one engine: the stream is relocated after its prefill,
// and the caller receives every event exactly once.
func TestRunLeavesTheEngineDuringPrefills(t *testing.T) {
	f, busy, free := newBusyEngineFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "handle-of-e1")
	})
	got := f.send("POST", "/stream/x", relocatableRun)
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
	run := busy.receivedRequests()[0]
	qt.Assert(t, busy.receivedCopyRequests(), qt.Equals, "POST /copy/stop "+run.Get("X-Id")+" "+free.address())
	// There is nothing to copy to a backup during the prefill.
	qt.Assert(t, run.Get("X-Backup"), qt.Equals, "")
	qt.Assert(t, free.receivedRequests(), qt.HasLen, 1)
	qt.Assert(t, free.receivedRequests()[0].Get("X-Copy"), qt.Equals, busy.address()+"/handle-of-e1")
	qt.Assert(t, free.receivedRequests()[0].Get("X-Last"), qt.Equals, "3")
}

// Guards against a run that breaks off because the target has no memory for its copy: the
// engine that stopped the run keeps the memory, and the run is resumed there.
func TestRelocationWithoutRoom(t *testing.T) {
	f, busy, free := newBusyEngineFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "handle-of-e1")
	})
	got := f.send("POST", "/stream/x", relocatableRun)
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
	qt.Assert(t, free.receivedRequests(), qt.HasLen, 0)
	runs := busy.receivedRequests()
	qt.Assert(t, runs, qt.HasLen, 2)
	qt.Assert(t, runs[1].Get("X-Copy"), qt.Equals, busy.address()+"/handle-of-e1")
}

// Guards against a run that is abandoned when the request to relocate it fails, although its
// engine continues it.
func TestFailedRelocationRequest(t *testing.T) {
	f, busy, free := newBusyEngineFixture(t, nil)
	busy.withLock(func() {
		busy.copyHandler = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }
	})
	got := f.send("POST", "/stream/x", relocatableRun)
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
	qt.Assert(t, busy.receivedRequests(), qt.HasLen, 1)
	qt.Assert(t, free.receivedRequests(), qt.HasLen, 0)
}

// Guards against a run that is resumed from a copy that cannot be its own: the copied run has fewer events than the caller received.
func TestCopyWithTooFewEventsIsNotUsed(t *testing.T) {
	for _, test := range []struct {
		response string
		moved    bool
	}{{"handle-of-e1 0", false}, {"handle-of-e1 3", true}} {
		t.Run(test.response, func(t *testing.T) {
			f, _, free := newBusyEngineFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, test.response) })
			var log syncBuffer
			f.log = slog.New(slog.NewTextHandler(&log, nil))
			got := f.send("POST", "/stream/x", relocatableRun)
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
			moved := slices.ContainsFunc(free.receivedRequests(), func(h http.Header) bool { return h.Get("X-Copy") != "/" })
			qt.Assert(t, moved, qt.Equals, test.moved)
			qt.Assert(t, strings.Contains(log.String(), "the engine copied a run with 0 events"), qt.Equals, !test.moved)
		})
	}
}

// Guards against requests on connections to a process that has ended: they would be
// reset, and the prefill would be repeated at another engine.
func TestRestartedServerGetsNewConnections(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	app := f.addServer("app", "a1", "local", respondDone)
	qt.Assert(t, f.send("POST", "/once/x", nil).status, qt.Equals, 200)
	qt.Assert(t, f.client.IdleConnections(app.address()), qt.Equals, 1)
	restarted := app.announcement("app", directory.Ready, 1)
	restarted.StartedMS = 2
	f.HandleAnnouncements([]directory.Server{restarted})
	qt.Assert(t, f.client.IdleConnections(app.address()), qt.Equals, 0)
}

// Guards against a stream that ends as complete before its last event: the response has no length, and
// the engine that is ordered to stop the run closes the connection. Only a response that says that there
// is no such run, as the run is complete, leaves the end of the connection as the end of the stream.
func TestStoppedRunWithoutALengthIsNotComplete(t *testing.T) {
	handle := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "handle-of-e1")
		}
	}
	for _, test := range []struct {
		name   string
		onStop http.HandlerFunc
		// sentBefore is how many events the first run sends before its connection is closed.
		sentBefore, runs int
	}{
		{"moved", handle(http.StatusOK), 3, 2},
		{"no room at the target", handle(http.StatusServiceUnavailable), 3, 2},
		{"response to the order lost", abortConnection, 3, 2},
		{"response to the order without a handle", func(w http.ResponseWriter, _ *http.Request) {}, 3, 2},
		{"stopped after a late order", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			handle(http.StatusOK)(w, r)
		}, 3, 2},
		{"complete before the order", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, streamEvents, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			ordered := make(chan struct{})
			// An order whose response is lost comes again.
			endRun := sync.OnceFunc(func() { close(ordered) })
			f, busy, free := newBusyEngineFixture(t, nil)
			busy.withLock(func() {
				busy.copyHandler = func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/copy/stop" {
						endRun()
						test.onStop(w, r)
						return
					}
					_, _ = io.WriteString(w, "handle-of-e1")
				}
				busy.callHandler = func(w http.ResponseWriter, r *http.Request) {
					if len(busy.receivedRequests()) > 1 {
						streamHandler(nil)(w, r)
						return
					}
					conn, buffer, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Id: %s\r\nX-Stamp: e1\r\n\r\n", r.Header.Get("X-Id"))
					for i := 1; i <= test.sentBefore; i++ {
						_, _ = fmt.Fprintf(buffer, "id: %d\ndata: token %d\n\n", i, i)
					}
					_ = buffer.Flush()
					<-ordered
					_ = conn.Close()
				}
			})
			got := f.send("POST", "/stream/x", relocatableRun)
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
			qt.Assert(t, len(busy.receivedRequests())+len(free.receivedRequests()), qt.Equals, test.runs)
		})
	}
}
