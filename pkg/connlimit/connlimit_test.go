package connlimit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/membudget"
)

// limitedServer is an HTTP server behind a Listener.
type limitedServer struct {
	*Listener
	t       *testing.T
	address string
}

// serve starts a server with small buffers at its sockets.
func serve(t *testing.T, budget *membudget.Budget, maxConns, bufferBytes int, handler http.HandlerFunc) *limitedServer {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 8<<10)
		})
		return errors.Join(err, optionErr)
	}}
	raw, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := NewListener(raw, budget, maxConns, bufferBytes)
	server := &http.Server{Handler: handler, ConnState: SetState, ConnContext: ConnContext, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return &limitedServer{Listener: l, t: t, address: raw.Addr().String()}
}

// dial connects with a small receive buffer.
func (s *limitedServer) dial() *net.TCPConn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { _ = conn.Close() })
	tcp := conn.(*net.TCPConn)
	qt.Assert(s.t, tcp.SetReadBuffer(8<<10), qt.IsNil)
	return tcp
}

// awaitOpen waits until count connections are open.
func (s *limitedServer) awaitOpen(count int) {
	s.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); s.Stats().Open != count; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("%d connections are open, not %d", s.Stats().Open, count)
		}
	}
}

func send(t *testing.T, conn net.Conn, request string) {
	t.Helper()
	_, err := io.WriteString(conn, request)
	qt.Assert(t, err, qt.IsNil)
}

func read(t *testing.T, conn net.Conn) (status int, body []byte, err error) {
	t.Helper()
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

const getRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// Guards against a handler that waits for a slow caller although its response fits into the buffer, and against bytes
// of a response that are lost, repeated or reordered on their way through the buffer.
func TestResponseWaitsForASlowCaller(t *testing.T) {
	content := make([]byte, 200<<10)
	for i := range content {
		content[i] = byte(i * 7 >> 3)
	}
	var handled atomic.Int32
	budget := membudget.New(16 << 20)
	s := serve(t, budget, 10, 256<<10, func(w http.ResponseWriter, _ *http.Request) {
		for piece := range bytesIn(content, 3000) {
			_, err := w.Write(piece)
			qt.Check(t, err, qt.IsNil)
			_ = http.NewResponseController(w).Flush()
		}
		handled.Add(1)
	})
	conn := s.dial()
	send(t, conn, getRequest)
	for deadline := time.Now().Add(20 * time.Second); handled.Load() == 0; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the handler waits for the caller"))
	}
	qt.Assert(t, budget.Stats().Used > 0, qt.IsTrue)
	_, body, err := read(t, conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(body, content), qt.IsTrue)
	for deadline := time.Now().Add(20 * time.Second); budget.Stats().Used > 0 || s.Flushing() > 0; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("bytes are still held"))
	}
}

// bytesIn yields the pieces of p of the given size.
func bytesIn(p []byte, size int) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(p) > 0 {
			n := min(size, len(p))
			if !yield(p[:n]) {
				return
			}
			p = p[n:]
		}
	}
}

// Guards against the end of a response that is lost when the connection is closed while it waits for the caller.
func TestCloseWritesWhatWaits(t *testing.T) {
	content := make([]byte, 200<<10)
	s := serve(t, membudget.New(16<<20), 10, 256<<10, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(content)
	})
	conn := s.dial()
	send(t, conn, getRequest)
	time.Sleep(100 * time.Millisecond)
	_, body, err := read(t, conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.HasLen, len(content))
	s.awaitOpen(0)
}

// Guards against a handler that waits for good for a caller that never reads, and against a cut response that looks
// complete: one whose end only the end of the connection marks.
func TestStalledReaderIsClosed(t *testing.T) {
	failed := make(chan error, 1)
	s := serve(t, membudget.New(16<<20), 10, 32<<10, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 4<<20))
		failed <- err
	})
	conn := s.dial()
	send(t, conn, "GET / HTTP/1.0\r\n\r\n")
	select {
	case err := <-failed:
		qt.Assert(t, err, qt.IsNotNil)
	case <-time.After(30 * time.Second):
		t.Fatal("the handler waits for the caller")
	}
	_, _, err := read(t, conn)
	qt.Assert(t, errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	s.awaitOpen(0)
	qt.Assert(t, s.Stats().Stalled, qt.Equals, int64(1))
}

