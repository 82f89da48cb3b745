package overload

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// Load pattern: one of three servers of a service is left, and 230 calls per second ask for six slots of 30 ms,
// which serve 200. The queue of the server, 24 calls, stays full, so each call that it takes waits 120 ms and is
// late, and many gateways with a few calls per second each send what the server refuses. The same holds for
// bursts, and for callers that repeat refused calls at once.

const (
	// queueTargetShare is the share of the objective that calls should wait at a server. Of an objective of 150 ms,
	// 12 ms leave room for its chance fluctuations.
	queueTargetShare = 0.08
	// defaultQueueTarget is the number of waiting calls per slot that is aimed at while the time that a call takes is
	// unknown, and minQueueTarget and maxQueueTarget bound the number otherwise: with less than a waiting call
	// for every fifth slot, slots stay free by chance, and more than two times the run time is late for most routes.
	defaultQueueTarget = 0.8
	minQueueTarget     = 0.2
	maxQueueTarget     = 2.0
	// idleQueue is the number of waiting calls per slot below which servers have no backlog.
	idleQueue = 0.03
	// drainTime is the time in which a backlog above the target is worked off. It is about the age of the totals
	// from which the backlog is known.
	drainTime = 1200 * time.Millisecond
	// targetDuration is the time in which servers work off the intended backlog: a sixth of the objectives of calls,
	// which are 120 to 200 ms.
	targetDuration = 25 * time.Millisecond
	// maxDrainShare bounds the capacity that is kept free to work off a backlog.
	maxDrainShare = 0.3
	// maxProbeShare is how far the admitted rate exceeds the measured capacity while less waits than intended.
	maxProbeShare = 0.05
	// capacityGrowth is the growth per second of the capacity that is assumed, while less waits than intended.
	capacityGrowth = 0.06
	// releaseGrowth is the growth per second while nothing waits: the burst has ended, or servers were added.
	releaseGrowth = 1.0
	// measuredWeight is the weight of a measurement of the capacity.
	measuredWeight = 0.5
	// provenTTL is how long the servers are trusted to serve again what they served without a queue. Servers may take 2.5
	// times as long for 600 ms; the totals tell of that for two seconds more, in which nothing need be refused.
	provenTTL = 2500 * time.Millisecond
	// reportGain is the change of the admitted share for each waiting call per slot above or below the target in the
	// last load report, and reportTTL the age at which that report no longer counts. The totals are up to two
	// seconds old, in which chance alone fills the queue of a server that is almost fully used. With a report
	// 0.2 s old, twice the gain makes the queue swing.
	reportGain = 0.25
	reportTTL  = 400 * time.Millisecond
	// minReportFactor bounds what one report does, which may be false.
	minReportFactor = 0.2
	// lateWeight is how much faster the share of late calls falls than the share of the others, while a gateway
	// without totals does not know how many of them there are.
	lateWeight = 10
	// minUnmeasuredShare bounds the share to admit as long as no capacity has been measured.
	minUnmeasuredShare = 0.4
	// exchangeInterval is the shortest interval between two exchanges that a beginning overload causes.
	exchangeInterval = 500 * time.Millisecond
	// evidenceTTL is how long a waiting call that a server reported counts as overload: an interval of the exchange,
	// which tells of the waiting calls of other gateways, and the time that it takes.
	evidenceTTL = 1200 * time.Millisecond
	// organisationsTTL is how long the demand of organisations is exchanged after calls were refused.
	organisationsTTL = 3 * usage.Interval
	// totalsTTL is how long the totals of all gateways are used: three intervals of the exchange.
	totalsTTL = 3 * usage.Interval
	// localDecrease and localIncrease change the admitted share of a gateway without totals with each load report,
	// and minLocalShare bounds it. They balance at one report above the target in four.
	localDecrease = 0.12
	localIncrease = 0.03
	minLocalShare = 0.3
)

// Calls decides which calls of one service a gateway sends to the servers, and which it refuses at once. It
// follows two measurements, because the speed of servers is known only by a factor: the rate at which servers
// complete calls while calls wait is the capacity, and the number of waiting calls tells whether it is exceeded.
// The gateways exchange both each second, and admit the same share of what each is offered. A gateway without
// totals follows the load reports that it receives itself. The zero value admits all calls. It is not safe for
// concurrent use.
type Calls struct {
	meter meter[usage.Calls]
	// Organisations divides the admitted calls among organisations.
	Organisations Organisations
	// refusedAt is the latest time at which the share to admit was below 1.
	refusedAt time.Time
	// queueTarget is the number of waiting calls per slot that is aimed at, 0 until it is set.
	queueTarget float64
	// waitedAt is the latest time at which calls were seen to wait, here or by another gateway.
	waitedAt time.Time
	// lastQueue is the number of waiting calls per slot in the last load report, and reportedAt its time.
	lastQueue  float64
	reportedAt time.Time
	// capacity is the measured capacity and target the admitted rate at all gateways, per second; 0 without
	// overload. ready is the capacity of the ready servers, by their speed, when both were set.
	capacity, target, ready float64
	// proven is the rate that the servers served without a queue at provenAt, and provenReady the capacity of the ready
	// servers then.
	proven, provenReady float64
	provenAt            time.Time
	// exchangeAskedAt is the last time at which an exchange before its time was asked for.
	exchangeAskedAt time.Time
	// offered and late are the rates at the other gateways, and totalsAt the time of the totals.
	offered, late float64
	totalsAt      time.Time
	// localRefused is the share of calls to refuse without totals, 0 for none.
	localRefused float64
}

