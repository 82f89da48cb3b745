package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// reportInterval is the interval at which gateways report.
	reportInterval = 300 * time.Millisecond
	// reportLag is the mean time by which the counts are behind: half an interval, the way over the
	// coordinator, and the interval of the decisions.
	reportLag = 400 * time.Millisecond
	// stepTime is the time of a step until its responses are known everywhere: commit and event (150 ms),
	// an interval of the reports, their way over a coordinator, and the interval of the decisions.
	stepTime = 700 * time.Millisecond
	// finishTime is the time from the order of share 1 until its completion is committed, without running
	// requests.
	finishTime = 800 * time.Millisecond
	// minMargin, marginShare and maxMargin bound the time kept in hand before the time limit, for a change
	// of the leader (about 1 s) if the limit allows.
	minMargin   = 200 * time.Millisecond
	marginShare = 0.08
	maxMargin   = 3 * time.Second
	// drainFactor is the ratio between the time for running requests to end and their mean duration.
	drainFactor = 1.5
	// maxDrainShare bounds the time for running requests, and for the responses that clear the version, as
	// a share of the time limit; gateways move longer requests.
	maxDrainShare = 0.35
	// maxLatencyShare bounds the latency for which a step waits, as a share of the time limit.
	maxLatencyShare = 1.0 / 6
	// canaryBudget is the share of the allowed exposure that the canary uses, and maxCanary its largest
	// share of the requests.
	canaryBudget = 0.15
	maxCanary    = 0.3
	// canaryAge is the time after which the share of the canary follows the rate of requests, if it should
	// change by a factor of e to the power of canaryChange or more.
	canaryAge    = time.Second
	canaryChange = 0.25
	// minCanaryTime is the time of the canary that is kept before the share is raised, although the new
	// servers still warm up.
	minCanaryTime = time.Second
	// exposureReserve is the share of the allowed exposure that is not planned for: the draws of the
	// gateways and the rate of requests vary.
	exposureReserve = 0.02
	// exposureDeviations is the number of standard deviations of the number of further requests that are kept
	// in reserve.
	exposureDeviations = 2
	// minStepResponses is the number of responses in a step after which its verdict counts, and
	// expectedResponses the share of the expected responses that counts too, at low rates.
	minStepResponses  = 8
	expectedResponses = 0.3
	// capacityReserve is the share of the slots of the new servers that a step may plan for.
	capacityReserve = 0.9
	// RollbackReserve is the time after the time limit at which a rollout ends that could not reach
	// share 1, and DrainReserve that of one that waits for running requests: requests have up to 25 s.
	RollbackReserve = 3 * time.Second
	DrainReserve    = 30 * time.Second
	// suspectReserve is the time after the time limit in which a version that looks slightly worse than the
	// established one may still prove good.
	suspectReserve = time.Second
	// settleTime is the time after which a new leader has the reports of all gateways that can reach it:
	// four intervals.
	settleTime = 1200 * time.Millisecond
	// recentReport is the age of a report up to which a gateway holds up the next step: a gateway that is
	// frozen does not send to the new version either.
	recentReport = time.Second
	// stepLag is the time from a step until reports cover only the time after it: event, interval of the
	// reports, and their way.
	stepLag = 450 * time.Millisecond
	// lenientTime is the time before the time limit in which a completion can still be committed in time.
	lenientTime = 450 * time.Millisecond
	// minFinish is the shortest time of share 1 before the time limit for which the ramp waits.
	minFinish = 300 * time.Millisecond
)

// ramps are the shares after the canary, from the most careful one. The first that fits the allowed
// exposure and the time limit is used.
var ramps = [][]float64{{0.12, 0.4, 1}, {0.3, 1}, {0.15, 1}}

// Bounds are the limits that the operators set.
type Bounds struct {
	// ExposureShare and ExposureSlack bound the requests that a bad version may receive until the time limit:
	// a share of all requests to the service, and a number.
	ExposureShare, ExposureSlack float64
	// RollbackTime is the time after the 50th bad response after which a bad version gets no request.
	RollbackTime time.Duration
}

