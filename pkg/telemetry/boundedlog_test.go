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

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Guards against requests that wait for a blocked output, and against lines that
// are dropped without a count.
func TestBlockedOutputHoldsNothingUp(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	b, log := NewBoundedLog(out, "i")
	began := time.Now()
	const messages, lines = 40, 100
	for i := range messages {
		for range lines {
			log.Info("message "+strings.Repeat("x", i), "request", "r")
		}
	}
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
	close(out.release)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	b.Close(ctx)
	written := strings.Count(out.String(), `"request":"r"`)
	qt.Assert(t, written >= logQueue, qt.IsTrue)
	qt.Assert(t, uint64(written)+b.Dropped.Load(), qt.Equals, uint64(messages*lines))
	log.Info("after the end")
	qt.Assert(t, uint64(written)+b.Dropped.Load(), qt.Equals, uint64(messages*lines+1))
}

// Guards against a flood of one message that hides all others.
func TestRateOfOneMessage(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	close(out.release)
	b, log := NewBoundedLog(out, "i")
	for range 1000 {
		log.Info("flood")
	}
	log.Info("rare")
	b.Close(t.Context())
	qt.Assert(t, strings.Contains(out.String(), `"msg":"rare"`), qt.IsTrue)
	qt.Assert(t, strings.Count(out.String(), `"msg":"flood"`) <= lineBurst+linesPerSecond, qt.IsTrue)
	qt.Assert(t, strings.Contains(out.String(), `"instance":"i"`), qt.IsTrue)
}
