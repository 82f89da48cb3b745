package entry

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 120 * time.Second
	maxHeaderBytes = 32 << 10
	// MaxConnections limits the connections of callers to one instance. It is twice
	// the maximum number of streams.
	MaxConnections = 16384
)

// NewServer returns an HTTP server with the timeouts and limits for callers. It
// has no WriteTimeout, because streams run for minutes; each write has a
// separate deadline.
func NewServer(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// LimitListener returns a listener with at most limit open connections. Further
// connections wait in the accept queue of the operating system.
func LimitListener(l net.Listener, limit int) net.Listener {
	return &limitListener{Listener: l, permits: make(chan struct{}, limit), closed: make(chan struct{})}
}

type limitListener struct {
	net.Listener
	permits   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.permits <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.permits
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.permits }}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	releaseOnce sync.Once
	release     func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(c.release)
	return err
}