// Situation is what a decision depends on beside the record and the reports.
type Situation struct {
	Now time.Time
	// OrderedAt is the time of the order, StepAt that from which the step in force is known here, and
	// LeadingSince the time since which this process decides.
	OrderedAt, StepAt, LeadingSince time.Time
	// Connected is the number of gateways that are connected to the coordinator that decides.
	Connected int
	// NewServers is the number of ready servers of the new version, WarmingServers of those that are still
	// slow after their start. NewSlots and OldSlots are the requests that the servers of either version
	// take at once, 0 if unknown.
	NewServers, WarmingServers, NewSlots, OldSlots int
}

// Decision is a step to be taken.
type Decision struct {
	// Change is false if the step in force remains.
	Change bool
	Share  float64
	State  State
	// Reason names the rule that decided, for logs and metrics.
	Reason string
	// Verdict, Exposure and Allowed are the figures behind the decision: the verdict, the requests sent
	// to the new version, and those that it may get until the time limit.
	Verdict           Verdict
	Exposure, Allowed float64
	Rate              float64
}

// Decide returns the next step of a rollout in progress.
func Decide(r Record, e *Evidence, b Bounds, s Situation) Decision {
	e.Observe(s.Now)
	if reportsKnownAt := s.LeadingSince.Add(stepLag); s.StepAt.Before(reportsKnownAt) {
		s.StepAt = reportsKnownAt // The reports before do not tell the responses of the step from earlier ones.
	}
	p := newPlan(r, e, b, s)
	d := Decision{Share: r.Share, State: InProgress, Verdict: e.Judge(s.Now), Exposure: p.exposure, Allowed: p.allowed, Rate: p.rate}
	switch {
	case r.State != InProgress:
	case d.Verdict.Bad && e.confirmed(d.Verdict, r.Share >= 1, s.Now):
		d.rollBack("bad_version")
	case d.Verdict.Suspect && e.suspectTooLong(d.Verdict, b.RollbackTime/2, s.Now):
		d.rollBack("suspect")
	case d.Verdict.Suspect:
		// A version that is not known to be good by the time limit has missed it anyway.
		if p.remaining <= 0 && d.Verdict.Probability < limitProbability || p.remaining <= -suspectReserve {
			d.rollBack("suspect_at_the_limit")
		}
	case r.Share >= 1 && p.drained(r, e):
		d.Change, d.State, d.Reason = true, Complete, "drained"
	case p.remaining <= -DrainReserve || p.remaining <= -RollbackReserve && (r.Share < 1 || e.Reporting(s.Now.Add(-SilenceLimit)) == 0):
		d.rollBack("time_limit")
	default:
		if share, reason := p.nextShare(r, e); share != r.Share {
			d.Change, d.Share, d.Reason = true, share, reason
		}
	}
	return d
}

func (d *Decision) rollBack(reason string) {
	d.Change, d.State, d.Share, d.Reason = true, RolledBack, 0, reason
}

// plan holds the figures of one decision.
type plan struct {
	bounds    Bounds
	situation Situation
	duration  time.Duration
	// remaining is the time to the time limit, negative after it.
	remaining time.Duration
	// rate is the number of requests per second, exposure that of requests sent to the new version,
	// including those not yet reported, and allowed the number that may be sent there until the limit.
	rate, exposure, allowed float64
	// inFlight is the number of requests in flight at both versions.
	inFlight float64
	ramp     []float64
	// finish is the time that share 1 needs before the time limit, and step that of a step until the
	// responses to requests sent in it are known.
	finish, step time.Duration
	// number is that of the step in force.
	number int
}

