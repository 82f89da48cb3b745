// Package coordinator is the control side of a deployment whose configuration is
// published as a whole: a group of instances with disks that agrees on the
// publication in force, hears announcements of backend servers and tells both to
// the gateways.
package coordinator

import "time"

const (
	// heartbeatTicks is the number of ticks per heartbeat of the leader.
	heartbeatTicks = 4
	// tick is the logical clock of consensus: heartbeats every 100 ms.
	tick = 25 * time.Millisecond
	// electionTicks is the least time without a leader before an election:
	// 500 ms, twenty times the largest delay between data centres of a region.
	electionTicks = 20
	// firstElectionTicks is the time before an election after a start: 100 ms, in
	// which a leader would have sent a heartbeat.
	firstElectionTicks = 4
	// compactAfter bounds the log entries, each a whole publication.
	compactAfter = 64
	// silentAfter is how long the holder of a slot is silent before a machine
	// with an empty disk may take the slot over.
	silentAfter = 1500 * time.Millisecond
	// reservation is how long a slot is kept for the machine that asked for it;
	// it covers the transfer of a snapshot.
	reservation = 3 * time.Second
	// joinPause is the wait between two requests to join.
	joinPause = 200 * time.Millisecond
	// joinCheck is the time without a leader after which a member asks whether
	// its slot was given to another disk.
	joinCheck = 1500 * time.Millisecond
	// reopenPause is the wait before a log that could not be written is opened again.
	reopenPause = 500 * time.Millisecond
	// callLimit bounds one call between coordinators.
	callLimit = time.Second
	// requestLimit bounds the work for one operator's request, below the patience
	// of an operator, who asks the next coordinator then.
	requestLimit = 900 * time.Millisecond
	// retryPause is the wait before a publication that was provably not proposed
	// is tried again.
	retryPause = 30 * time.Millisecond
	// missedAnnouncements is the number of announcements in a row that a live
	// server may miss: they come seconds late at times.
	missedAnnouncements = 5
	// knownFor is how long another coordinator is named to gateways after it was
	// heard of last.
	knownFor = 10 * time.Second
)

// ServerLife returns how long a backend server counts without an announcement.
func ServerLife(announceMS int) time.Duration {
	return missedAnnouncements * time.Duration(announceMS) * time.Millisecond
}
