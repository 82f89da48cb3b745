package sched

import (
	"math"
	"time"
)

// drainWindow is the time constant of the drain rate. It is long enough for several
// generations to end and short enough to react to the loss of a backend server.
const drainWindow = 5 * time.Second

// minDrainSeconds is the backlogged time below which a measured rate is mostly noise.
const minDrainSeconds = 0.5

// drainMeter measures how fast a queue is served. It only counts the time in which
// requests are queued, because the rate of an idle queue does not show the capacity.
type drainMeter struct {
	advancedAt        time.Time
	backlogged        bool
	grantedTokens     float64
	backloggedSeconds float64
	// Moving means over released grants: how long a slot was held, and the tokens used.
	meanHoldSeconds, meanTokens float64
}

// advance accounts for the time since the last call. That time counts as backlogged if
// the last call reported a backlog.
func (m *drainMeter) advance(now time.Time, backlogged bool) {
	if m.backlogged {
		if elapsed := now.Sub(m.advancedAt).Seconds(); elapsed > 0 {
			decay := math.Exp(-elapsed / drainWindow.Seconds())
			m.grantedTokens *= decay
			m.backloggedSeconds = m.backloggedSeconds*decay + elapsed
		}
	}
	m.advancedAt, m.backlogged = now, backlogged
}

// countGrant counts a grant to a request that was queued.
func (m *drainMeter) countGrant(tokens int) { m.grantedTokens += float64(tokens) }

// countRelease counts the end of a grant.
func (m *drainMeter) countRelease(holdTime time.Duration, tokens int) {
	const newestWeight = 0.1
	if m.meanHoldSeconds == 0 {
		m.meanHoldSeconds, m.meanTokens = holdTime.Seconds(), float64(tokens)
		return
	}
	m.meanHoldSeconds += newestWeight * (holdTime.Seconds() - m.meanHoldSeconds)
	m.meanTokens += newestWeight * (float64(tokens) - m.meanTokens)
}

// tokensPerSecond returns the drain rate, or 0 if it is unknown. Until enough backlogged
// time was measured, it is estimated from the number of slots and the mean hold time.
func (m *drainMeter) tokensPerSecond(slots int) float64 {
	if m.backloggedSeconds >= minDrainSeconds && m.grantedTokens > 0 {
		return m.grantedTokens / m.backloggedSeconds
	}
	if m.meanHoldSeconds > 0 {
		return float64(slots) * max(m.meanTokens, 1) / m.meanHoldSeconds
	}
	return 0
}