// Guards against the slowest reader that keeps the memory which others need, and against responses that fail
// because the budget has no room: they wait for their callers.
func TestReadersShareTheBudget(t *testing.T) {
	content := make([]byte, 300<<10)
	budget := membudget.New(512 << 10)
	s := serve(t, budget, 100, 256<<10, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(content) })
	for range 8 {
		send(t, s.dial(), getRequest)
	}
	time.Sleep(200 * time.Millisecond)
	conn := s.dial()
	send(t, conn, getRequest)
	_, body, err := read(t, conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.HasLen, len(content))
	qt.Assert(t, budget.Stats().Peak <= 512<<10, qt.IsTrue)
}

// Guards against an ordinary caller that is turned away because others keep connections without use: connections
// that sent no request are closed first, then those that are idle for longest, and none that is served.
func TestUselessConnectionsMakeRoom(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, membudget.New(16<<20), 8, 256<<10, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		_, _ = io.WriteString(w, "done")
	})
	served := []net.Conn{s.dial(), s.dial()}
	for _, conn := range served {
		send(t, conn, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	kept := s.dial()
	send(t, kept, getRequest)
	_, _, err := read(t, kept)
	qt.Assert(t, err, qt.IsNil)
	for range 20 {
		send(t, s.dial(), "GET / HTTP/1.1\r\nHost: x\r\nA: drip")
		time.Sleep(2 * time.Millisecond)
	}
	ordinary := s.dial()
	send(t, ordinary, getRequest)
	status, _, err := read(t, ordinary)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, 200)
	qt.Assert(t, s.Stats().Open <= 9, qt.IsTrue)
	close(release)
	for _, conn := range served {
		status, _, err := read(t, conn)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, 200)
	}
}

// Guards against requests that hang or are cut when every connection is in use: some more are accepted so that
// they can be refused.
func TestOverflowIsReported(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, membudget.New(16<<20), 8, 256<<10, func(w http.ResponseWriter, r *http.Request) {
		if OfRequest(r).Overflow() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		<-release
	})
	for range 8 {
		send(t, s.dial(), getRequest)
	}
	s.awaitOpen(8)
	time.Sleep(100 * time.Millisecond)
	over := s.dial()
	send(t, over, getRequest)
	status, _, err := read(t, over)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	close(release)
}

// receive is a handler that receives the body and responds with its size, or with 503 or 413.
func receive(budget *membudget.Budget, limit int64, timeout time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b := &Body{}
		defer b.Account.Close()
		switch err := b.Receive(budget, w, r, limit, time.Now().Add(timeout)); {
		case err == nil:
			read, _ := io.ReadAll(b.Reader())
			_, _ = fmt.Fprint(w, len(read), " ", b.Size())
		case errors.Is(err, ErrNoMemory), errors.Is(err, ErrLate):
			w.WriteHeader(http.StatusServiceUnavailable)
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		default:
			w.WriteHeader(http.StatusBadRequest)
		}
	}
}

// Guards against bodies whose size is at the edge of a part or of the limit, announced or in chunks.
func TestBodiesOfEachSize(t *testing.T) {
	const limit = 600 << 10
	budget := membudget.New(4 << 20)
	s := serve(t, budget, 10, 256<<10, receive(budget, limit, time.Minute))
	for _, size := range []int{0, 1, freeBodyBytes - 1, freeBodyBytes, freeBodyBytes + 1, 2 * freeBodyBytes, 2*freeBodyBytes + 1, maxBodyPart, 300 << 10, limit, limit + 1, limit + 100<<10} {
		for _, chunked := range []bool{false, true} {
			var body io.Reader = strings.NewReader(strings.Repeat("x", size))
			if chunked {
				body = io.MultiReader(body)
			}
			response, err := http.Post("http://"+s.address, "", body)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%d %v", size, chunked))
			answer, err := io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNil)
			if size > limit {
				qt.Assert(t, response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge, qt.Commentf("%d %v", size, chunked))
				continue
			}
			qt.Assert(t, string(answer), qt.Equals, fmt.Sprint(size, " ", size), qt.Commentf("%v", chunked))
		}
	}
	qt.Assert(t, budget.Stats().Used, qt.Equals, int64(0))
}

