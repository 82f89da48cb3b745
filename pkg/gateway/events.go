package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = eris.Errorf("event exceeds the limit of %d bytes", maxEventBytes)

// errSecondResponse ends a body in which another response begins.
var errSecondResponse = eris.New("another response begins in the body")

// responsePrefix is how a response begins; no line of an event does.
var responsePrefix = []byte("HTTP/1.")

// event is one event of a stream as received, including the blank line that ends it.
type event struct {
	data []byte
	// id is the value of the event's id field, empty if it has none.
	id string
}

// eventReader splits a stream of server-sent events into whole events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

func newEventReader(r io.Reader) *eventReader {
	const bufferBytes = 1 << 10
	return &eventReader{reader: bufio.NewReaderSize(r, bufferBytes)}
}

// next returns the next whole event; its data is valid until the next call.
// It returns io.EOF if the stream ended after a whole event, and
// io.ErrUnexpectedEOF if it ended within one. A faulty engine may write another response behind a
// stream that only the end of the connection ends; next returns errSecondResponse there.
func (e *eventReader) next() (event, error) {
	e.buffer = e.buffer[:0]
	var id string
	for {
		start := len(e.buffer)
		for {
			fragment, err := e.reader.ReadSlice('\n')
			e.buffer = append(e.buffer, fragment...)
			if len(e.buffer) > maxEventBytes {
				return event{}, errEventTooLarge
			}
			if err == nil {
				break
			}
			if errors.Is(err, bufio.ErrBufferFull) {
				continue
			}
			if errors.Is(err, io.EOF) && len(e.buffer) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		if bytes.HasPrefix(e.buffer[start:], responsePrefix) {
			return event{}, errSecondResponse
		}
		line := bytes.TrimRight(e.buffer[start:], "\r\n")
		if len(line) == 0 {
			return event{data: e.buffer, id: id}, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// isAfter reports whether the event with identifier id comes after the one with
// identifier last. Identifiers are increasing numbers; if one of them is not a number,
// the event counts as new.
func isAfter(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// hasSecondResponse reports whether another response, or the part of one, begins in a body. isResponse
// tells by its headers whether a response is one of a backend server.
func hasSecondResponse(body []byte, isResponse func(http.Header) bool) bool {
	for rest := body; ; {
		i := bytes.Index(rest, responsePrefix)
		if i < 0 {
			return false
		}
		rest = rest[i:]
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(rest)), nil)
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF):
			return true
		case err == nil && isResponse(response.Header):
			return true
		case err != nil && statusLine.Match(rest) && isResponse(wellFormedFields(rest)):
			return true
		}
		rest = rest[len(responsePrefix):]
	}
}

// statusLine matches the beginning of a status line, also of one whose status is malformed.
var statusLine = regexp.MustCompile(`^HTTP/1\.\d +[-+]?\d`)

// maxSearchedHeadBytes bounds the part of a malformed head that is searched: a body may hold many such heads.
const maxSearchedHeadBytes = 4 << 10

// wellFormedFields returns the fields of a malformed head that are well-formed.
func wellFormedFields(head []byte) http.Header {
	fields := http.Header{}
	head = head[:min(len(head), maxSearchedHeadBytes)]
	_, head, _ = bytes.Cut(head, []byte("\n"))
	for line := range bytes.Lines(head) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if ok && httpguts.ValidHeaderFieldName(string(name)) {
			fields.Add(string(name), string(bytes.TrimSpace(value)))
		}
	}
	return fields
}
