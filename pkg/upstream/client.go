// Package upstream sends requests to backend servers over HTTP/1.1. It pools
// connections, distinguishes requests that were not sent from those that may have run,
// and never returns bytes of one response as part of another.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/httpstrict"
)

const (
	// dialTimeout bounds a connection attempt: a few round trips within a region.
	dialTimeout = 150 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server sends no
	// keep-alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutMargin is subtracted from the server's keep-alive timeout, so that no
	// request is sent while the server closes the connection.
	idleTimeoutMargin = time.Second
	// asyncBodyBytes is the body size above which a request is written concurrently with
	// reading the response: a server may respond before it has read the body.
	asyncBodyBytes = 32 << 10
	// maxUnmatchedResponses bounds the responses to other requests and the informational
	// ones that are skipped before the awaited response.
	maxUnmatchedResponses = 2
	// maxHeadBytes bounds the head of a response; that of callers' requests has the same bound.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the body of a response to another request that is skipped.
	maxSkippedBytes = 256 << 10
	// maxCarriedIDs bounds the requests of a connection that are remembered.
	maxCarriedIDs = 64
	// readBufferBytes is the read buffer of a connection; responses are about 800 bytes.
	readBufferBytes = 2 << 10
)

// NotSentError means that no byte of the request was sent to the backend server.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// ErrTooManyConnections is the cause of a NotSentError when the limit for connections to
// the backend server is reached.
var ErrTooManyConnections = eris.New("the connection limit of the backend server is reached")

// ErrTooLarge is the cause of an error when a backend server sends more than a bound allows. Its
// connection is closed.
var ErrTooLarge = eris.New("the backend server sends more bytes than allowed")

// errTooManyBytes is the cause of a NotSentError when the requests that the backend server holds would exceed the limit
// for their bytes. It counts as ErrTooManyConnections: the server can be reached, and is sent nothing more now.
var errTooManyBytes error = tooManyBytesError{}

type tooManyBytesError struct{}

// Error implements error.
func (tooManyBytesError) Error() string {
	return "the requests of this process at the backend server have too many bytes"
}

// Is implements the interface that errors.Is uses.
func (tooManyBytesError) Is(target error) bool { return target == ErrTooManyConnections }

var (
	errUnmatchedResponse    = eris.New("the connection carries responses to other requests")
	errUnidentifiedResponse = eris.New("the response names no request and the connection has carried others")
)

// Request is a request to a backend server.
type Request struct {
	// ID identifies the request, also when it is sent again; empty if it is sent once only. No
	// connection carries the same request twice: a faulty server may repeat an earlier response to it.
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the beginning of the body, and BodyRest what follows it.
	Body     []byte
	BodyRest [][]byte
	// MaxBytesInFlight bounds the bytes of the unanswered requests to the backend server, with this one; 0 is no
	// limit. A request is always sent if there is no other.
	MaxBytesInFlight int64
	// Matches reports whether a response with the given headers belongs to this request. If it is nil, every response
	// does, and the request is the first one of its connection: there are no late responses to earlier ones.
	Matches func(http.Header) bool
	// Unidentified is set for a request whose ID servers may leave out of their responses. It reports whether a response
	// with the given headers names no request. Such a response is accepted only if the request is the first one of its
	// connection: behind another one, it may be a late response to that. The request is therefore sent over an unused
	// connection, or one on which the server has named a request of this kind.
	Unidentified func(http.Header) bool
}

// Client sends requests to backend servers and pools the connections to them.
type Client struct {
	dialer net.Dialer

	mu sync.Mutex
	// pools holds the connections by the address of the backend server.
	pools map[string]*connPool
}

// connPool holds the connections to one backend server.
type connPool struct {
	idle []*conn
	// open counts all connections, the idle ones and those in use.
	open int
	// bytes counts the bytes of the requests that are sent, or about to be, and not answered completely.
	bytes int64
}

// conn is a connection to a backend server.
type conn struct {
	*httpstrict.Conn
	// limit bounds what reader reads.
	limit  *readLimit
	reader *bufio.Reader
	// expiresAt is when the server may close the idle connection.
	expiresAt time.Time
	// used is set when the connection has carried a request.
	used bool
	// identifies is set when the server has named a request whose identifier it may leave out.
	identifies bool
	// inFlight counts the bytes of the request that the connection carries.
	inFlight int64
	// carriedIDs are the identifiers of the latest requests, the latest last.
	carriedIDs []string
}

// canCarry reports whether the response to a request can be told from late ones to the earlier requests of the
// connection.
func (c *conn) canCarry(r *Request) bool {
	if r.Matches == nil || r.Unidentified != nil && !c.identifies {
		return !c.used
	}
	return r.ID == "" || !slices.Contains(c.carriedIDs, r.ID)
}

// carry records that a request is sent over the connection.
func (c *conn) carry(id string) {
	c.used = true
	if id != "" {
		c.carriedIDs = append(c.carriedIDs, id)
		c.carriedIDs = slices.Delete(c.carriedIDs, 0, max(0, len(c.carriedIDs)-maxCarriedIDs))
	}
}

