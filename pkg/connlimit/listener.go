// Package connlimit bounds what connections of callers may take of a process: their number, the heads of requests,
// and the bytes of responses that wait for a slow caller. All bytes are accounted in a membudget.Budget.
package connlimit

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/membudget"
)

const (
	// victimShare is the part of the connections that are closed at once when there are too many, which bounds
	// the cost of finding them.
	victimShare = 1. / 32
	// overflowShare is the part of the bound by which connections may exceed it, so that a request can be refused
	// when every connection is in use.
	overflowShare = 1. / 8
	// idleWeight is the weight of the time of an idle connection that has served a request: those that have
	// not sent a whole one for a third of the time are closed before it.
	idleWeight = 1. / 3
	// defaultBufferBytes is the default bound of the bytes that wait for one caller. A stream of 130 events has
	// about 30 KB.
	defaultBufferBytes = 256 << 10
	// socketBufferBytes is the size of the kernel's buffers of a connection, 2 MB and more otherwise. It allows
	// 10 Mbit/s over a round trip of 100 ms.
	socketBufferBytes = 128 << 10
	// sweepInterval is the interval of checks for bodies that have not arrived by their deadlines.
	sweepInterval = 500 * time.Millisecond
	// headWait bounds the wait for room in the budget for a large head.
	headWait = 200 * time.Millisecond
)

// Listener accepts a bounded number of connections. When there are too many, it closes those that have done nothing
// useful for longest.
type Listener struct {
	net.Listener
	budget      *membudget.Budget
	max         int
	bufferBytes int
	// wait is headWait, stalled is stalledTimeout and abandoned is abandonedTimeout, except in tests.
	wait, stalled, abandoned time.Duration
	flushing                 atomic.Int64
	stats                    stats

	mu    sync.Mutex
	conns map[*Conn]struct{}

	startSweep, stopSweep sync.Once
	closed                chan struct{}
}

type stats struct{ evicted, refused, stalled atomic.Int64 }

// Stats describes the connections of a listener. Evicted counts those that were closed to make room, Refused those
// that were closed or refused as all were in use, and Stalled those whose callers did not read their responses.
type Stats struct {
	Open                      int
	Evicted, Refused, Stalled int64
}

// NewListener returns a listener with up to maxConns connections, for each of which up to bufferBytes wait.
func NewListener(l net.Listener, budget *membudget.Budget, maxConns, bufferBytes int) *Listener {
	return &Listener{
		Listener: l, budget: budget, max: maxConns, bufferBytes: bufferBytes, wait: headWait,
		stalled: stalledTimeout, abandoned: abandonedTimeout, conns: map[*Conn]struct{}{},
		closed: make(chan struct{}),
	}
}

// Control sets the buffers of a socket that listens, which its connections inherit.
func Control(fd uintptr) error {
	if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferBytes); err != nil {
		return err
	}
	return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBufferBytes)
}

// Stats returns the present counts.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Open: len(l.conns), Evicted: l.stats.evicted.Load(), Refused: l.stats.refused.Load(), Stalled: l.stats.stalled.Load()}
}

// Flushing returns the number of connections for whose callers bytes of a response wait.
func (l *Listener) Flushing() int { return int(l.flushing.Load()) }

func (l *Listener) countStalled() { l.stats.stalled.Add(1) }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.startSweep.Do(func() { go l.sweep() })
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(raw, l)
		if l.add(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// add adds a connection, and closes others if there are too many. It reports false if all are in use.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	var victims []*Conn
	if len(l.conns) >= l.max {
		victims = l.selectVictims(time.Now())
	}
	left := len(l.conns) - len(victims)
	accepted := left < l.max+int(float64(l.max)*overflowShare)
	c.overflow = left >= l.max
	if accepted {
		l.conns[c] = struct{}{}
	}
	l.mu.Unlock()
	if c.overflow {
		l.stats.refused.Add(1)
	}
	l.stats.evicted.Add(int64(len(victims)))
	for _, v := range victims {
		v.Evict()
	}
	return accepted
}

// selectVictims returns the connections to close, those that have done nothing useful for longest. Connections
// whose requests are served are none of them, unless the caller is slow to read the response. The mutex is held.
func (l *Listener) selectVictims(now time.Time) []*Conn {
	type candidate struct {
		conn    *Conn
		useless float64
	}
	var candidates []candidate
	for c := range l.conns {
		weight, usefulAt := 1., c.usefulAt.Load()
		switch c.phase.Load() {
		case serving:
			if usefulAt = c.flushingAt.Load(); usefulAt == 0 {
				continue
			}
		case readingBody:
			if usefulAt > now.UnixNano() {
				// Bytes that arrived quickly do not make up for a later pause.
				c.usefulAt.CompareAndSwap(usefulAt, now.UnixNano())
			}
		case interrupted:
			continue
		case idle:
			weight = idleWeight
		}
		candidates = append(candidates, candidate{c, weight * float64(now.UnixNano()-usefulAt)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.useless, a.useless) })
	count := min(len(candidates), len(l.conns)-l.max+1+int(float64(l.max)*victimShare))
	victims := make([]*Conn, 0, count)
	for _, c := range candidates[:count] {
		victims = append(victims, c.conn)
	}
	return victims
}

// remove removes a connection that is closed.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.stopSweep.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// sweep ends the reads of bodies that have not arrived by their deadlines, until the listener is closed.
func (l *Listener) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.closed:
			return
		case now := <-ticker.C:
			var late []*Conn
			l.mu.Lock()
			for c := range l.conns {
				if c.phase.Load() == readingBody && c.bodyDeadline.Load() <= now.UnixNano() {
					late = append(late, c)
				}
			}
			l.mu.Unlock()
			for _, c := range late {
				c.InterruptBody()
			}
		}
	}
}
