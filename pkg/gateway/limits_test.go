package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against headers that exceed the configured limit, and against a limit that
// stays in force after the configuration has changed.
func TestHeaderLimit(t *testing.T) {
	f := newFixture(t)
	f.addServer("app", "a1", "local", respondDone)
	c := testConfig()
	c.Limits.HeaderBytes = 1000
	f.publish(1, c)
	large := map[string]string{"X-Large": strings.Repeat("x", 1000)}
	qt.Assert(t, f.send("POST", "/once/x", nil).status, qt.Equals, 200)
	qt.Assert(t, f.send("POST", "/once/x", large).status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	c.Limits.HeaderBytes = 4000
	f.publish(2, c)
	qt.Assert(t, f.send("POST", "/once/x", large).status, qt.Equals, 200)
}

// serveLimited serves callers as the gateway's own listener does, and returns its address.
func (f *fixture) serveLimited() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(f.t, err, qt.IsNil)
	server := &http.Server{
		Handler: http.HandlerFunc(f.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, ConnState: trackConnState,
	}
	go func() { _ = server.Serve(&callerListener{Listener: listener, timeouts: f.timeouts}) }()
	f.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// callerConnection is a connection of a caller that writes its requests in pieces.
type callerConnection struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func newCallerConnection(t *testing.T, address string) *callerConnection {
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return &callerConnection{t: t, Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *callerConnection) write(pause time.Duration, pieces ...string) {
	c.t.Helper()
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		_, err := fmt.Fprint(c, piece)
		qt.Assert(c.t, err, qt.IsNil)
	}
}

func (c *callerConnection) expectOK() {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	qt.Assert(c.t, err, qt.IsNil)
	qt.Assert(c.t, response.StatusCode, qt.Equals, 200)
	_, err = c.reader.Discard(int(response.ContentLength))
	qt.Assert(c.t, err, qt.IsNil)
}

// expectClosed checks that the gateway closes the connection within two seconds.
func (c *callerConnection) expectClosed() {
	c.t.Helper()
	startedAt := time.Now()
	qt.Assert(c.t, c.SetReadDeadline(startedAt.Add(5*time.Second)), qt.IsNil)
	_, err := c.reader.ReadByte()
	qt.Assert(c.t, err, qt.ErrorMatches, "EOF")
	qt.Assert(c.t, time.Since(startedAt) < 2*time.Second, qt.IsTrue)
}

// Guards against idle connections that stay open beyond the configured timeout, and
// against connections that are closed while a request is received or served.
func TestIdleLimit(t *testing.T) {
	f := newFixture(t)
	f.addServer("app", "a1", "local", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(400 * time.Millisecond)
		respondDone(w, r)
	})
	c := testConfig()
	c.Limits.IdleTimeout = 200 * time.Millisecond
	f.publish(1, c)
	conn := newCallerConnection(t, f.serveLimited())
	for i := range 2 {
		head := fmt.Sprintf("POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: i%d\r\nContent-Length: 3\r\n\r\n", i)
		conn.write(400*time.Millisecond, head, "ask")
		conn.expectOK()
		time.Sleep(100 * time.Millisecond)
	}
	conn.expectClosed()
}

// Guards against callers that hold a connection by sending the headers of a request slowly, on new and
// on kept connections, and against the timeout cutting off bodies and responses.
func TestHeaderTimeout(t *testing.T) {
	f := newFixture(t)
	f.addServer("app", "a1", "local", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(400 * time.Millisecond)
		respondDone(w, r)
	})
	c := testConfig()
	c.Limits.HeaderTimeout = 200 * time.Millisecond
	f.publish(1, c)
	address := f.serveLimited()
	const slowHead = "POST /safe/x HTTP/1.1\r\nHost: h\r\n"
	for requests := range 3 {
		t.Run(fmt.Sprintf("after %d requests", requests), func(t *testing.T) {
			conn := newCallerConnection(t, address)
			time.Sleep(400 * time.Millisecond)
			for i := range requests {
				conn.write(400*time.Millisecond, slowHead+fmt.Sprintf("X-Id: h%d-%d\r\nContent-Length: 3\r\n\r\n", requests, i), "ask")
				conn.expectOK()
				time.Sleep(400 * time.Millisecond)
			}
			conn.write(0, slowHead)
			conn.expectClosed()
		})
	}
}
