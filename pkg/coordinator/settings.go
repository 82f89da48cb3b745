// Package coordinator implements the control plane of a deployment whose configuration is
// published as a whole. A group of instances with disks agrees on the publication in force,
// receives the announcements of backend servers and sends both to the gateways.
package coordinator

import "time"

const (
	// heartbeatTicks is the number of ticks between heartbeats of the leader.
	heartbeatTicks = 4
	// tickInterval is the period of the consensus clock: a heartbeat every 100 ms.
	tickInterval = 25 * time.Millisecond
	// electionTicks is the minimum election timeout: 500 ms, twenty times the largest
	// delay between data centres of a region.
	electionTicks = 20
	// firstElectionTicks is the minimum election timeout after a start: 100 ms, within
	// which a leader sends a heartbeat.
	firstElectionTicks = 4
	// compactAfter is the number of log entries, each a whole publication, after which
	// the log is compacted; it is compacted earlier if they are large.
	compactAfter = 64
	// holderTimeout is the time without a message from the holder of a slot after which
	// an instance with an empty disk may take the slot over.
	holderTimeout = 1500 * time.Millisecond
	// reservationTTL is how long a slot is reserved for the instance that requested it;
	// it covers the transfer of a snapshot.
	reservationTTL = 3 * time.Second
	// candidateTTL is the time after its last join request for which an instance is taken for
	// one that waits for a slot; it covers several requests that one slow coordinator delays.
	candidateTTL = 3 * time.Second
	// firstGrowthWait is the time after the first start in which instances without a slot are
	// expected to ask for one, and growthTimeout the time after the start of a member in which
	// publications wait for them to join.
	firstGrowthWait = 2 * time.Second
	growthTimeout   = 6 * time.Second
	// joinInterval is the interval between join requests, and the interval at which a
	// member checks whether it has a leader.
	joinInterval = 200 * time.Millisecond
	// slotCheckInterval is the time without a leader after which a member checks whether
	// its slot was reassigned to another disk, and the interval of further checks.
	slotCheckInterval = 1500 * time.Millisecond
	// reopenDelay is the delay before a log that failed is opened again.
	reopenDelay = 500 * time.Millisecond
	// callTimeout is the timeout of one call between coordinators.
	callTimeout = time.Second
	// requestTimeout is the time budget of one operator request. It is below the timeout
	// of the operator, who then retries at the next coordinator.
	requestTimeout = 900 * time.Millisecond
	// retryDelay is the delay before a read, or a publication that was certainly not
	// proposed, is retried.
	retryDelay = 30 * time.Millisecond
	// maxMissedAnnouncements is the number of consecutive announcements that a live
	// server may miss: they are sometimes seconds late.
	maxMissedAnnouncements = 5
	// coordinatorTTL is how long another coordinator is listed to gateways after it was
	// last seen.
	coordinatorTTL = 10 * time.Second
)

// ServerTTL returns how long a backend server stays in the directory without an
// announcement; the argument is the interval between its announcements in milliseconds.
func ServerTTL(announceIntervalMS int) time.Duration {
	return maxMissedAnnouncements * time.Duration(announceIntervalMS) * time.Millisecond
}
