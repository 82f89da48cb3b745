package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// addRawServer starts and announces a server that writes its responses byte by byte, and returns its address: respond is
// called for each request of a connection, with the whole body, until it returns false. Then the connection is closed.
func (f *fixture) addRawServer(service, id, dataCentre string, respond func(c net.Conn, r *http.Request) bool) (address string) {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					r.Body = io.NopCloser(bytes.NewReader(body))
					if !respond(c, r) {
						return
					}
				}
			}()
		}
	}()
	f.HandleAnnouncements([]directory.Server{{
		ID: id, Service: service, Address: listener.Addr().String(), DataCentre: dataCentre, StartedMS: 1, Sequence: 1,
		State: directory.Ready, Slots: 6,
	}})
	return listener.Addr().String()
}

// rawResponse returns the bytes of a response to a request.
func rawResponse(r *http.Request, status string, body string, headers ...string) string {
	head := "HTTP/1.1 " + status + "\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n"
	for _, h := range headers {
		head += h + "\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

func refusalTo(r *http.Request) string {
	return rawResponse(r, "503 Service Unavailable", "refused earlier", "X-Not-Run: 1")
}

// Guards against a refusal that a server writes once more on a kept connection and that passes for the
// response to a later request, or to the same one sent again: that request runs, and its caller would
// be told that it did not.
func TestRefusalWrittenTwiceOnAKeptConnection(t *testing.T) {
	for _, tt := range []struct{ path, service string }{
		{"/once/x", "app"}, {"/safe/x", "app"}, {"/stream/x", "pool"}, {"/fixed/x", "pool"},
	} {
		t.Run(tt.path, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			var refused, runs atomic.Int64
			var refusals sync.Map
			f.addRawServer(tt.service, "faulty", "local", func(c net.Conn, r *http.Request) bool {
				if refused.Add(1) == 1 {
					refusals.Store(c, refusalTo(r))
					_, _ = io.WriteString(c, refusalTo(r))
					return true
				}
				runs.Add(1)
				if text, ok := refusals.LoadAndDelete(c); ok {
					_, _ = io.WriteString(c, text.(string))
					time.Sleep(20 * time.Millisecond)
				}
				_, _ = io.WriteString(c, rawResponse(r, "200 OK", expectedEvents(1), "Content-Type: text/event-stream"))
				return true
			})
			got := f.send("POST", tt.path, nil)
			if runs.Load() > 0 {
				// The stream was sent to the server once more.
				qt.Assert(t, got.status, qt.Equals, http.StatusOK)
				qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
				qt.Assert(t, runs.Load(), qt.Equals, int64(1))
				return
			}
			qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
			got = f.send("POST", tt.path, nil)
			qt.Assert(t, got.status, qt.Equals, http.StatusOK)
			qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
			qt.Assert(t, runs.Load(), qt.Equals, int64(1))
		})
	}
}

// Guards against a server that runs a request and responds with a status that promises the contrary
// without saying so: a caller would send a request once more that must not run twice.
func TestStatusOfARunThatPromisesNoRunIsNotForwarded(t *testing.T) {
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		for _, tt := range []struct {
			path, service string
			wantForwarded bool
		}{{"/once/x", "app", false}, {"/safe/x", "app", true}, {"/fixed/x", "pool", false}, {"/stream/x", "pool", true}} {
			for _, size := range []int{10, 2 * maxBufferedResponseBytes} {
				t.Run(fmt.Sprintf("%s %s %d bytes", tt.path, status, size), func(t *testing.T) {
					f := newFixture(t)
					f.publish(1, testConfig())
					var runs atomic.Int64
					f.addRawServer(tt.service, "faulty", "local", func(c net.Conn, r *http.Request) bool {
						runs.Add(1)
						_, _ = io.WriteString(c, rawResponse(r, status, strings.Repeat("x", size)))
						return true
					})
					got := f.send("POST", tt.path, map[string]string{"X-Patience": "500"})
					qt.Assert(t, runs.Load() > 0, qt.IsTrue)
					if tt.wantForwarded && size < maxBufferedResponseBytes {
						qt.Assert(t, fmt.Sprintf("%d %s", got.status, http.StatusText(got.status)), qt.Equals, status)
						return
					}
					if !tt.wantForwarded {
						qt.Assert(t, got.status, qt.Equals, http.StatusBadGateway)
						qt.Assert(t, got.body, qt.Equals, "")
						qt.Assert(t, runs.Load(), qt.Equals, int64(1))
					}
				})
			}
		}
	}
}

