package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// newBusyReader returns a gateway with an engine that reads many prompts and is
// chosen because the prompt is known there, and a free engine beside it.
func newBusyReader(t *testing.T, answer http.HandlerFunc) (f *fixture, reader, free *backend) {
	f = newFixture(t)
	f.publish(1, testConfig())
	stopped := make(chan struct{})
	reader = f.add("pool", "e1", "here", func(w http.ResponseWriter, r *http.Request) {
		events(func(i int) bool {
			if i < 3 || r.Header.Get("X-Copy") != "/" {
				return true
			}
			// The first run goes on until it is stopped.
			select {
			case <-stopped:
				panic(http.ErrAbortHandler)
			case <-time.After(200 * time.Millisecond):
				return true
			}
		})(w, r)
	})
	reader.onOrder = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/copy/stop" {
			answer(w, r)
			close(stopped)
			return
		}
		_, _ = io.WriteString(w, "handle-of-e1")
	}
	f.mu.Lock()
	for range 4 {
		f.pool("pool").Reads("e1", time.Now())
	}
	f.memory.Note("part", "e1", false, time.Now())
	f.mu.Unlock()
	free = f.add("pool", "e2", "there", events(nil))
	return f, reader, free
}

var movingRun = map[string]string{"X-Subject": "part", "X-Prompt": "8000"}

// Replays a burst of prompts at one engine: the stream leaves it once its prompt
// was read, and its caller gets every event once.
func TestRunLeavesTheEngineThatReads(t *testing.T) {
	f, reader, free := newBusyReader(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "handle-of-e1")
	})
	got := f.send("POST", "/stream/x", movingRun)
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, wholeStream(1))
	run := reader.ran()[0]
	qt.Assert(t, reader.ordered(), qt.Equals, "POST /copy/stop "+run.Get("X-Id")+" "+free.address())
	// While the prompt is read, a backup would only cost a copy.
	qt.Assert(t, run.Get("X-Backup"), qt.Equals, "")
	qt.Assert(t, free.ran(), qt.HasLen, 1)
	qt.Assert(t, free.ran()[0].Get("X-Copy"), qt.Equals, reader.address()+"/handle-of-e1")
	qt.Assert(t, free.ran()[0].Get("X-Last"), qt.Equals, "3")
}

// Guards against a run that is lost when its copy finds no room: the engine that
// stopped it keeps the memory.
func TestMoveWithoutRoom(t *testing.T) {
	f, reader, free := newBusyReader(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "handle-of-e1")
	})
	got := f.send("POST", "/stream/x", movingRun)
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, wholeStream(1))
	qt.Assert(t, free.ran(), qt.HasLen, 0)
	runs := reader.ran()
	qt.Assert(t, runs, qt.HasLen, 2)
	qt.Assert(t, runs[1].Get("X-Copy"), qt.Equals, reader.address()+"/handle-of-e1")
}

// Guards against a run that is given up although the order to move it failed and
// the engine goes on.
func TestMoveThatFails(t *testing.T) {
	f, reader, free := newBusyReader(t, nil)
	reader.note(func() {
		reader.onOrder = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }
	})
	got := f.send("POST", "/stream/x", movingRun)
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, wholeStream(1))
	qt.Assert(t, reader.ran(), qt.HasLen, 1)
	qt.Assert(t, free.ran(), qt.HasLen, 0)
}

// Guards against requests that are written to connections of a process that ended:
// they would be reset and the prompt read elsewhere.
func TestRestartedServerGetsNewConnections(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	app := f.add("app", "a1", "here", ok)
	qt.Assert(t, f.send("POST", "/once/x", nil).status, qt.Equals, 200)
	qt.Assert(t, f.client.Idle(app.address()), qt.Equals, 1)
	again := app.announcement("app", directory.Ready, 1)
	again.StartedMS = 2
	f.Announcements([]directory.Server{again})
	qt.Assert(t, f.client.Idle(app.address()), qt.Equals, 0)
}
