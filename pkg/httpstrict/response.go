// Package httpstrict reads the responses of HTTP/1.1 servers. It rejects responses that net/http accepts although they
// are malformed: a client that guesses their meaning passes on something else than the server sent.
package httpstrict

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the cause of the error for a response that violates the syntax of HTTP/1.1. Its request may have run,
// and its connection must not be used again.
var ErrMalformed = eris.New("malformed HTTP response")

// ReadResponse reads a response from conn through r, like http.ReadResponse. It returns ErrMalformed if the head is
// malformed, and the body does if a trailer is.
func ReadResponse(conn *Conn, r *bufio.Reader, request *http.Request) (*http.Response, error) {
	buffered, _ := r.Peek(r.Buffered()) // Peeking at what is buffered does not fail.
	head := conn.recordHead(buffered)
	response, err := http.ReadResponse(r, request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response, head.stop()); err != nil {
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, response: response}
	return response, nil
}

// checkHead checks a response. http10Head is the beginning of one of HTTP/1.0 as it was sent.
func checkHead(r *http.Response, http10Head []byte) error {
	if err := checkStatusLine(r); err != nil {
		return err
	}
	if err := checkNoTransferEncoding(http10Head); err != nil {
		return err
	}
	return checkFieldNames(r.Header)
}

// checkStatusLine checks what http.ReadResponse does not: RFC 9112, section 4, and RFC 9110, sections 15 and 15.2.2.
// Status codes above 599 are valid here: they count as server errors.
func checkStatusLine(r *http.Response) error {
	switch {
	case r.StatusCode < http.StatusContinue:
		return eris.Wrapf(ErrMalformed, "status %q", r.Status)
	case r.StatusCode == http.StatusSwitchingProtocols:
		return eris.Wrapf(ErrMalformed, "status %q without a request to upgrade", r.Status)
	// HTTP/2 is negotiated by TLS, and has no status line.
	case r.ProtoMajor != 1 && r.TLS == nil:
		return eris.Wrapf(ErrMalformed, "version %q", r.Proto)
	}
	for _, c := range []byte(r.Status) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return eris.Wrapf(ErrMalformed, "control character in the status line %q", r.Status)
		}
	}
	return nil
}

// checkFieldNames checks that the names of header or trailer fields are tokens: RFC 9110, section 5.1. net/http accepts
// blanks in them. Names without a value are trailers that were announced and have not arrived.
func checkFieldNames[H ~map[string][]string](fields H) error {
	for name, values := range fields {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrMalformed, "field name %q", name)
		}
	}
	return nil
}

// body is a response body that ends with ErrMalformed if a trailer behind it is malformed.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkFieldNames(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
