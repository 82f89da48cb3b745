package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
)

// scriptedServer is a TCP server that runs a script for each connection. The script
// receives the connection and its number, from 1.
type scriptedServer struct {
	net.Listener
	connections atomic.Int32
}

func newScriptedServer(t *testing.T, script func(connNumber int, c net.Conn, r *bufio.Reader)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &scriptedServer{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connNumber := int(s.connections.Add(1))
			go func() {
				defer c.Close()
				script(connNumber, c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *scriptedServer) address() string { return s.Addr().String() }

// readRequest reads one request and returns its identifier, empty if there is none.
func readRequest(r *bufio.Reader) string {
	request, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("X-Id")
}

func responseTo(id, body string, headers ...string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n" +
		strings.Join(headers, "\r\n") + map[bool]string{true: "\r\n"}[len(headers) > 0] + "\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

func newRequest(id string) *Request {
	return &Request{
		Method: "POST", Target: "/a/b?c", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte("hello"),
		Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

// exchange sends a request and returns the body of its response.
func exchange(c *Client, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := c.Do(ctx, address, 0, newRequest(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response)
	if err != nil {
		response.Abort()
		return string(body), err
	}
	response.Release()
	return string(body), nil
}

func isNotSent(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}

// Guards against a new connection for every request.
func TestConnectionsAreReused(t *testing.T) {
	s := newScriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			_, _ = io.WriteString(c, responseTo(id, "body "+id))
		}
	})
	c := NewClient(nil)
	for _, id := range []string{"1", "2", "3"} {
		body, err := exchange(c, s.address(), id)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "body "+id)
	}
	qt.Assert(t, s.connections.Load(), qt.Equals, int32(1))
}

// Guards against bytes that are read as the response to another request: an extra
// response on the idle connection or before the next response, and bytes that follow a
// complete response.
func TestForeignBytes(t *testing.T) {
	tests := []struct {
		name   string
		script func(connNumber int, c net.Conn, r *bufio.Reader)
	}{
		{"extra response at once", func(_ int, c net.Conn, r *bufio.Reader) {
			for id := readRequest(r); id != ""; id = readRequest(r) {
				_, _ = io.WriteString(c, responseTo(id, "body "+id)+responseTo("old", "other"))
			}
		}},
		{"extra response on the idle connection", func(_ int, c net.Conn, r *bufio.Reader) {
			for id := readRequest(r); id != ""; id = readRequest(r) {
				_, _ = io.WriteString(c, responseTo(id, "body "+id))
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, responseTo("old", "other"))
			}
		}},
		{"extra response after the next request", func(connNumber int, c net.Conn, r *bufio.Reader) {
			pending := ""
			for id := readRequest(r); id != ""; id = readRequest(r) {
				_, _ = io.WriteString(c, pending+responseTo(id, "body "+id))
				pending = responseTo(id, "other")
			}
		}},
		{"bytes after the response", func(_ int, c net.Conn, r *bufio.Reader) {
			for id := readRequest(r); id != ""; id = readRequest(r) {
				_, _ = io.WriteString(c, responseTo(id, "body "+id)+"garbage")
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScriptedServer(t, tt.script)
			c := NewClient(nil)
			for _, id := range []string{"1", "2", "3", "4"} {
				body, err := exchange(c, s.address(), id)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, body, qt.Equals, "body "+id)
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
}

// Guards against a response that ends early but looks complete, and against a request
// without a complete response that is reported as not sent.
func TestBrokenAnswers(t *testing.T) {
	tests := []struct{ name, response string }{
		{"nothing", ""},
		{"half a head", "HTTP/1.1 200 OK\r\nX-I"},
		{"short body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nfive5"},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"},
		{"not an HTTP response", "?????\r\n\r\n"},
		{"only a response to another request", responseTo("old", "other")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, tt.response)
			})
			_, err := exchange(NewClient(nil), s.address(), "1")
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, isNotSent(err), qt.IsFalse)
		})
	}
}

// Guards against a response without a length that looks complete although the connection
// was reset.
func TestAnswerWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		s := newScriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\nall of it")
			time.Sleep(50 * time.Millisecond)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		body, err := exchange(NewClient(nil), s.address(), "1")
		qt.Assert(t, err == nil, qt.Equals, !reset)
		qt.Assert(t, body, qt.Equals, "all of it")
	}
}

// Guards against a response without a length that looks complete, as the connection was reset before a short request was
// written.
func TestAnswerWithoutLengthBeforeTheRequest(t *testing.T) {
	s := newScriptedServer(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart of it")
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	complete := 0
	for range 300 {
		if _, err := exchange(NewClient(nil), s.address(), "1"); err == nil {
			complete++
		}
	}
	qt.Assert(t, complete, qt.Equals, 0, qt.Commentf("of 300"))
}

// Guards against requests on an idle connection that the server has closed: they would
// fail without showing whether they have run.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := newScriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, responseTo(readRequest(r), "body"))
	})
	c := NewClient(nil)
	for _, id := range []string{"1", "2", "3"} {
		_, err := exchange(c, s.address(), id)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(20 * time.Millisecond)
	}
	qt.Assert(t, s.connections.Load(), qt.Equals, int32(3))
}

