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
	// MaxConnections bounds the callers' connections of one instance: twice the
	// streams that it serves at most.
	MaxConnections = 16384
)

// NewServer returns an HTTP server with the time-outs and limits for callers.
// It has no WriteTimeout: streams run for minutes, each write has its own deadline.
func NewServer(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// LimitListener accepts at most limit connections at a time; further ones wait
// in the accept queue of the operating system.
func LimitListener(l net.Listener, limit int) net.Listener {
	return &limitListener{Listener: l, places: make(chan struct{}, limit), done: make(chan struct{})}
}

type limitListener struct {
	net.Listener
	places chan struct{}
	done   chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: c, free: func() { <-l.places }}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	once sync.Once
	free func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.free)
	return err
}
