package rollout

import (
	"slices"
	"time"
)

const (
	// SilenceLimit is the time without a report after which a gateway no longer counts as one that
	// reports: 16 missed reports.
	SilenceLimit = 5 * time.Second
	// snapshotInterval is the resolution of the window, below the interval of the reports (300 ms).
	snapshotInterval = 200 * time.Millisecond
	// windowLength is how far back the sums are known. It covers the largest latency whose absence is
	// counted as slow.
	windowLength = 12 * time.Second
	// rateWindow is the time over which the rate of requests is measured: several reports, and short
	// enough to follow a burst.
	rateWindow = 2 * time.Second
	// maxCountsPerReport bounds the routes in one report; deployments have a few dozen.
	maxCountsPerReport = 2000
)

// key identifies a sum: a route and whether the new version served it.
type key struct {
	route      string
	newVersion bool
}

// sums holds the counts of all gateways.
type sums map[key]Counts

// snapshot holds the sums at one time.
type snapshot struct {
	at   time.Time
	sums sums
	// flow is that of the evidence.
	flow uint64
}

// process identifies a process of a gateway.
type process struct {
	instance    string
	incarnation uint64
}

// gatewayState is what is known of one gateway.
type gatewayState struct {
	// incarnation is the one that was seen last for the first time.
	incarnation uint64
	step        int
	oldInFlight int
	reportedAt  time.Time
}

// Evidence sums up what all gateways reported of one rollout. Counts of an earlier process of a gateway
// remain in the sums. It is not safe for concurrent use.
type Evidence struct {
	number        uint64
	firstReportAt time.Time
	reports       map[process]Report
	gateways      map[string]*gatewayState
	sums          sums
	snapshots     []snapshot
	// flow counts the requests sent after the first report of each process: a new leader gets the counts of
	// the whole rollout with the first ones.
	flow uint64
	// step is the highest step that a gateway has in force, stepProcesses the processes that have it, and
	// stepSums what they counted after their first report with it. Later responses are to requests of the
	// step, but for those that take longer than an interval of the reports.
	step          int
	stepProcesses map[process]bool
	stepSums      sums
	// suspectSince and badSince are the times since which all verdicts were suspect or bad, zero if the last
	// one was not.
	suspectSince, badSince time.Time
}

// NewEvidence returns the evidence of a rollout before the first report.
func NewEvidence(number uint64) *Evidence {
	return &Evidence{
		number: number, reports: map[process]Report{}, gateways: map[string]*gatewayState{}, sums: sums{},
		stepProcesses: map[process]bool{}, stepSums: sums{},
	}
}

// Number returns the number of the rollout.
func (e *Evidence) Number() uint64 { return e.number }

// Add takes in a report that arrived at now, and reports whether it is of this rollout and not older than
// one from the same process.
func (e *Evidence) Add(instance string, incarnation uint64, r Report, now time.Time) bool {
	if r.Number != e.number || len(r.Counts) > maxCountsPerReport {
		return false
	}
	p := process{instance, incarnation}
	previous, known := e.reports[p]
	if known && (r.Step < previous.Step || countedEvents(r) < countedEvents(previous)) {
		return false
	}
	e.sums.replace(previous, r)
	if known {
		e.flow += sentIn(r) - sentIn(previous)
	}
	if r.Step > e.step {
		e.step, e.stepProcesses, e.stepSums = r.Step, map[process]bool{}, sums{}
	}
	if e.stepProcesses[p] {
		e.stepSums.replace(previous, r)
	} else if r.Step == e.step {
		e.stepProcesses[p] = true
	}
	e.reports[p] = r
	if e.firstReportAt.IsZero() {
		e.firstReportAt = now
	}
	g := e.gateways[instance]
	if g == nil || !known {
		g = &gatewayState{incarnation: incarnation}
		e.gateways[instance] = g
	}
	if g.incarnation == incarnation {
		g.step, g.oldInFlight, g.reportedAt = r.Step, r.OldInFlight, now
	}
	return true
}

func sentIn(r Report) (requests uint64) {
	for _, c := range r.Counts {
		requests += c.Sent
	}
	return requests
}

// countedEvents orders the reports of one process, whose counts only grow.
func countedEvents(r Report) (events uint64) {
	for _, c := range r.Counts {
		events += c.Sent + c.Succeeded + c.Failed + c.Latencies.Total()
	}
	return events
}

// Observe records the sums at now. It is called before a decision.
func (e *Evidence) Observe(now time.Time) {
	if n := len(e.snapshots); n > 0 && now.Sub(e.snapshots[n-1].at) < snapshotInterval {
		return
	}
	copied := make(sums, len(e.sums))
	for k, c := range e.sums {
		copied[k] = c
	}
	e.snapshots = append(e.snapshots, snapshot{now, copied, e.flow})
	old := 0
	for old < len(e.snapshots)-1 && now.Sub(e.snapshots[old+1].at) >= windowLength {
		old++
	}
	e.snapshots = slices.Delete(e.snapshots, 0, old)
}

