package sched

import (
	"math"
	"time"
)

// drainWindow is the time constant of the measured drain rate: long enough for
// several generations to end, short enough to follow a lost backend server.
const drainWindow = 5 * time.Second

// leastDrainSeconds is the observed time below which a measured rate is noise.
const leastDrainSeconds = 0.5

// drain measures how fast a queue is served, only over the time in which
// requests wait: an idle queue tells nothing about the capacity.
type drain struct {
	last    time.Time
	waiting bool
	tokens  float64
	seconds float64
	// hold and cost are the means of the time a slot is held and of the tokens
	// of a grant, from releases.
	hold, cost float64
}

// advance accounts for the time since the last call, in which requests waited
// if the last call said so.
func (d *drain) advance(now time.Time, waiting bool) {
	if d.waiting {
		if dt := now.Sub(d.last).Seconds(); dt > 0 {
			keep := math.Exp(-dt / drainWindow.Seconds())
			d.tokens *= keep
			d.seconds = d.seconds*keep + dt
		}
	}
	d.last, d.waiting = now, waiting
}

// served counts a grant to a request that had waited.
func (d *drain) served(tokens int) { d.tokens += float64(tokens) }

// released counts the end of a grant.
func (d *drain) released(hold time.Duration, tokens int) {
	const newest = 0.1
	if d.hold == 0 {
		d.hold, d.cost = hold.Seconds(), float64(tokens)
		return
	}
	d.hold += newest * (hold.Seconds() - d.hold)
	d.cost += newest * (float64(tokens) - d.cost)
}

// rate returns tokens per second, 0 if nothing is known yet. Without enough
// waiting time it is what the slots can do at the mean hold time.
func (d *drain) rate(slots int) float64 {
	if d.seconds >= leastDrainSeconds && d.tokens > 0 {
		return d.tokens / d.seconds
	}
	if d.hold > 0 {
		return float64(slots) * max(d.cost, 1) / d.hold
	}
	return 0
}
