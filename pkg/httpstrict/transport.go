package httpstrict

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// transport is an http.RoundTripper that rejects malformed responses.
type transport struct{ base *http.Transport }

// NewTransport returns a round tripper that sends requests over base, with connections of type Conn. It returns
// ErrMalformed for malformed responses, and closes their connections.
func NewTransport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base = base.Clone()
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return transport{base: base}
}

// NewDefaultTransport returns a round tripper with the settings of http.DefaultTransport, and connections of its own.
func NewDefaultTransport() http.RoundTripper {
	return NewTransport(http.DefaultTransport.(*http.Transport))
}

// exchange is the connection that carries a request and its response.
type exchange struct {
	net.Conn
	// head is nil if the connection is not of type Conn, as with TLS.
	head *headRecorder
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var latest atomic.Pointer[exchange]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e := &exchange{Conn: info.Conn}
			if conn, ok := info.Conn.(*Conn); ok {
				e.head = conn.recordHead(nil)
			}
			latest.Store(e)
		},
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error { return checkFieldNames(fields) },
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	e := latest.Load()
	if err := checkHead(response, e.head.stop()); err != nil {
		// The connection of a response without a body is in the pool already.
		_ = e.Close()
		_ = response.Body.Close()
		return nil, err
	}
	if response.Body != http.NoBody {
		response.Body = &transportBody{body: body{ReadCloser: response.Body, response: response}, conn: e.Conn}
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections, for http.Client.CloseIdleConnections.
func (t transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// transportBody closes the connection, which may be in the pool already, if a trailer is malformed.
type transportBody struct {
	body
	conn net.Conn
}

// Read implements io.Reader.
func (b *transportBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if errors.Is(err, ErrMalformed) {
		_ = b.conn.Close()
	}
	return n, err
}
