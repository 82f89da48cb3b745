package httpstrict

import (
	"bytes"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

const http10 = "HTTP/1.0"

// headRecorder records a response of HTTP/1.0 as it arrives. net/http removes a Transfer-Encoding from its head, does not
// decode the body, and leaves no trace of either.
type headRecorder struct {
	// mu guards the fields below: a transport reads in another goroutine.
	mu       sync.Mutex
	stopped  bool
	recorded []byte
}

// record adds bytes that were read. It stops if the response is of another version.
func (h *headRecorder) record(read []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	version := http10[min(len(h.recorded), len(http10)):]
	if n := min(len(version), len(read)); version[:n] != string(read[:n]) {
		h.stopped, h.recorded = true, nil
		return
	}
	h.recorded = append(h.recorded, read...)
}

// stop ends the recording and returns the beginning of the response, nil if it is not one of HTTP/1.0.
func (h *headRecorder) stop() []byte {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	recorded := h.recorded
	h.stopped, h.recorded = true, nil
	return recorded
}

// checkNoTransferEncoding checks the head of a response of HTTP/1.0, which has no transfer codings: RFC 9112, section 6.1.
func checkNoTransferEncoding(head []byte) error {
	for line := range bytes.Lines(head) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if name, _, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(name), "Transfer-Encoding") {
			return eris.Wrapf(ErrMalformed, "field %q in a response of %s", line, http10)
		}
	}
	return nil
}
