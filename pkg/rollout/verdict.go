package rollout

import (
	"math"
	"time"
)

const (
	// badProbability is the probability, under the behaviour of the established version, below which what
	// was seen of the new version is not taken for chance. A decision is made ten times per second over
	// several windows and routes, so it is far below the share of good versions that may be rolled back.
	badProbability = 1e-5
	// suspectProbability is the probability below which the share is not raised.
	suspectProbability = 1e-3
	// limitProbability is the probability below which a rollout ends at its time limit.
	limitProbability = 1e-4
	// minExcess is the smallest difference between the shares of bad responses that counts: smaller ones
	// come from a different mix of requests.
	minExcess = 0.05
	// minBadResponses is the number of bad responses below which no verdict is bad.
	minBadResponses = 3
	// failureFloor and slowFloor are the lowest shares of failures and slow responses assumed of the
	// established version: a few random faults within a second are normal.
	failureFloor = 0.005
	slowFloor    = 0.02
	// slowBuckets is the distance from the median, in buckets, from which a response is slow: 2.1 to 3 times
	// the median.
	slowBuckets = 2
	// slowQuantile is the quantile of the established version that a slow response exceeds too: responses
	// with a cold cache are slow in normal operation.
	slowQuantile = 0.95
	// minBaseResponses is the number of responses of the established version from which its recent
	// behaviour counts on its own, and from which its latencies are known.
	minBaseResponses = 20
	// maxAnswerWait bounds the time after which a request without a response counts as slow.
	maxAnswerWait = 8 * time.Second
)

// verdictWindows are the times over which the verdict is given, beside the whole rollout: a version that
// turns bad late has many good responses behind it.
var verdictWindows = []time.Duration{800 * time.Millisecond, 2 * time.Second, 5 * time.Second}

// Fault is the kind of a bad verdict.
type Fault string

// Kinds of bad verdicts.
const (
	NoFault  Fault = ""
	Failures Fault = "failures"
	Latency  Fault = "latency"
)

// Verdict compares the new version with the established one. Its figures are those of the comparison with
// the lowest probability.
type Verdict struct {
	// Bad means that the version is to be rolled back, Suspect that the share is not to be raised.
	Bad, Suspect bool
	Fault        Fault
	// Route is empty if all routes were compared together, and Window 0 for the whole rollout.
	Route  string
	Window time.Duration
	// Responses, BadResponses and Expected are the responses of the new version, the bad ones among them,
	// and how many would be bad if it behaved as the established one.
	Responses, BadResponses int
	Expected                float64
	// Probability is that of as many bad responses or more by chance.
	Probability float64
}

const (
	// badExcess and slowExcess are the additional shares of failures and of slow responses of the mildest bad
	// version that must be told from a good one before a rollout completes.
	badExcess  = 0.2
	slowExcess = 0.4
	// clearedLogRatio is the logarithm of the likelihood ratio between a bad and a good version below which
	// the version is good, 1 to 150. lenientLogRatio counts at the time limit, where waiting costs more.
	clearedLogRatio = -5
	lenientLogRatio = -1.5
	// noisyFailures is the usual share of failures from which so few responses as there are until the time
	// limit do not tell a bad version from a good one; the route is then left out.
	noisyFailures = 0.05
	// minRouteShare is the share of the requests from which a route is judged on its own before completion;
	// smaller ones would delay it beyond every time limit.
	minRouteShare = 0.1
)

// logRatio compares how likely responses of the new version are for a version with badExcess more failures, or
// slowExcess more slow responses, than the established one and for a good one. It returns the highest logarithm of the ratio of all routes that
// matter, and of both kinds of faults; it is 0 without responses. lenient leaves out the failures of routes that
// often fail.
func (e *Evidence) logRatio(recent sums, lenient bool) (highest float64) {
	newSent, _ := recent.sent()
	if newSent == 0 {
		return 0
	}
	highest = math.Inf(-1)
	for k, c := range recent {
		if !k.newVersion || float64(c.Sent) < minRouteShare*float64(newSent) {
			continue
		}
		base := e.sums[key{route: k.route}]
		usual := failureSample(base).share(failureFloor)
		ratio := logRatio(failureSample(c), usual, badExcess)
		if lenient && usual >= noisyFailures {
			ratio = math.Inf(-1)
		}
		if threshold := slowBucket(base.Latencies); threshold >= 0 {
			ratio = max(ratio, logRatio(slowSample(c, threshold), slowSample(base, threshold).share(slowFloor), slowExcess))
		}
		highest = max(highest, ratio)
	}
	return highest
}

func logRatio(seen sample, good, excess float64) float64 {
	bad := min(0.99, good+excess)
	good = min(good, bad-0.01)
	return seen.bad*math.Log(bad/good) + (seen.n-seen.bad)*math.Log((1-bad)/(1-good))
}

