package engine

import (
	"net"
	"net/http"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/httpstrict"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
)

// NewClient returns an HTTP client to be shared by the clients of all engines. Its
// connections use the local address source, unless it is nil. Each request has a connection
// of its own: nothing in the responses of engines tells a late one from that to a later request.
func NewClient(source net.Addr) *http.Client {
	return &http.Client{Transport: httpstrict.NewTransport(&http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout, LocalAddr: source}).DialContext,
		DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes,
	})}
}
