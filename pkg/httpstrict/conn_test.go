package httpstrict

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
)

// ending is how a server ends a connection after an early response.
type ending struct {
	name string
	end  func(c *net.TCPConn)
	// inOrder means that the server ended its side of the connection before anything else.
	inOrder bool
	// readsOn means that the server then reads the rest of the request.
	readsOn bool
}

var endings = []ending{
	{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0) }, false, false},
	{"closed with unread bytes", func(c *net.TCPConn) { _ = testnet.AwaitUnread(c) }, false, false},
	{"ended, then reset", func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0) }, true, false},
	{"ended, then closed with unread bytes", func(c *net.TCPConn) { _ = c.CloseWrite(); _ = testnet.AwaitUnread(c) }, true, false},
	{"ended, then read", func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, true, true},
}

const earlyPart = "part of a body"

// newEarlyServer returns the address of a server that reads the beginning of an upload, responds without a length, and
// ends the connection.
func newEarlyServer(t *testing.T, head string, e ending) string {
	return testnet.Serve(t, func(c net.Conn) {
		if _, err := io.ReadFull(c, make([]byte, 64<<10)); err != nil {
			return
		}
		_, _ = io.WriteString(c, head+earlyPart)
		e.end(c.(*net.TCPConn))
	})
}

// Guards against a reset that a reader takes for the end of a body since the writer was told of it, and against an end in
// order that passes for a reset.
func TestConn(t *testing.T) {
	const rounds = 40
	for _, e := range endings {
		t.Run(e.name, func(t *testing.T) {
			address := newEarlyServer(t, "", e)
			toldWriter := 0
			for range rounds {
				raw, err := net.Dial("tcp", address)
				qt.Assert(t, err, qt.IsNil)
				c := NewConn(raw)
				written := make(chan error, 1)
				go func() {
					_, err := c.Write(make([]byte, 6<<20))
					written <- err
				}()
				body, err := io.ReadAll(c)
				writeErr := <-written
				_ = c.Close()
				if e.inOrder {
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, string(body), qt.Equals, earlyPart)
					continue
				}
				qt.Assert(t, err, qt.ErrorIs, syscall.ECONNRESET, qt.Commentf("%q looks complete, the write ended with: %v", body, writeErr))
				if err == writeErr {
					toldWriter++
				}
			}
			t.Logf("%d of %d resets were reported to the writer", toldWriter, rounds)
		})
	}
}

// Guards against a reader that waits for the writer after the server has ended its side and reads nothing.
func TestConnDoesNotWaitForAWrite(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := newEarlyServer(t, "", ending{end: func(c *net.TCPConn) { _ = c.CloseWrite(); <-release }})
	raw, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	c := NewConn(raw)
	defer c.Close()
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = c.Write(make([]byte, 64<<20))
	}()
	body, err := io.ReadAll(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, earlyPart)
	select {
	case <-written:
	case <-time.After(3 * time.Second):
		t.Fatal("the write still waits for the server")
	}
}

// Guards against a part of a body that looks complete since its connection was reset while a long request was written, and
// against a whole one that is rejected.
func TestEarlyResponseToAnUpload(t *testing.T) {
	for _, e := range endings {
		t.Run(e.name, func(t *testing.T) {
			address := newEarlyServer(t, "HTTP/1.1 200 OK\r\n\r\n", e)
			client := http.Client{Transport: NewDefaultTransport()}
			defer client.CloseIdleConnections()
			for range 200 {
				response, err := client.Post("http://"+address, "", bytes.NewReader(make([]byte, 6<<20)))
				var body []byte
				if err == nil {
					body, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
				}
				if !e.inOrder {
					qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q looks complete", body))
					continue
				}
				if err != nil && !e.readsOn {
					// net/http closes the connection when it cannot write, whether a response has arrived or not.
					continue
				}
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(body), qt.Equals, earlyPart)
			}
		})
	}
}

// Guards against a connection whose state cannot be read.
func TestSyscallConn(t *testing.T) {
	address := testnet.Serve(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	raw, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer raw.Close()
	sc, err := NewConn(raw).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, sc.Control(func(fd uintptr) { qt.Check(t, fd > 0, qt.IsTrue) }), qt.IsNil)
	pipe, _ := net.Pipe()
	_, err = NewConn(pipe).SyscallConn()
	qt.Assert(t, err, qt.IsNotNil)
}
