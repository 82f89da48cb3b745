package gateway

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/httpstrict"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
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

// malformedRoute is a route on which a malformed response is tested. With repeated, a request that may have run is sent
// once more.
type malformedRoute struct {
	path, service string
	repeated      bool
}

var (
	callRoutes   = []malformedRoute{{"/once/x", "app", false}, {"/safe/x", "app", true}}
	streamRoutes = []malformedRoute{{"/stream/x", "pool", true}, {"/fixed/x", "pool", false}}
	allRoutes    = slices.Concat(callRoutes, streamRoutes)
)

// checkNotForwarded checks that a malformed response reaches no caller, that its request counts as one that may have run,
// that its connection is closed, and that a log line has the cause.
func checkNotForwarded(t *testing.T, routes []malformedRoute, cases []malformedCase, cause string) {
	for _, c := range cases {
		for _, tt := range routes {
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
	checkNotForwarded(t, allRoutes, []malformedCase{
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
func TestUnusualHeadsAreForwarded(t *testing.T) {
	for name, response := range map[string]string{
		"no reason":       "HTTP/1.1 200\r\nX-Id: %id\r\nContent-Length: 4\r\n\r\ndone",
		"empty reason":    "HTTP/1.1 200 \r\nX-Id: %id\r\nContent-Length: 4\r\n\r\ndone",
		"long reason":     "HTTP/1.1 200 Alles\tklar, schön\r\nX-Id: %id\r\nContent-Length: 4\r\n\r\ndone",
		"two blanks":      "HTTP/1.1  200 OK\r\nX-Id: %id\r\nContent-Length: 4\r\n\r\ndone",
		"version 1.0":     "HTTP/1.0 200 OK\r\nX-Id: %id\r\nContent-Length: 4\r\n\r\ndone",
		"1.0, no length":  "HTTP/1.0 200 OK\r\nX-Id: %id\r\nX-Transfer-Encoding: chunked\r\nConnection: close\r\n\r\ndone",
		"informational":   "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %id\r\nContent-Length: 4\r\n\r\ndone",
		"trailer":         "HTTP/1.1 200 OK\r\nX-Id: %id\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, bad name\r\n\r\n4\r\ndone\r\n0\r\nX-Sum: 1\r\n\r\n",
		"folded value":    "HTTP/1.1 200 OK\r\nX-Id: %id\r\nX-Long: a\r\n b\r\nContent-Length: 4\r\n\r\ndone",
		"all of a token":  "HTTP/1.1 200 OK\r\nX-Id: %id\r\n!#$%&'*+-.^_`|~09az: x\r\nContent-Length: 4\r\n\r\ndone",
		"odd values":      "HTTP/1.1 200 OK\r\nX-Id: %id\r\nX-A:\r\nX-B:   \tx : \"\\ö \r\nContent-Length: 4\r\n\r\ndone",
		"line feeds only": "HTTP/1.1 200 OK\nX-Id: %id\nContent-Length: 4\n\ndone",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			f.addRawServer("app", "unusual", "local", func(c net.Conn, r *http.Request) bool {
				_, _ = io.WriteString(c, strings.ReplaceAll(response, "%id", r.Header.Get("X-Id")))
				return !strings.Contains(response, "Connection: close")
			})
			got := f.send("POST", "/once/x", nil)
			qt.Assert(t, got.status, qt.Equals, http.StatusOK)
			qt.Assert(t, got.body, qt.Equals, "done")
		})
	}
}

// Guards against a field that is dropped or decides nothing as its name is malformed: the caller would get a response that
// the server did not send, with a body that is longer than the server said.
func TestMalformedFieldNameIsNotForwarded(t *testing.T) {
	head := func(fields string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: %id\r\nContent-Type: text/event-stream\r\n" + fields + "\r\n"
	}
	whole := head("Content-Length: 20\r\n") + malformedBody
	checkNotForwarded(t, allRoutes, []malformedCase{
		{"blank inside", head("Content-Length: 20\r\nX Sum: 5\r\n") + malformedBody},
		{"blank before the colon", head("Content-Length: 20\r\nX-Sum : 5\r\n") + malformedBody},
		{"length with a blank before the colon", head("Content-Length : 5\r\nContent-Length: 20\r\n") + malformedBody},
		{"blank in an informational response", "HTTP/1.1 103 Early Hints\r\nX Sum: 5\r\n\r\n" + whole},
		{"blank in a response to another request", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX Sum: 5\r\nContent-Length: 0\r\n\r\n" + whole},
		{"blank in a trailer to another request", "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Sum: 5\r\n\r\n" + whole},
	}, "malformed HTTP response")
	// net/http rejects these itself.
	checkNotForwarded(t, allRoutes, []malformedCase{
		{"tab", head("Content-Length: 20\r\nX\tSum: 5\r\n") + malformedBody},
		{"NUL", head("Content-Length: 20\r\nX\x00Sum: 5\r\n") + malformedBody},
		{"DEL", head("Content-Length: 20\r\nX\x7fSum: 5\r\n") + malformedBody},
		{"no name", head("Content-Length: 20\r\n: 5\r\n") + malformedBody},
		{"no colon", head("Content-Length: 20\r\nX-Sum\r\n") + malformedBody},
		{"control byte in a value", head("Content-Length: 20\r\nX-Sum: \x015\r\n") + malformedBody},
	}, "malformed MIME header")
}

// Guards against the chunks of a body that are forwarded as the body, as net/http does not decode them in HTTP/1.0.
func TestTransferEncodingInHTTP10IsNotForwarded(t *testing.T) {
	const body = "14\r\n" + malformedBody + "\r\n0\r\n\r\n"
	head := "HTTP/1.0 200 OK\r\nX-Id: %id\r\nContent-Type: text/event-stream\r\nConnection: keep-alive\r\n"
	checkNotForwarded(t, allRoutes, []malformedCase{
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + body},
		{"chunks and a length", head + "Content-Length: 20\r\nTransfer-Encoding: chunked\r\n\r\n" + body},
		{"lower case", head + "transfer-encoding:chunked\r\n\r\n" + body},
		{"behind an informational response", "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + body},
		{"behind a response to another request", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + body},
	}, "malformed HTTP response")
}

// Guards against a body in chunks that looks complete although a trailer behind it is malformed.
func TestMalformedTrailer(t *testing.T) {
	const firstEvent = "id: 1\ndata: token 1\n\n"
	head := "HTTP/1.1 200 OK\r\nX-Id: %id\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ trailer, cause string }{
		{"X Sum: 5", "malformed HTTP response"}, {"Content-Length : 5", "malformed HTTP response"}, {"X\x01Sum: 5", "malformed MIME header"},
	} {
		checkNotForwarded(t, callRoutes, []malformedCase{
			{c.trailer, head + "14\r\n" + malformedBody + "\r\n0\r\n" + c.trailer + "\r\n\r\n"},
		}, c.cause)
		for _, tt := range streamRoutes {
			t.Run(c.trailer+" "+tt.path, func(t *testing.T) {
				f := newFixture(t)
				f.publish(1, testConfig())
				var runs atomic.Int64
				f.addRawServer(tt.service, "s", "local", func(conn net.Conn, r *http.Request) bool {
					if runs.Add(1) > 1 {
						_, _ = io.WriteString(conn, rawResponse(r, "200 OK", expectedEvents(2), "Content-Type: text/event-stream"))
						return true
					}
					_, _ = io.WriteString(conn, strings.ReplaceAll(head, "%id", r.Header.Get("X-Id"))+"15\r\n"+firstEvent+"\r\n0\r\n"+c.trailer+"\r\n\r\n")
					return true
				})
				got := f.send("POST", tt.path, map[string]string{"X-Patience": "1500"})
				qt.Assert(t, got.status, qt.Equals, http.StatusOK)
				if tt.repeated {
					// The stream goes on after the event that the caller has.
					qt.Assert(t, got.err, qt.IsNil)
					qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
					qt.Assert(t, runs.Load(), qt.Equals, int64(2))
				} else {
					qt.Assert(t, got.err, qt.IsNotNil, qt.Commentf("the stream looks complete: %q", got.body))
					qt.Assert(t, got.body, qt.Equals, firstEvent)
					qt.Assert(t, runs.Load(), qt.Equals, int64(1))
				}
			})
		}
	}
}

// Guards against a second response that is not found in a body without a length, as its head is malformed.
func TestMalformedSecondResponseInAnUnframedBody(t *testing.T) {
	const rest = "X-Not-Run: 1\r\nContent-Length: 15\r\n\r\nrefused earlier"
	for name, second := range map[string]string{
		"control byte in a name":     "HTTP/1.1 503 Service Unavailable\r\nX\x01Sum: 5\r\nX-Id: %id\r\n" + rest,
		"control byte in a value":    "HTTP/1.1 503 Service Unavailable\r\nX-Id: %id\r\nX-Sum: \x01\r\n" + rest,
		"blank in a name":            "HTTP/1.1 503 Service Unavailable\r\nX Sum: 5\r\nX-Id: %id\r\n" + rest,
		"line without a colon":       "HTTP/1.1 503 Service Unavailable\r\nX-Id: %id\r\nX-Sum\r\n" + rest,
		"status 000":                 "HTTP/1.1 000\r\nX-Id: %id\r\n" + rest,
		"status of two digits":       "HTTP/1.1 50 Service Unavailable\r\nX-Id: %id\r\n" + rest,
		"status with a letter":       "HTTP/1.1 5o3 Service Unavailable\r\nX-Id: %id\r\n" + rest,
		"malformed length":           "HTTP/1.1 503 Service Unavailable\r\nX-Id: %id\r\nContent-Length: x\r\n" + rest,
		"two lengths":                "HTTP/1.1 503 Service Unavailable\r\nX-Id: %id\r\nContent-Length: 3\r\n" + rest,
		"head that stops":            "HTTP/1.1 503 Service Unavailable\r\nX\x01Sum: 5\r\nX-Id: %id\r\n",
		"lines that end in LF alone": "HTTP/1.1 503 Service Unavailable\nX\x01Sum: 5\nX-Id: %id\n\nrefused earlier",
	} {
		for _, path := range []string{"/once/x", "/safe/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				f := newFixture(t)
				f.publish(1, testConfig())
				f.addRawServer("app", "faulty", "local", func(c net.Conn, r *http.Request) bool {
					head := "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n\r\n"
					_, _ = io.WriteString(c, head+"done"+strings.ReplaceAll(second, "%id", r.Header.Get("X-Id")))
					return false
				})
				got := f.send("POST", path, map[string]string{"X-Patience": "600"})
				qt.Assert(t, got.status, qt.Equals, http.StatusBadGateway, qt.Commentf("the caller received %q", got.body))
			})
		}
	}
}

// Guards against a body without a length that is rejected as it is about HTTP.
func TestUnframedBodyAboutHTTPIsForwarded(t *testing.T) {
	for _, body := range []string{
		"see HTTP/1.1 for details\n\n", "HTTP/1.1", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", "HTTP/1.1 000\r\nX Sum: 5\r\n\r\n",
		"HTTP/1.1 503 is sent when\nno server is ready\n", "HTTP/1.1 names a request by\nX-Id: q7\n\n", "HTTP/1.1 200 OK\r\nX\x01Sum: 5\r\n\r\nX-Id: q7\r\n",
	} {
		t.Run(body, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			f.addRawServer("app", "text", "local", func(c net.Conn, r *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n\r\n"+body)
				return false
			})
			got := f.send("POST", "/once/x", nil)
			qt.Assert(t, got.status, qt.Equals, http.StatusOK)
			qt.Assert(t, got.body, qt.Equals, body)
		})
	}
}

