package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
)

// Guards against a late second response to an earlier request that is taken for that to another one: an order that was not carried
// out would count as acknowledged, and a run that was started as refused.
func TestLateResponses(t *testing.T) {
	const stream = "data: {\"position\":0,\"finish_reason\":\"stop\"}\n\n"
	order := func(e Engine) error { return e.Order(t.Context(), Order{Action: "load"}) }
	cancel := func(e Engine) error { return e.Cancel(t.Context(), "s") }
	start := func(e Engine) error {
		s, err := e.Start(t.Context(), Request{})
		if err == nil {
			defer s.Close()
			_, err = s.Next(t.Context())
		}
		return err
	}
	for _, test := range []struct {
		name            string
		earlier, later  func(Engine) error
		earlierResponse string
		laterResponse   string
		want            Reason
	}{
		{"acknowledged order before a fenced one", order, order, response(200, ""), response(412, ""), Fenced},
		{"cancelled stream before a fenced order", cancel, order, response(200, ""), response(412, ""), Fenced},
		{"refused start before one that runs", start, start, response(503, "full"), response(200, stream), ""},
		{"unknown stream before an order", cancel, order, response(404, ""), response(200, ""), ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			var requests atomic.Int32
			address := testnet.Serve(t, func(c net.Conn) {
				reader, late := bufio.NewReader(c), ""
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, late)
					late = test.laterResponse
					if requests.Add(1) == 1 {
						late = test.earlierResponse
					}
					_, _ = io.WriteString(c, late)
				}
			})
			e := NewHTTP(address, NewClient(nil))
			_ = test.earlier(e)
			// The connection of the earlier response is idle again a moment after it.
			time.Sleep(20 * time.Millisecond)
			qt.Assert(t, reasonOf(test.later(e)), qt.Equals, test.want)
		})
	}
}

func response(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}
