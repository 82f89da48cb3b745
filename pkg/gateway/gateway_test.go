package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// Guards against requests that run although the configuration does not allow them, and
// against refusals with the wrong status.
func TestOnlyAllowedRequestsRun(t *testing.T) {
	f := newFixture(t)
	app := f.addServer("app", "a1", "local", respondDone)
	got := f.send("POST", "/safe/x", map[string]string{"X-Patience": "100"})
	qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, got.header.Get("Retry-After"), qt.Equals, "0.5")
	qt.Assert(t, got.duration < 90*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", got.duration))
	f.publish(1, testConfig())
	for _, tt := range []struct {
		path, key string
		want      int
	}{
		{"/safe/x", "", 200}, {"/none/x", "", 404}, {"/safe", "", 404},
		{"/keyed/x", "", 401}, {"/keyed/x", "bad", 401}, {"/keyed/x", "good", 200},
	} {
		got := f.send("POST", tt.path, map[string]string{"X-Key": tt.key})
		qt.Assert(t, got.status, qt.Equals, tt.want, qt.Commentf("%s %s", tt.path, tt.key))
	}
	runs := app.receivedRequests()
	qt.Assert(t, runs, qt.HasLen, 2)
	qt.Assert(t, runs[1].Get("X-Organisation"), qt.Equals, "bakery")
	qt.Assert(t, runs[1].Get("X-Key"), qt.Equals, "")
}

// Replays a simultaneous start of all processes: requests that arrive before the first
// configuration wait for it and are not refused.
func TestCallersWaitForTheFirstConfiguration(t *testing.T) {
	f := newFixture(t)
	f.addServer("app", "a1", "local", respondDone)
	time.AfterFunc(200*time.Millisecond, func() { f.publish(1, testConfig()) })
	var wait sync.WaitGroup
	for range 5 {
		wait.Go(func() {
			qt.Check(t, f.send("POST", "/once/x", map[string]string{"X-Patience": "1500"}).status, qt.Equals, 200)
		})
	}
	wait.Wait()
}

// Guards against a return to an older revision, and against a publication that cannot be
// parsed.
func TestPublicationNeverGoesBack(t *testing.T) {
	f := newFixture(t)
	f.publish(5, testConfig())
	empty := testConfig()
	empty.Routes = nil
	f.publish(4, empty)
	f.publish(5, empty)
	qt.Assert(t, f.Revision(), qt.Equals, uint64(5))
	qt.Assert(t, f.table.Load().Match("h", "/safe/x"), qt.IsNotNil)
	f.HandlePublication(6, []byte("{"))
	qt.Assert(t, f.Revision(), qt.Equals, uint64(5))
}

// Guards against a non-idempotent call that runs twice, and against one that is refused as
// not run although it may have run.
func TestOnceCalls(t *testing.T) {
	tests := []struct {
		name                   string
		first                  http.HandlerFunc
		status, secondRequests int
	}{
		{"complete response", respondDone, 200, 0},
		{"error response is forwarded", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 500, 0},
		{"broken off", abortConnection, 502, 0},
		{"no response", hang, 504, 0},
		{"refused by the server", respondNotRun, 200, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			first := f.addServer("app", "a1", "local", tt.first)
			second := f.addServer("app", "a2", "remote", respondDone)
			got := f.send("POST", "/once/x", map[string]string{"X-Patience": "400"})
			qt.Assert(t, got.status, qt.Equals, tt.status)
			qt.Assert(t, first.receivedRequests(), qt.HasLen, 1)
			qt.Assert(t, second.receivedRequests(), qt.HasLen, tt.secondRequests)
			qt.Assert(t, got.duration < 700*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", got.duration))
		})
	}
}

// Guards against refusals without a Retry-After header, and against long waits for
// servers that have refused the request.
func TestRefusals(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	got := f.send("POST", "/once/x", nil)
	qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, got.header.Get("Retry-After"), qt.Equals, "0.5")
	for i := range 3 {
		f.addServer("app", fmt.Sprintf("a%d", i), "local", respondNotRun)
	}
	got = f.send("POST", "/once/x", nil)
	qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, got.header.Get("X-Stamp"), qt.Equals, "")
	qt.Assert(t, got.duration < 300*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", got.duration))
}

// Guards against an idempotent call that waits for a server which does not respond, or
// fails, although another server could respond in time.
func TestIdempotentCallsAreSentAgain(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"lost": hang, "broken off": abortConnection, "failure": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			failing := f.addServer("app", "a1", "local", first)
			f.addServer("app", "a2", "remote", respondDone)
			got := f.send("GET", "/safe/x", nil)
			qt.Assert(t, got.status, qt.Equals, 200)
			qt.Assert(t, got.body, qt.Equals, "done")
			qt.Assert(t, got.duration < 100*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", got.duration))
			qt.Assert(t, failing.receivedRequests(), qt.HasLen, 1)
		})
	}
}

