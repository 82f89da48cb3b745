package placement

import "time"

// ReachCheckLead is how long before the event timeout it is checked whether a silent engine can be reached: as
// long as a connection attempt takes at most, so that the result is known at the timeout.
const ReachCheckLead = 150 * time.Millisecond

// reachCheckInterval is the interval of these checks while an engine is silent. Each is a connection.
const reachCheckInterval = 300 * time.Millisecond

// Silence describes a run without an event.
type Silence struct {
	// Elapsed is the time since the last event.
	Elapsed time.Duration
	// Timeout is the time after which an engine that cannot be reached is left, and one whose silence nothing
	// explains; SlowTimeout that after which any engine is left.
	Timeout, SlowTimeout time.Duration
	// Plausible is the longest time between events that the engine can be expected to take without a fault.
	Plausible time.Duration
	// HasCopy is set if the run can go on elsewhere without a prefill, and Denied if the retry budget does not
	// allow that at the moment.
	HasCopy, Denied bool
	// CheckedAt is the time without an event at which the last check of the engine began, 0 if there was none,
	// and Unreachable its result.
	CheckedAt   time.Duration
	Unreachable bool
}

// SilenceAction is what to do about a silent run.
type SilenceAction int

const (
	// WaitOn waits for the returned time and decides again.
	WaitOn SilenceAction = iota
	// CheckEngine checks whether the engine can be reached, and decides again.
	CheckEngine
	// LeaveGone goes on elsewhere: the engine cannot be reached, or nothing explains its silence.
	LeaveGone
	// LeaveSlow goes on elsewhere, although the engine can be reached and may only be slow.
	LeaveSlow
)

// Decide returns the next action, and the time to wait for WaitOn. An engine that cannot be reached is left at the
// timeout, half of the pause that is in time. One that can be reached is left then only if nothing explains
// the silence and there is a copy; moving a run costs a connection, room and the time of the resumption, so an
// engine that is only slow is not left before it has been silent for longer than it plausibly is. Without a
// copy, the prompt would be read again: the run stays until SlowTimeout.
func (d Silence) Decide() (SilenceAction, time.Duration) {
	patience, firstCheck := d.SlowTimeout, d.Timeout
	if d.HasCopy && !d.Denied {
		patience = max(d.Timeout, min(d.Plausible, d.SlowTimeout))
		firstCheck = max(0, d.Timeout-ReachCheckLead)
	}
	unexplained := d.HasCopy && !d.Denied && patience == d.Timeout
	switch {
	case d.Unreachable && d.Elapsed >= d.Timeout:
		return LeaveGone, 0
	case d.Unreachable:
		return WaitOn, d.Timeout - d.Elapsed
	case d.Elapsed >= patience && unexplained:
		return LeaveGone, 0
	case d.Elapsed >= patience:
		return LeaveSlow, 0
	case unexplained:
		// The result of a check would not matter.
		return WaitOn, patience - d.Elapsed
	}
	nextCheck := firstCheck
	if d.CheckedAt > 0 {
		nextCheck = d.CheckedAt + reachCheckInterval
	}
	if d.Elapsed >= nextCheck {
		return CheckEngine, 0
	}
	return WaitOn, min(patience, nextCheck) - d.Elapsed
}
