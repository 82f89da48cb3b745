// Package upstream sends requests to backend servers over HTTP/1.1. It keeps
// connections, tells requests that were not sent from those that may have run,
// and never joins bytes of one answer to another.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialLimit bounds a connection attempt: a few round trips within a region.
	dialLimit = 150 * time.Millisecond
	// defaultIdle is how long a connection is kept whose server names no time.
	defaultIdle = 8 * time.Second
	// idleMargin is taken off the time that a server names, so that a request
	// does not cross its close.
	idleMargin = time.Second
	// asyncBody is the body size from which on a request is written beside
	// reading the answer: a server may answer before it reads the body.
	asyncBody = 32 << 10
	// maxForeign bounds the answers to other requests that are skipped in front
	// of the awaited one.
	maxForeign = 2
	// readerBytes is the buffer of a connection; answers are about 800 bytes.
	readerBytes = 2 << 10
)

// NotSentError tells that the backend server got nothing of the request.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// ErrTooMany is the cause of a NotSentError when all connections are in use.
var ErrTooMany = eris.New("all connections to the backend server are in use")

var errForeign = eris.New("the connection carries answers to other requests")

// Request is what is sent to a backend server.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Own tells whether an answer belongs to this request.
	Own func(http.Header) bool
}

// Client keeps connections to backend servers.
type Client struct {
	dialer net.Dialer

	mu    sync.Mutex
	pools map[string]*pool
}

type pool struct {
	idle []*conn
	open int
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	// expires is when the server may close the idle connection.
	expires time.Time
	reused  bool
}

// NewClient returns a client whose connections leave from source, nil for any address.
func NewClient(source net.Addr) *Client {
	return &Client{dialer: net.Dialer{Timeout: dialLimit, LocalAddr: source, KeepAlive: -1}, pools: map[string]*pool{}}
}

// Response is an answer whose body is still to be read.
type Response struct {
	*http.Response
	client  *Client
	address string
	conn    *conn
	// written is closed when the request was written.
	written  chan struct{}
	writeErr error
	stop     func() bool
	ended    bool
}

// Do sends a request. A NotSentError tells that nothing was sent; after any other
// error the request may have run. When ctx ends, the connection is closed.
func (c *Client) Do(ctx context.Context, address string, limit int, r *Request) (*Response, error) {
	cn, err := c.take(ctx, address, limit)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	response := &Response{client: c, address: address, conn: cn, written: make(chan struct{})}
	response.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	head := r.head()
	if len(r.Body) > asyncBody {
		go response.write(head, r.Body)
	} else {
		response.write(append(head, r.Body...), nil)
		if response.writeErr != nil && !response.hasAnswer() {
			response.Abort()
			return nil, eris.Wrap(response.writeErr, "send the request")
		}
	}
	if err := response.readHead(r); err != nil {
		response.Abort()
		return nil, err
	}
	return response, nil
}

// hasAnswer tells whether bytes arrived although the request could not be
// written as a whole.
func (r *Response) hasAnswer() bool {
	_, err := r.conn.reader.Peek(1)
	return err == nil
}

func (r *Response) write(head, body []byte) {
	defer close(r.written)
	if _, r.writeErr = r.conn.Write(head); r.writeErr == nil && len(body) > 0 {
		_, r.writeErr = r.conn.Write(body)
	}
}

// readHead reads the head of the awaited answer and skips answers to other
// requests in front of it.
func (r *Response) readHead(request *Request) error {
	for range maxForeign + 1 {
		response, err := http.ReadResponse(r.conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return eris.Wrap(err, "read the answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Own == nil || request.Own(response.Header) {
			r.Response = response
			return nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return errForeign
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return eris.Wrap(err, "skip an answer to another request")
		}
	}
	return errForeign
}

// Read reads the body. io.EOF means that the answer is complete.
func (r *Response) Read(p []byte) (int, error) { return r.Body.Read(p) }

// Finish keeps the connection after a completely read answer, if it can carry
// another request.
func (r *Response) Finish() {
	if r.ended {
		return
	}
	r.ended = true
	alive := r.stop()
	select {
	case <-r.written:
		alive = alive && r.writeErr == nil
	default:
		alive = false
	}
	if !alive || r.Close || r.conn.reader.Buffered() > 0 {
		r.client.discard(r.address, r.conn)
		return
	}
	r.conn.expires = time.Now().Add(idleTime(r.Header))
	r.client.put(r.address, r.conn)
}

// Abort closes the connection; the backend server drops the request.
func (r *Response) Abort() {
	if r.ended {
		return
	}
	r.ended = true
	r.stop()
	r.client.discard(r.address, r.conn)
}

// idleTime returns how long a connection may be kept after an answer.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}

func (r *Request) head() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer does not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// take returns an idle connection that is still open, or a new one.
func (c *Client) take(ctx context.Context, address string, limit int) (*conn, error) {
	for {
		cn, err := c.takeIdle(address, limit)
		if err != nil {
			return nil, err
		}
		if cn == nil {
			break
		}
		if time.Now().Before(cn.expires) && quiet(cn) {
			cn.reused = true
			return cn, nil
		}
		c.discard(address, cn)
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.mu.Lock()
		c.pools[address].open--
		c.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readerBytes)}, nil
}

// takeIdle returns the connection used last, or nil after it reserved room for a new one.
func (c *Client) takeIdle(address string, limit int) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	if n := len(p.idle); n > 0 {
		cn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return cn, nil
	}
	if limit > 0 && p.open >= limit {
		return nil, ErrTooMany
	}
	p.open++
	return nil, nil
}

func (c *Client) put(address string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	p.idle = append(p.idle, cn)
}

func (c *Client) discard(address string, cn *conn) {
	_ = cn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools[address].open--
}

// Idle returns the number of idle connections to a backend server.
func (c *Client) Idle(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[address]; p != nil {
		return len(p.idle)
	}
	return 0
}

// Drop closes the idle connections to a backend server: when one connection is
// silent, the others often are too.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	p := c.pools[address]
	var idle []*conn
	if p != nil {
		idle, p.idle = p.idle, nil
	}
	c.mu.Unlock()
	for _, cn := range idle {
		c.discard(address, cn)
	}
}

// Sweep closes idle connections that have expired.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	expired := map[string][]*conn{}
	for address, p := range c.pools {
		kept := p.idle[:0]
		for _, cn := range p.idle {
			if now.Before(cn.expires) {
				kept = append(kept, cn)
			} else {
				expired[address] = append(expired[address], cn)
			}
		}
		p.idle = kept
		if p.open == 0 {
			delete(c.pools, address)
		}
	}
	c.mu.Unlock()
	for address, conns := range expired {
		for _, cn := range conns {
			c.discard(address, cn)
		}
	}
}

// Reach tells whether a backend server accepts a connection, and keeps it.
func (c *Client) Reach(ctx context.Context, address string) bool {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	cn := &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readerBytes), expires: time.Now().Add(defaultIdle)}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	p.open++
	p.idle = append(p.idle, cn)
	return true
}

// Silent tells whether a backend server does not answer a connection attempt at
// all. One that refuses or resets it is there, and may only be busy.
func (c *Client) Silent(ctx context.Context, address string) bool {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = raw.Close()
		return false
	}
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// quiet tells whether an idle connection is open and carries no bytes: bytes
// that no request asked for would be taken for the next answer.
func quiet(cn *conn) bool {
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
