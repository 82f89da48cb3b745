package e2e

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// relay forwards TCP from one address to another and causes network faults.
// The source IP of a connection tells which instance opened it.
type relay struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	refuse func(source netip.Addr) bool
	delay  time.Duration
	conns  map[*relayed]struct{}
}

// relayed is one forwarded connection.
type relayed struct {
	source        netip.Addr
	client, outer net.Conn
	mu            sync.Mutex
	swallow       bool
}

func (c *relayed) close() {
	_ = c.client.Close()
	_ = c.outer.Close()
}

func startRelay(t testing.TB, address, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{target: target, listener: listener, conns: map[*relayed]struct{}{}}
	go r.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		r.cut(func(netip.Addr) bool { return true })
	})
	return r
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *relay) serve(client net.Conn) {
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	r.mu.Lock()
	refused := r.refuse != nil && r.refuse(source)
	r.mu.Unlock()
	if refused {
		_ = client.Close()
		return
	}
	outer, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &relayed{source: source.Unmap(), client: client, outer: outer}
	r.mu.Lock()
	r.conns[c] = struct{}{}
	r.mu.Unlock()
	go r.copy(c, outer, client)
	r.copy(c, client, outer)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *relay) copy(c *relayed, to, from net.Conn) {
	defer c.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.mu.Lock()
			delay := r.delay
			r.mu.Unlock()
			time.Sleep(delay)
			c.mu.Lock()
			swallow := c.swallow
			c.mu.Unlock()
			if !swallow {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			if err == io.EOF {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
			}
			return
		}
	}
}

// cut closes the connections of the given sources and refuses new ones.
func (r *relay) cut(refuse func(source netip.Addr) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = refuse
	for c := range r.conns {
		if refuse(c.source) {
			c.close()
		}
	}
}

// heal lets new connections through again.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = nil
}

// silence makes the existing connections swallow all data while new ones work.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.mu.Lock()
		c.swallow = true
		c.mu.Unlock()
	}
	return len(r.conns)
}
