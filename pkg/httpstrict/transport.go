package httpstrict

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// transport is an http.RoundTripper that rejects malformed responses.
type transport struct{ base *http.Transport }

// NewTransport returns a round tripper that sends requests over base. It returns ErrMalformed for malformed responses,
// and closes their connections.
func NewTransport(base *http.Transport) http.RoundTripper {
	return transport{base: base}
}

// NewDefaultTransport returns a round tripper with the settings of http.DefaultTransport, and connections of its own.
func NewDefaultTransport() http.RoundTripper {
	return NewTransport(http.DefaultTransport.(*http.Transport).Clone())
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) },
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		// The connection of a response without a body is in the pool already.
		_ = (*conn.Load()).Close()
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections, for http.Client.CloseIdleConnections.
func (t transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
