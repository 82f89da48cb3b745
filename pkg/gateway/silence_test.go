package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
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

// Guards against a run that must not be made again and is given up because its engine accepts no
// connections for a while before the first event.
func TestSilentEngineKeepsARunThatMustNotBeMadeAgain(t *testing.T) {
	f := newFixture(t)
	c := testConfig()
	c.Routes[3].Timeout = 10 * time.Second
	f.publish(1, c)
	fd := f.addSilentEngine()
	served := make(chan error, 1)
	go func() {
		connFD, _, err := syscall.Accept(fd)
		if err != nil {
			served <- err
			return
		}
		// The run goes on while the host takes no connections.
		fillQueue(t, fd)
		conn := &fdConn{connFD}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			time.Sleep(1200 * time.Millisecond)
			body := expectedEvents(1)
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s",
				request.Header.Get("X-Id"), len(body), body)
		}
		served <- err
		_ = syscall.Close(connFD)
	}()
	response := f.send("POST", "/fixed/x", nil)
	qt.Check(t, response.status, qt.Equals, http.StatusOK)
	qt.Check(t, response.body, qt.Equals, expectedEvents(1))
	qt.Assert(t, <-served, qt.IsNil)
}

// Guards against a stream that stays at an engine out of reach because the retry budget is used up: the
// caller could go on at another gateway.
func TestStreamOfAnEngineOutOfReachEndsWithoutBudget(t *testing.T) {
	f := newFixture(t)
	c := testConfig()
	c.Routes[2].Timeout = 10 * time.Second
	f.publish(1, c)
	f.limitRetries("pool", 0)
	fd := f.addSilentEngine()
	go func() {
		connFD, _, err := syscall.Accept(fd)
		if err != nil {
			return
		}
		fillQueue(t, fd)
		conn := &fdConn{connFD}
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: token 1\n\n", request.Header.Get("X-Id"))
		}
	}()
	startedAt := time.Now()
	response := f.send("POST", "/stream/x", nil)
	qt.Assert(t, response.err, qt.IsNotNil)
	qt.Assert(t, time.Since(startedAt) < 3*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
}

// addSilentEngine announces an engine whose socket has the shortest queue of new connections; the caller
// accepts them from the returned file descriptor.
func (f *fixture) addSilentEngine() (fd int) {
	f.t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(func() { _ = syscall.Close(fd) })
	qt.Assert(f.t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	qt.Assert(f.t, syscall.Listen(fd, 0), qt.IsNil)
	f.HandleAnnouncements([]directory.Server{{ID: "e", Service: "pool", Address: listenAddress(fd), DataCentre: "local", StartedMS: 1, Sequence: 1, Slots: 6}})
	return fd
}

func listenAddress(fd int) string {
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// fillQueue fills the queue of new connections: Linux drops further ones without an answer.
func fillQueue(t *testing.T, fd int) {
	for range 3 {
		if filler, err := net.DialTimeout("tcp", listenAddress(fd), 50*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = filler.Close() })
		}
	}
}

// fdConn reads from and writes to the file descriptor of a connection.
type fdConn struct{ fd int }

func (c *fdConn) Read(p []byte) (int, error)  { return syscall.Read(c.fd, p) }
func (c *fdConn) Write(p []byte) (int, error) { return syscall.Write(c.fd, p) }
