package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/once"
)

const (
	backendDialTimeout = 500 * time.Millisecond
	// maxAnswerBytes bounds the answer of a plain service.
	maxAnswerBytes = 8 << 20
	// idlePerBackend bounds the kept connections to one backend server.
	idlePerBackend = 32
)

// outgoing is a call as it is sent to a backend server.
type outgoing struct {
	method string
	path   string
	query  string
	header http.Header
	body   []byte
}

// notSentError tells that nothing was sent to a backend server.
type notSentError struct{ err error }

// Error implements error.
func (e *notSentError) Error() string { return "nothing was sent: " + e.err.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.err }

// serviceClient sends calls to backend servers of plain services.
type serviceClient struct {
	// pooled reuses connections; net/http may send a request again when a kept
	// connection turns out to be closed.
	pooled *http.Transport
	// fresh uses each connection for one request, which net/http never sends
	// again. It is used for calls that are not idempotent.
	fresh *http.Transport
}

// newServiceClient returns a client whose connections leave from source, if not nil.
func newServiceClient(source net.Addr) serviceClient {
	dialer := &net.Dialer{Timeout: backendDialTimeout, LocalAddr: source}
	return serviceClient{
		pooled: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerBackend,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
		},
		fresh: &http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		},
	}
}

// do sends a call. A *notSentError tells that no connection was made.
func (c serviceClient) do(ctx context.Context, address string, o outgoing, idempotent bool) (once.Answer, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	target := url.URL{Scheme: "http", Host: address, Path: o.path, RawQuery: o.query}
	request, err := http.NewRequestWithContext(ctx, o.method, target.String(), bytes.NewReader(o.body))
	if err != nil {
		return once.Answer{}, &notSentError{err}
	}
	request.Header = o.header.Clone()
	transport := c.pooled
	if !idempotent {
		transport, request.GetBody = c.fresh, nil
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		if !connected.Load() {
			return once.Answer{}, &notSentError{err}
		}
		return once.Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return once.Answer{}, eris.Wrap(err, "read the answer")
	}
	if len(body) > maxAnswerBytes {
		return once.Answer{}, errors.New("the answer is too large")
	}
	return once.Answer{Status: response.StatusCode, Headers: stored(response.Header), Body: body}, nil
}

// notForwarded are headers between two parties only, those of this API, and
// those with which a backend server could take the call for another method.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
	"Authorization": true, "X-Rank": true, "Last-Event-Id": true,
	"X-Http-Method-Override": true, "X-Http-Method": true, "X-Method-Override": true,
}

func passes(h http.Header, name string) bool {
	if notForwarded[name] {
		return false
	}
	for _, list := range h["Connection"] {
		for option := range strings.SplitSeq(list, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(option)) == name {
				return false
			}
		}
	}
	return true
}

// forwarded returns the headers of a caller that go to the backend server.
func forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if passes(h, name) {
			out[name] = values
		}
	}
	return out
}

// stored returns the headers of an answer that are kept with it.
func stored(h http.Header) map[string]string {
	out := make(map[string]string, len(h))
	for name, values := range h {
		if passes(h, name) {
			out[name] = strings.Join(values, ", ")
		}
	}
	return out
}
