package gateway

import (
	"net"
	"net/http"
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

// idleListener accepts connections that are closed after the idle timeout of the
// configuration in force, so that callers cannot keep many unused connections open.
type idleListener struct {
	net.Listener
	// timeout returns the idle timeout in force, 0 for no limit.
	timeout func() time.Duration
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: conn, timeout: l.timeout}, nil
}

// idleConn shortens the read deadline that net/http sets on an idle connection, but not the later ones
// of the next request.
type idleConn struct {
	net.Conn
	timeout func() time.Duration
	idle    atomic.Bool
}

// SetReadDeadline implements net.Conn.
func (c *idleConn) SetReadDeadline(deadline time.Time) error {
	if timeout := c.timeout(); c.idle.CompareAndSwap(true, false) && timeout > 0 {
		if idleDeadline := time.Now().Add(timeout); deadline.IsZero() || idleDeadline.Before(deadline) {
			deadline = idleDeadline
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// trackConnState records that a connection becomes idle. net/http calls it before it sets
// the read deadline of an idle connection.
func trackConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*idleConn); ok && state == http.StateIdle {
		c.idle.Store(true)
	}
}

// idleTimeout returns the idle timeout of the configuration in force, 0 for no limit.
func (g *Gateway) idleTimeout() time.Duration {
	if t := g.table.Load(); t != nil {
		return t.Config.Limits.IdleTimeout
	}
	return 0
}
