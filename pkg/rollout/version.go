package rollout

import "time"

// LapseTime is how long a share above 0 and below 1 is in force without a confirmation of a leader. Events
// of a coordinator are at most 400 ms apart, so that three of them may be lost; together with the delay of
// a decision, it is well below the 5 s after which a bad version may get no more requests.
const LapseTime = 1500 * time.Millisecond

// ReadyVersion is a version of which at least one server is ready.
type ReadyVersion struct {
	Version string
	// StartedMS is the earliest start of a ready server of the version, in Unix milliseconds.
	StartedMS int64
}

// Draw is the version drawn for one request, which is kept for all its sends.
type Draw struct {
	// Number is the number of the rollout in progress for which the version was drawn, 0 if there was none.
	Number uint64
	// New is set if the request goes to the new version of that rollout.
	New bool
}

// DrawVersion draws the version of a request. record is the latest rollout of the service, nil if it never
// had one, and age the time since a leader last confirmed that the record is in force. point is a random
// number from 0 to below 1.
func DrawVersion(record *Record, age time.Duration, point float64) Draw {
	if record == nil || record.State != InProgress {
		return Draw{}
	}
	return Draw{Number: record.Number, New: point < record.shareInForce(age)}
}

// Choice is what a send of a request may use.
type Choice struct {
	// Version is the version to use, unless Any is set: then there is nothing to choose from.
	Version string
	Any     bool
	// Fallback is the version to use if no server of Version can take the request, valid if HasFallback is
	// set.
	Fallback    string
	HasFallback bool
}

// Choose returns the versions that the next send of a request may use. record and age are those at the time
// of the send; ready lists the versions of the ready servers of the service, one entry each.
//
// A request that was drawn for the established version never goes to the new one before the last step,
// also if no server of the established version is left: the share bounds what a bad version may get.
func Choose(record *Record, age time.Duration, draw Draw, ready []ReadyVersion) Choice {
	if record == nil {
		oldest, ok := oldestVersion(ready, nil)
		return Choice{Version: oldest, Any: !ok}
	}
	established := record.establishedVersion(ready)
	switch record.State {
	case Complete:
		return Choice{Version: record.Version}
	case InProgress:
		switch share := record.shareInForce(age); {
		case share >= 1:
			return Choice{Version: record.Version}
		case share > 0 && draw.New && draw.Number == record.Number:
			return Choice{Version: record.Version, Fallback: established, HasFallback: established != record.Version}
		}
	}
	return Choice{Version: established}
}

// IsClosed reports whether no request of any kind goes to servers of a version any more.
func (r *Record) IsClosed(version string) bool {
	switch {
	case r == nil:
		return false
	case r.State == Complete:
		return version != r.Version
	case r.State == RolledBack:
		return version == r.Version && version != r.Established
	}
	return false
}

// Replaces reports whether a record that was received is newer than the one in force, nil if there is
// none. Records arrive over several paths, and a state that was in force is never undone.
func (r *Record) Replaces(current *Record) bool {
	switch {
	case current == nil || r.Number > current.Number:
		return true
	case r.Number < current.Number || current.State != InProgress:
		return false
	}
	return r.State != InProgress || r.Step > current.Step
}

// shareInForce returns the share of the requests that go to the new version of a rollout in progress. With
// share 1, requests may already be refused by the old servers, so that it does not lapse.
func (r *Record) shareInForce(age time.Duration) float64 {
	if r.Share < 1 && age > LapseTime {
		return 0
	}
	return r.Share
}

// establishedVersion returns the version that had the traffic before the order. If the leader did not know
// it, it is the version other than the new one whose ready server started first.
func (r *Record) establishedVersion(ready []ReadyVersion) string {
	if r.Established != "" {
		return r.Established
	}
	oldest, _ := oldestVersion(ready, &r.Version)
	return oldest
}

// oldestVersion returns the version whose ready server started first, except one. Of two versions whose
// servers started at the same time, all gateways choose the same.
func oldestVersion(ready []ReadyVersion, except *string) (version string, ok bool) {
	var oldest ReadyVersion
	for _, v := range ready {
		if except != nil && v.Version == *except {
			continue
		}
		if !ok || v.StartedMS < oldest.StartedMS || v.StartedMS == oldest.StartedMS && v.Version < oldest.Version {
			oldest, ok = v, true
		}
	}
	return oldest.Version, ok
}