// Guards against a body that stays open beyond the time limit of its request: it is refused as one that has not run, and
// the caller can read that.
func TestBodyThatStopsIsRefused(t *testing.T) {
	budget := membudget.New(4 << 20)
	s := serve(t, budget, 10, 256<<10, receive(budget, 1<<20, 300*time.Millisecond))
	for _, part := range []int{3, 100 << 10} {
		conn := s.dial()
		send(t, conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", part+1, strings.Repeat("x", part)))
		status, _, err := read(t, conn)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	}
	s.awaitOpen(0)
	qt.Assert(t, budget.Stats().Used, qt.Equals, int64(0))
}

// Guards against unfinished bodies that keep the memory from others: the holder of most is refused. The memory has room
// for one of the unfinished bodies, which stalls once the others are refused; bodies that are all still arriving may be
// refused for each other.
func TestUnfinishedBodyMakesRoom(t *testing.T) {
	// The parts of the 400 KiB that arrive, beyond the first of freeBodyBytes.
	const stalledBytes = (4 + 8 + 16 + 32 + 64 + 3*128) << 10
	budget := membudget.New(1 << 20)
	s := serve(t, budget, 20, 256<<10, receive(budget, 1<<20, time.Minute))
	var stalled []net.Conn
	for range 4 {
		conn := s.dial()
		stalled = append(stalled, conn)
		send(t, conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 600000\r\n\r\n"+strings.Repeat("x", 400<<10))
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		stats := budget.Stats()
		if stats.Evicted+stats.Refused >= 3 && stats.Used == stalledBytes {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the unfinished bodies do not stall: %+v", stats)
		}
	}
	response, err := http.Post("http://"+s.address, "", strings.NewReader(strings.Repeat("x", 600<<10)))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, 200)
	for _, conn := range stalled {
		qt.Assert(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	}
}

// Guards against heads of many short lines, which take far more memory than their bytes: they are accounted, and
// closed when they exceed the budget.
func TestLargeHeadsAreAccounted(t *testing.T) {
	budget := membudget.New(2 << 20)
	s := serve(t, budget, 20, 256<<10, func(http.ResponseWriter, *http.Request) {})
	for range 10 {
		conn := s.dial()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a: b\r\n", 8000)) // It may be closed meanwhile.
	}
	conn := s.dial()
	send(t, conn, getRequest)
	status, _, err := read(t, conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, 200)
	stats := budget.Stats()
	qt.Assert(t, stats.Evicted > 0, qt.IsTrue)
	qt.Assert(t, stats.Peak <= 2<<20, qt.IsTrue)
}

// Guards against a deadline of one write that ends a later one: a stream whose caller was slow once, while the budget
// had no room, goes on.
func TestStreamGoesOnAfterASlowRead(t *testing.T) {
	failed := make(chan error, 1)
	s := serve(t, membudget.New(0), 10, 256<<10, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 100<<10))
		time.Sleep(600 * time.Millisecond)
		_, secondErr := io.WriteString(w, "end")
		failed <- errors.Join(err, secondErr, http.NewResponseController(w).Flush())
	})
	s.abandoned = 300 * time.Millisecond
	conn := s.dial()
	send(t, conn, getRequest)
	time.Sleep(100 * time.Millisecond)
	_, body, err := read(t, conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-failed, qt.IsNil)
	qt.Assert(t, body, qt.HasLen, 100<<10+3)
}

// Guards against readers that keep all connections while the budget has no room for what waits for them: they are
// closed so that an ordinary caller is served.
func TestReadersWithoutRoomInTheBudgetMakeRoom(t *testing.T) {
	s := serve(t, membudget.New(0), 8, 256<<10, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, 4<<20))
		}
	})
	for range 8 {
		send(t, s.dial(), "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	time.Sleep(300 * time.Millisecond)
	conn := s.dial()
	send(t, conn, getRequest)
	status, _, err := read(t, conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, 200)
	qt.Assert(t, s.Stats().Evicted > 0, qt.IsTrue)
	qt.Assert(t, s.Stats().Refused, qt.Equals, int64(0))
}
