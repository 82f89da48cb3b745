package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxReadBytes bounds what a server can send before it is stopped: the limits of the client and the
// buffers of the kernel.
const maxReadBytes = 16 << 20

// writeForever writes bytes until the connection is closed, and records how many were written.
func writeForever(c net.Conn, bytes string, written *atomic.Int64, closed chan<- struct{}) {
	defer close(closed)
	chunk := []byte(strings.Repeat(bytes, 1+4096/len(bytes)))
	for {
		n, err := c.Write(chunk)
		if written.Add(int64(n)) > 4*maxReadBytes || err != nil {
			return
		}
	}
}

// Guards against memory that grows, or a request that never ends, while a backend server sends a
// head without end, or a body without end of a response to another request.
func TestHeadWithoutEnd(t *testing.T) {
	for name, sent := range map[string][2]string{
		"status line":                    {"", "x"},
		"reason":                         {"HTTP/1.1 200 ", "OK "},
		"header lines":                   {"HTTP/1.1 200 OK\r\n", "X-Some: thing\r\n"},
		"one header line":                {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"blank lines":                    {"", "\r\n"},
		"informational responses":        {"", "HTTP/1.1 103 Early Hints\r\nX-Some: thing\r\n\r\n"},
		"responses to others":            {"", responseTo("other", "done")},
		"body of a response to others":   {"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1000000000\r\n\r\n", "x"},
		"chunks of a response to others": {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"chunk extension":                {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":                        {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Some: thing\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			closed := make(chan struct{})
			s := newScriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, sent[0])
				writeForever(c, sent[1], &written, closed)
			})
			c := NewClient(nil)
			startedAt := time.Now()
			_, err := c.Do(context.Background(), s.address(), 0, newRequest("mine"))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, isNotSent(err), qt.IsFalse)
			<-closed
			qt.Assert(t, time.Since(startedAt) < 2*time.Second, qt.IsTrue)
			qt.Assert(t, written.Load() < maxReadBytes, qt.IsTrue, qt.Commentf("%d bytes", written.Load()))
			c.mu.Lock()
			defer c.mu.Unlock()
			qt.Assert(t, c.pools[s.address()].open, qt.Equals, 0)
		})
	}
}

// Guards against a body without end that is read whole, and against a connection that carries the
// rest of it into the next exchange.
func TestBodyWithoutEnd(t *testing.T) {
	for name, head := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n",
		"length":    "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 1000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			closed := make(chan struct{})
			s := newScriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, head)
				writeForever(c, "x", &written, closed)
			})
			c := NewClient(nil)
			response, err := c.Do(context.Background(), s.address(), 0, newRequest("mine"))
			qt.Assert(t, err, qt.IsNil)
			body, err := response.ReadAll(1000)
			qt.Assert(t, err, qt.ErrorIs, ErrTooLarge)
			qt.Assert(t, body, qt.HasLen, 1000)
			<-closed
			qt.Assert(t, written.Load() < maxReadBytes, qt.IsTrue)
			qt.Assert(t, c.IdleConnections(s.address()), qt.Equals, 0)
		})
	}
}
