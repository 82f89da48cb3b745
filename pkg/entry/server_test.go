package entry

import (
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestConnectionsAreBounded checks that open connections, which use up file
// descriptors, stay within the limit, and that a closed connection admits the next.
func TestConnectionsAreBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	limited := LimitListener(listener, 2)
	accepted := make(chan net.Conn)
	acceptErr := make(chan error, 1)
	go func() {
		for {
			c, err := limited.Accept()
			if err != nil {
				acceptErr <- err
				return
			}
			accepted <- c
		}
	}()
	for range 3 {
		c, err := net.Dial("tcp", listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = c.Close() }()
	}
	firstConn := <-accepted
	<-accepted
	select {
	case <-accepted:
		t.Fatal("a third connection was accepted")
	case <-time.After(100 * time.Millisecond):
	}
	_ = firstConn.Close()
	_ = firstConn.Close()
	<-accepted
	qt.Assert(t, limited.Close(), qt.IsNil)
	qt.Assert(t, <-acceptErr, qt.ErrorIs, net.ErrClosed)
}

// TestHugeHeader checks that the size of headers is limited, which bounds the
// memory that a caller without a key can use.
func TestHugeHeader(t *testing.T) {
	api := newTestAPI(t)
	response, _ := api.send(t, "GET", "/v1/models", "", fillKey, "X-Filler: "+strings.Repeat("x", 2*maxHeaderBytes))
	qt.Assert(t, response.StatusCode, qt.Equals, 431)
}

// TestFullInstance checks that requests above the limits of streams and calls are
// rejected at once and do not run.
func TestFullInstance(t *testing.T) {
	api := newTestAPI(t)
	api.service.limits.maxStreams, api.service.limits.maxCalls = 0, 0
	for _, path := range []string{"/v1/completions", "/v1/services/desk/orders"} {
		response, text := api.send(t, "POST", path, `{"model":"summary","prompt":"a"}`, fillKey)
		qt.Assert(t, response.StatusCode, qt.Equals, 503)
		qt.Assert(t, response.Header.Get("Retry-After"), qt.Equals, "1")
		qt.Assert(t, text, qt.Contains, `"outcome":"not_run"`)
	}
	qt.Assert(t, len(api.runner.opened), qt.Equals, 0)
	qt.Assert(t, api.service.activeStreams.Load()+api.service.activeCalls.Load(), qt.Equals, int64(0))
}