// Guards against requests to a server whose address is used by another one by now.
func TestMisdirectedServerIsForgotten(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	replaced := f.addServer("app", "a1", "local", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	f.addServer("app", "a2", "remote", respondDone)
	for range 3 {
		qt.Assert(t, f.send("POST", "/once/x", nil).status, qt.Equals, 200)
	}
	qt.Assert(t, replaced.receivedRequests(), qt.HasLen, 1)
}

// Guards against new requests to a server that is leaving.
func TestLeavingServerGetsNoWork(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	leaving := f.addServer("app", "a1", "local", respondDone)
	f.addServer("app", "a2", "remote", respondDone)
	f.HandleAnnouncements([]directory.Server{leaving.announcement("app", directory.Leaving, 2)})
	for range 5 {
		qt.Assert(t, f.send("POST", "/once/x", nil).status, qt.Equals, 200)
	}
	qt.Assert(t, leaving.receivedRequests(), qt.HasLen, 0)
}

// Guards against missing, repeated or interleaved events when the engine of a stream
// breaks off, goes silent or sends an incomplete event.
func TestStreamGoesOnFromTheBackup(t *testing.T) {
	tests := []struct {
		name  string
		first http.HandlerFunc
	}{
		{"broken off", streamHandler(func(i int) bool {
			if i == 4 {
				panic(http.ErrAbortHandler)
			}
			return true
		})},
		{"silent", func(w http.ResponseWriter, r *http.Request) {
			streamHandler(func(i int) bool { return i < 4 })(w, r)
			<-r.Context().Done()
		}},
		{"part of an event", func(w http.ResponseWriter, r *http.Request) {
			streamHandler(func(i int) bool { return i < 4 })(w, r)
			_, _ = io.WriteString(w, "id: 5\ndata: tok")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"part of an event at a proper end", func(w http.ResponseWriter, r *http.Request) {
			streamHandler(func(i int) bool { return i < 4 })(w, r)
			_, _ = io.WriteString(w, "id: 5\ndata: tok")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			first := f.addServer("pool", "e1", "local", tt.first)
			second := f.addServer("pool", "e2", "remote", streamHandler(nil))
			got := f.send("POST", "/stream/x", map[string]string{"X-Prompt": "8000"})
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.status, qt.Equals, 200)
			qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
			qt.Assert(t, got.duration < 700*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", got.duration))
			// The first engine received the backup's address, and the run was resumed from
			// the copy there.
			qt.Assert(t, first.receivedRequests()[0].Get("X-Backup"), qt.Equals, second.address())
			run := second.receivedRequests()[0]
			qt.Assert(t, run.Get("X-Copy"), qt.Equals, second.address()+"/"+run.Get("X-Id"))
		})
	}
}

// Guards against a stream that is resumed from a copy that cannot exist: there is nothing
// to copy during a prefill. The engine that broke off the stream may still have a part of the
// prompt cached, so it is retried first.
func TestStreamBreaksOffBeforeItsFirstEvent(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	first := f.addServer("pool", "e1", "local", abortConnection)
	second := f.addServer("pool", "e2", "remote", streamHandler(nil))
	got := f.send("POST", "/stream/x", map[string]string{"X-Prompt": "8000"})
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
	qt.Assert(t, got.duration < 700*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", got.duration))
	qt.Assert(t, first.receivedRequests(), qt.HasLen, 1+maxRetriesAtSameEngine)
	qt.Assert(t, second.receivedRequests(), qt.HasLen, 1)
	qt.Assert(t, second.receivedRequests()[0].Get("X-Copy"), qt.Equals, "/")
}

// Guards against a stream that ends early but looks complete to the caller.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	f.addServer("pool", "e1", "local", streamHandler(func(i int) bool {
		if i == 4 {
			panic(http.ErrAbortHandler)
		}
		return true
	}))
	unused := f.addServer("pool", "e2", "remote", streamHandler(nil))
	got := f.send("POST", "/fixed/x", nil)
	qt.Assert(t, got.err, qt.IsNotNil)
	qt.Assert(t, unused.receivedRequests(), qt.HasLen, 0)
}

// Guards against a response that is too large to be buffered, breaks off and looks
// complete to the caller.
func TestLargeAnswers(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	large := strings.Repeat("x", 3*maxBufferedResponseBytes)
	f.addServer("app", "a1", "local", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(large)))
		if strings.HasSuffix(r.URL.Path, "whole") {
			_, _ = io.WriteString(w, large)
			return
		}
		_, _ = io.WriteString(w, large[:2*maxBufferedResponseBytes])
		panic(http.ErrAbortHandler)
	})
	got := f.send("POST", "/once/whole", nil)
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body == large, qt.IsTrue)
	qt.Assert(t, f.send("POST", "/once/broken", nil).err, qt.IsNotNil)
}

