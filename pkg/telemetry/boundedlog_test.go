package telemetry

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedWriter is a writer whose writes block until released is closed.
type blockedWriter struct {
	released chan struct{}
	mu       sync.Mutex
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.released
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Guards against logging that blocks while the output is blocked, and against lines that are dropped
// without being counted.
func TestBlockedOutputHoldsNothingUp(t *testing.T) {
	out := &blockedWriter{released: make(chan struct{})}
	b, log := NewBoundedLog(out, "i")
	start := time.Now()
	const messages, lines = 40, 100
	for i := range messages {
		for range lines {
			log.Info("message "+strings.Repeat("x", i), "request", "r")
		}
	}
	qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue)
	close(out.released)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	b.Close(ctx)
	written := strings.Count(out.String(), `"request":"r"`)
	qt.Assert(t, written >= queueCapacity, qt.IsTrue)
	qt.Assert(t, uint64(written)+b.Dropped.Load(), qt.Equals, uint64(messages*lines))
	log.Info("after the close")
	qt.Assert(t, uint64(written)+b.Dropped.Load(), qt.Equals, uint64(messages*lines+1))
}

// Guards against a flood of one message that displaces the others.
func TestRateOfOneMessage(t *testing.T) {
	out := &blockedWriter{released: make(chan struct{})}
	close(out.released)
	b, log := NewBoundedLog(out, "i")
	for range 1000 {
		log.Info("flood")
	}
	log.Info("rare")
	b.Close(t.Context())
	qt.Assert(t, strings.Contains(out.String(), `"msg":"rare"`), qt.IsTrue)
	qt.Assert(t, strings.Count(out.String(), `"msg":"flood"`) <= messageBurst+messageRate, qt.IsTrue)
	qt.Assert(t, strings.Contains(out.String(), `"instance":"i"`), qt.IsTrue)
}
