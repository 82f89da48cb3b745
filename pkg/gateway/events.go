package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = eris.New("an event is too large")

// event is one event of a stream as it arrived, its blank line included.
type event struct {
	data []byte
	// id is empty if the event has none.
	id string
}

// eventReader splits a stream into whole events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

func newEventReader(r io.Reader) *eventReader {
	const bufferBytes = 1 << 10
	return &eventReader{reader: bufio.NewReaderSize(r, bufferBytes)}
}

// next returns the next whole event; its data is valid until the next call.
// io.EOF means that the stream ended after a whole event, io.ErrUnexpectedEOF
// that it ended within one.
func (e *eventReader) next() (event, error) {
	e.buffer = e.buffer[:0]
	var id string
	for {
		start := len(e.buffer)
		for {
			part, err := e.reader.ReadSlice('\n')
			e.buffer = append(e.buffer, part...)
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
		line := bytes.TrimRight(e.buffer[start:], "\r\n")
		if len(line) == 0 {
			return event{data: e.buffer, id: id}, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// follows tells whether an event with this identifier comes after the last one.
// Identifiers are increasing numbers; others are taken as they come.
func follows(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	return errA != nil || errB != nil || a > b
}
