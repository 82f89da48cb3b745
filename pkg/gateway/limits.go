package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// headerSize returns the bytes of the headers of a request as they were sent.
func headerSize(r *http.Request) int {
	// Each line has a colon, a space and a line end.
	const perLine = 4
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + perLine
		}
	}
	return size
}

// idleListener accepts connections whose idle time follows the configuration in
// force. It answers callers that keep many connections open without using them.
type idleListener struct {
	net.Listener
	// limit returns the idle time that is allowed now, 0 for no limit.
	limit func() time.Duration
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: conn, limit: l.limit}, nil
}

// idleConn shortens the read deadline that net/http sets on an idle connection.
type idleConn struct {
	net.Conn
	limit func() time.Duration
	idle  atomic.Bool
}

// SetReadDeadline implements net.Conn.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if limit := c.limit(); c.idle.Load() && limit > 0 {
		if end := time.Now().Add(limit); t.IsZero() || end.Before(t) {
			t = end
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// noteState follows the state of a connection; net/http sets the deadline of an idle
// one after it.
func noteState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*idleConn); ok {
		c.idle.Store(state == http.StateIdle)
	}
}

// idleTime returns the idle time of the configuration in force.
func (g *Gateway) idleTime() time.Duration {
	if t := g.table.Load(); t != nil {
		return t.Config.Limits.IdleTimeout
	}
	return 0
}
