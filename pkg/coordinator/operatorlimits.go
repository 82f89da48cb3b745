package coordinator

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/connlimit"
	"github.com/geraniumpitch/geraniumpitch/pkg/membudget"
)

const (
	// largeBodyBytes is the size from which a body counts as large: a heartbeat has at most as many bytes.
	largeBodyBytes = 64 << 10
	// maxLargeBodies bounds the large bodies that are decoded at the same time. A configuration of 4 MiB is
	// estimated to take 30 MB meanwhile; it is decided within requestTimeout.
	maxLargeBodies = 2
	// largeBodyWait bounds the wait of a large body for its turn, below the time after which operators try the
	// next coordinator.
	largeBodyWait = 500 * time.Millisecond
)

// limitedHandler receives the bodies of requests within the limits, before the handler uses them. It refuses requests with
// 503, which have not run, while there is no room for them.
type limitedHandler struct {
	next      http.Handler
	bodyLimit func(*http.Request) int64
	memory    *membudget.Budget
	log       *slog.Logger
	// large holds a value for each large body that is decoded.
	large chan struct{}
}

func newLimitedHandler(next http.Handler, bodyLimit func(*http.Request) int64, memory *membudget.Budget, log *slog.Logger) *limitedHandler {
	return &limitedHandler{next: next, bodyLimit: bodyLimit, memory: memory, log: log, large: make(chan struct{}, maxLargeBodies)}
}

// ServeHTTP implements http.Handler.
func (h *limitedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn := connlimit.OfRequest(r); conn.Overflow() {
		conn.DiscardBody(time.Now())
		w.Header().Set("Connection", "close")
		h.refuse(w, r, "all connections for callers are in use")
		return
	}
	if r.ContentLength == 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	body := &connlimit.Body{}
	defer body.Account.Close()
	err := body.Receive(h.memory, w, r, h.bodyLimit(r), time.Now().Add(operatorReadTimeout))
	switch {
	case errors.Is(err, connlimit.ErrNoMemory), errors.Is(err, connlimit.ErrLate):
		h.refuse(w, r, err.Error())
		return
	case errors.Is(err, connlimit.ErrTooLarge) && body.Size() <= 2*largeBodyBytes:
		// The handler sees a body that ends with this error and decides how to respond.
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if body.Size() > largeBodyBytes {
		timer := time.NewTimer(largeBodyWait)
		defer timer.Stop()
		select {
		case h.large <- struct{}{}:
			defer func() { <-h.large }()
		case <-timer.C:
			h.refuse(w, r, "too many large bodies are decoded")
			return
		case <-r.Context().Done():
			return
		}
	}
	received := body.Reader()
	if err != nil {
		received = io.MultiReader(received, failingReader{err})
	}
	r.Body = io.NopCloser(received)
	h.next.ServeHTTP(w, r)
}

// refuse responds that the request has not run.
func (h *limitedHandler) refuse(w http.ResponseWriter, r *http.Request, reason string) {
	h.log.Info("request of an operator or a backend server refused", "path", r.URL.Path, "reason", reason)
	w.Header().Set("Retry-After", strconv.FormatFloat(connlimit.RetryAfter.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// failingReader returns an error.
type failingReader struct{ err error }

// Read implements io.Reader.
func (f failingReader) Read([]byte) (int, error) { return 0, f.err }
