package httpstrict

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
)

// newRawServer returns the URL of a server that answers each request with the same bytes, and a channel that is closed
// when a client closes a connection.
func newRawServer(t *testing.T, response string) (url string, closed chan struct{}) {
	closed = make(chan struct{}, 100)
	address := testnet.Serve(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				closed <- struct{}{}
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(c, response)
			if strings.Contains(response, "Connection: close") {
				return
			}
		}
	})
	return "http://" + address, closed
}

// get returns the body of the response to a GET request.
func get(t *testing.T, url string) (string, error) {
	client := http.Client{Transport: NewDefaultTransport()}
	t.Cleanup(client.CloseIdleConnections)
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// checkRejected checks that a response is rejected as malformed, and its connection closed.
func checkRejected(t *testing.T, response string) {
	t.Helper()
	url, closed := newRawServer(t, response)
	body, err := get(t, url)
	qt.Assert(t, err, qt.ErrorIs, ErrMalformed, qt.Commentf("body %q", body))
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Fatal("the connection of a malformed response is still open")
	}
}

// Guards against a malformed status line that passes for a response, and against a further request on its connection.
func TestMalformedStatusLine(t *testing.T) {
	for _, status := range []string{
		"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 OK\rX-A: 1",
	} {
		t.Run(status, func(t *testing.T) {
			checkRejected(t, status+"\r\nContent-Length: 4\r\n\r\ndone")
			checkRejected(t, status+"\r\nContent-Length: 0\r\n\r\n")
			checkRejected(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+status+"\r\nContent-Length: 4\r\n\r\ndone")
		})
	}
}

// Guards against a field that is dropped or decides nothing as its name is malformed.
func TestMalformedFieldName(t *testing.T) {
	for _, field := range []string{"X Sum: 5", "X-Sum : 5", "Content-Length : 5"} {
		t.Run(field, func(t *testing.T) {
			checkRejected(t, "HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 4\r\n\r\ndone")
			checkRejected(t, "HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 0\r\n\r\n")
			checkRejected(t, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
			checkRejected(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n"+field+"\r\n\r\n")
		})
	}
}

// Guards against the chunks of a body that are taken for the body, as net/http does not decode them in HTTP/1.0.
func TestTransferEncodingInHTTP10(t *testing.T) {
	for _, field := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: chunked\r\nContent-Length: 4"} {
		for _, before := range []string{"", "X-Long: " + strings.Repeat("x", 10<<10) + "\r\n"} {
			checkRejected(t, "HTTP/1.0 200 OK\r\n"+before+field+"\r\n\r\n4\r\ndone\r\n0\r\n\r\n")
		}
	}
}

// Guards against a head that is not recorded as it arrives in parts, and against one that is recorded without need.
func TestHeadRecorder(t *testing.T) {
	var h headRecorder
	for _, part := range []string{"HTT", "P/1.", "", "0 200 OK\r\nX-A", ": 1\r\n"} {
		h.record([]byte(part))
	}
	qt.Assert(t, string(h.stop()), qt.Equals, "HTTP/1.0 200 OK\r\nX-A: 1\r\n")
	for _, parts := range [][]string{{"HTTP/1.1 200 OK\r\n"}, {"HTTP/1.", "1 200 OK\r\n", "HTTP/1.0"}, {"\r\n"}} {
		h = headRecorder{}
		for _, part := range parts {
			h.record([]byte(part))
		}
		qt.Assert(t, h.stop(), qt.HasLen, 0)
	}
}

// Guards against a well-formed response that is rejected.
func TestWellFormedResponses(t *testing.T) {
	for name, response := range map[string]string{
		"length":               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"no reason":            "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\ndone",
		"other reason":         "HTTP/1.1 200 Alles\tklar, schön\r\nContent-Length: 4\r\n\r\ndone",
		"version 1.0":          "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"1.0 without a length": "HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\nConnection: close\r\n\r\ndone",
		"informational":        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"largest status":       "HTTP/1.1 999 Denied\r\nContent-Length: 4\r\n\r\ndone",
		"chunks":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"chunks and a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Sum: 1\r\n\r\n",
		"unusual trailers":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, bad name\r\n\r\n4\r\ndone\r\n0\r\nX-Other: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := newRawServer(t, response)
			body, err := get(t, url)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.Equals, "done")
		})
	}
}
