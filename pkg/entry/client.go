package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/httpstrict"
	"github.com/geraniumpitch/geraniumpitch/pkg/once"
)

const (
	backendDialTimeout = 500 * time.Millisecond
	// maxResponseBytes limits the response body of a plain service.
	maxResponseBytes = 8 << 20
	// maxResponseHeadBytes bounds the head of a response of a backend server.
	maxResponseHeadBytes = 64 << 10
)

// backendRequest is the HTTP request that is sent to a backend server.
type backendRequest struct {
	method string
	path   string
	query  string
	header http.Header
	body   []byte
}

// notSentError reports that no part of a request was sent to a backend server.
type notSentError struct{ err error }

// Error implements error.
func (e *notSentError) Error() string { return "request not sent: " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *notSentError) Unwrap() error { return e.err }

// serviceClient sends requests to the backend servers of plain services. It opens one connection
// per request, so that net/http never resends a request, and no late response to another request,
// which nothing distinguishes, is returned.
type serviceClient struct{ transport http.RoundTripper }

// errResponseTooLarge is the error of a response whose body exceeds maxResponseBytes.
var errResponseTooLarge = eris.New("response body exceeds the size limit")

// newServiceClient returns a client whose connections use the local address
// source, unless it is nil.
func newServiceClient(source net.Addr) serviceClient {
	dialer := &net.Dialer{Timeout: backendDialTimeout, LocalAddr: source}
	return serviceClient{transport: httpstrict.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeadBytes,
	})}
}

// do sends a request and reads the whole response. The error is a *notSentError
// if no connection was made.
func (c serviceClient) do(ctx context.Context, address string, b backendRequest) (once.Answer, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	target := url.URL{Scheme: "http", Host: address, Path: b.path, RawQuery: b.query}
	request, err := http.NewRequestWithContext(ctx, b.method, target.String(), bytes.NewReader(b.body))
	if err != nil {
		return once.Answer{}, &notSentError{err}
	}
	request.Header = b.header.Clone()
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		if !connected.Load() {
			return once.Answer{}, &notSentError{err}
		}
		return once.Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return once.Answer{}, eris.Wrap(err, "read response body")
	}
	if len(body) > maxResponseBytes {
		return once.Answer{}, errResponseTooLarge
	}
	return once.Answer{Status: response.StatusCode, Headers: responseHeaders(response.Header), Body: body}, nil
}

// excludedHeaders holds the headers that are not forwarded: the hop-by-hop headers, the
// headers of this API, and the headers that make some backend servers apply another method
// than the request's.
var excludedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
	"Authorization": true, "X-Rank": true, "Last-Event-Id": true,
	"X-Http-Method-Override": true, "X-Http-Method": true, "X-Method-Override": true,
}

// isForwarded reports whether the header name is forwarded: it is neither in
// excludedHeaders nor listed in the Connection header of h.
func isForwarded(h http.Header, name string) bool {
	if excludedHeaders[name] {
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

// forwardedHeaders returns the request headers that are sent to the backend server.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if isForwarded(h, name) {
			out[name] = values
		}
	}
	return out
}

// responseHeaders returns the headers of a response that are sent to the caller, and
// stored if the answer is. Repeated headers are joined with commas.
func responseHeaders(h http.Header) map[string]string {
	out := make(map[string]string, len(h))
	for name, values := range h {
		if isForwarded(h, name) {
			out[name] = strings.Join(values, ", ")
		}
	}
	return out
}
