// Package rpc carries drpc calls between the processes of geraniumpitch. Every
// unary call has a deadline; a call that times out drops all cached connections
// to that peer, because a connection can go silent for good while new ones work.
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
	// idleExpiry closes cached connections that were not used for this long.
	idleExpiry = 60 * time.Second
	// keyCapacity bounds the cached connections to one peer.
	keyCapacity = 8
)

// Counters counts the bytes of all connections of one process.
type Counters struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

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
	mux      *drpcmux.Mux
	tls      *tls.Config
	counters *Counters
	log      *slog.Logger
}

// NewServer returns a server without services. A nil TLS configuration means
// plain TCP, for trials only.
func NewServer(tlsConfig *tls.Config, counters *Counters, log *slog.Logger) *Server {
	return &Server{mux: drpcmux.New(), tls: tlsConfig, counters: counters, log: log}
}

// Mux returns the mux on which the generated DRPCRegister functions register.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Listen accepts calls on address (an IP and a port) until ctx ends. It returns
// once the address is bound.
func (s *Server) Listen(ctx context.Context, address string) error {
	base, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen for peers on %s", address)
	}
	var listener net.Listener = countedListener{Listener: base, counters: s.counters}
	if s.tls != nil {
		listener = tls.NewListener(listener, s.tls)
	}
	server := drpcserver.New(s.mux)
	go func() {
		if err := server.Serve(ctx, listener); err != nil && ctx.Err() == nil {
			s.log.Error("peer listener failed", "address", address, "error", err)
		}
	}()
	return nil
}

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

// peerKey names one generation of connections to a peer.
type peerKey struct {
	address    string
	generation uint64
}

// Dialer keeps connections to other processes.
type Dialer struct {
	pool     *drpcpool.Pool[peerKey, *drpcconn.Conn]
	tls      *tls.Config
	counters *Counters
	source   net.Addr

	mu          sync.Mutex
	generations map[string]uint64
}

// NewDialer returns a dialer without connections.
func NewDialer(tlsConfig *tls.Config, counters *Counters) *Dialer {
	return &Dialer{
		pool: drpcpool.New[peerKey, *drpcconn.Conn](drpcpool.Options{
			Expiration: idleExpiry, KeyCapacity: keyCapacity,
		}),
		tls: tlsConfig, counters: counters, generations: map[string]uint64{},
	}
}

// BindSource makes connections leave from the IP of address (an IP and a port),
// so that firewalls between data centres can tell who calls. It must be called
// before the first call.
func (d *Dialer) BindSource(address string) error {
	source, err := SourceOf(address)
	if err != nil {
		return err
	}
	d.source = source
	return nil
}

// SourceOf returns the local address for connections that leave from the IP of
// address, with any port.
func SourceOf(address string) (net.Addr, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "source address %q", address)
	}
	if ap.Addr().IsUnspecified() {
		return nil, nil
	}
	return &net.TCPAddr{IP: ap.Addr().AsSlice()}, nil
}

// Close closes the cached connections.
func (d *Dialer) Close() error { return d.pool.Close() }

func (d *Dialer) key(address string) peerKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	return peerKey{address: address, generation: d.generations[address]}
}

// Drop makes later calls to address use new connections.
func (d *Dialer) Drop(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generations[address]++
}

func (d *Dialer) dial(ctx context.Context, key peerKey) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nd := net.Dialer{LocalAddr: d.source}
	raw, err := nd.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, &DialError{Address: key.address, Err: err}
	}
	var conn net.Conn = &countedConn{Conn: raw, counters: d.counters}
	if d.tls != nil {
		client := tls.Client(conn, d.tls)
		if err := client.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, &DialError{Address: key.address, Err: err}
		}
		conn = client
	}
	return drpcconn.New(conn), nil
}

// DialError tells that no connection was made, so nothing was sent.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return "dial " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Conn returns a connection on which a generated client makes calls or opens a
// stream. It dials on first use; an open stream has a TCP connection of its own.
func (d *Dialer) Conn(address string) drpc.Conn {
	return d.pool.Get(context.Background(), d.key(address), d.dial)
}

// Call runs one unary call with a deadline. When the deadline passes, the
// cached connections to the peer are dropped.
func Call[Response any](
	ctx context.Context, d *Dialer, address string, timeout time.Duration,
	fn func(ctx context.Context, conn drpc.Conn) (Response, error),
) (Response, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := fn(callCtx, d.Conn(address))
	if err != nil && errors.Is(callCtx.Err(), context.DeadlineExceeded) {
		d.Drop(address)
	}
	return response, err
}