// Guards against an idle connection that is kept longer than the server's keep-alive
// timeout.
func TestKeepAliveTime(t *testing.T) {
	s := newScriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			_, _ = io.WriteString(c, responseTo(id, "body", "Keep-Alive: timeout=1"))
		}
	})
	c := NewClient(nil)
	for _, id := range []string{"1", "2"} {
		_, err := exchange(c, s.address(), id)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, s.connections.Load(), qt.Equals, int32(2))
	c.CloseExpired(time.Now())
	qt.Assert(t, c.pools[s.address()].open, qt.Equals, 0)
}

// Guards against reuse of a connection whose response arrived before the request body
// was written completely: the rest of the body would precede the next request.
func TestEarlyAnswer(t *testing.T) {
	s := newScriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, responseTo(request.Header.Get("X-Id"), "too large"))
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, request.Body)
		if id := readRequest(r); id != "" {
			_, _ = io.WriteString(c, responseTo(id, "second"))
		}
	})
	c := NewClient(nil)
	long := newRequest("1")
	long.Body = make([]byte, 32<<20)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := c.Do(ctx, s.address(), 0, long)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(response)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "too large")
	response.Release()
	qt.Assert(t, c.pools[s.address()].idle, qt.HasLen, 0)
}

// Guards against an engine that counts as failed because it refuses connections while it
// is busy, and against one that counts as running although connection attempts time out.
func TestUnresponsive(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	c := NewClient(nil)
	qt.Assert(t, c.Unresponsive(t.Context(), l.Addr().String()), qt.IsFalse)
	qt.Assert(t, c.Unresponsive(t.Context(), testnet.UnusedAddress(t)), qt.IsFalse)
	// A listener whose accept queue is full drops the SYN packets of new connections.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	qt.Assert(t, err, qt.IsNil)
	defer syscall.Close(fd)
	qt.Assert(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	qt.Assert(t, syscall.Listen(fd, 0), qt.IsNil)
	name, err := syscall.Getsockname(fd)
	qt.Assert(t, err, qt.IsNil)
	address := "127.0.0.1:" + itoa(name.(*syscall.SockaddrInet4).Port)
	for range 4 {
		if c, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	qt.Assert(t, c.Unresponsive(t.Context(), address), qt.IsTrue)
}

// Guards against a failed connection attempt that is not reported as not sent, and
// against more connections than the limit.
func TestNotSent(t *testing.T) {
	address := testnet.UnusedAddress(t)
	c := NewClient(nil)
	_, err := exchange(c, address, "1")
	qt.Assert(t, isNotSent(err), qt.IsTrue)

	s := newScriptedServer(t, func(_ int, _ net.Conn, r *bufio.Reader) { readRequest(r); time.Sleep(time.Second) })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, s.address(), 1, newRequest("1"))
		done <- err
	}()
	for s.connections.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = c.Do(ctx, s.address(), 1, newRequest("2"))
	qt.Assert(t, errors.Is(err, ErrTooManyConnections), qt.IsTrue)
	// Cancelling the context closes the connection of the first request.
	cancel()
	err = <-done
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, isNotSent(err), qt.IsFalse)
}

// Guards against requests that end a server because it holds more bytes than it has memory for, against a large request
// that is never sent, and against bytes that stay counted after an answer, an error or a refused connection.
func TestBytesInFlightAreBounded(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	}))
	defer server.Close()
	client, address := NewClient(nil), server.Listener.Addr().String()
	request := func(size int, limit int64) *Request {
		half := make([]byte, size/2)
		return &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: half, BodyRest: [][]byte{half}, MaxBytesInFlight: limit}
	}
	const limit = 150 << 10
	var requests sync.WaitGroup
	// The first request exceeds the limit alone and is sent all the same.
	requests.Go(func() {
		response, err := client.Do(context.Background(), address, 0, request(200<<10, limit))
		qt.Check(t, err, qt.IsNil)
		_, err = response.ReadAll(1 << 10)
		qt.Check(t, err, qt.IsNil)
	})
	for client.BytesInFlight(address) < 200<<10 {
		time.Sleep(time.Millisecond)
	}
	_, err := client.Do(context.Background(), address, 0, request(100<<10, limit))
	var notSent *NotSentError
	qt.Assert(t, errors.As(err, &notSent), qt.IsTrue)
	qt.Assert(t, errors.Is(err, ErrTooManyConnections), qt.IsTrue)
	requests.Go(func() {
		// Without a limit the bytes are only counted.
		response, err := client.Do(context.Background(), address, 0, request(100<<10, 0))
		qt.Check(t, err, qt.IsNil)
		response.Abort()
	})
	for client.BytesInFlight(address) < 300<<10 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	requests.Wait()
	qt.Assert(t, client.BytesInFlight(address), qt.Equals, int64(0))
	server.Close()
	_, err = client.Do(context.Background(), address, 0, request(100<<10, limit))
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, client.BytesInFlight(address), qt.Equals, int64(0))
}

