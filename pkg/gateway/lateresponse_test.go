package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lateEngine is an engine that writes its last response to a copy request on a connection once more when the next copy
// request arrives there.
type lateEngine struct {
	// named reports whether the response to copy request n, from 1, names that request.
	named func(n int) bool
	// interval is the time between two events, and breakAfter the event after which the engine breaks off its first run; 0
	// is never.
	interval   time.Duration
	breakAfter int

	mu sync.Mutex
	// last holds the last response to a copy request by connection.
	last                   map[net.Conn]string
	copyRequests, releases int
	// stopped has a channel for each run that is closed when the run is stopped.
	stopped map[string]chan struct{}
}

// begin returns a channel that is closed when the run is stopped.
func (e *lateEngine) begin(run string) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped[run] = make(chan struct{})
	return e.stopped[run]
}

func (e *lateEngine) respond(c net.Conn, r *http.Request) bool {
	switch {
	case r.Method == http.MethodDelete:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		e.mu.Lock()
		e.releases++
		e.mu.Unlock()
		return true
	case strings.HasPrefix(r.URL.Path, "/copy"):
		e.copyRun(c, r)
		return true
	}
	id := r.Header.Get("X-Id")
	last, _ := strconv.Atoi(r.Header.Get("X-Last"))
	stopped := e.begin(id)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Id: %s\r\nX-Stamp: e1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for i := last + 1; i <= streamEvents; i++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		if i == e.breakAfter && last == 0 {
			return false
		}
		select {
		case <-stopped:
			return false
		case <-time.After(e.interval):
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	return false
}

// copyRun responds to a copy request with the handle "handle-of-RUN".
func (e *lateEngine) copyRun(c net.Conn, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	run, _, _ := strings.Cut(string(body), " ")
	handle := "handle-of-" + run
	e.mu.Lock()
	e.copyRequests++
	name := ""
	if e.named(e.copyRequests) {
		name = "X-Id: " + r.Header.Get("X-Id") + "\r\n"
	}
	late, response := e.last[c], fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", name, len(handle), handle)
	e.last[c] = response
	if r.URL.Path == "/copy/stop" {
		close(e.stopped[run])
	}
	e.mu.Unlock()
	if late != "" {
		_, _ = io.WriteString(c, late)
		time.Sleep(20 * time.Millisecond)
	}
	_, _ = io.WriteString(c, response)
}

func (e *lateEngine) counts() (copyRequests, releases int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.copyRequests, e.releases
}

// lateEngineFixture is a gateway with a lateEngine, which is selected first, and a free engine.
type lateEngineFixture struct {
	*fixture
	engine  *lateEngine
	address string
	free    *testServer
	log     syncBuffer
}

// newLateEngineFixture has the route /stream/x, whose runs are moved to the free engine, and /pinned/x, whose runs get a copy there
// that is released at their end.
func newLateEngineFixture(t *testing.T, named func(n int) bool) *lateEngineFixture {
	f := &lateEngineFixture{fixture: newFixture(t)}
	f.fixture.log = slog.New(slog.NewTextHandler(&f.log, nil))
	config := testConfig()
	pinned := config.Routes[2]
	pinned.Name, pinned.Prefix, pinned.MaxPossibleRuns, pinned.Timeout = "pinned", "/pinned/", 2, 5*time.Second
	config.Routes = append(config.Routes, pinned)
	f.publish(1, config)
	f.engine = &lateEngine{named: named, interval: 60 * time.Millisecond, last: map[net.Conn]string{}, stopped: map[string]chan struct{}{}}
	f.address = f.addRawServer("pool", "e1", "local", f.engine.respond)
	f.free = f.addServer("pool", "e2", "remote", streamHandler(nil))
	return f
}

// run sends a request with the given part of a prompt, and checks that the caller gets the whole stream. The run takes a new
// connection, so that its copy request finds the one of an earlier copy request idle.
func (f *lateEngineFixture) run(path, part string) {
	f.t.Helper()
	f.mu.Lock()
	for range 4 {
		f.pool("pool").RecordPrefill("e1", time.Now())
	}
	f.promptLocations.Record(part, "e1", false, time.Now())
	f.mu.Unlock()
	qt.Assert(f.t, f.client.CanConnect(f.t.Context(), f.address), qt.IsTrue)
	got := f.send("POST", path, map[string]string{"X-Subject": part, "X-Prompt": "8000"})
	qt.Assert(f.t, got.err, qt.IsNil)
	qt.Assert(f.t, got.body, qt.Equals, expectedEvents(1))
}

// awaitReleases waits until the engine has received a number of requests to release a copy.
func (f *lateEngineFixture) awaitReleases(want int) {
	f.t.Helper()
	_, releases := f.engine.counts()
	for deadline := time.Now().Add(2 * time.Second); releases < want && time.Now().Before(deadline); _, releases = f.engine.counts() {
		time.Sleep(5 * time.Millisecond)
	}
	qt.Assert(f.t, releases, qt.Equals, want)
}

// checkMoves checks that the free engine has received a number of runs, each with the handle of its own copy.
func (f *lateEngineFixture) checkMoves(want int) {
	f.t.Helper()
	moved := f.free.receivedRequests()
	qt.Assert(f.t, moved, qt.HasLen, want)
	for _, run := range moved {
		qt.Assert(f.t, run.Get("X-Copy"), qt.Equals, f.address+"/handle-of-"+run.Get("X-Id"))
	}
}

// Guards against a run that goes on from the memory of another request: the engine writes its response to an earlier copy
// request once more, whether its responses name the copy requests or not. Runs must still be moved in both cases.
func TestLateCopyResponseGivesNoOtherMemory(t *testing.T) {
	for _, test := range []struct {
		name, path string
		releases   int
	}{
		{"of a run that was moved", "/stream/x", 0},
		{"of a run that got a copy", "/pinned/x", 1},
	} {
		for _, named := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s named=%v", test.name, named), func(t *testing.T) {
				f := newLateEngineFixture(t, func(int) bool { return named })
				f.run(test.path, "part 1")
				f.awaitReleases(test.releases)
				f.run("/stream/x", "part 2")
				copyRequests, _ := f.engine.counts()
				qt.Assert(t, copyRequests, qt.Equals, 2)
				f.checkMoves(2 - test.releases)
			})
		}
	}
}

