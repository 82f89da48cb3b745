package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an empty response with status 200 to a caller that closed only its own side of the
// connection, while its request is received or served.
func TestHalfClosedCallerGetsNoEmptyResponse(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		for _, body := range []string{"", "a", "ask"} {
			t.Run(fmt.Sprintf("%s after %d bytes of the body", path, len(body)), func(t *testing.T) {
				f := newFixture(t)
				f.publish(1, testConfig())
				for _, service := range []string{"app", "pool"} {
					f.addServer(service, service+"1", "local", func(w http.ResponseWriter, r *http.Request) {
						time.Sleep(300 * time.Millisecond)
						streamHandler(nil)(w, r)
					})
				}
				conn, err := net.Dial("tcp", f.gatewayServer.Listener.Addr().String())
				qt.Assert(t, err, qt.IsNil)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: half\r\nContent-Length: 3\r\n\r\n%s", path, body)
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(100 * time.Millisecond)
				qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
				qt.Assert(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)), qt.IsNil)
				response, err := io.ReadAll(conn)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, strings.Contains(string(response), " 200 "), qt.IsFalse, qt.Commentf("%s", response))
			})
		}
	}
}

// Guards against a stream that ends as if it were complete, to a caller that closed its own side of the
// connection.
func TestStreamOfHalfClosedCallerDoesNotLookComplete(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	f.addServer("pool", "e", "local", streamHandler(func(int) bool { time.Sleep(50 * time.Millisecond); return true }))
	conn, err := net.Dial("tcp", f.gatewayServer.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Id: half\r\nContent-Length: 3\r\n\r\nask")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)), qt.IsNil)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	qt.Assert(t, err, qt.IsNil)
	events := bufio.NewReader(response.Body)
	_, err = events.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	_, err = io.ReadAll(events)
	qt.Assert(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
}
