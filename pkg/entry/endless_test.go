package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a call that waits for ever, or fills the memory, when its backend server sends a
// head or a body without end.
func TestBackendThatSendsWithoutEnd(t *testing.T) {
	for name, sent := range map[string][2]string{
		"status line":  {"", "x"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "X-Some: thing\r\n"},
		"body":         {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, err = io.WriteString(c, sent[0])
				for chunk := strings.Repeat(sent[1], 1+4096/len(sent[1])); err == nil; {
					_, err = io.WriteString(c, chunk)
				}
			}()
			startedAt := time.Now()
			_, err = newServiceClient(nil).do(t.Context(), l.Addr().String(), backendRequest{method: "GET", path: "/", header: http.Header{}})
			var notSent *notSentError
			qt.Assert(t, err != nil && !errors.As(err, &notSent), qt.IsTrue, qt.Commentf("%v", err))
			select {
			case <-closed:
			case <-time.After(3 * time.Second):
				t.Fatalf("the connection is still open after: %v", err)
			}
			qt.Assert(t, time.Since(startedAt) < 3*time.Second, qt.IsTrue)
		})
	}
}
