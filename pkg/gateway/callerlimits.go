package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/connlimit"
	"github.com/geraniumpitch/geraniumpitch/pkg/membudget"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

const (
	// freeBodyBytes is the part of a body, and freeResponseBytes that of a response, that the fixed size of a
	// connection covers. Most requests and responses are smaller and never use the budget.
	freeBodyBytes     = 4 << 10
	freeResponseBytes = 4 << 10
	// maxBodyPart bounds the parts in which a body is read, each of which is as large as what arrived before it.
	maxBodyPart = 128 << 10
	// bodyWait bounds the wait of a body for room in the budget; evicted callers return theirs within
	// milliseconds, unless the process gets no processor time.
	bodyWait = 500 * time.Millisecond
	// responseWait is the same for a response, which is forwarded as it arrives otherwise.
	responseWait = 50 * time.Millisecond
	// bodyTimeout bounds the time to receive the body of a request without a route.
	bodyTimeout = 60 * time.Second
	// memoryRetryAfter is the Retry-After time of requests that were refused because the memory for callers, or
	// the connections, are in use: the slowest holders are closed meanwhile.
	memoryRetryAfter = 500 * time.Millisecond
	// limitsLogInterval is the shortest time between two log lines about limits that had an effect.
	limitsLogInterval = time.Second
)

// callerLimits bounds what callers may take of the process.
type callerLimits struct {
	memory      *membudget.Budget
	connections int
	bufferBytes int
	// listener is nil until the gateway listens.
	listener *connlimit.Listener
	// logged is what the latest log line reported. Only maintain uses it.
	logged   connlimit.Stats
	loggedMB membudget.Stats
	loggedAt time.Time
}

func newCallerLimits(s settings.Gateway) callerLimits {
	limits := membudget.LimitsOf(membudget.Memory(s.MemoryMB), membudget.Descriptors())
	if s.CallerMemoryMB > 0 {
		limits.Bytes = int64(s.CallerMemoryMB) << 20
	}
	if s.CallerConnections > 0 {
		limits.Connections = s.CallerConnections
	}
	buffer := connlimit.DefaultBufferBytes
	if s.ResponseBufferKB > 0 {
		buffer = s.ResponseBufferKB << 10
	}
	return callerLimits{memory: membudget.New(limits.Bytes), connections: limits.Connections, bufferBytes: buffer}
}

// limit returns a listener that bounds the connections of callers.
func (l *callerLimits) limit(callers net.Listener) net.Listener {
	l.listener = connlimit.NewListener(callers, l.memory, l.connections, l.bufferBytes)
	return l.listener
}

// connStats returns the counts of the listener, zero before it exists.
func (l *callerLimits) connStats() connlimit.Stats {
	if l.listener == nil {
		return connlimit.Stats{}
	}
	return l.listener.Stats()
}

// flushing returns the number of connections for whose callers a part of a response waits.
func (l *callerLimits) flushing() int {
	if l.listener == nil {
		return 0
	}
	return l.listener.Flushing()
}

// logCallerLimits logs that limits for callers had an effect, at most once in limitsLogInterval.
func (g *Gateway) logCallerLimits(now time.Time) {
	l := &g.limits
	memory, conns := l.memory.Stats(), l.connStats()
	changed := memory.Evicted != l.loggedMB.Evicted || memory.Refused != l.loggedMB.Refused || conns.Evicted != l.logged.Evicted ||
		conns.Refused != l.logged.Refused || conns.Stalled != l.logged.Stalled
	if !changed || now.Sub(l.loggedAt) < limitsLogInterval {
		return
	}
	g.log.Warn("limits for callers had an effect", "bytes_held", memory.Used, "bytes_limit", memory.Limit, "connections", conns.Open,
		"connections_limit", l.connections, "bodies_or_responses_closed", memory.Evicted-l.loggedMB.Evicted,
		"requests_short_of_memory", memory.Refused-l.loggedMB.Refused, "connections_closed", conns.Evicted-l.logged.Evicted,
		"connections_refused", conns.Refused-l.logged.Refused, "readers_stalled", conns.Stalled-l.logged.Stalled)
	l.logged, l.loggedMB, l.loggedAt = conns, memory, now
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// withConn is the ConnContext function of the server for callers.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connlimit.Of(conn))
}

// connOf returns the connection of a request, nil in a server without limits for connections.
func connOf(r *http.Request) *connlimit.Conn {
	conn, _ := r.Context().Value(connKey{}).(*connlimit.Conn)
	return conn
}

