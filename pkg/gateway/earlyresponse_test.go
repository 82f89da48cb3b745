package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// earlyResponse is a response without a length that a server sends when it has read the beginning of an upload.
type earlyResponse struct {
	body string
	// end ends the connection.
	end func(c *net.TCPConn)
}

// addEarlyServer starts and announces a server that sends early responses: one after another, the last one always. It
// returns the number of requests.
func (f *fixture) addEarlyServer(service, id string, responses ...earlyResponse) *atomic.Int64 {
	f.t.Helper()
	var requests atomic.Int64
	address := testnet.Serve(f.t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		response := responses[min(int(requests.Add(1)), len(responses))-1]
		if _, err := io.ReadFull(r.Body, make([]byte, 64<<10)); err != nil {
			return
		}
		head := "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nContent-Type: text/event-stream\r\n\r\n"
		_, _ = io.WriteString(c, head+response.body)
		response.end(c.(*net.TCPConn))
	})
	f.HandleAnnouncements([]directory.Server{{
		ID: id, Service: service, Address: address, DataCentre: "local", StartedMS: 1, Sequence: 1, State: directory.Ready, Slots: 6,
	}})
	return &requests
}

// upload sends a request with a long body.
func (f *fixture) upload(path string, size int) callerResponse {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, f.gatewayServer.URL+path, bytes.NewReader(make([]byte, size)))
	qt.Assert(f.t, err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("X-Id", fmt.Sprint("upload", uploads.Add(1)))
	response, err := f.gatewayServer.Client().Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// uploads counts the requests of all fixtures, for their identifiers.
var uploads atomic.Int64

func resetAtOnce(c *net.TCPConn) { _ = c.SetLinger(0) }

func resetAfter(d time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(d)
		_ = c.SetLinger(0)
	}
}

const uploadBytes = 3 << 20

// Guards against a part of a body that looks complete, as the connection was reset while the request was written and the
// writer was told of it.
func TestResetDuringAnUploadIsNotTheEndOfTheBody(t *testing.T) {
	events := expectedEvents(1)[:len("id: 1\ndata: token 1\n\n")]
	for _, tt := range []struct {
		name, path, service, body string
		end                       func(*net.TCPConn)
	}{
		{"part", "/once/x", "app", "part", resetAtOnce},
		{"part", "/safe/x", "app", "part", resetAtOnce},
		{"long part", "/once/x", "app", strings.Repeat("x", 200<<10), resetAtOnce},
		{"part that is not buffered", "/once/x", "app", strings.Repeat("x", 2*maxBufferedResponseBytes), resetAtOnce},
		{"events", "/stream/x", "pool", events, resetAtOnce},
		{"events", "/fixed/x", "pool", events, resetAtOnce},
		{"part, unread bytes", "/once/x", "app", "part", func(c *net.TCPConn) { _ = testnet.AwaitUnread(c) }},
		{"part, 1 ms", "/once/x", "app", "part", resetAfter(time.Millisecond)},
		{"part, 40 ms", "/once/x", "app", "part", resetAfter(40 * time.Millisecond)},
	} {
		t.Run(tt.name+" "+tt.path, func(t *testing.T) {
			f := newFixture(t)
			config := testConfig()
			for i := range config.Routes {
				config.Routes[i].MaxPossibleRuns = 1
			}
			f.publish(1, config)
			requests := f.addEarlyServer(tt.service, "resets", earlyResponse{tt.body, tt.end})
			const rounds = 24
			complete := 0
			for range rounds {
				if got := f.upload(tt.path, uploadBytes); got.status == http.StatusOK && got.err == nil {
					complete++
				}
			}
			qt.Assert(t, complete, qt.Equals, 0, qt.Commentf("of %d parts look complete", rounds))
			qt.Assert(t, requests.Load() > 0, qt.IsTrue)
		})
	}
}

// Guards against a stream that ends as complete, though its engine was reset while the prompt was written: it goes on at
// another attempt.
func TestStreamGoesOnAfterAResetDuringItsPrompt(t *testing.T) {
	for range 12 {
		f := newFixture(t)
		f.publish(1, testConfig())
		events := strings.SplitAfter(expectedEvents(1), "\n\n")
		requests := f.addEarlyServer("pool", "resets",
			earlyResponse{strings.Join(events[:4], ""), resetAtOnce},
			earlyResponse{strings.Join(events[4:], ""), func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }})
		got := f.upload("/stream/x", uploadBytes)
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
		qt.Assert(t, requests.Load(), qt.Equals, int64(2))
	}
}

// Guards against a whole response without a length that is rejected, as its server ended the connection before it had read
// the request.
func TestEarlyResponseThatEndsInOrderIsServed(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"then reads":          func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) },
		"then reads nothing":  func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(100 * time.Millisecond) },
		"then resets at once": func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0) },
	} {
		for _, tt := range []struct{ path, service, body string }{
			{"/once/x", "app", "whole"}, {"/safe/x", "app", strings.Repeat("x", 200<<10)}, {"/once/x", "app", strings.Repeat("x", 2*maxBufferedResponseBytes)},
			{"/stream/x", "pool", expectedEvents(1)}, {"/fixed/x", "pool", expectedEvents(1)},
		} {
			if name == "then resets at once" && len(tt.body) > 1<<10 {
				// A reset discards what the server's kernel has not sent yet.
				continue
			}
			t.Run(fmt.Sprintf("%s %s %d bytes", name, tt.path, len(tt.body)), func(t *testing.T) {
				f := newFixture(t)
				f.publish(1, testConfig())
				requests := f.addEarlyServer(tt.service, "early", earlyResponse{tt.body, end})
				for range 6 {
					got := f.upload(tt.path, uploadBytes)
					qt.Assert(t, got.err, qt.IsNil)
					qt.Assert(t, got.status, qt.Equals, http.StatusOK)
					qt.Assert(t, got.body == tt.body, qt.IsTrue, qt.Commentf("%d bytes of %d", len(got.body), len(tt.body)))
				}
				qt.Assert(t, requests.Load(), qt.Equals, int64(6))
			})
		}
	}
}