// breakOffAfterFourEvents begins streams and resumes none.
func breakOffAfterFourEvents(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Last") != "" {
		abortConnection(w, r)
	}
	streamHandler(func(event int) bool {
		if event == 4 {
			abortConnection(w, r)
		}
		return true
	})(w, r)
}

// Guards against the text or the head of an error in the middle of a stream, and against a stream that
// looks complete: it began at one engine and broke off, and the next engine fails.
func TestErrorAfterABrokenStreamIsNotForwarded(t *testing.T) {
	const text = "upstream failed badly"
	for _, tt := range []struct {
		name, path string
		next       func(r *http.Request) string
	}{
		{"error", "/stream/x", func(r *http.Request) string { return rawResponse(r, "500 Internal Server Error", text) }},
		{"client error", "/stream/x", func(r *http.Request) string { return rawResponse(r, "400 Bad Request", text) }},
		{"refusal", "/stream/x", func(r *http.Request) string { return rawResponse(r, "503 Service Unavailable", text, "X-Not-Run: 1") }},
		{"error without a length", "/stream/x", func(r *http.Request) string {
			return "HTTP/1.1 500 Internal Server Error\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n\r\n" + text
		}},
		{"page in place of events", "/stream/x", func(r *http.Request) string {
			return rawResponse(r, "200 OK", text+"\n\n", "Content-Type: text/html")
		}},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s kept %t", tt.name, kept), func(t *testing.T) {
				f := newFixture(t)
				f.publish(1, testConfig())
				f.addServer("pool", "begins", "local", breakOffAfterFourEvents)
				for i := range 3 {
					f.addRawServer("pool", fmt.Sprintf("fails%d", i), "remote", func(c net.Conn, r *http.Request) bool {
						_, _ = io.WriteString(c, tt.next(r))
						if kept {
							// A late second response waits for the next request on the connection.
							time.AfterFunc(5*time.Millisecond, func() { _, _ = io.WriteString(c, tt.next(r)) })
						}
						return kept
					})
				}
				send := func() callerResponse {
					return f.send("POST", tt.path, map[string]string{"X-Prompt": "100", "X-Patience": "1500"})
				}
				got := send()
				qt.Assert(t, got.status, qt.Equals, http.StatusOK)
				qt.Assert(t, got.err, qt.IsNotNil, qt.Commentf("the stream looks complete: %q", got.body))
				qt.Assert(t, strings.HasPrefix(expectedEvents(1), got.body), qt.IsTrue, qt.Commentf("the caller received %q", got.body))
				if got = send(); strings.HasPrefix(got.body, "id:") {
					qt.Assert(t, got.err, qt.IsNotNil, qt.Commentf("the stream looks complete: %q", got.body))
					qt.Assert(t, strings.HasPrefix(expectedEvents(1), got.body), qt.IsTrue, qt.Commentf("the caller received %q", got.body))
				} else {
					// A failing engine was the first one: its response is whole, or the gateway's own.
					body := strings.TrimSpace(got.body)
					qt.Assert(t, body == "" || body == text, qt.IsTrue, qt.Commentf("the caller received %q", got.body))
				}
			})
		}
	}
}

// Guards against a stream that is broken off as the next engine, of another software version, writes the
// same content type in another way.
func TestStreamGoesOnWithTheSameMediaType(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	breaks := f.addServer("pool", "begins", "local", breakOffAfterFourEvents)
	f.addRawServer("pool", "goes-on", "remote", func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, rawResponse(r, "200 OK", expectedEvents(5), "Content-Type: Text/Event-Stream; charset=utf-8"))
		return true
	})
	for deadline := time.Now().Add(5 * time.Second); len(breaks.receivedRequests()) == 0 && time.Now().Before(deadline); {
		got := f.send("POST", "/stream/x", map[string]string{"X-Prompt": "100", "X-Patience": "1500"})
		if len(breaks.receivedRequests()) == 0 {
			continue
		}
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
		return
	}
	t.Fatal("no stream began at the engine that breaks off")
}

