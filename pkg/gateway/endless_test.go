package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

// endless returns a handler that sends a status and then the same bytes until its connection is
// closed; done is closed then.
func endless(status int, bytes string, headers ...string) (handler http.HandlerFunc, done chan struct{}) {
	done = make(chan struct{})
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(status)
		for {
			if _, err := io.WriteString(w, bytes); err != nil {
				close(done)
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}, done
}

func expectClosed(t *testing.T, done chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(3 * time.Second):
		t.Fatal("the connection of the backend server is still open")
	}
}

// Guards against callers that wait for, and memory that is filled by, bytes without end from a
// backend server, wherever the gateway reads a body.
func TestBytesWithoutEnd(t *testing.T) {
	for _, c := range []struct {
		name, path, bytes string
		status            int
		header            []string
		wantStatus        int
	}{
		{"event of a stream", "/stream/a", "data: x", http.StatusOK, nil, http.StatusBadGateway},
		{"lines of an event", "/stream/a", "data: x\n", http.StatusOK, nil, http.StatusBadGateway},
		{"comments of a stream", "/stream/a", ": x\n", http.StatusOK, nil, http.StatusBadGateway},
		{"error of an engine", "/stream/a", "xxxxxxxx", http.StatusInternalServerError, nil, http.StatusBadGateway},
		{"refusal of an engine", "/stream/a", "xxxxxxxx", http.StatusServiceUnavailable, []string{"X-Not-Run", "1"}, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			config := testConfig()
			config.Routes[2].MaxPossibleRuns = 1
			f.publish(1, config)
			handler, done := endless(c.status, c.bytes, c.header...)
			var once bool
			f.addServer("pool", "e", "local", func(w http.ResponseWriter, r *http.Request) {
				if once {
					respondNotRun(w, r)
					return
				}
				once = true
				handler(w, r)
			})
			response := f.send("POST", c.path, nil)
			expectClosed(t, done)
			qt.Assert(t, response.status, qt.Equals, c.wantStatus)
			qt.Assert(t, response.duration < 2*time.Second, qt.IsTrue)
		})
	}
}

// Guards against an answer without end that keeps the connections of its caller and of its backend
// server, and against one that looks complete.
func TestAnswerWithoutEndIsCutAtTheDeadline(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	handler, done := endless(http.StatusOK, "xxxxxxxxxxxxxxxx")
	f.addServer("app", "a", "local", handler)
	response := f.send("POST", "/once/a", map[string]string{"X-Patience": "600"})
	qt.Assert(t, response.err, qt.IsNotNil)
	qt.Assert(t, response.duration < 1500*time.Millisecond, qt.IsTrue)
	expectClosed(t, done)
}

// Guards against an engine whose response to a copy request or to the release of a copy has no
// end: both read little of it and close the connection.
func TestCopyResponseWithoutEnd(t *testing.T) {
	f := newFixture(t)
	config := testConfig()
	f.publish(1, config)
	engine := f.addServer("pool", "e", "local", respondNotRun)
	handler, done := endless(http.StatusOK, "xxxxxxxxxxxxxxxx")
	engine.withLock(func() { engine.copyHandler = handler })
	s := &streamState{g: f.Gateway, req: &callerRequest{service: &config.Services[1]}}
	server := &placement.Server{Server: engine.announcement("pool", directory.Ready, 1)}
	_, _, err := s.sendCopyRequest(t.Context(), server, server, false)
	qt.Assert(t, err, qt.ErrorIs, upstream.ErrTooLarge)
	expectClosed(t, done)
	handler, done = endless(http.StatusOK, "xxxxxxxxxxxxxxxx")
	engine.withLock(func() { engine.copyHandler = handler })
	f.releaseCopy(&config.Services[1], &runCopy{sourceAddress: engine.address(), handle: "handle", requested: true})
	expectClosed(t, done)
}