// requestBody is the body of a request in the parts in which it arrived, and what is held for the request.
type requestBody struct {
	first []byte
	rest  [][]byte
	// account holds the bytes of the body and of the responses to the request.
	account membudget.Account
}

// receive reads the body of a request, up to limit bytes and until the deadline. Bytes are accounted as they arrive. The
// reply is nil if the body is complete; otherwise the request has not run.
func (b *requestBody) receive(g *Gateway, w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) *reply {
	b.account.Init(g.limits.memory, nil)
	if r.ContentLength == 0 {
		return nil
	}
	conn := connOf(r)
	conn.BeginBody(time.Now(), deadline)
	if conn != nil && (r.ContentLength < 0 || r.ContentLength > freeBodyBytes) {
		b.account.Init(g.limits.memory, conn.InterruptBody)
	}
	err := b.read(r, limit)
	complete := conn.EndBody()
	if err == nil {
		err = b.account.Pin()
	}
	if err == nil && complete {
		return nil
	}
	evicted := b.account.Evicted()
	b.account.Close()
	b.first, b.rest = nil, nil
	// What is left of the body is not read.
	w.Header().Set("Connection", "close")
	conn.Abandon()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return newReply(http.StatusRequestEntityTooLarge, fmt.Sprintf("body exceeds the limit of %d bytes", limit))
	case evicted || errors.Is(err, membudget.ErrShort):
		return newRefusal("the memory for callers is in use, and this body was slow or large", memoryRetryAfter)
	case !complete:
		return newRefusal("the body did not arrive before the deadline", memoryRetryAfter)
	}
	return newReply(http.StatusBadRequest, "failed to read the body: "+err.Error())
}

// read reads the body in parts. The size of a part is bounded by what arrived before it.
func (b *requestBody) read(r *http.Request, limit int64) error {
	remaining := r.ContentLength
	if remaining < 0 {
		remaining = limit + 1
	}
	received := int64(0)
	for size := min(int64(freeBodyBytes), remaining); size > 0; size = min(received, maxBodyPart, remaining) {
		if received > 0 {
			if err := b.account.Grow(r.Context(), size, bodyWait); err != nil {
				return err
			}
		}
		part := make([]byte, size)
		n, err := readFull(r.Body, part)
		received, remaining = received+int64(n), remaining-int64(n)
		if b.first == nil {
			b.first = part[:n]
		} else if n > 0 {
			b.rest = append(b.rest, part[:n])
		}
		if received > limit {
			return &http.MaxBytesError{Limit: limit}
		}
		if errors.Is(err, io.EOF) && (r.ContentLength < 0 || remaining == 0) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// readFull reads until p is full or the reader returns an error, which is io.EOF at the end.
func readFull(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		if err != nil && n < len(p) {
			return n, err
		}
	}
	return n, nil
}

// bodyDeadline returns the time by which the body of a request has to arrive: the end of its time limit.
func bodyDeadline(route *routing.Route, fields RequestFields, startedAt time.Time) time.Time {
	limit := bodyTimeout
	if route != nil {
		limit = route.Timeout
	}
	if fields.Timeout > 0 {
		limit = min(limit, fields.Timeout)
	}
	return startedAt.Add(limit)
}

// checkOverflow returns a refusal if all connections are in use.
func checkOverflow(w http.ResponseWriter, r *http.Request) *reply {
	if !connOf(r).Overflow() {
		return nil
	}
	w.Header().Set("Connection", "close")
	return newRefusal("all connections for callers are in use", memoryRetryAfter)
}

// readResponse reads a response, up to maxBufferedResponseBytes. It reports whether that is all of it: the rest of a
// large one, or of one for which the budget has no room, is forwarded as it arrives.
func (req *callerRequest) readResponse(ctx context.Context, response *upstream.Response) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(response, freeResponseBytes))
	if err != nil || len(body) < freeResponseBytes {
		return body, true, err
	}
	for len(body) < maxBufferedResponseBytes {
		size := min(2*len(body), maxBufferedResponseBytes)
		if req.body.account.Grow(ctx, int64(size-len(body)), responseWait) != nil {
			return body, false, nil
		}
		grown := make([]byte, size)
		n, err := readFull(response, grown[copy(grown, body):])
		body = grown[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, true, err
		}
	}
	return body, false, nil
}