// Guards against the text of an error, or a late second response on a kept connection, in the response
// to a call that broke off at another server, and against a short body that looks complete.
func TestErrorAfterABrokenCallIsNotForwarded(t *testing.T) {
	const text = "upstream failed badly"
	for _, tt := range []struct {
		path       string
		size       int
		wantStatus int
		wantBody   string
	}{
		{"/once/x", 1000, http.StatusBadGateway, ""}, {"/once/x", 3 * maxBufferedResponseBytes, http.StatusOK, "x"},
		{"/safe/x", 1000, http.StatusInternalServerError, text}, {"/safe/x", 3 * maxBufferedResponseBytes, http.StatusOK, "x"},
	} {
		t.Run(fmt.Sprintf("%s %d bytes", tt.path, tt.size), func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			f.addRawServer("app", "breaks", "local", func(c net.Conn, r *http.Request) bool {
				whole := rawResponse(r, "200 OK", strings.Repeat("x", tt.size))
				_, _ = io.WriteString(c, whole[:len(whole)-tt.size/4])
				return false
			})
			f.addRawServer("app", "fails", "remote", func(c net.Conn, r *http.Request) bool {
				failure := rawResponse(r, "500 Internal Server Error", text)
				_, _ = io.WriteString(c, failure+failure)
				return true
			})
			for range 3 {
				got := f.send("POST", tt.path, map[string]string{"X-Patience": "1000"})
				if strings.HasPrefix(got.body, text) {
					// The failing server was the first one.
					qt.Assert(t, got.status, qt.Equals, http.StatusInternalServerError)
					qt.Assert(t, got.body, qt.Equals, text)
					continue
				}
				qt.Assert(t, got.status, qt.Equals, tt.wantStatus)
				qt.Assert(t, strings.Trim(got.body, "x"), qt.Equals, strings.Trim(tt.wantBody, "x"))
				if tt.wantStatus == http.StatusOK {
					qt.Assert(t, got.err, qt.IsNotNil, qt.Commentf("%d bytes look complete", len(got.body)))
				}
			}
		})
	}
}

// Guards against a second response in the middle of a body that only the end of the connection ends.
func TestSecondResponseInAnUnframedBody(t *testing.T) {
	for _, tt := range []struct{ path, service, body, cut string }{
		{"/once/x", "app", "done", ""}, {"/once/x", "app", "done", "X-Not-Run"}, {"/safe/x", "app", "done", ""},
		{"/stream/x", "pool", expectedEvents(1), ""}, {"/fixed/x", "pool", expectedEvents(1), ""},
		{"/fixed/x", "pool", expectedEvents(1), "Unavail"},
	} {
		t.Run(tt.path+" "+tt.cut, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			f.addRawServer(tt.service, "faulty", "local", func(c net.Conn, r *http.Request) bool {
				second := refusalTo(r)
				if tt.cut != "" {
					second = second[:strings.Index(second, tt.cut)]
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Type: text/event-stream\r\n\r\n"+tt.body+second)
				return false
			})
			got := f.send("POST", tt.path, map[string]string{"X-Patience": "600"})
			qt.Assert(t, strings.Contains(got.body, "HTTP/1.1"), qt.IsFalse, qt.Commentf("the caller received %q", got.body))
			qt.Assert(t, strings.Contains(got.body, "refused earlier"), qt.IsFalse, qt.Commentf("the caller received %q", got.body))
			qt.Assert(t, got.status == http.StatusOK && got.err == nil, qt.IsFalse, qt.Commentf("the response looks complete"))
		})
	}
}

// Guards against a head that stops in the middle and passes for a whole response with an empty or
// short body.
func TestHeadThatStopsInTheMiddle(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 280\r\nX-Stamp: 3e1b\r\n\r\n"
	for _, tt := range []struct{ path, service string }{{"/once/x", "app"}, {"/safe/x", "app"}, {"/stream/x", "pool"}, {"/fixed/x", "pool"}} {
		for _, cut := range []string{"HTTP/1.1 2", "OK\r\n", "X-Id: %s\r", "X-Id: %s\r\n", "event-stream\r\n", "Content-Length: 2", "Content-Length: 280\r\n", "3e1b\r\n"} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %q kept %t", tt.path, cut, kept), func(t *testing.T) {
					f := newFixture(t)
					config := testConfig()
					for i := range config.Routes {
						config.Routes[i].MaxPossibleRuns = 1
					}
					f.publish(1, config)
					answered := false
					f.addRawServer(tt.service, "faulty", "local", func(c net.Conn, r *http.Request) bool {
						if kept && !answered {
							answered = true
							_, _ = io.WriteString(c, rawResponse(r, "200 OK", expectedEvents(1), "Content-Type: text/event-stream"))
							return true
						}
						head := whole[:strings.Index(whole, cut)+len(cut)]
						_, _ = io.WriteString(c, strings.ReplaceAll(head, "%s", r.Header.Get("X-Id")))
						return false
					})
					if kept {
						qt.Assert(t, f.send("POST", tt.path, nil).status, qt.Equals, http.StatusOK)
					}
					got := f.send("POST", tt.path, map[string]string{"X-Patience": "600"})
					qt.Assert(t, got.status, qt.Equals, http.StatusBadGateway)
					qt.Assert(t, got.body, qt.Equals, "")
				})
			}
		}
	}
}