// Guards against a search whose time grows with the square of a body that is full of status lines.
func TestSearchOfAMalformedHeadIsBounded(t *testing.T) {
	head := []byte("HTTP/1.1 200: x\n" + strings.Repeat("X-A: 1\n", maxBufferedResponseBytes))
	qt.Assert(t, len(wellFormedFields(head)["X-A"]) <= maxSearchedHeadBytes/len("X-A: 1\n"), qt.IsTrue)
}

// Guards against the response to a copy request that passes for a handle although it is malformed.
func TestMalformedCopyResponse(t *testing.T) {
	f := newFixture(t)
	config := testConfig()
	f.publish(1, config)
	f.addRawServer("pool", "e", "local", func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length : 5\r\nContent-Length: 6\r\n\r\nhandle")
		return true
	})
	f.mu.Lock()
	known, ok := f.servers.Lookup("e")
	f.mu.Unlock()
	qt.Assert(t, ok, qt.IsTrue)
	s := &streamState{g: f.Gateway, req: &callerRequest{service: &config.Services[1]}}
	server := &placement.Server{Server: known}
	handle, _, err := s.sendCopyRequest(t.Context(), server, server, false)
	qt.Assert(t, err, qt.ErrorIs, httpstrict.ErrMalformed, qt.Commentf("handle %q", handle))
}
