package telemetry

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// logQueue bounds the lines that wait for the output.
	logQueue = 512
	// linesPerSecond and lineBurst bound the lines of one message; a flood of one
	// kind must not hide the others.
	linesPerSecond = 40
	lineBurst      = 120
	// dropReport is the interval at which dropped lines are reported.
	dropReport = time.Second
)

// BoundedLog is the log output of a process: lines wait in a bounded queue, so
// that no request waits for the output. Lines beyond the queue or beyond the rate
// of their message are dropped and counted.
type BoundedLog struct {
	queue chan []byte
	done  chan struct{}
	// Dropped counts the lines that were not written.
	Dropped atomic.Uint64

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	closed   bool
}

// NewBoundedLog returns a log output that writes to w in the background, and the
// logger for it, which adds the instance to each line.
func NewBoundedLog(w io.Writer, instance string) (*BoundedLog, *slog.Logger) {
	b := &BoundedLog{queue: make(chan []byte, logQueue), done: make(chan struct{}), limiters: map[string]*rate.Limiter{}}
	go b.run(w)
	handler := slog.NewJSONHandler(b, nil).WithAttrs([]slog.Attr{slog.String("instance", instance)})
	return b, slog.New(&limitedHandler{Handler: handler, log: b})
}

// Write queues one line and never blocks or fails.
func (b *BoundedLog) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		b.Dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.Dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines. A write error drops the line: there is nowhere to
// report it.
func (b *BoundedLog) run(w io.Writer) {
	defer close(b.done)
	reported, last := uint64(0), time.Now()
	report := slog.New(slog.NewJSONHandler(w, nil))
	for line := range b.queue {
		if _, err := w.Write(line); err != nil {
			b.Dropped.Add(1)
		}
		if dropped := b.Dropped.Load(); dropped > reported && time.Since(last) > dropReport {
			report.Warn("log lines dropped", "count", dropped-reported)
			reported, last = dropped, time.Now()
		}
	}
}

// Close writes what is queued, at most until ctx ends.
func (b *BoundedLog) Close(ctx context.Context) {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.queue)
	}
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-ctx.Done():
	}
}

// allow tells whether a line with this message is within its rate.
func (b *BoundedLog) allow(message string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.limiters[message]
	if l == nil {
		l = rate.NewLimiter(linesPerSecond, lineBurst)
		b.limiters[message] = l
	}
	return l.Allow()
}

// limitedHandler drops records beyond the rate of their message.
type limitedHandler struct {
	slog.Handler
	log *BoundedLog
}

// Handle implements slog.Handler.
func (h *limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.log.allow(r.Message) {
		h.log.Dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithAttrs(attrs), log: h.log}
}

// WithGroup implements slog.Handler.
func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithGroup(name), log: h.log}
}
