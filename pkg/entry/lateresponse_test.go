package entry

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

// Guards against a caller that gets the answer to another call, as a server writes its response to that once more, late.
func TestLateResponse(t *testing.T) {

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
			late = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswer %d", requests.Add(1))
			_, _ = io.WriteString(c, late)
		}
	})
	client := newServiceClient(nil)
	for i := 1; i <= 3; i++ {
		answer, err := client.do(t.Context(), address, backendRequest{method: "GET", path: "/", header: http.Header{}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(answer.Body), qt.Equals, fmt.Sprintf("answer %d", i))
		// The connection is idle again a moment after the response.
		time.Sleep(20 * time.Millisecond)
	}
}