func newPlan(r Record, e *Evidence, b Bounds, s Situation) *plan {
	p := &plan{number: r.Step, bounds: b, situation: s, duration: r.Duration, remaining: r.Duration - s.Now.Sub(s.OrderedAt), rate: e.Rate(s.Now)}
	sentNew, sentAll := e.Sent()
	p.exposure = float64(sentNew) + r.Share*p.rate*reportLag.Seconds()
	p.allowed = b.ExposureShare*(float64(sentAll)+p.expected(p.remaining)) + b.ExposureSlack
	if _, oldInFlight := e.InForce(0, s.Now); r.Share < 1 {
		p.inFlight = float64(oldInFlight) / (1 - r.Share)
	}
	latency := min(e.longestUsualLatency(), time.Duration(maxLatencyShare*float64(r.Duration)))
	p.step = stepTime + latency
	drain := time.Duration(0)
	if p.rate > 0 {
		drain = time.Duration(drainFactor * p.inFlight / p.rate * float64(time.Second))
	}
	if p.rate > 0 {
		drain = max(drain, latency+time.Duration(neededResponses()/(p.rate*e.smallestRouteShare())*float64(time.Second)))
	}
	drain = min(drain, time.Duration(maxDrainShare*float64(r.Duration)))
	margin := min(maxMargin, max(minMargin, time.Duration(marginShare*float64(r.Duration))))
	p.finish = finishTime + drain + margin
	p.chooseRamp(r.Share)
	return p
}

// expected returns the number of requests within a time.
func (p *plan) expected(d time.Duration) float64 { return p.rate * max(0, d.Seconds()) }

// chooseRamp takes the ramp of the share in force. Before the ramp it takes the first one with which the
// exposure fits, if share 1 begins as early as it should, or else the one with the least exposure before
// share 1.
func (p *plan) chooseRamp(share float64) {
	for _, p.ramp = range ramps {
		if slices.Contains(p.ramp, share) {
			return
		}
	}
	for i := range ramps {
		p.ramp = ramps[i]
		finish := finishTime + minMargin
		if i == 0 {
			finish = p.finish // Most steps only where they cost no margin.
		}
		if p.fits(p.rampExposure(0)+p.expected(finish)) && p.rampTime() < p.duration/4 {
			return
		}
	}
}

// rampExposure returns the expected exposure of the steps above a share and below 1.
func (p *plan) rampExposure(share float64) (requests float64) {
	for _, step := range p.ramp {
		if step > share && step < 1 {
			requests += step * p.expected(p.step)
		}
	}
	return requests
}

// rampTime returns the time of all steps between the canary and share 1.
func (p *plan) rampTime() time.Duration { return time.Duration(len(p.ramp)-1) * p.step }

// fits reports whether more requests to the new version are within the allowed exposure.
func (p *plan) fits(requests float64) bool {
	return p.exposure+requests+exposureDeviations*math.Sqrt(requests) <= p.allowed*(1-exposureReserve)
}

// timeBefore returns the time before the time limit at which a step below 1 begins: the steps from it on take
// stepTime each, and share 1 begins as soon as the exposure until the time limit is allowed.
func (p *plan) timeBefore(step float64) time.Duration {
	finish := p.finish
	if p.rate > 0 {
		left := p.allowed*(1-exposureReserve) - p.exposure - p.rampExposure(step-1e-9)
		affordable := (left - exposureDeviations*math.Sqrt(max(0, left))) / p.rate
		finish = min(finish, max(minFinish, time.Duration(affordable*float64(time.Second))))
	}
	for _, later := range p.ramp {
		if later >= step && later < 1 {
			finish += p.step
		}
	}
	return finish
}

// room returns the largest share that the slots of the new servers can bear.
func (p *plan) room() float64 {
	s := p.situation
	if s.NewServers == 0 {
		return 0
	}
	if s.NewSlots == 0 || s.OldSlots == 0 {
		return 1
	}
	room := float64(s.NewSlots) / float64(s.OldSlots)
	if p.inFlight > 0 {
		room = max(room, capacityReserve*float64(s.NewSlots)/p.inFlight)
	}
	return min(1, room)
}

