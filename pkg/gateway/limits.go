package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// headerSize returns the size in bytes of a request's headers on the wire.
func headerSize(r *http.Request) int {
	// Each line has a colon, a space and CRLF.
	const lineOverhead = 4
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineOverhead
		}
	}
	return size
}

// timeouts bound how long a caller may keep a connection without a complete request; 0 is no limit.
type timeouts struct {
	// header bounds the time to receive the headers of a request, idle the time between requests.
	header, idle time.Duration
}

// timeouts returns the timeouts of the configuration in force.
func (g *Gateway) timeouts() timeouts {
	if t := g.table.Load(); t != nil {
		return timeouts{header: t.Config.Limits.HeaderTimeout, idle: t.Config.Limits.IdleTimeout}
	}
	return timeouts{}
}

// callerListener accepts connections that keep to the timeouts in force.
type callerListener struct {
	net.Listener
	timeouts func() timeouts
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, timeouts: l.timeouts}, nil
}

// The phases of a connection.
const (
	// opened is the phase of a new connection until its first byte.
	opened int32 = iota
	// receivingHeader ends when net/http removes the read deadline.
	receivingHeader
	serving
	// idle ends when net/http sets the first read deadline, which is for the wait; those that follow are
	// for the next header.
	idle
)

// callerConn shortens the read deadlines that net/http sets.
type callerConn struct {
	net.Conn
	timeouts func() timeouts
	phase    atomic.Int32
	// unanswered is set from the first byte that is read until the connection is idle again. net/http
	// reports a connection as active only once it has read and parsed the head of a request.
	unanswered atomic.Bool
	// lastRequestRead means that no further request is read, and interrupted that the deadline which ended
	// the waits has not ended a read yet.
	lastRequestRead, interrupted atomic.Bool
}

// Unwrap returns the connection below.
func (c *callerConn) Unwrap() net.Conn { return c.Conn }

// stopReading ends the wait for another request. A request of which a byte was read is received in full.
func (c *callerConn) stopReading() error {
	c.lastRequestRead.Store(true)
	c.interrupted.Store(true)
	return c.Conn.SetReadDeadline(time.Now())
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	if c.lastRequestRead.Load() && !c.unanswered.Load() {
		return c.Conn.SetReadDeadline(time.Now())
	}
	// This deadline replaces the one of stopReading.
	c.interrupted.Store(false)
	t := c.timeouts()
	switch phase := c.phase.Load(); {
	case phase == opened:
		deadline = earlierDeadline(deadline, t.idle)
	case phase == idle:
		c.phase.Store(receivingHeader)
		deadline = earlierDeadline(deadline, t.idle)
	case phase == receivingHeader && deadline.IsZero():
		c.phase.Store(serving)
	case phase == receivingHeader:
		deadline = earlierDeadline(deadline, t.header)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.unanswered.Load() && c.interrupted.CompareAndSwap(true, false) {
		// The connection was not waiting for another request.
		if err := c.Conn.SetReadDeadline(time.Now().Add(headerReadTimeout)); err != nil {
			return 0, err
		}
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.unanswered.Store(true)
	}
	if n > 0 && c.phase.CompareAndSwap(opened, receivingHeader) {
		err = errors.Join(err, c.SetReadDeadline(time.Now().Add(headerReadTimeout)))
	}
	return n, err
}

// earlierDeadline returns the earlier one of a deadline and the end of a timeout, each of which is
// none if it is 0.
func earlierDeadline(deadline time.Time, timeout time.Duration) time.Time {
	if end := time.Now().Add(timeout); timeout > 0 && (deadline.IsZero() || end.Before(deadline)) {
		return end
	}
	return deadline
}

// trackConnState records that a connection becomes idle. net/http calls it before it sets the read
// deadline of an idle connection.
func trackConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.phase.Store(idle)
		c.unanswered.Store(false)
	}
}