// SetObjective sets the shortest objective of the calls and the time that one takes when it does not wait, 0 if
// that is unknown.
func (c *Calls) SetObjective(objective, duration time.Duration) {
	c.queueTarget = defaultQueueTarget
	if duration > 0 && objective > 0 {
		c.queueTarget = min(maxQueueTarget, max(minQueueTarget, queueTargetShare*float64(objective)/float64(duration)))
	}
}

// RecordSend counts a send to a server.
func (c *Calls) RecordSend(now time.Time) { c.meter.at(now).Sent++ }

// RecordServed counts a response of a server that ran the call.
func (c *Calls) RecordServed(now time.Time) { c.meter.at(now).Served++ }

// RecordFull counts the refusal of a server that has no room.
func (c *Calls) RecordFull(now time.Time) {
	c.meter.at(now).Full++
	c.waitedAt = now
	c.adjustLocal(2 * c.targetQueue())
}

// RecordReport records the waiting calls and the slots that a server reported.
func (c *Calls) RecordReport(waiting, slots int, now time.Time) {
	queue := float64(waiting) / float64(max(1, slots))
	bucket := c.meter.at(now)
	bucket.Reports++
	bucket.Queue += queue
	if waiting > 0 {
		c.waitedAt = now
	}
	c.lastQueue, c.reportedAt = queue, now
	c.adjustLocal(queue)
}

// reportFactor returns the factor by which the last load report changes the admitted share.
func (c *Calls) reportFactor(now time.Time) float64 {
	freshness := 1 - float64(now.Sub(c.reportedAt))/float64(reportTTL)
	if freshness <= 0 {
		return 1
	}
	return max(minReportFactor, 1-reportGain*freshness*(c.lastQueue-c.targetQueue()))
}

func (c *Calls) targetQueue() float64 {
	if c.queueTarget == 0 {
		return defaultQueueTarget
	}
	return c.queueTarget
}

func (c *Calls) adjustLocal(queue float64) {
	share := 1 - c.localRefused
	if target := c.targetQueue(); queue > target {
		share *= 1 - localDecrease*min(1, queue/target-1)
	} else {
		share += localIncrease
	}
	c.localRefused = 1 - min(1, max(minLocalShare, share))
}

// Rates returns the calls of this gateway in the last second.
func (c *Calls) Rates(now time.Time) (sum usage.Calls) {
	c.meter.at(now)
	for _, bucket := range c.meter.buckets {
		sum = sum.Add(bucket)
	}
	return sum.Scale(1 / c.meter.span(now).Seconds())
}

// NeedsExchange reports whether the gateway should exchange its usage with the others before it is due, because an
// overload begins: calls wait, and no capacity has been measured.
func (c *Calls) NeedsExchange(now time.Time) bool {
	if c.target != 0 || now.Sub(c.reportedAt) > reportTTL || c.lastQueue <= c.targetQueue() || now.Sub(c.exchangeAskedAt) < exchangeInterval {
		return false
	}
	c.exchangeAskedAt = now
	return true
}

// Overloaded reports whether the gateway refuses calls at present. It then sends none that are not necessary.
func (c *Calls) Overloaded(ready float64, now time.Time) bool {
	onTime, late := c.Shares(ready, now)
	return onTime < 1 || late < 1
}

// HandleTotals applies the calls of all gateways, which include those that this one reported. ready is the number
// of calls per second that the ready servers serve in time as far as it is known, 0 if it is not. organisations is the
// demand of organisations, if gateways report it.
func (c *Calls) HandleTotals(total, reported usage.Calls, organisations []usage.OrganisationCalls, ready float64, now time.Time) {
	c.Organisations.HandleTotals(organisations)
	elapsed := min(totalsTTL, max(0, now.Sub(c.totalsAt))).Seconds()
	c.totalsAt = now
	c.offered, c.late = max(0, total.Offered-reported.Offered), max(0, total.Late-reported.Late)
	queue, target := total.MeanQueue(), c.targetQueue()
	if total.Full > 0 && queue < 2*target {
		// A server that is full has a longer queue than the mean tells.
		queue = max(queue, target*(1+min(1, total.Full/max(1, total.Sent))))
	}
	if queue > idleQueue {
		c.waitedAt = now
	}
	measured := c.capacity * scale(c.ready, ready)
	if queue <= target/2 {
		c.proven, c.provenReady, c.provenAt = total.Served, ready, now
	}
	switch {
	case queue > target && measured == 0:
		measured = total.Served
	case queue > target:
		// While calls wait, servers complete as many as they can.
		measured += measuredWeight * (total.Served - measured)
	case measured == 0:
		return
	case queue > idleQueue:
		measured = max(measured, total.Served) * (1 + growth(queue/target)*elapsed)
	default:
		measured = max(measured, total.Served) * (1 + releaseGrowth*elapsed)
	}
	c.capacity, c.ready = measured, ready
	c.target = measured * (1 + correction(queue, target))
	if now.Sub(c.provenAt) <= provenTTL {
		c.target = max(c.target, c.proven*scale(c.provenReady, ready))
	}
	if queue <= idleQueue && c.target > total.Offered+total.Late {
		c.capacity, c.target = 0, 0
	}
}

