package httpstrict

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Conn is a connection to an HTTP/1.1 server on which a reset never looks like the end of a body. The kernel reports a
// reset only once; if the write of the request gets the error, the read that follows returns io.EOF.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the first error of a write; writing guards it.
	writeErr error

	// head records the beginning of the latest response, nil before the first.
	head atomic.Pointer[headRecorder]
}

// NewConn returns a connection over conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements io.Reader. When the server has ended its side of the connection, it also ends a write in progress:
// nothing can follow the response. If the connection was lost before, Read returns the error of the write.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if head := c.head.Load(); head != nil {
		head.record(p[:n])
	}
	if errors.Is(err, io.EOF) {
		if lost := c.lostWhileWriting(); lost != nil {
			return n, lost
		}
	}
	return n, err
}

// lostWhileWriting returns the error of a write that failed because the connection was lost, nil if there is none.
func (c *Conn) lostWhileWriting() error {
	// The deadline ends a write that waits for the server. One that was told of a reset returns its error all the same.
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	err := c.writeErr
	// A reset after the server has ended its side of the connection is reported as EPIPE.
	if err == nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// recordHead records the response that is read next, whose beginning has been read already.
func (c *Conn) recordHead(beginning []byte) *headRecorder {
	head := &headRecorder{}
	head.record(beginning)
	c.head.Store(head)
	return head
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, eris.New("the connection has no file descriptor")
}
