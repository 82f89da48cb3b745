package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against responses of a server that stay unread because the caller is slow: the server writes its whole response
// while the caller reads nothing, and the caller receives all of it afterwards.
func TestServerIsReadAlthoughItsCallerIsSlow(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	content := bytes.Repeat([]byte("0123456789abcdef"), 12<<10)
	written := make(chan error, 2)
	f.addServer("app", "a", "local", func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(content)
		written <- err
	})
	f.addServer("pool", "e", "local", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		var err error
		for i := 1; i <= 200 && err == nil; i++ {
			_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1000))
			err = errors.Join(err, http.NewResponseController(w).Flush())
		}
		written <- err
	})
	address := f.startListening(4)
	defer f.callerServer.Close()
	for path, size := range map[string]int{"/once/x": len(content), "/stream/x": 200 * 1000} {
		caller := dialCaller(t, address)
		_, err := fmt.Fprintf(caller.conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: slow%s\r\nContent-Length: 3\r\n\r\nask", path, path)
		qt.Assert(t, err, qt.IsNil)
		select {
		case err := <-written:
			qt.Assert(t, err, qt.IsNil)
		case <-time.After(20 * time.Second):
			t.Fatal("the response of the server stays unread")
		}
		time.Sleep(time.Second)
		response, err := http.ReadResponse(caller.reader, nil)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(body) >= size, qt.IsTrue)
	}
}

// Guards against a large call that fails although another server has room: the requests that one server holds are
// bounded, and this one goes to the next. Small calls are not bounded.
func TestLargeCallsAreSpreadByTheirBytes(t *testing.T) {
	f := newFixture(t)
	f.settings.ServerRequestMB = 1
	f.publish(1, testConfig())
	release := make(chan struct{})
	wait := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/wait" {
			<-release
		}
		respondDone(w, r)
	}
	servers := []*testServer{f.addServer("app", "a1", "local", wait), f.addServer("app", "a2", "local", wait)}
	call := func(path string, size int) int {
		request, err := http.NewRequest(http.MethodPost, f.gatewayServer.URL+path, bytes.NewReader(make([]byte, size)))
		qt.Check(t, err, qt.IsNil)
		request.Host = "h"
		request.Header.Set("X-Id", fmt.Sprint(path, size, time.Now().UnixNano()))
		response, err := http.DefaultClient.Do(request)
		qt.Check(t, err, qt.IsNil)
		defer response.Body.Close()
		return response.StatusCode
	}
	inFlight := func() (total int64) {
		for _, s := range servers {
			total += f.client.BytesInFlight(s.address())
		}
		return total
	}
	var calls sync.WaitGroup
	for i := range 2 {
		calls.Go(func() { qt.Check(t, call("/once/wait", 900<<10), qt.Equals, 200) })
		for inFlight() < int64(i+1)*900<<10 {
			time.Sleep(time.Millisecond)
		}
	}
	for _, s := range servers {
		qt.Check(t, f.client.BytesInFlight(s.address()) < 1<<20, qt.IsTrue)
	}
	qt.Check(t, call("/once/x", 900<<10), qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, call("/once/x", 1000), qt.Equals, 200)
	close(release)
	calls.Wait()
	qt.Check(t, call("/once/x", 900<<10), qt.Equals, 200)
	qt.Check(t, inFlight(), qt.Equals, int64(0))
}

// Guards against memory that stays accounted after requests of each outcome, and after the connections are closed.
func TestCallerMemoryIsReturned(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	f.addServer("app", "a", "local", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 100<<10))
	})
	address := f.startListening(4)
	defer f.callerServer.Close()
	for _, path := range []string{"/once/x", "/safe/x", "/keyed/x", "/none", "/stream/x"} {
		caller := dialCaller(t, address)
		_, err := fmt.Fprintf(caller.conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: m%s\r\nX-Patience: 500\r\nContent-Length: 100000\r\n\r\n%s", path, path, strings.Repeat("x", 100000))
		qt.Assert(t, err, qt.IsNil)
		response, err := http.ReadResponse(caller.reader, nil)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		qt.Assert(t, err, qt.IsNil)
		_ = caller.conn.Close()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for f.guard.Memory.Stats().Used > 0 {
		qt.Assert(t, sleepContext(ctx, time.Millisecond), qt.IsTrue, qt.Commentf("%+v", f.guard.Memory.Stats()))
	}
	qt.Assert(t, f.guard.Memory.Stats().Peak >= 100000, qt.IsTrue)
}