// Guards against repeated events when a second engine resumes before the last event.
func TestRepeatedEventsAreDropped(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	f.addServer("pool", "e1", "local", streamHandler(func(i int) bool {
		if i == 4 {
			panic(http.ErrAbortHandler)
		}
		return true
	}))
	f.addServer("pool", "e2", "remote", func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("X-Last", "2")
		streamHandler(nil)(w, r)
	})
	qt.Assert(t, f.send("POST", "/stream/x", nil).body, qt.Equals, expectedEvents(1))
}

// Guards against a run without a copy: when the holder of the copy ends, the gateway
// requests a copy at another engine, from which the run is resumed.
func TestLostBackupIsReplaced(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	proceed := make(chan struct{})
	// The engine continues until it has received the copy request, and then fails.
	first := f.addServer("pool", "e1", "local", streamHandler(func(i int) bool {
		if i < 4 {
			time.Sleep(100 * time.Millisecond)
			return true
		}
		<-proceed
		panic(http.ErrAbortHandler)
	}))
	backup := f.addServer("pool", "e2", "remote", streamHandler(nil))
	var wait sync.WaitGroup
	var got callerResponse
	wait.Go(func() { got = f.send("POST", "/stream/x", map[string]string{"X-Prompt": "8000"}) })
	for len(first.receivedRequests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	f.HandleAnnouncements([]directory.Server{backup.announcement("pool", directory.Gone, 2)})
	replacement := f.addServer("pool", "e3", "remote2", streamHandler(nil))
	for first.receivedCopyRequests() == "" {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	close(proceed)
	wait.Wait()
	qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
	qt.Assert(t, first.receivedCopyRequests(), qt.Equals, "POST /copy "+first.receivedRequests()[0].Get("X-Id")+" "+replacement.address())
	qt.Assert(t, replacement.receivedRequests()[0].Get("X-Copy"), qt.Equals, first.address()+"/handle-of-e1")
	qt.Assert(t, backup.receivedRequests(), qt.HasLen, 0)
}

// Guards against a prefill that is repeated at another engine although the engine that
// broke off the stream still has the prompt cached: a stream without a copy is resumed at
// the same engine.
func TestStreamGoesOnAtTheSameEngine(t *testing.T) {
	f := newFixture(t)
	// A run that cannot be relocated has a backup from the start.
	c := testConfig()
	c.Services[1].Engine.CopiesOnRequest = false
	f.publish(1, c)
	broken := false
	first := f.addServer("pool", "e1", "local", streamHandler(func(i int) bool {
		if i == 4 && !broken {
			broken = true
			panic(http.ErrAbortHandler)
		}
		return true
	}))
	// The backup has no memory for a copy and refuses the run.
	second := f.addServer("pool", "e2", "remote", respondNotRun)
	f.addServer("pool", "e3", "local", streamHandler(nil)).withLock(func() {})
	f.HandlePlacement(placement.Placement{Subject: "part", Server: "e1"})
	got := f.send("POST", "/stream/x", map[string]string{"X-Subject": "part", "X-Prompt": "8000"})
	qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
	qt.Assert(t, second.receivedRequests(), qt.HasLen, 1)
	qt.Assert(t, first.receivedRequests(), qt.HasLen, 2)
	qt.Assert(t, first.receivedRequests()[1].Get("X-Last"), qt.Equals, "4")
}

// Guards against a stream that starts again from the first event when its caller resumes
// it, and against repeating the prefill at another engine.
func TestCallerGoesOnWhereItsPromptIs(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	f.addServer("pool", "e1", "local", streamHandler(nil))
	holder := f.addServer("pool", "e2", "remote", streamHandler(nil))
	f.HandlePlacement(placement.Placement{Subject: "part", Server: "e2"})
	got := f.send("POST", "/stream/x", map[string]string{"X-Last": "6", "X-Subject": "part", "X-Prompt": "8000"})
	qt.Assert(t, got.body, qt.Equals, expectedEvents(7))
	qt.Assert(t, holder.receivedRequests(), qt.HasLen, 1)
}

// Guards against backend servers that continue to work for a caller that has
// disconnected.
func TestCallerLeaves(t *testing.T) {
	for _, path := range []string{"/stream/x", "/safe/x"} {
		f := newFixture(t)
		f.publish(1, testConfig())
		cancelled := make(chan struct{}, 4)
		hangUntilCancelled := func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/stream") {
				streamHandler(func(i int) bool { return i < 3 })(w, r)
				_, _ = io.WriteString(w, ": wait\n")
				_ = http.NewResponseController(w).Flush()
			}
			<-r.Context().Done()
			cancelled <- struct{}{}
		}
		f.addServer("pool", "e1", "local", hangUntilCancelled)
		f.addServer("app", "a1", "local", hangUntilCancelled)
		f.gatewayServer.Client().Timeout = 200 * time.Millisecond
		qt.Assert(t, f.send("POST", path, nil).err, qt.IsNotNil)
		select {
		case <-cancelled:
		case <-time.After(500 * time.Millisecond):
			t.Fatalf("%s: the backend server still handles the request 500 ms after the caller disconnected", path)
		}
	}
}

