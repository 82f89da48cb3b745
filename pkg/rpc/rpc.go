// Package rpc implements drpc clients and servers for calls between the processes of
// geraniumpitch. Every unary call has a deadline. A call that times out invalidates
// all cached connections to the peer, because an established connection can stop
// responding permanently while new connections work.
package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
)

const (
	dialTimeout = 200 * time.Millisecond
	// idleTimeout is the time after which an unused cached connection is closed.
	idleTimeout = 60 * time.Second
	// maxCachedConnsPerPeer limits the cached connections to one peer.
	maxCachedConnsPerPeer = 8
)

// Counters counts the bytes of all connections of one process.
type Counters struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// countedConn counts the bytes that a connection sends and receives.
type countedConn struct {
	net.Conn
	counters *Counters
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.Received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.Sent.Add(uint64(n))
	return n, err
}

// Server accepts calls from other processes.
type Server struct {
	mux       *drpcmux.Mux
	tlsConfig *tls.Config
	counters  *Counters
	log       *slog.Logger
}

// NewServer returns a server without services. A nil TLS configuration means plain
// TCP, which is for tests only.
func NewServer(tlsConfig *tls.Config, counters *Counters, log *slog.Logger) *Server {
	return &Server{mux: drpcmux.New(), tlsConfig: tlsConfig, counters: counters, log: log}
}

// Mux returns the mux for the generated DRPCRegister functions.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Listen binds address, which has the form ip:port, and returns. Calls are served in
// the background until ctx ends.
func (s *Server) Listen(ctx context.Context, address string) error {
	tcpListener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen for peers on %s", address)
	}
	var listener net.Listener = countedListener{Listener: tcpListener, counters: s.counters}
	if s.tlsConfig != nil {
		listener = tls.NewListener(listener, s.tlsConfig)
	}
	server := drpcserver.New(s.mux)
	go func() {
		if err := server.Serve(ctx, listener); err != nil && ctx.Err() == nil {
			s.log.Error("peer listener failed", "address", address, "error", err)
		}
	}()
	return nil
}

// countedListener counts the bytes of all connections that it accepts.
type countedListener struct {
	net.Listener
	counters *Counters
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, counters: l.counters}, nil
}

// connPoolKey identifies the cached connections to a peer. After the epoch has been
// incremented, the connections of earlier epochs are not used for new calls.
type connPoolKey struct {
	address string
	epoch   uint64
}

// Dialer opens and caches connections to other processes.
type Dialer struct {
	connPool  *drpcpool.Pool[connPoolKey, *drpcconn.Conn]
	tlsConfig *tls.Config
	counters  *Counters
	source    net.Addr

	mu             sync.Mutex
	epochByAddress map[string]uint64
}

// NewDialer returns a dialer with an empty cache. A nil TLS configuration means plain
// TCP.
func NewDialer(tlsConfig *tls.Config, counters *Counters) *Dialer {
	return &Dialer{
		connPool: drpcpool.New[connPoolKey, *drpcconn.Conn](drpcpool.Options{
			Expiration: idleTimeout, KeyCapacity: maxCachedConnsPerPeer,
		}),
		tlsConfig: tlsConfig, counters: counters, epochByAddress: map[string]uint64{},
	}
}

// BindSource sets the local IP of connections to that of address, which has the form
// ip:port, so that firewalls between data centres can identify the calling instance.
// It must be called before the first connection is opened.
func (d *Dialer) BindSource(address string) error {
	source, err := SourceAddr(address)
	if err != nil {
		return err
	}
	d.source = source
	return nil
}

// SourceAddr returns a local address for outgoing connections: the IP of address, which
// has the form ip:port, with any port. It returns nil if the IP is unspecified.
func SourceAddr(address string) (net.Addr, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "source address %q", address)
	}
	if addrPort.Addr().IsUnspecified() {
		return nil, nil
	}
	return &net.TCPAddr{IP: addrPort.Addr().AsSlice()}, nil
}

// Close closes the cached connections.
func (d *Dialer) Close() error { return d.connPool.Close() }

// currentKey returns the key of the cached connections of the current epoch of a peer.
func (d *Dialer) currentKey(address string) connPoolKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	return connPoolKey{address: address, epoch: d.epochByAddress[address]}
}

// Invalidate invalidates the cached connections to address; later calls use new ones.
func (d *Dialer) Invalidate(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epochByAddress[address]++
}

// dial opens a connection, including the TLS handshake, within dialTimeout.
func (d *Dialer) dial(ctx context.Context, key connPoolKey) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	netDialer := net.Dialer{LocalAddr: d.source}
	tcpConn, err := netDialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, &DialError{Address: key.address, Err: err}
	}
	var conn net.Conn = &countedConn{Conn: tcpConn, counters: d.counters}
	if d.tlsConfig != nil {
		tlsConn := tls.Client(conn, d.tlsConfig)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = tcpConn.Close()
			return nil, &DialError{Address: key.address, Err: err}
		}
		conn = tlsConn
	}
	return drpcconn.New(conn), nil
}

// DialError reports that no connection was made, so nothing was sent.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return "dial " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *DialError) Unwrap() error { return e.Err }

// Conn returns a connection for a generated client. It is dialled on first use. Each
// open stream uses a separate TCP connection.
func (d *Dialer) Conn(address string) drpc.Conn {
	return d.connPool.Get(context.Background(), d.currentKey(address), d.dial)
}

// Call runs a unary call with a timeout. If the timeout expires, the cached
// connections to the peer are invalidated.
func Call[Response any](
	ctx context.Context, d *Dialer, address string, timeout time.Duration,
	call func(ctx context.Context, conn drpc.Conn) (Response, error),
) (Response, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := call(callCtx, d.Conn(address))
	if err != nil && errors.Is(callCtx.Err(), context.DeadlineExceeded) {
		d.Invalidate(address)
	}
	return response, err
}
