// Package faultproxy forwards TCP connections and injects network faults, for tests that run the real
// programs as separate processes.
package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Proxy forwards TCP connections to a target address and injects network
// faults. It identifies the instance that opened a connection by the source IP.
type Proxy struct {
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

// Start returns a proxy that listens at an address and forwards to a target.
func Start(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", address)
	}
	p := &Proxy{targetAddress: target, listener: listener, conns: map[*proxiedConn]struct{}{}}
	go p.acceptConnections()
	return p, nil
}

// Address returns the address that the proxy listens at.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Target returns the address that the proxy forwards to.
func (p *Proxy) Target() string { return p.targetAddress }

// Close stops the proxy and closes all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Block(func(netip.Addr) bool { return true })
}

func (p *Proxy) acceptConnections() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handleConnection(conn)
	}
}

func (p *Proxy) handleConnection(client net.Conn) {
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

func (p *Proxy) forward(c *proxiedConn, destination, source net.Conn) {
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

// Block closes the connections from the sources that match and refuses new ones.
func (p *Proxy) Block(blocked func(source netip.Addr) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	for c := range p.conns {
		if blocked(c.source) {
			c.close()
		}
	}
}

// Unblock accepts new connections from all sources again.
func (p *Proxy) Unblock() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = nil
}

// Blackhole discards all further data on the existing connections, without
// closing them, and returns their number. New connections are not affected.
func (p *Proxy) Blackhole() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		c.discard = true
		c.mu.Unlock()
	}
	return len(p.conns)
}

// SetDelay delays all further data in both directions.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}
