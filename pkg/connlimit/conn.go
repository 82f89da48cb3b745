package connlimit

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/membudget"
)

// The phases of a connection.
const (
	// receiving lasts until the head of a request has been read.
	receiving int32 = iota
	// serving lasts until its response has been written.
	serving
	// readingBody is the part of serving in which the body of the request is read.
	readingBody
	// interrupted follows readingBody if the read was ended to make room or because its time was over.
	interrupted
	idle
)

const (
	// headerLineBytes is what a parsed header line takes besides its bytes: an entry of a map, a slice and
	// two strings.
	headerLineBytes = 160
	// freeHeaderBytes is the part of a head that the fixed size of a connection covers: 15 lines of 40 bytes, as
	// ordinary requests have, count 3 KB.
	freeHeaderBytes = 6 << 10
	// usefulPerByte is the time in nanoseconds for which a byte of a body or a response counts as progress: a
	// caller of 64 KiB per second is as useful as one that has just connected.
	usefulPerByte = int64(time.Second) / (64 << 10)
	// flushBytes bounds one write of waiting bytes, so that progress is noticed and the server's response is read
	// every second even if the caller takes 10 KB per second.
	flushBytes = 8 << 10
	// discardTimeout bounds the time for the rest of a body that is not used.
	discardTimeout = 2 * time.Second
	// lingerTimeout and maxLingerBytes bound what is discarded of a body that was given up, so that the caller
	// can read the response. Two round trips within a region take a tenth of the time.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
	// lingerBufferBytes is the buffer for that, which lies on the stack.
	lingerBufferBytes = 2 << 10
	// stalledTimeout is the time without progress after which a caller that reads no response is closed,
	// once its buffer is full. Backend servers cut off a response that stays unread for some seconds.
	stalledTimeout = 5 * time.Second
	// abandonedTimeout is the time without progress after which waiting bytes are dropped otherwise. A caller
	// that is frozen for some seconds still receives them.
	abandonedTimeout = 15 * time.Second
)

// errStalled means that the caller does not read its response.
var errStalled = errors.New("the caller does not read the response")

// Conn is a connection of a caller. Bytes that its socket does not take at once wait in a buffer, so that a response
// is read from its server in time although the caller is slow.
type Conn struct {
	net.Conn
	listener *Listener
	// socket is nil if the connection below is no socket; every write blocks then.
	socket syscall.RawConn

	phase atomic.Int32
	// usefulAt is the time in Unix nanoseconds since which the connection has done nothing useful: the latest
	// change of its phase, and a while for each byte of a body that arrived since then.
	usefulAt atomic.Int64
	// flushingAt is the same for the bytes that wait for the caller, 0 if there are none.
	flushingAt atomic.Int64
	// bodyDeadline is the time in Unix nanoseconds at which the read of a body ends.
	bodyDeadline atomic.Int64
	// evicted is set when the connection is closed to make room.
	evicted atomic.Bool
	// lingers is set by Abandon.
	lingers atomic.Bool
	// overflow means that the connection is above the bound, so that its request is refused.
	overflow bool

	// The head that is being read takes headBytes, of which headHeld are held by headAccount. Only the reader uses
	// them, and SetState between reads.
	headBytes, headHeld int64
	headAccount         *membudget.Account

	// writeMu guards the rest, and orders the writes.
	writeMu sync.Mutex
	// tryWrite writes unsent to the socket without waiting, and sets sent and sendErr.
	tryWrite func(fd uintptr) bool
	unsent   []byte
	sent     int
	sendErr  error
	// waiting holds the bytes that the socket did not take yet. A goroutine writes them while it is not empty.
	waiting  []byte
	writeErr error
	// drained is closed and replaced with each progress of the goroutine.
	drained chan struct{}
	account *membudget.Account
	closing bool
}

func newConn(raw net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: raw, listener: l}
	c.usefulAt.Store(time.Now().UnixNano())
	if s, ok := raw.(syscall.Conn); ok {
		if socket, err := s.SyscallConn(); err == nil {
			c.socket = socket
			c.tryWrite = c.writeToSocket
		}
	}
	return c
}