// Guards against a copy response that cannot be told from a late one and counts as an answer. The run that was to be moved begins
// again at its engine and is moved from there over another connection, and a log line has the cause.
func TestUnidentifiedCopyResponseIsNoAnswer(t *testing.T) {
	f := newLateEngineFixture(t, func(n int) bool { return n == 1 })
	f.run("/stream/x", "part 1")
	f.run("/stream/x", "part 2")
	copyRequests, _ := f.engine.counts()
	qt.Assert(t, copyRequests, qt.Equals, 3)
	f.checkMoves(2)
	qt.Assert(t, f.log.String(), qt.Contains, "the response names no request and the connection has carried others")
}

// Guards against a run that loses its copy because the response to the refresh cannot be told from a late one.
func TestUnidentifiedRefreshKeepsTheCopy(t *testing.T) {
	f := newLateEngineFixture(t, func(n int) bool { return n == 1 })
	f.engine.interval, f.engine.breakAfter = 300*time.Millisecond, 8
	f.run("/pinned/x", "part 1")
	copyRequests, _ := f.engine.counts()
	qt.Assert(t, copyRequests, qt.Equals, 2)
	f.checkMoves(1)
}

// Guards against a caller that gets the response to another request, as neither of the two has an identifier.
func TestLateResponseToARequestWithoutID(t *testing.T) {
	for _, tt := range []struct{ path, service string }{
		{"/once/x", "app"}, {"/safe/x", "app"}, {"/stream/x", "pool"}, {"/fixed/x", "pool"},
	} {
		t.Run(tt.path, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			var requests atomic.Int64
			var late sync.Map
			f.addRawServer(tt.service, "faulty", "local", func(c net.Conn, r *http.Request) bool {
				body := fmt.Sprintf("id: 1\ndata: response %d\n\n", requests.Add(1))
				response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				if earlier, ok := late.Swap(c, response); ok {
					_, _ = io.WriteString(c, earlier.(string))
					time.Sleep(20 * time.Millisecond)
				}
				_, _ = io.WriteString(c, response)
				return true
			})
			for i := 1; i <= 3; i++ {
				got := f.send("POST", tt.path, map[string]string{"X-Id": ""})
				qt.Assert(t, got.status, qt.Equals, http.StatusOK)
				qt.Assert(t, got.body, qt.Equals, fmt.Sprintf("id: 1\ndata: response %d\n\n", i))
			}
		})
	}
}
