package generation

import (
	"net"
	"sync"
	"time"

	"github.com/frankban/quicktest"
)

// links holds the network links of a cluster, keyed by the dialing instance and
// the dialed address.
type links struct {
	c       *cluster
	delay   time.Duration
	mu      sync.Mutex
	byRoute map[[2]string]*link
}

func newLinks(c *cluster, delay time.Duration) *links {
	return &links{c: c, delay: delay, byRoute: map[[2]string]*link{}}
}

func (l *links) between(from, address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := [2]string{from, address}
	if l.byRoute[key] == nil {
		l.byRoute[key] = newLink(l.c, address, l.delay)
	}
	return l.byRoute[key]
}

func (l *links) forEach(f func(from, to string, k *link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, route := range l.byRoute {
		f(key[0], key[1], route)
	}
}

// link is a TCP proxy that adds a delay and can pause or silence its connections.
type link struct {
	address string
	target  string
	delay   time.Duration

	mu             sync.Mutex
	unpaused       chan struct{}
	conns          []*linkConn
	forwardedBytes int
}

type linkConn struct {
	mu     sync.Mutex
	silent bool
}

func newLink(c *cluster, target string, delay time.Duration) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	l := &link{address: listener.Addr().String(), target: target, delay: delay}
	c.Cleanup(func() { listener.Close(); l.setPaused(false) })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(in)
		}
	}()
	return l
}

func (l *link) serve(in net.Conn) {
	l.waitUnpaused()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		in.Close()
		return
	}
	conn := &linkConn{}
	l.mu.Lock()
	l.conns = append(l.conns, conn)
	l.mu.Unlock()
	go l.forward(conn, in, out)
	l.forward(conn, out, in)
}

type chunk struct {
	data []byte
	due  time.Time
}

// forward copies the data of one direction. It does not propagate the close of a
// silent connection.
func (l *link) forward(conn *linkConn, from, to net.Conn) {
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- chunk{data: buffer[:n], due: time.Now().Add(l.delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		l.waitUnpaused()
		if conn.isSilent() {
			continue
		}
		l.addForwarded(len(c.data))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	l.waitUnpaused()
	if !conn.isSilent() {
		from.Close()
		to.Close()
	}
}

func (l *link) addForwarded(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forwardedBytes += n
}

func (c *linkConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// silence drops all further data of the open connections; new connections work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.mu.Lock()
		conn.silent = true
		conn.mu.Unlock()
	}
}

// setPaused delays all traffic until it is called with false; no data is lost.
func (l *link) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case paused && l.unpaused == nil:
		l.unpaused = make(chan struct{})
	case !paused && l.unpaused != nil:
		close(l.unpaused)
		l.unpaused = nil
	}
}

func (l *link) waitUnpaused() {
	l.mu.Lock()
	paused := l.unpaused
	l.mu.Unlock()
	if paused != nil {
		<-paused
	}
}