// newUnidentifiedRequest returns a request whose response need not name it.
func newUnidentifiedRequest(id string) *Request {
	request := newRequest(id)
	request.ID = id
	request.Unidentified = func(h http.Header) bool { return h.Get("X-Id") == "" }
	return request
}

// Guards against a late response to an earlier request that is taken for that to a request whose response need not name it, and
// against servers that never name it and could not be used any more.
func TestLateResponseIsNotTakenForAnUnidentifiedOne(t *testing.T) {
	for _, test := range []struct {
		name string
		// requests lists the requests: "own N" is one whose response need not name it.
		requests []string
		// named reports whether the server names the request in its response.
		named func(request string) bool
		// failed lists the requests without a response.
		failed []string
		// connections is the number of connections that are opened.
		connections int32
	}{
		{"all are named", []string{"own 1", "own 2", "call 3", "own 4"}, func(string) bool { return true }, nil, 1},
		{"only calls are named", []string{"call 1", "own 2", "call 3", "own 4", "own 5", "call 6"}, func(r string) bool { return r[:4] == "call" }, nil, 4},
		{"the first is named", []string{"own 1", "own 2", "own 3"}, func(r string) bool { return r == "own 1" }, []string{"own 2"}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newScriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				late := ""
				for id := readRequest(r); id != ""; id = readRequest(r) {
					_, _ = io.WriteString(c, late)
					late = responseTo(id, "response to "+id)
					if !test.named(id) {
						late = strings.Replace(late, "X-Id: "+id+"\r\n", "", 1)
					}
					_, _ = io.WriteString(c, late)
				}
			})
			c := NewClient(nil)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var failed []string
			for _, id := range test.requests {
				request := newRequest(id)
				if id[:3] == "own" {
					request = newUnidentifiedRequest(id)
				}
				response, err := c.Do(ctx, s.address(), 0, request)
				if err != nil {
					qt.Assert(t, isNotSent(err), qt.IsFalse)
					qt.Assert(t, c.IdleConnections(s.address()), qt.Equals, 0)
					failed = append(failed, id)
					continue
				}
				body, err := response.ReadAll(100)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(body), qt.Equals, "response to "+id)
			}
			qt.Assert(t, failed, qt.DeepEquals, test.failed)
			qt.Assert(t, s.connections.Load(), qt.Equals, test.connections)
		})
	}
}

// Guards against unidentified requests that exceed the connection limit, or are not sent although an idle connection could make
// room, and against a new connection for one although an unused one is idle.
func TestUnidentifiedRequestTakesTheRoomOfAnIdleConnection(t *testing.T) {
	s := newScriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			_, _ = io.WriteString(c, responseTo("", "done"))
		}
	})
	c := NewClient(nil)
	qt.Assert(t, c.CanConnect(t.Context(), s.address()), qt.IsTrue)
	for i := range 3 {
		response, err := c.Do(t.Context(), s.address(), 1, newUnidentifiedRequest(itoa(i)))
		qt.Assert(t, err, qt.IsNil)
		_, err = response.ReadAll(100)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.IdleConnections(s.address()), qt.Equals, 1)
		qt.Assert(t, s.connections.Load(), qt.Equals, int32(i+1))
	}
}

// Guards against a late response to an earlier request that is taken for that to a request without an identifier, whose response
// nothing identifies.
func TestRequestWithoutIDGetsNoLateResponse(t *testing.T) {
	for _, test := range []struct {
		name string
		// earlier lists the identifiers of the requests before, echoes whether their responses have them.
		earlier []string
		echoes  bool
	}{
		{"behind one without an identifier", []string{""}, false},
		{"behind several without an identifier", []string{"", "", ""}, false},
		{"behind one whose response has no identifier", []string{"1"}, false},
		{"behind one whose response has an identifier", []string{"1"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var requests atomic.Int32
			s := newScriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				late := ""
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(c, late)
					head := "HTTP/1.1 200 OK\r\n"
					if id := request.Header.Get("X-Id"); id != "" && test.echoes {
						head += "X-Id: " + id + "\r\n"
					}
					body := "response " + itoa(int(requests.Add(1)))
					late = head + "Content-Length: " + itoa(len(body)) + "\r\n\r\n" + body
					_, _ = io.WriteString(c, late)
				}
			})
			c := NewClient(nil)
			send := func(id string) string {
				request := newRequest(id)
				request.ID = id
				if id == "" {
					request.Header, request.Matches = http.Header{}, nil
				} else if !test.echoes {
					request.Matches = func(http.Header) bool { return true }
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				response, err := c.Do(ctx, s.address(), 0, request)
				qt.Assert(t, err, qt.IsNil)
				body, err := response.ReadAll(100)
				qt.Assert(t, err, qt.IsNil)
				return string(body)
			}
			for _, id := range test.earlier {
				send(id)
			}
			qt.Assert(t, send(""), qt.Equals, "response "+itoa(len(test.earlier)+1))
		})
	}
}
