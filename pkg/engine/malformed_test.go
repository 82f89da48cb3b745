package engine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
	"github.com/geraniumpitch/geraniumpitch/pkg/httpstrict"
)

// Guards against malformed responses that pass for tokens, a load report, or the acknowledgement of an order.
func TestMalformedResponses(t *testing.T) {
	const body = "data: {\"position\":0,\"finish_reason\":\"stop\"}\n\n"
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\n",
		"other protocol":         "HTTP/1.1 101 Switching Protocols\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Sum: 5\r\n",
		"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			newEngine := func(response string) Engine {
				address := testnet.Serve(t, func(c net.Conn) {
					if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, response)
					}
				})
				return NewHTTP(address, NewClient(nil))
			}
			checkRejected := func(err error) {
				t.Helper()
				var typed *Error
				qt.Assert(t, errors.As(err, &typed), qt.IsTrue, qt.Commentf("%v", err))
				qt.Assert(t, typed.Reason, qt.Equals, MayHaveRun)
				qt.Assert(t, err, qt.ErrorIs, httpstrict.ErrMalformed)
			}
			stream, err := newEngine(head+"Content-Type: text/event-stream\r\n\r\n"+body).Start(t.Context(), Request{})
			if err == nil {
				defer stream.Close()
				_, err = stream.Next(t.Context())
			}
			checkRejected(err)
			_, err = newEngine(head + "Content-Length: 11\r\n\r\n{\"slots\":3}").LoadReport(t.Context())
			checkRejected(err)
			checkRejected(newEngine(head+"Content-Length: 0\r\n\r\n").Order(t.Context(), Order{Action: "load"}))
			checkRejected(newEngine(head+"Content-Length: 0\r\n\r\n").Cancel(t.Context(), "s"))
		})
	}
}