// growth returns the growth per second of the assumed capacity while a part of the intended queue waits.
func growth(part float64) float64 {
	missing := 1 - part
	return capacityGrowth*missing + releaseGrowth*missing*missing*missing
}

// correction returns how far the admitted rate should differ from the capacity, so that the backlog approaches the
// target.
func correction(queue, target float64) float64 {
	if queue <= target {
		return maxProbeShare * (1 - queue/target)
	}
	excess := (queue - target) / target
	return -min(maxDrainShare, excess*float64(targetDuration)/float64(drainTime))
}

// scale returns the ratio of the present capacity of the ready servers to that at an earlier time.
func scale(earlier, ready float64) float64 {
	const maxScale = 4
	if ready <= 0 || earlier <= 0 {
		return 1
	}
	return min(maxScale, max(1/float64(maxScale), ready/earlier))
}

// Shares returns the shares of the calls to admit, of those that can still be on time and of the others; ready is
// as for HandleTotals.
func (c *Calls) Shares(ready float64, now time.Time) (onTime, late float64) {
	onTime, late, _ = c.shares(ready, now)
	return onTime, late
}

// shares also returns the rate of the calls that can still be on time at all gateways, 0 if it is unknown.
func (c *Calls) shares(ready float64, now time.Time) (onTime, late, offered float64) {
	if now.Sub(c.waitedAt) > evidenceTTL || c.lastQueue == 0 && now.Sub(c.reportedAt) <= reportTTL {
		return 1, 1, 0
	}
	if now.Sub(c.totalsAt) > totalsTTL {
		return 1 - c.localRefused, max(0, 1-lateWeight*c.localRefused), 0
	}
	own := c.Rates(now)
	target := c.target * scale(c.ready, ready) * c.reportFactor(now)
	offered = c.offered + own.Offered
	if c.target == 0 {
		// Nothing has been measured yet. The speed of the servers tells their capacity by a factor.
		if ready <= 0 || now.Sub(c.reportedAt) > evidenceTTL || c.lastQueue <= c.targetQueue() {
			return 1, 1, offered
		}
		target = max(ready, minUnmeasuredShare*offered)
	}
	if target <= offered {
		return target / offered, 0, offered
	}
	return 1, min(1, (target-offered)/max(1, c.late+own.Late)), offered
}

// Admit counts a call that a caller offers, and reports whether it is sent. late means that it cannot be on time
// any more, which is so for most calls that are offered again after a refusal: they get what the others leave.
// random is a random number from 0 to 1.
func (c *Calls) Admit(organisation string, late bool, ready, random float64, now time.Time) bool {
	shareOnTime, shareLate, offered := c.shares(ready, now)
	if shareOnTime < 1 {
		c.refusedAt = now
	}
	bucket := c.meter.at(now)
	if late {
		bucket.Late++
		return random < shareLate
	}
	bucket.Offered++
	c.Organisations.Record(organisation, now)
	return random < c.Organisations.Share(organisation, shareOnTime, offered)
}

// ReportOrganisations returns the demand of organisations for an exchange, nil without overload.
func (c *Calls) ReportOrganisations(now time.Time) []usage.OrganisationCalls {
	if now.Sub(c.refusedAt) > organisationsTTL {
		c.Organisations.Measure(now)
		return nil
	}
	return c.Organisations.Report(now)
}

// Status is what the decision about calls follows, for logs. Rates are per second.
type Status struct {
	// Offered is the rate of calls at the other gateways that can be on time, Target the admitted rate and Capacity
	// the measured capacity; both are 0 if nothing was measured.
	Offered, Target, Capacity float64
	// QueueTarget is the number of waiting calls per slot that is aimed at.
	QueueTarget float64
	// TotalsAt is the time of the last totals of all gateways.
	TotalsAt time.Time
}

// Status returns what the decision follows.
func (c *Calls) Status() Status {
	return Status{Offered: c.offered, Target: c.target, Capacity: c.capacity, QueueTarget: c.targetQueue(), TotalsAt: c.totalsAt}
}
