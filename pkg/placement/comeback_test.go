package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Replays a burst beyond all places: callers come back when a place is free, not all
// after the same time.
func TestComeBackFollowsTheQueue(t *testing.T) {
	p := newTestPool("here1", "there1")
	qt.Assert(t, p.ComeBack(at(0)), qt.Equals, usualComeBack)
	for range 50 {
		p.Succeeded("here1", 120*time.Millisecond, at(0))
		p.Succeeded("there1", 120*time.Millisecond, at(0))
	}
	p.Reported("here1", Load{Running: 6, Waiting: 24, Slots: 6}, at(0))
	// 25 runs before a place is free, six at once, 120 ms each.
	got := p.ComeBack(at(10))
	qt.Assert(t, got > 490*time.Millisecond && got < 510*time.Millisecond, qt.IsTrue, qt.Commentf("%s", got))
	// The server that is free first counts.
	p.Reported("there1", Load{Running: 6, Waiting: 9, Slots: 6}, at(0))
	got = p.ComeBack(at(10))
	qt.Assert(t, got > 195*time.Millisecond && got < 205*time.Millisecond, qt.IsTrue, qt.Commentf("%s", got))
	p.Reported("there1", Load{Running: 1, Slots: 6}, at(0))
	qt.Assert(t, p.ComeBack(at(10)), qt.Equals, leastComeBack)
	// Old reports tell nothing.
	qt.Assert(t, p.ComeBack(at(5000)), qt.Equals, usualComeBack)
}
