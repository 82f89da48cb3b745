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
	// queueCapacity bounds the number of lines that wait to be written.
	queueCapacity = 512
	// messageRate, in lines per second, and messageBurst limit the lines with the same message, so
	// that a flood of one message does not displace the others.
	messageRate  = 40
	messageBurst = 120
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// BoundedLog is the log output of a process. Lines are queued and written in the background, so that
// a slow or blocked output blocks no request. Lines that exceed the capacity of the queue or the rate
// of their message are dropped and counted.
type BoundedLog struct {
	queue chan []byte
	// drained is closed after the last queued line is written.
	drained chan struct{}
	// Dropped is the number of lines that were not written.
	Dropped atomic.Uint64

	// mu guards limiters and closed, and sends to queue.
	mu sync.Mutex
	// limiters holds the rate limiter of each message. Messages are constants, so it stays small.
	limiters map[string]*rate.Limiter
	closed   bool
}

// NewBoundedLog returns a log output that writes to w in the background, and a logger on top of it
// that adds the identifier of the instance to each line.
func NewBoundedLog(w io.Writer, instance string) (*BoundedLog, *slog.Logger) {
	b := &BoundedLog{queue: make(chan []byte, queueCapacity), drained: make(chan struct{}), limiters: map[string]*rate.Limiter{}}
	go b.writeLines(w)
	handler := slog.NewJSONHandler(b, nil).WithAttrs([]slog.Attr{slog.String("instance", instance)})
	return b, slog.New(&rateLimitedHandler{Handler: handler, output: b})
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

// writeLines writes the queued lines until the queue is closed, and reports dropped lines. A line
// whose write fails counts as dropped, as there is no other output to report the error to.
func (b *BoundedLog) writeLines(w io.Writer) {
	defer close(b.drained)
	reportedDrops, lastReportAt := uint64(0), time.Now()
	dropLog := slog.New(slog.NewJSONHandler(w, nil))
	for line := range b.queue {
		if _, err := w.Write(line); err != nil {
			b.Dropped.Add(1)
		}
		if dropped := b.Dropped.Load(); dropped > reportedDrops && time.Since(lastReportAt) > dropReportInterval {
			dropLog.Warn("log lines dropped", "count", dropped-reportedDrops)
			reportedDrops, lastReportAt = dropped, time.Now()
		}
	}
}

// Close stops accepting lines and waits until the queued ones are written or ctx ends.
func (b *BoundedLog) Close(ctx context.Context) {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.queue)
	}
	b.mu.Unlock()
	select {
	case <-b.drained:
	case <-ctx.Done():
	}
}

// allowMessage reports whether a line with this message is within its rate, and counts it.
func (b *BoundedLog) allowMessage(message string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limiter := b.limiters[message]
	if limiter == nil {
		limiter = rate.NewLimiter(messageRate, messageBurst)
		b.limiters[message] = limiter
	}
	return limiter.Allow()
}

// rateLimitedHandler drops records that exceed the rate of their message.
type rateLimitedHandler struct {
	slog.Handler
	output *BoundedLog
}

// Handle implements slog.Handler.
func (h *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.output.allowMessage(r.Message) {
		h.output.Dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), output: h.output}
}

// WithGroup implements slog.Handler.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithGroup(name), output: h.output}
}
