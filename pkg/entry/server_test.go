package entry

import (
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestConnectionsAreBounded guards the file descriptors of an instance, and that
// a closed connection makes room.
func TestConnectionsAreBounded(t *testing.T) {
	base, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	limited := LimitListener(base, 2)
	accepted := make(chan net.Conn)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := limited.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	for range 3 {
		c, err := net.Dial("tcp", base.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = c.Close() }()
	}
	first := <-accepted
	<-accepted
	select {
	case <-accepted:
		t.Fatal("a third connection was accepted")
	case <-time.After(100 * time.Millisecond):
	}
	_ = first.Close()
	_ = first.Close()
	<-accepted
	qt.Assert(t, limited.Close(), qt.IsNil)
	qt.Assert(t, <-ended, qt.ErrorIs, net.ErrClosed)
}

// TestHugeHeader guards the memory that a caller without a key can take.
func TestHugeHeader(t *testing.T) {
	g := newRig(t)
	response, _ := g.send(t, "GET", "/v1/models", "", fillKey, "X-Filler: "+strings.Repeat("x", 2*maxHeaderBytes))
	qt.Assert(t, response.StatusCode, qt.Equals, 431)
}

// TestFullInstance guards the places for streams and calls: beyond them requests
// are refused at once and nothing runs.
func TestFullInstance(t *testing.T) {
	g := newRig(t)
	g.service.limits.streams, g.service.limits.calls = 0, 0
	for _, path := range []string{"/v1/completions", "/v1/services/desk/orders"} {
		response, text := g.send(t, "POST", path, `{"model":"summary","prompt":"a"}`, fillKey)
		qt.Assert(t, response.StatusCode, qt.Equals, 503)
		qt.Assert(t, response.Header.Get("Retry-After"), qt.Equals, "1")
		qt.Assert(t, text, qt.Contains, `"outcome":"not_run"`)
	}
	qt.Assert(t, len(g.runner.opened), qt.Equals, 0)
	qt.Assert(t, g.service.streams.Load()+g.service.calls.Load(), qt.Equals, int64(0))
}