// nextShare returns the share that should be in force, and the rule that gave it.
func (p *plan) nextShare(r Record, e *Evidence) (share float64, reason string) {
	s := p.situation
	if e.Reporting(s.Now.Add(-recentReport)) == 0 || s.Now.Sub(s.LeadingSince) < settleTime && r.Step > 0 {
		return r.Share, ""
	}
	if r.Share == 0 {
		return p.canary(), "canary"
	}
	if age := s.Now.Sub(s.StepAt); p.remaining > p.timeBefore(p.ramp[0])+canaryAge && age >= canaryAge {
		// The rate was not known well at the order, or has changed.
		if canary := p.canary(); canary > 0 && math.Abs(math.Log(canary/r.Share)) > canaryChange {
			return canary, "canary"
		}
	}
	if !p.stepKnown(r, e) {
		return r.Share, ""
	}
	for _, step := range p.ramp {
		if step <= r.Share {
			continue
		}
		if step < 1 {
			// The step begins as late as those after it allow.
			if p.remaining > p.timeBefore(step) {
				return r.Share, ""
			}
			return max(r.Share, min(step, p.room())), "ramp"
		}
		// Until the time limit, all requests may go to a version that turns bad now.
		if p.room() < 1 || p.remaining > p.finish || p.remaining > 0 && !p.fits(p.expected(p.remaining)) {
			return r.Share, ""
		}
		return 1, "all"
	}
	return r.Share, ""
}

// canary returns the share of the first step, 0 while it must not begin.
func (p *plan) canary() float64 {
	s := p.situation
	if s.Now.Sub(s.OrderedAt) < 2*reportInterval {
		return 0 // The rate is not known well yet.
	}
	if s.NewServers == 0 || s.WarmingServers > 0 && p.remaining > p.finish+p.rampTime()+minCanaryTime {
		return 0
	}
	total := max(1, p.rate*p.duration.Seconds())
	return min(maxCanary, p.room(), canaryBudget*(p.bounds.ExposureShare+p.bounds.ExposureSlack/total))
}

// stepKnown reports whether the step in force has lasted long enough, and has enough responses, to be
// judged.
func (p *plan) stepKnown(r Record, e *Evidence) bool {
	s := p.situation
	age := s.Now.Sub(s.StepAt)
	if age < p.step-reportInterval/2 || !e.RecentlyInForce(r.Step, s.Now.Add(-recentReport)) {
		return false
	}
	needed := min(minStepResponses, math.Floor(expectedResponses*r.Share*p.expected(age-p.step/2)))
	return float64(p.stepAnswers(e).answered()) >= needed
}

// drained reports whether all gateways have share 1 in force and no request in flight at old servers.
func (p *plan) drained(r Record, e *Evidence) bool {
	s := p.situation
	known := s.Now.Sub(s.LeadingSince)
	if known < settleTime {
		return false
	}
	// A gateway that has not reported yet, to this leader or since the order, may have requests at old
	// servers.
	if known = min(known, s.Now.Sub(s.OrderedAt)); known < SilenceLimit && e.Reporting(s.Now.Add(-SilenceLimit)) < s.Connected {
		return false
	}
	inForce, oldInFlight := e.InForce(r.Step, s.Now)
	return inForce && oldInFlight == 0 && p.cleared(r, e)
}

// cleared reports whether enough is known of the version under share 1. At the time limit, less is enough.
func (p *plan) cleared(r Record, e *Evidence) bool {
	known := p.step - reportInterval
	if latency := p.step - stepTime; latency > reportInterval {
		// Missing responses to requests of the step are known by then.
		known = latency + 2*reportInterval + stepLag
	}
	if p.situation.Now.Sub(p.situation.StepAt) < known {
		return false
	}
	recent := p.stepAnswers(e)
	if p.rate == 0 {
		return true
	}
	// Bad responses under smaller shares count, good ones do not outweigh those under share 1.
	if e.logRatio(e.sums, true) > 0 {
		return false
	}
	if e.logRatio(recent, false) <= clearedLogRatio {
		return true
	}
	return p.remaining <= lenientTime && e.logRatio(recent, true) <= lenientLogRatio
}

// stepAnswers returns the counts of which nearly all responses are to requests of the step in force.
func (p *plan) stepAnswers(e *Evidence) sums {
	if latency := p.step - stepTime; latency > reportInterval {
		return e.sums.minus(e.at(p.situation.StepAt.Add(stepLag + latency)))
	}
	if e.step < p.number {
		return sums{}
	}
	return e.stepSums
}