func newConn(raw net.Conn) *conn {
	strict := httpstrict.NewConn(raw)
	limit := &readLimit{conn: strict, remaining: noLimit}
	return &conn{Conn: strict, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}
}

// noLimit is the value of readLimit.remaining without a bound.
const noLimit = -1

// readLimit reads from a connection and fails with ErrTooLarge after a number of bytes.
type readLimit struct {
	conn      net.Conn
	remaining int
}

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if l.remaining == noLimit {
		return l.conn.Read(p)
	}
	if l.remaining == 0 {
		return 0, ErrTooLarge
	}
	n, err := l.conn.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// NewClient returns a client that connects from the local address source, or from any
// address if source is nil.
func NewClient(source net.Addr) *Client {
	return &Client{dialer: net.Dialer{Timeout: dialTimeout, LocalAddr: source, KeepAlive: -1}, pools: map[string]*connPool{}}
}

// Response is a response whose body has not been read. Its receiver must call Release or
// Abort.
type Response struct {
	*http.Response
	client  *Client
	address string
	conn    *conn
	// written is closed when the request has been written or writing has failed.
	written  chan struct{}
	writeErr error
	// stopContextWatch ends the watch that closes the connection when the context ends. It
	// returns false if the context has already ended.
	stopContextWatch func() bool
	// first means that the connection has carried no other request.
	first bool
	// finished is set by Release and Abort.
	finished bool
}

// Do sends a request over one of at most maxConnections connections to a backend server
// and returns the response; a maxConnections of 0 means no limit. A NotSentError means that nothing was sent;
// after any other error the request may have run. When ctx ends, the connection is closed.
func (c *Client) Do(ctx context.Context, address string, maxConnections int, r *Request) (*Response, error) {
	head := r.encodeHead()
	size := int64(len(head) + r.bodySize())
	cn, err := c.acquire(ctx, address, maxConnections, r, size)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	response := &Response{client: c, address: address, conn: cn, first: !cn.used, written: make(chan struct{})}
	cn.carry(r.ID)
	response.stopContextWatch = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if r.bodySize() > asyncBodyBytes {
		go response.writeRequest(head, append([][]byte{r.Body}, r.BodyRest...))
	} else {
		head = append(head, r.Body...)
		for _, part := range r.BodyRest {
			head = append(head, part...)
		}
		response.writeRequest(head, nil)
		if response.writeErr != nil && !response.hasResponseBytes() {
			response.Abort()
			return nil, eris.Wrapf(response.writeErr, "write the request to %s", address)
		}
	}
	if err := response.readResponseHead(r); err != nil {
		response.Abort()
		return nil, err
	}
	return response, nil
}

// hasResponseBytes reports whether bytes of a response arrived although the request
// could not be written completely.
func (r *Response) hasResponseBytes() bool {
	_, err := r.conn.reader.Peek(1)
	return err == nil
}

// writeRequest writes the head and the body of the request to the connection.
func (r *Response) writeRequest(head []byte, body [][]byte) {
	defer close(r.written)
	_, r.writeErr = r.conn.Write(head)
	for _, part := range body {
		if r.writeErr != nil {
			return
		}
		_, r.writeErr = r.conn.Write(part)
	}
}

// readResponseHead reads the head of the awaited response and skips informational
// responses and responses to other requests before it.
func (r *Response) readResponseHead(request *Request) error {
	for range maxUnmatchedResponses + 1 {
		r.conn.limit.remaining = maxHeadBytes
		response, err := httpstrict.ReadResponse(r.conn.Conn, r.conn.reader, &http.Request{Method: request.Method})
		r.conn.limit.remaining = noLimit
		if err != nil {
			return eris.Wrapf(err, "read the head of the response from %s", r.address)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Matches == nil || request.Matches(response.Header) {
			r.conn.identifies = r.conn.identifies || request.Unidentified != nil
			r.Response = response
			return nil
		}
		if request.Unidentified != nil && request.Unidentified(response.Header) {
			if !r.first {
				return errUnidentifiedResponse
			}
			r.Response = response
			return nil
		}
		if endsWithConnection(response) {
			return errUnmatchedResponse
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
		if err == nil && skipped > maxSkippedBytes {
			err = ErrTooLarge
		}
		if err != nil {
			return eris.Wrapf(err, "skip a response of %s to another request", r.address)
		}
	}
	return errUnmatchedResponse
}

// EndsWithConnection reports whether only the end of the connection ends the body, which has
// neither a length nor chunks.
func (r *Response) EndsWithConnection() bool { return endsWithConnection(r.Response) }

func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// Read reads the body. It returns io.EOF when the response is complete.
func (r *Response) Read(p []byte) (int, error) { return r.Body.Read(p) }

// ReadAll reads the whole body and releases the connection. It aborts the response and returns
// ErrTooLarge if the body has more than limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		body, err = body[:limit], ErrTooLarge
	}
	if err != nil {
		r.Abort()
		return body, err
	}
	r.Release()
	return body, nil
}

