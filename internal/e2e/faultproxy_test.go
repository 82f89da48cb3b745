package e2e

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// faultProxy forwards TCP connections to a target address and injects network
// faults. It identifies the instance that opened a connection by the source IP.
type faultProxy struct {
	targetAddress string
	listener      net.Listener

	mu      sync.Mutex
	blocked func(source netip.Addr) bool
	delay   time.Duration
	conns   map[*proxiedConn]struct{}
}

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	source         netip.Addr
	client, target net.Conn
	mu             sync.Mutex
	discard        bool
}

func (c *proxiedConn) close() {
	_ = c.client.Close()
	_ = c.target.Close()
}

func startFaultProxy(t testing.TB, address, target string) *faultProxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{targetAddress: target, listener: listener, conns: map[*proxiedConn]struct{}{}}
	go p.acceptConnections()
	t.Cleanup(func() {
		_ = listener.Close()
		p.block(func(netip.Addr) bool { return true })
	})
	return p
}

func (p *faultProxy) acceptConnections() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handleConnection(conn)
	}
}

func (p *faultProxy) handleConnection(client net.Conn) {
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	p.mu.Lock()
	reject := p.blocked != nil && p.blocked(source)
	p.mu.Unlock()
	if reject {
		_ = client.Close()
		return
	}
	target, err := net.Dial("tcp", p.targetAddress)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxiedConn{source: source.Unmap(), client: client, target: target}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	go p.forward(c, target, client)
	p.forward(c, client, target)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *faultProxy) forward(c *proxiedConn, destination, source net.Conn) {
	defer c.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			p.mu.Lock()
			delay := p.delay
			p.mu.Unlock()
			time.Sleep(delay)
			c.mu.Lock()
			discard := c.discard
			c.mu.Unlock()
			if !discard {
				if _, err := destination.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			if err == io.EOF {
				if tcp, ok := destination.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
			}
			return
		}
	}
}

// block closes the connections from the sources that match and refuses new ones.
func (p *faultProxy) block(blocked func(source netip.Addr) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	for c := range p.conns {
		if blocked(c.source) {
			c.close()
		}
	}
}

// unblock accepts new connections from all sources again.
func (p *faultProxy) unblock() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = nil
}

// blackhole discards all further data on the existing connections, without
// closing them, and returns their number. New connections are not affected.
func (p *faultProxy) blackhole() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		c.discard = true
		c.mu.Unlock()
	}
	return len(p.conns)
}