// longestUsualLatency returns the latency from which a response is slow for the slowest route that matters.
func (e *Evidence) longestUsualLatency() (longest time.Duration) {
	_, all := e.sums.sent()
	for k, c := range e.sums {
		if threshold := slowBucket(c.Latencies); !k.newVersion && threshold >= 0 && float64(c.Sent) >= minRouteShare*float64(all) {
			longest = max(longest, UpperBound(threshold))
		}
	}
	return min(maxAnswerWait, longest)
}

// neededResponses returns the number of responses to a route after which a good version is cleared, if none
// is bad.
func neededResponses() float64 {
	return clearedLogRatio / math.Log((1-badExcess-slowFloor)/(1-slowFloor))
}

// smallestRouteShare returns the share of the requests of the smallest route that is judged on its own.
func (e *Evidence) smallestRouteShare() float64 {
	sent := map[string]float64{}
	var all float64
	for k, c := range e.sums {
		sent[k.route] += float64(c.Sent)
		all += float64(c.Sent)
	}
	smallest := 1.0
	for _, n := range sent {
		if n >= minRouteShare*all && all > 0 {
			smallest = min(smallest, n/all)
		}
	}
	return smallest
}

// sample is a number of responses and the bad ones among them.
type sample struct{ n, bad float64 }

func (s sample) share(floor float64) float64 {
	// Adding one bad response of two keeps a small sample of the established version from proving
	// anything.
	return max(floor, (s.bad+1)/(s.n+2))
}

// Judge returns the verdict on the responses known at now.
func (e *Evidence) Judge(now time.Time) Verdict {
	worst := Verdict{Probability: 1}
	for i := range len(verdictWindows) + 1 {
		window, since := time.Duration(0), time.Time{}
		if i > 0 {
			window = verdictWindows[i-1]
			since = now.Add(-window)
			if len(e.snapshots) == 0 || e.snapshots[0].at.After(since) {
				continue // The window is the whole rollout.
			}
		}
		e.judgeWindow(window, since, now, &worst)
	}
	worst.Suspect = worst.Probability < suspectProbability
	worst.Bad = worst.Probability < badProbability && worst.BadResponses >= minBadResponses
	if !worst.Bad {
		e.badSince = time.Time{}
	} else if e.badSince.IsZero() {
		e.badSince = now
	}
	if !worst.Suspect {
		worst.Fault, e.suspectSince = NoFault, time.Time{}
	} else if e.suspectSince.IsZero() {
		e.suspectSince = now
	}
	return worst
}

const (
	// confirmTime is the time after which bad responses confirm a bad verdict: reports of the responses
	// behind it arrive within an interval of the reports and their way.
	confirmTime = 500 * time.Millisecond
	// manyBadResponses is the number of bad responses from which a verdict under share 1 needs no
	// confirmation: then the time limit is near.
	manyBadResponses = 6
)

// confirmed reports whether a bad verdict is more than one burst of failures, as the crash of one of few servers
// causes it: further responses are bad too.
func (e *Evidence) confirmed(v Verdict, all bool, now time.Time) bool {
	if all && v.BadResponses >= manyBadResponses {
		return true
	}
	since := e.badSince.Add(confirmTime)
	if now.Before(since) {
		return false
	}
	before := e.at(since)
	var seen sample
	for k, total := range e.sums {
		if !k.newVersion || v.Route != "" && k.route != v.Route {
			continue
		}
		recent := total.minus(before[k])
		if v.Fault == Failures {
			seen.n, seen.bad = seen.n+float64(answers(recent)), seen.bad+float64(recent.Failed)
			continue
		}
		if threshold := slowBucket(e.sums[key{route: k.route}].Latencies); threshold >= 0 {
			slow, unanswered := slowSample(recent, threshold), e.unanswered(k, threshold, since, now)
			seen.n, seen.bad = seen.n+slow.n+unanswered, seen.bad+slow.bad+unanswered
		}
	}
	return seen.bad >= 1 && seen.bad >= seen.n*(v.Expected/float64(v.Responses)+minExcess)
}

// minSuspectResponses is the number of bad responses from which a lasting suspicion ends a rollout: less than
// half of the 50 from which the time to the last request is bounded.
const minSuspectResponses = 20

// suspectTooLong reports whether a version has been suspect for a time, on many bad responses.
func (e *Evidence) suspectTooLong(v Verdict, limit time.Duration, now time.Time) bool {
	return v.BadResponses >= minSuspectResponses && now.Sub(e.suspectSince) >= limit
}