// Release returns the connection to the pool after the response was read completely, if
// it can carry another request, and closes it otherwise.
func (r *Response) Release() {
	if r.finished {
		return
	}
	r.finished = true
	keep := r.stopContextWatch()
	select {
	case <-r.written:
		keep = keep && r.writeErr == nil
	default:
		keep = false
	}
	if !keep || r.Close || r.conn.reader.Buffered() > 0 {
		r.client.discard(r.address, r.conn)
		return
	}
	r.conn.expiresAt = time.Now().Add(idleTimeout(r.Header))
	r.client.putIdle(r.address, r.conn)
}

// Abort closes the connection, upon which the backend server cancels the request.
func (r *Response) Abort() {
	if r.finished {
		return
	}
	r.finished = true
	r.stopContextWatch()
	r.client.discard(r.address, r.conn)
}

// idleTimeout returns how long a connection may be kept idle after a response.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}

// bodySize returns the size of the body in bytes.
func (r *Request) bodySize() int {
	size := len(r.Body)
	for _, part := range r.BodyRest {
		size += len(part)
	}
	return size
}

// encodeHead returns the request line and the headers.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer does not fail.
	_ = r.Header.Write(&b)
	if size := r.bodySize(); size > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// acquire returns an idle connection that is still open and can carry the request, or opens a new one.
func (c *Client) acquire(ctx context.Context, address string, maxConnections int, r *Request, size int64) (*conn, error) {
	for {
		cn, err := c.acquireIdle(address, maxConnections, r, size)
		if err != nil {
			return nil, err
		}
		if cn == nil {
			break
		}
		if time.Now().Before(cn.expiresAt) && cn.canCarry(r) && reusable(cn) {
			return cn, nil
		}
		c.discard(address, cn)
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.mu.Lock()
		c.pools[address].open--
		c.pools[address].bytes -= size
		c.mu.Unlock()
		return nil, err
	}
	cn := newConn(raw)
	cn.inFlight = size
	return cn, nil
}

// acquireIdle returns the most recently used idle connection that can carry the request. If there is none,
// it returns nil and already counts the connection that the caller then has to open; if the limit leaves no
// room for that, it returns another idle connection, to be closed.
// The size of the request counts as sent from then on.
func (c *Client) acquireIdle(address string, maxConnections int, r *Request, size int64) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = &connPool{}
		c.pools[address] = p
	}
	if r.MaxBytesInFlight > 0 && p.bytes > 0 && p.bytes+size > r.MaxBytesInFlight {
		return nil, errTooManyBytes
	}
	take := func(i int) *conn {
		cn := p.idle[i]
		p.bytes += size
		cn.inFlight = size
		p.idle = slices.Delete(p.idle, i, i+1)
		return cn
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].canCarry(r) {
			return take(i), nil
		}
	}
	if maxConnections > 0 && p.open >= maxConnections {
		if len(p.idle) == 0 {
			return nil, ErrTooManyConnections
		}
		return take(0), nil
	}
	p.open++
	p.bytes += size
	return nil, nil
}

// putIdle adds a connection to the pool's idle list.
func (c *Client) putIdle(address string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	p.bytes -= cn.inFlight
	cn.inFlight = 0
	p.idle = append(p.idle, cn)
}

// discard closes a connection that is not in the pool's idle list.
func (c *Client) discard(address string, cn *conn) {
	_ = cn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools[address].open--
	c.pools[address].bytes -= cn.inFlight
	cn.inFlight = 0
}

// BytesInFlight returns the bytes of the requests to a backend server that are sent, or about to be, and not
// answered completely.
func (c *Client) BytesInFlight(address string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[address]; p != nil {
		return p.bytes
	}
	return 0
}

// IdleConnections returns the number of idle connections to a backend server.
func (c *Client) IdleConnections(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[address]; p != nil {
		return len(p.idle)
	}
	return 0
}

// CloseIdle closes the idle connections to a backend server. When one connection no
// longer carries data, the others often do not either.
func (c *Client) CloseIdle(address string) {
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

// CloseExpired closes the idle connections that have expired.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	expired := map[string][]*conn{}
	for address, p := range c.pools {
		remaining := p.idle[:0]
		for _, cn := range p.idle {
			if now.Before(cn.expiresAt) {
				remaining = append(remaining, cn)
			} else {
				expired[address] = append(expired[address], cn)
			}
		}
		p.idle = remaining
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

// CanConnect reports whether a backend server accepts a connection, and adds the
// connection to the pool.
func (c *Client) CanConnect(ctx context.Context, address string) bool {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	cn := newConn(raw)
	cn.expiresAt = time.Now().Add(defaultIdleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = &connPool{}
		c.pools[address] = p
	}
	p.open++
	p.idle = append(p.idle, cn)
	return true
}

// Unresponsive reports whether a connection attempt to a backend server times out. A
// server that refuses or resets the connection is running and may only be busy.
func (c *Client) Unresponsive(ctx context.Context, address string) bool {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = raw.Close()
		return false
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Refuses reports whether a backend server refuses a connection at once, as the host of an ended
// process does.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = raw.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// reusable reports whether an idle connection is open and has no unread bytes, which
// would be read as the response to the next request.
func reusable(cn *conn) bool {
	raw, err := cn.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isOpen = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && isOpen
}
