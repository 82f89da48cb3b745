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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(f.serve), IdleTimeout: time.Minute, ConnState: trackConnState}
	go func() { _ = server.Serve(&idleListener{Listener: listener, timeout: f.idleTimeout}) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		_, err = fmt.Fprintf(conn, "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: i%d\r\nContent-Length: 3\r\n\r\n", i)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(400 * time.Millisecond)
		_, err = fmt.Fprint(conn, "ask")
		qt.Assert(t, err, qt.IsNil)
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.StatusCode, qt.Equals, 200)
		_, err = reader.Discard(int(response.ContentLength))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(100 * time.Millisecond)
	}
	startedAt := time.Now()
	qt.Assert(t, conn.SetReadDeadline(startedAt.Add(5*time.Second)), qt.IsNil)
	_, err = reader.ReadByte()
	qt.Assert(t, err, qt.ErrorMatches, "EOF")
	qt.Assert(t, time.Since(startedAt) < 2*time.Second, qt.IsTrue)
}