// judgeWindow compares both versions per route, and over all routes, for failures and for latency.
func (e *Evidence) judgeWindow(window time.Duration, since, now time.Time, worst *Verdict) {
	before := e.at(since)
	var pooled, pooledSlow sample
	var expected, expectedSlow float64
	for k, total := range e.sums {
		if !k.newVersion {
			continue
		}
		oldKey := key{route: k.route}
		recent := total.minus(before[k])
		base, recentBase := e.sums[oldKey], e.sums[oldKey].minus(before[oldKey])

		failed := sample{float64(answers(recent)), float64(recent.Failed)}
		p := failureSample(base).share(failureFloor)
		if s := failureSample(recentBase); s.n >= minBaseResponses {
			p = max(p, s.share(failureFloor))
		}
		worst.consider(Failures, k.route, window, failed, failed.n*p)
		pooled.n, pooled.bad, expected = pooled.n+failed.n, pooled.bad+failed.bad, expected+failed.n*p

		threshold := slowBucket(base.Latencies)
		if threshold < 0 {
			continue
		}
		slow := slowSample(recent, threshold)
		unanswered := e.unanswered(k, threshold, since, now)
		slow.n, slow.bad = slow.n+unanswered, slow.bad+unanswered
		baseSlow := slowSample(base, threshold)
		baseUnanswered := e.unanswered(oldKey, threshold, time.Time{}, now)
		baseSlow.n, baseSlow.bad = baseSlow.n+baseUnanswered, baseSlow.bad+baseUnanswered
		p = baseSlow.share(slowFloor)
		if s := slowSample(recentBase, threshold); s.n >= minBaseResponses {
			p = max(p, s.share(slowFloor))
		}
		worst.consider(Latency, k.route, window, slow, slow.n*p)
		pooledSlow.n, pooledSlow.bad, expectedSlow = pooledSlow.n+slow.n, pooledSlow.bad+slow.bad, expectedSlow+slow.n*p
	}
	worst.consider(Failures, "", window, pooled, expected)
	worst.consider(Latency, "", window, pooledSlow, expectedSlow)
}

// unanswered returns how many requests became known to have no response between two times: they were sent so
// long ago that even a slow response would have been reported. Responses to later requests hide some of them.
func (e *Evidence) unanswered(k key, threshold int, since, now time.Time) float64 {
	return max(0, e.unansweredAt(k, threshold, now)-e.unansweredAt(k, threshold, since))
}

func (e *Evidence) unansweredAt(k key, threshold int, t time.Time) float64 {
	// Requests that were refused, or whose caller left, wait for no response.
	known := e.at(t)[k]
	sent, answered := e.at(t.Add(-answerWait(threshold)))[k].Sent, answers(known)+known.Void
	if sent <= answered {
		return 0
	}
	return float64(sent - answered)
}

// answerWait returns the time after which a request without a reported response is slow.
func answerWait(threshold int) time.Duration {
	return min(maxAnswerWait, UpperBound(threshold)) + 2*reportInterval
}

func failureSample(c Counts) sample { return sample{float64(answers(c)), float64(c.Failed)} }

func slowSample(c Counts, threshold int) (s sample) {
	for bucket, count := range c.Latencies {
		s.n += float64(count)
		if bucket > threshold {
			s.bad += float64(count)
		}
	}
	return s
}

// slowBucket returns the highest bucket that is not slow for a route, or -1 if too few latencies of the
// established version are known.
func slowBucket(base Histogram) int {
	total := base.Total()
	if total < minBaseResponses {
		return -1
	}
	median, high := -1, -1
	counted := uint64(0)
	for bucket, count := range base {
		counted += uint64(count)
		if median < 0 && 2*counted >= total {
			median = bucket
		}
		if float64(counted) >= slowQuantile*float64(total) {
			high = bucket
			break
		}
	}
	return min(histogramBuckets-2, max(median+slowBuckets, high))
}

// consider replaces the verdict if what was seen is less probable.
func (v *Verdict) consider(fault Fault, route string, window time.Duration, seen sample, expected float64) {
	if seen.n <= 0 || seen.bad-expected < minExcess*seen.n {
		return
	}
	probability := binomialTail(seen.n, seen.bad, min(1, expected/seen.n))
	if probability < v.Probability {
		*v = Verdict{
			Fault: fault, Route: route, Window: window, Responses: int(seen.n), BadResponses: int(seen.bad), Expected: expected,
			Probability: probability,
		}
	}
}

// binomialTail returns the probability of k or more of n if each has the probability p.
func binomialTail(n, k, p float64) float64 {
	if k <= 0 || p >= 1 {
		return 1
	}
	logChoose := func(a, b float64) float64 {
		x, _ := math.Lgamma(a + 1)
		y, _ := math.Lgamma(b + 1)
		z, _ := math.Lgamma(a - b + 1)
		return x - y - z
	}
	term := math.Exp(logChoose(n, k) + k*math.Log(p) + (n-k)*math.Log1p(-p))
	sum := term
	// Above the mean, the terms fall; the sum is exact to what the rest can add.
	for i := k; i < n && term > sum*1e-6; i++ {
		term *= (n - i) / (i + 1) * p / (1 - p)
		sum += term
	}
	return min(1, sum)
}
