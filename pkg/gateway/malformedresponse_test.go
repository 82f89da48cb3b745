package gateway

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// syncBuffer is a buffer for logs that several goroutines write.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// malformedCase is the bytes that a faulty server sends in place of a response; "%id" stands for the identifier of the
// request. The text of body must not reach a caller.
type malformedCase struct{ name, response string }

const malformedBody = "id: 1\ndata: broken\n\n"

// checkNotForwarded checks on routes of all kinds that a malformed response reaches no caller, that its request counts
// as one that may have run, that its connection is closed, and that a log line has the cause.
func checkNotForwarded(t *testing.T, cases []malformedCase, cause string) {
	for _, c := range cases {
		for _, tt := range []struct {
			path, service string
			// repeated means that a request that may have run is sent once more.
			repeated bool
		}{{"/once/x", "app", false}, {"/safe/x", "app", true}, {"/stream/x", "pool", true}, {"/fixed/x", "pool", false}} {
			t.Run(c.name+" "+tt.path, func(t *testing.T) {
				f := newFixture(t)
				var log syncBuffer
				f.log = slog.New(slog.NewTextHandler(&log, nil))
				f.publish(1, testConfig())
				var runs atomic.Int64
				var served sync.Map
				for _, id := range []string{"s1", "s2"} {
					f.addRawServer(tt.service, id, "local", func(conn net.Conn, r *http.Request) bool {
						if _, reused := served.LoadOrStore(conn, true); reused {
							t.Error("the connection of a malformed response was used again")
						}
						if runs.Add(1) > 1 {
							_, _ = io.WriteString(conn, rawResponse(r, "200 OK", expectedEvents(1), "Content-Type: text/event-stream"))
							return true
						}
						_, _ = io.WriteString(conn, strings.ReplaceAll(c.response, "%id", r.Header.Get("X-Id")))
						return true
					})
				}
				got := f.send("POST", tt.path, map[string]string{"X-Patience": "1500"})
				qt.Assert(t, strings.Contains(got.body, "broken"), qt.IsFalse, qt.Commentf("the caller received %d %q", got.status, got.body))
				if tt.repeated {
					qt.Assert(t, got.status, qt.Equals, http.StatusOK)
					qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
					qt.Assert(t, runs.Load(), qt.Equals, int64(2))
				} else {
					qt.Assert(t, got.status, qt.Equals, http.StatusBadGateway)
					qt.Assert(t, got.body, qt.Equals, "")
					qt.Assert(t, runs.Load(), qt.Equals, int64(1))
				}
				qt.Assert(t, log.String(), qt.Contains, cause)
			})
		}
	}
}

// Guards against a response whose status line is malformed and that passes for an answer, or for an informational
// response before the answer.
func TestMalformedStatusLineIsNotForwarded(t *testing.T) {
	head := func(status string) string {
		return status + "\r\nX-Id: %id\r\nContent-Type: text/event-stream\r\nContent-Length: 20\r\n\r\n"
	}
	answer := head("HTTP/1.1 200 OK") + malformedBody
	checkNotForwarded(t, []malformedCase{
		{"000", head("HTTP/1.1 000 OK") + malformedBody},
		{"000 without a reason", head("HTTP/1.1 000") + malformedBody},
		{"000 and nothing else", "HTTP/1.1 000\r\n\r\n"},
		{"000 before an answer", "HTTP/1.1 000 OK\r\n\r\n" + answer},
		{"099 before an answer", "HTTP/1.1 099 OK\r\nX-Id: %id\r\n\r\n" + answer},
		{"+20 before an answer", "HTTP/1.1 +20 OK\r\n\r\n" + answer},
		{"-00 before an answer", "HTTP/1.1 -00 OK\r\n\r\n" + answer},
		{"000 after an informational response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n\r\n" + answer},
		{"other protocol before an answer", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n" + answer},
		{"version 0.9", head("HTTP/0.9 200 OK") + malformedBody},
		{"version 2.0", head("HTTP/2.0 200 OK") + malformedBody},
		{"line break in the reason", "HTTP/1.1 200 OK\rContent-Length: 5\r\nX-Id: %id\r\nContent-Length: 20\r\n\r\n" + malformedBody},
		{"NUL in the reason", head("HTTP/1.1 200 O\x00K") + malformedBody},
	}, "malformed HTTP response")
}

// Guards against a response that is well-formed, though unusual, and is rejected.
func TestUnusualStatusLinesAreForwarded(t *testing.T) {
	for name, response := range map[string]string{
		"no reason":       "HTTP/1.1 200\r\nX-Id: %id\r\nContent-Length: 4\r\n\r\ndone",
		"empty reason":    "HTTP/1.1 200 \r\nX-Id: %id\r\nContent-Length: 4\r\n\r\ndone",
		"long reason":     "HTTP/1.1 200 Alles\tklar, schön\r\nX-Id: %id\r\nContent-Length: 4\r\n\r\ndone",
		"two blanks":      "HTTP/1.1  200 OK\r\nX-Id: %id\r\nContent-Length: 4\r\n\r\ndone",
		"version 1.0":     "HTTP/1.0 200 OK\r\nX-Id: %id\r\nContent-Length: 4\r\n\r\ndone",
		"informational":   "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %id\r\nContent-Length: 4\r\n\r\ndone",
		"line feeds only": "HTTP/1.1 200 OK\nX-Id: %id\nContent-Length: 4\n\ndone",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			f.addRawServer("app", "unusual", "local", func(c net.Conn, r *http.Request) bool {
				_, _ = io.WriteString(c, strings.ReplaceAll(response, "%id", r.Header.Get("X-Id")))
				return true
			})
			got := f.send("POST", "/once/x", nil)
			qt.Assert(t, got.status, qt.Equals, http.StatusOK)
			qt.Assert(t, got.body, qt.Equals, "done")
		})
	}
}