// Of returns the Conn below a connection, nil if there is none.
func Of(conn net.Conn) *Conn {
	for conn != nil {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		wrapper, ok := conn.(interface{ Unwrap() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.Unwrap()
	}
	return nil
}

// SetState records the state of a connection as net/http reports it.
func SetState(conn net.Conn, state http.ConnState) {
	c := Of(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(serving)
	case http.StateIdle:
		c.releaseHead()
		c.setPhase(idle)
	case http.StateClosed:
		c.releaseHead()
	}
}

func (c *Conn) setPhase(phase int32) {
	c.usefulAt.Store(time.Now().UnixNano())
	c.phase.Store(phase)
}

// Overflow reports whether the connection is above the bound of its listener: its request is to be refused.
func (c *Conn) Overflow() bool { return c != nil && c.overflow }

// Evict closes the connection to make room. A response that is being written does not look complete.
func (c *Conn) Evict() {
	if c.evicted.Swap(true) {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && (c.phase.Load() == serving || c.flushingAt.Load() != 0) {
		// Sends a reset, as an ordinary end could complete a response without a length.
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
	c.listener.remove(c)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	switch c.phase.Load() {
	case serving, interrupted:
	case readingBody:
		c.usefulAt.Add(int64(n) * usefulPerByte)
	default:
		if headErr := c.countHead(p[:n]); headErr != nil {
			return 0, headErr
		}
	}
	return n, err
}

// BeginBody records that the body of a request is read from now on, until the deadline at the latest.
func (c *Conn) BeginBody(now, deadline time.Time) {
	if c == nil {
		return
	}
	c.bodyDeadline.Store(deadline.UnixNano())
	c.usefulAt.Store(now.UnixNano())
	c.phase.Store(readingBody)
}

// EndBody records that the body has been read, and reports false if the read was interrupted.
func (c *Conn) EndBody() bool {
	return c == nil || c.phase.CompareAndSwap(readingBody, serving)
}

// InterruptBody ends the read of a body. The handler of the request can still respond.
func (c *Conn) InterruptBody() {
	if c.phase.CompareAndSwap(readingBody, interrupted) {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// countHead accounts bytes of a head that is being read.
func (c *Conn) countHead(p []byte) error {
	if c.phase.CompareAndSwap(idle, receiving) {
		c.usefulAt.Store(time.Now().UnixNano())
	}
	c.headBytes += int64(len(p)) + headerLineBytes*int64(bytes.Count(p, []byte("\n")))
	more := c.headBytes - freeHeaderBytes - c.headHeld
	if more <= 0 {
		return nil
	}
	if c.headAccount == nil {
		c.headAccount = c.listener.budget.NewAccount(c.Evict)
	}
	if err := c.headAccount.Grow(context.Background(), more, c.listener.wait); err != nil {
		c.Evict()
		return err
	}
	c.headHeld += more
	return nil
}

// releaseHead returns the bytes of the head of the latest request.
func (c *Conn) releaseHead() {
	c.headBytes, c.headHeld = 0, 0
	if c.headAccount != nil {
		c.headAccount.Close()
		c.headAccount = nil
	}
}

// Abandon gives up the rest of a body, so that net/http does not wait for it. Close then gives the caller some
// time to read the response, which a reset would discard.
func (c *Conn) Abandon() {
	if c == nil {
		return
	}
	c.phase.Store(interrupted)
	c.lingers.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// DiscardBody bounds the time in which net/http reads the rest of a body that the handler has not read.
func (c *Conn) DiscardBody(now time.Time) {
	if c != nil && c.phase.Load() != interrupted {
		c.BeginBody(now, now.Add(discardTimeout))
	}
}

// SetWriteDeadline implements net.Conn. It has no effect: the bounds for slow readers take its place.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// Write implements net.Conn. It waits only if more bytes than the listener allows wait for the caller, or if the
// budget has no room for them.
func (c *Conn) Write(p []byte) (int, error) {
	if c.socket == nil {
		return c.Conn.Write(p)
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	written := 0
	if len(c.waiting) == 0 {
		n, err := c.writeNow(p)
		if err != nil || n == len(p) {
			return n, err
		}
		written = n
	}
	for written < len(p) {
		n, err := c.enqueue(p[written:])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writeNow writes what the socket takes without waiting.
func (c *Conn) writeNow(p []byte) (int, error) {
	c.unsent, c.sent, c.sendErr = p, 0, nil
	err := c.socket.Write(c.tryWrite)
	c.unsent = nil
	if err == nil {
		err = c.sendErr
	}
	return c.sent, err
}

// writeToSocket is the function of RawConn.Write. It never asks to wait.
func (c *Conn) writeToSocket(fd uintptr) bool {
	for c.sent < len(c.unsent) {
		n, err := syscall.Write(int(fd), c.unsent[c.sent:])
		switch {
		case n > 0:
			c.sent += n
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return true
		default:
			c.sendErr = os.NewSyscallError("write", err)
			return true
		}
	}
	return true
}

// enqueue adds the beginning of p to the waiting bytes, and waits if there is no room for any of it. The mutex is
// held, but not while it waits.
func (c *Conn) enqueue(p []byte) (int, error) {
	n := min(len(p), c.listener.bufferBytes-len(c.waiting))
	if n > 0 {
		if c.account == nil {
			c.account = c.listener.budget.NewAccount(c.Evict)
		}
		// The array behind the waiting bytes may be twice as large.
		err := c.account.Grow(context.Background(), 2*int64(n), 0)
		if err == nil {
			if len(c.waiting) == 0 {
				c.account.Touch()
				c.flushingAt.Store(time.Now().UnixNano())
				c.drained = make(chan struct{})
				c.listener.flushing.Add(1)
				go c.flush()
			}
			c.waiting = append(c.waiting, p[:n]...)
			return n, nil
		}
		if errors.Is(err, membudget.ErrEvicted) {
			return 0, err
		}
	}
	if len(c.waiting) == 0 {
		// The budget is short: wait for the caller without holding more.
		c.flushingAt.Store(time.Now().UnixNano())
		c.writeMu.Unlock()
		n, err := c.writeBlocking(p[:min(len(p), flushBytes)], c.listener.abandoned)
		c.writeMu.Lock()
		c.flushingAt.Store(0)
		return n, err
	}
	drained := c.drained
	c.writeMu.Unlock()
	timer := time.NewTimer(c.listener.stalled)
	defer timer.Stop()
	select {
	case <-drained:
	case <-timer.C:
		c.listener.countStalled()
		c.Evict()
	}
	c.writeMu.Lock()
	if c.writeErr == nil && c.evicted.Load() {
		c.writeErr = errStalled
	}
	return 0, c.writeErr
}

// writeBlocking writes p and waits for the caller, as long as it makes progress.
func (c *Conn) writeBlocking(p []byte, timeout time.Duration) (written int, err error) {
	// A deadline that is left would end a later write. If the connection is closed, there is none.
	defer func() { _ = c.Conn.SetWriteDeadline(time.Time{}) }()
	for written < len(p) {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if err != nil && !(n > 0 && errors.Is(err, os.ErrDeadlineExceeded)) {
			return written, err
		}
	}
	return written, nil
}

// flush writes the waiting bytes until there are none.
func (c *Conn) flush() {
	defer c.listener.flushing.Add(-1)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	for len(c.waiting) > 0 && c.writeErr == nil {
		piece := c.waiting[:min(len(c.waiting), flushBytes)]
		c.writeMu.Unlock()
		n, err := c.writeBlocking(piece, c.listener.abandoned)
		c.writeMu.Lock()
		c.waiting = c.waiting[n:]
		c.account.Touch()
		c.account.Shrink(2 * int64(n))
		c.flushingAt.Add(int64(n) * usefulPerByte)
		if err != nil {
			c.writeErr = err
		}
		close(c.drained)
		c.drained = make(chan struct{})
	}
	if c.writeErr != nil {
		// Ends the read that watches the connection, and with it the request.
		c.Evict()
	}
	c.flushingAt.Store(0)
	c.waiting = nil
	c.account.Close()
	c.account = nil
	if c.closing {
		_ = c.end()
	}
}

// Close implements net.Conn. Bytes that wait for the caller are written first, in the background.
func (c *Conn) Close() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if len(c.waiting) > 0 && c.writeErr == nil && !c.evicted.Load() {
		c.closing = true
		c.setPhase(idle)
		return nil
	}
	return c.end()
}

// end closes the connection and removes it from the listener.
func (c *Conn) end() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if ok && c.lingers.Swap(false) && !c.evicted.Load() && tcp.CloseWrite() == nil {
		c.setPhase(idle)
		go c.linger(tcp)
		return nil
	}
	err := c.Conn.Close()
	c.listener.remove(c)
	return err
}

// linger discards what the caller still sends, for a while, and closes the connection.
func (c *Conn) linger(tcp *net.TCPConn) {
	var buffer [lingerBufferBytes]byte
	if tcp.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		for discarded := 0; discarded < maxLingerBytes; {
			n, err := tcp.Read(buffer[:])
			discarded += n
			if err != nil {
				break
			}
		}
	}
	_ = tcp.Close()
	c.listener.remove(c)
}