// at returns the sums as they were known at a time; they are empty before the first snapshot.
func (e *Evidence) at(t time.Time) sums { return e.snapshotAt(t).sums }

func (e *Evidence) snapshotAt(t time.Time) snapshot {
	for _, s := range slices.Backward(e.snapshots) {
		if !s.at.After(t) {
			return s
		}
	}
	return snapshot{}
}

// Reporting returns the number of gateways with a report after a time.
func (e *Evidence) Reporting(since time.Time) (gateways int) {
	for _, g := range e.gateways {
		if g.reportedAt.After(since) {
			gateways++
		}
	}
	return gateways
}

// InForce reports whether every gateway that reports has at least the given step in force, and returns
// their requests in flight at servers of other versions. It is false if no gateway reports.
func (e *Evidence) InForce(step int, now time.Time) (inForce bool, oldInFlight int) {
	inForce = true
	reporting := 0
	for _, g := range e.gateways {
		if now.Sub(g.reportedAt) >= SilenceLimit {
			continue
		}
		reporting++
		oldInFlight += g.oldInFlight
		inForce = inForce && g.step >= step
	}
	return inForce && reporting > 0, oldInFlight
}

// RecentlyInForce reports whether every gateway with a report after a time has at least the given step in
// force. It is false if there is none.
func (e *Evidence) RecentlyInForce(step int, since time.Time) bool {
	reporting := 0
	for _, g := range e.gateways {
		if g.reportedAt.After(since) {
			reporting++
			if g.step < step {
				return false
			}
		}
	}
	return reporting > 0
}

// Sent returns the requests sent so far, to servers of the new version and to all.
func (e *Evidence) Sent() (newVersion, all uint64) { return e.sums.sent() }

// Rate returns the recent number of requests per second to all versions.
func (e *Evidence) Rate(now time.Time) float64 {
	if e.firstReportAt.IsZero() || !now.After(e.firstReportAt) {
		return 0
	}
	// A lower estimate than the true rate would allow too much exposure.
	return max(e.rateSince(now.Add(-rateWindow), now), e.rateSince(now.Add(-windowLength/2), now))
}

func (e *Evidence) rateSince(since, now time.Time) float64 {
	elapsed := now.Sub(since)
	if e.firstReportAt.After(since) {
		// The counted requests were sent between the first and the latest report of each process: half an
		// interval of the reports later, and half of one earlier, in the mean.
		elapsed = now.Sub(e.firstReportAt) - reportInterval
	}
	return float64(e.flow-e.snapshotAt(since).flow) / max(elapsed, reportInterval/2).Seconds()
}

// answers returns the number of responses that have begun. The latency of a stream counts at its first
// event, long before its end: counting only streams that ended would leave mostly failures at first.
func answers(c Counts) uint64 { return c.Failed + max(c.Succeeded, c.Latencies.Total()) }

func (s sums) sent() (newVersion, all uint64) {
	for k, c := range s {
		all += c.Sent
		if k.newVersion {
			newVersion += c.Sent
		}
	}
	return newVersion, all
}

// replace exchanges a report of one process for a later one.
func (s sums) replace(earlier, later Report) {
	for i, c := range later.Counts {
		k := key{c.Route, c.NewVersion}
		// Reports of one process usually name the routes in one order, which saves a lookup.
		if i < len(earlier.Counts) && earlier.Counts[i].Route == c.Route && earlier.Counts[i].NewVersion == c.NewVersion {
			c = c.minus(earlier.Counts[i])
		}
		s[k] = s[k].plus(c)
	}
	for i, c := range earlier.Counts {
		if i >= len(later.Counts) || later.Counts[i].Route != c.Route || later.Counts[i].NewVersion != c.NewVersion {
			k := key{c.Route, c.NewVersion}
			s[k] = s[k].minus(c)
		}
	}
}

// answered returns the number of responses of the new version.
func (s sums) answered() (responses uint64) {
	for k, c := range s {
		if k.newVersion {
			responses += answers(c)
		}
	}
	return responses
}

func (s sums) minus(other sums) sums {
	difference := make(sums, len(s))
	for k, c := range s {
		difference[k] = c.minus(other[k])
	}
	return difference
}

func (c Counts) plus(other Counts) Counts {
	c.Sent, c.Succeeded, c.Failed, c.Void = c.Sent+other.Sent, c.Succeeded+other.Succeeded, c.Failed+other.Failed, c.Void+other.Void
	c.Latencies.Merge(other.Latencies)
	return c
}

func (c Counts) minus(other Counts) Counts {
	c.Sent, c.Succeeded, c.Failed, c.Void = c.Sent-other.Sent, c.Succeeded-other.Succeeded, c.Failed-other.Failed, c.Void-other.Void
	for i, count := range other.Latencies {
		c.Latencies[i] -= count
	}
	return c
}
