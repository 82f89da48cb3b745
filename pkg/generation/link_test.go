package generation

import (
	"net"
	"sync"
	"time"

	"github.com/frankban/quicktest"
)

// links holds the network links of a cluster, by the instance that dials and
// the address that it dials.
type links struct {
	c     *cluster
	delay time.Duration
	mu    sync.Mutex
	all   map[[2]string]*link
}

func newLinks(c *cluster, delay time.Duration) *links {
	return &links{c: c, delay: delay, all: map[[2]string]*link{}}
}

func (l *links) to(from, address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := [2]string{from, address}
	if l.all[key] == nil {
		l.all[key] = newLink(l.c, address, l.delay)
	}
	return l.all[key]
}

func (l *links) each(f func(from, to string, k *link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, k := range l.all {
		f(key[0], key[1], k)
	}
}

// link forwards connections with a delay, and can hold them up or silence them.
type link struct {
	address string
	target  string
	delay   time.Duration

	mu     sync.Mutex
	paused chan struct{}
	conns  []*linkConn
	bytes  int
}

type linkConn struct {
	mu     sync.Mutex
	silent bool
}

func newLink(c *cluster, target string, delay time.Duration) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	l := &link{address: listener.Addr().String(), target: target, delay: delay}
	c.Cleanup(func() { listener.Close(); l.pause(false) })
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
	l.thaw()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		in.Close()
		return
	}
	k := &linkConn{}
	l.mu.Lock()
	l.conns = append(l.conns, k)
	l.mu.Unlock()
	go l.pump(k, in, out)
	l.pump(k, out, in)
}

type chunk struct {
	data []byte
	due  time.Time
}

// pump forwards one direction. The end of a silent connection is not passed on.
func (l *link) pump(k *linkConn, from, to net.Conn) {
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
		l.thaw()
		if k.isSilent() {
			continue
		}
		l.count(len(c.data))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	l.thaw()
	if !k.isSilent() {
		from.Close()
		to.Close()
	}
}

func (l *link) count(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += n
}

func (k *linkConn) isSilent() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silent
}

// silence drops all that open connections carry from now on; new ones work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.conns {
		k.mu.Lock()
		k.silent = true
		k.mu.Unlock()
	}
}

// pause holds up all traffic, without loss.
func (l *link) pause(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case paused && l.paused == nil:
		l.paused = make(chan struct{})
	case !paused && l.paused != nil:
		close(l.paused)
		l.paused = nil
	}
}

func (l *link) thaw() {
	l.mu.Lock()
	paused := l.paused
	l.mu.Unlock()
	if paused != nil {
		<-paused
	}
}