// Guards against a gateway that stays ready while it can reach neither a service nor most
// coordinators, and against one that leaves rotation when only the coordinators have failed.
func TestIsolation(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	f.configuredAt = time.Now().Add(-time.Minute)
	app := f.addServer("app", "a1", "remote", respondDone)
	f.addServer("pool", "e1", "local", streamHandler(nil))
	// Two coordinators are followed, and neither has ever responded.
	f.coordinators.Add(t.Context(), []string{"127.0.0.1:1", "127.0.0.1:2"})
	now := time.Now()
	f.updateIsolation(now)
	qt.Assert(t, f.Ready(), qt.IsTrue)
	app.CloseClientConnections()
	qt.Assert(t, app.Listener.Close(), qt.IsNil)
	qt.Assert(t, f.send("POST", "/once/x", nil).status, qt.Equals, http.StatusServiceUnavailable)
	f.updateIsolation(time.Now())
	qt.Assert(t, f.Ready(), qt.IsFalse)
	w := httptest.NewRecorder()
	f.serveReady(w, nil)
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	// Requests for the service that cannot be reached are refused at once, others are served.
	for range 5 {
		refused := f.send("POST", "/once/x", map[string]string{"X-Patience": "600"})
		qt.Assert(t, refused.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, refused.duration < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", refused.duration))
		retryAfter, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, retryAfter < 0.2, qt.IsTrue, qt.Commentf("a caller with 0.6 s left waits for at most a third of it, not %g s", retryAfter))
	}
	qt.Assert(t, f.send("POST", "/stream/x", nil).status, qt.Equals, http.StatusOK)
	f.addServer("app", "a2", "local", respondDone)
	f.updateIsolation(time.Now())
	qt.Assert(t, f.Ready(), qt.IsTrue)
	qt.Assert(t, f.send("POST", "/once/x", nil).status, qt.Equals, http.StatusOK)
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("data: a\r\n\r\n: c\n")
	f.Fuzz(func(t *testing.T, text string) {
		events := newEventReader(strings.NewReader(text))
		var got strings.Builder
		for {
			e, err := events.next()
			if err != nil {
				break
			}
			got.Write(e.data)
		}
		if !strings.HasPrefix(text, got.String()) {
			t.Fatalf("events %q are not a prefix of the stream %q", got.String(), text)
		}
	})
}

// Guards against an engine that is taken for unreachable because this gateway has as many
// connections to it as it may open.
func TestConnectionLimitDoesNotMakeAnEngineUnreachable(t *testing.T) {
	f := newFixture(t)
	config := testConfig()
	config.Services[1].MaxConnections = minConnections
	f.publish(1, config)
	engine := f.addServer("pool", "e", "local", hang)
	var earlier sync.WaitGroup
	for range minConnections {
		earlier.Go(func() { f.send("POST", "/stream/a", map[string]string{"X-Patience": "800"}) })
	}
	for deadline := time.Now().Add(time.Second); len(engine.receivedRequests()) < minConnections; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
	response := f.send("POST", "/stream/a", map[string]string{"X-Patience": "200"})
	qt.Assert(t, response.status, qt.Equals, http.StatusServiceUnavailable)
	f.mu.Lock()
	unreachable := f.pool("pool").AllUnreachable(time.Now())
	f.mu.Unlock()
	qt.Assert(t, unreachable, qt.IsFalse)
	earlier.Wait()
}

// Guards against an engine that ended before its first event, and whose answer without a length or
// chunks is taken for a complete stream without events.
func TestUnframedStreamWithoutEventsIsBrokenOff(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	unframed := func(events int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			conn, buffer, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("X-Id"))
			if events > 0 {
				_, _ = buffer.WriteString(expectedEvents(1))
			}
			_ = buffer.Flush()
		}
	}
	f.addServer("pool", "ends", "local", unframed(0))
	f.addServer("pool", "whole", "remote", unframed(streamEvents))
	response := f.send("POST", "/stream/a", nil)
	qt.Assert(t, response.err, qt.IsNil)
	qt.Assert(t, response.body, qt.Equals, expectedEvents(1))
}
