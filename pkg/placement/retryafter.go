package placement

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

const (
	// defaultRetryAfter is the delay returned when no server has a recent load report. It is
	// about the time that a server takes to restart.
	defaultRetryAfter = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the returned delay. With a shorter one, callers retry
	// before a slot is free; after a longer one, it is too late for them to use it.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// elsewhereShare is the share of its remaining time that a caller may wait before it tries another
	// gateway. Callers wait for up to a third of it.
	elsewhereShare = 0.25
	// retryAfterLoadTTL is the maximum age of a load report that RetryAfter uses.
	retryAfterLoadTTL = time.Second
)

// RetryAfter returns the delay after which a rejected caller should retry: the shortest time in
// which any server works off its queue, estimated from its load report and average latency. When
// a burst exceeds all slots, a fixed delay would bring all callers back at the same time and too
// early, or leave slots idle.
func (p *Pool) RetryAfter(now time.Time) time.Duration {
	shortest := p.QueueWait(now)
	if shortest == 0 {
		return defaultRetryAfter
	}
	return min(maxRetryAfter, max(minRetryAfter, shortest))
}

// QueueWait returns the shortest time in which any server works off its queue, 0 if no server has a recent load
// report.
func (p *Pool) QueueWait(now time.Time) (shortest time.Duration) {
	for _, s := range p.candidateSample() {
		if s.State != directory.Ready || s.latencyMS == 0 || s.lastLoad.Slots == 0 || now.Sub(s.loadReportedAt) > retryAfterLoadTTL {
			continue
		}
		queueLength := max(1, s.lastLoad.Running+s.lastLoad.Waiting+1-s.lastLoad.Slots)
		wait := time.Duration(s.latencyMS * float64(queueLength) / float64(s.lastLoad.Slots) * float64(time.Millisecond))
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// RetryElsewhereAfter returns the delay after which a rejected caller should retry because another gateway
// can serve it. The load pattern is a data centre that is cut off: until the balancer notices, after
// untilNoticed, it sends callers to gateways there. timeLeft is the remaining time of the caller.
func RetryElsewhereAfter(untilNoticed, timeLeft time.Duration) time.Duration {
	return max(minRetryAfter, min(untilNoticed, time.Duration(elsewhereShare*float64(timeLeft))))
}
