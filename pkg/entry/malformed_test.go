package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
	"github.com/geraniumpitch/geraniumpitch/pkg/httpstrict"
)

// Guards against a malformed response that is passed on to the caller, or stored under a one-time key, as the answer.
func TestMalformedResponses(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":                "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\ndone",
		"status 099":                "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\ndone",
		"status +20":                "HTTP/1.1 +20 OK\r\nContent-Length: 4\r\n\r\ndone",
		"status 000 and an answer":  "HTTP/1.1 000\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"other protocol":            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n",
		"blank in a name":           "HTTP/1.1 200 OK\r\nX Sum: 5\r\nContent-Length: 4\r\n\r\ndone",
		"blank before the colon":    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 4\r\n\r\ndone",
		"blank in a trailer":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX Sum: 5\r\n\r\n",
		"chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"version of another syntax": "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ndone",
	} {
		t.Run(name, func(t *testing.T) {
			address := testnet.Serve(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, response)
				}
			})
			answer, err := newServiceClient(nil).do(t.Context(), address, backendRequest{method: "GET", path: "/", header: http.Header{}})
			qt.Assert(t, err, qt.ErrorIs, httpstrict.ErrMalformed, qt.Commentf("answer %d %q", answer.Status, answer.Body))
			var notSent *notSentError
			qt.Assert(t, errors.As(err, &notSent), qt.IsFalse)
		})
	}
}

// Guards against a part of a body that is passed on as the answer, as the connection was reset while a long request was
// written.
func TestResetDuringAnUpload(t *testing.T) {
	address := testnet.Serve(t, func(c net.Conn) {
		if _, err := io.ReadFull(c, make([]byte, 64<<10)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of a body")
			_ = testnet.AwaitUnread(c.(*net.TCPConn))
		}
	})
	client := newServiceClient(nil)
	for i := range 300 {
		answer, err := client.do(t.Context(), address, backendRequest{method: "POST", path: "/", header: http.Header{}, body: make([]byte, 6<<20)})
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("call %d: answer %d %q", i, answer.Status, answer.Body))
	}
}

// Guards against a malformed response that reaches the caller of an API, or that is refused without a log line.
func TestMalformedResponseIsLogged(t *testing.T) {
	for _, call := range []string{"POST /v1/services/desk/orders", "PUT /v1/services/desk/stock/7"} {
		var log bytes.Buffer
		api := newLoggingTestAPI(t, slog.New(slog.NewJSONHandler(&log, nil)))
		api.slots.addresses = append(api.slots.addresses, testnet.Serve(t, func(c net.Conn) {
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\ndone")
			}
		}))
		method, path, _ := strings.Cut(call, " ")
		response, text := api.send(t, method, path, `{"item":7}`, fillKey, "Idempotency-Key: k")
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusBadGateway)
		qt.Assert(t, text, qt.Contains, `"outcome":"unknown"`)
		qt.Assert(t, api.once.completed, qt.HasLen, 0)
		api.server.Close()
		qt.Assert(t, log.String(), qt.Contains, `status \"000 OK\": malformed HTTP response`)
	}
}
