// Package rollout decides how the traffic of a service moves to servers of a new version: which share of
// the requests goes there, whether the version is good, and when the old servers may end. It does no I/O:
// time and evidence are passed in.
package rollout

import "time"

// State is the state of a rollout.
type State uint8

// States of a rollout.
const (
	// InProgress means that both versions may get requests, the new one by Record.Share.
	InProgress State = iota
	// Complete means that all requests go to the new version; the old servers may end.
	Complete
	// RolledBack means that no request goes to the new version.
	RolledBack
)

// String returns the name of the state for logs and operators.
func (s State) String() string {
	switch s {
	case InProgress:
		return "in_progress"
	case Complete:
		return "complete"
	case RolledBack:
		return "rolled_back"
	}
	return "unknown"
}

// Record is the latest rollout of one service, as the control group holds it.
type Record struct {
	Service string `json:"service"`
	// Number is the number of the order; later orders, of any service, have higher numbers.
	Number uint64 `json:"number"`
	// Version is the version that the traffic moves to, Established the one that had it before.
	Version     string `json:"version"`
	Established string `json:"established"`
	State       State  `json:"state"`
	// Step is the number of the step in force, and Share the share, 0 to 1, of the requests that go to
	// Version in it.
	Step  int     `json:"step"`
	Share float64 `json:"share"`
	// Duration is the time limit of the order.
	Duration time.Duration `json:"duration"`
	// AcceptedAt is when the leader proposed the order, by its clock.
	AcceptedAt time.Time `json:"accepted_at"`
}

// Report is what one gateway has seen of one rollout in progress. Its counts are cumulative since the
// gateway learned of the rollout.
type Report struct {
	// Number and Step identify the rollout and the step that the gateway has in force.
	Number uint64
	Step   int
	// OldInFlight is the number of requests of the gateway at servers of other versions than the new one.
	OldInFlight int
	Counts      []Counts
}

// Counts counts the responses of the servers of one version to the requests of one route.
type Counts struct {
	Route string
	// NewVersion is set for the new version; all other versions are counted together.
	NewVersion bool
	// Sent counts the requests sent, Succeeded and Failed the responses. Requests that certainly did not
	// run, and those whose caller left, are in neither of the last two.
	Sent, Succeeded, Failed uint64
	// Void counts the requests that ended without counting as either.
	Void uint64
	// Latencies holds the latencies of the successful responses; for streams, the times to the first event,
	// which are counted at that event.
	Latencies Histogram
}
