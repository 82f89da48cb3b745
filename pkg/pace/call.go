package pace

import (
	"math"
	"time"
)

const (
	// callEvenWidth is the logarithm of the ratio up to which servers for calls count as equally fast: 2. The service
	// time leaves out the wait in the queue, so that gateways which see a few calls per second would all keep to
	// a server that is somewhat faster, and fill its queue.
	callEvenWidth = 0.7
	// figureLife is the time in which the value of a reported slowdown falls to a third. Servers are slowed
	// down for up to 600 ms at a time and report it with each response.
	figureLife = 100 * time.Millisecond
	// maxFigureRatio bounds the effect of a reported slowdown, which may be false.
	maxFigureRatio = 4
	// figureSmoothing is the weight of the latest report in the moving average of the reported slowdown.
	figureSmoothing = 0.05
	// serviceTTL is the time without a sample after which the next one replaces the earlier ones: a server that
	// was slow gets a call now and then, and a quick response shows that it no longer is.
	serviceTTL = 5 * time.Second
	// minFigureExcess is the difference from the average below which a report counts as usual, so that servers
	// that are equal otherwise share the calls.
	minFigureExcess = 0.05
	// maxQueueRatio bounds the waiting requests per slot that a report is believed to have. Servers have queues
	// of four times their slots.
	maxQueueRatio = 8
	// limitRatio is the ratio of a service time to the lowest one above which the concurrency counts as too
	// high, limitCut the factor by which the limit then falls, and lowestGrowth the growth of the lowest
	// service time per sample, so that it follows a server that has become slower for good.
	limitRatio   = 2
	limitCut     = 0.9
	lowestGrowth = 1.0005
	// limitDeadBand is the share of the slots above which a limit counts as all of them: service times that
	// vary by chance lower it by up to a third.
	limitDeadBand = 0.6
	// loadedShare is the share of the limit from which the concurrency is the likely cause of a long service
	// time, and a short one shows that more would do.
	loadedShare = 0.5
)

// Load is the load that a server reported with a response. Slots is 0 if it reported none.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes at this moment, relative to the usual; 0 is unknown.
	Slowdown float64
}

// Calls is what is known of one process of a server for calls. The zero value knows nothing.
type Calls struct {
	// service is the logarithm of the time in ms that the server takes for a call without waiting.
	service Estimate
	slots   int
	// limit is the concurrency that the server handles well, 0 if no report has named its slots. lowest is the
	// lowest service time in ms, and cutAt the time at which limit last fell.
	limit, lowest float64
	cutAt         time.Time
	// figure is the latest reported slowdown, and usualFigure its moving average.
	figure, usualFigure float64
	figureAt            time.Time
}

// RecordLatency records the latency of a call and the load that was reported with its response.
func (c *Calls) RecordLatency(latency time.Duration, l Load, now time.Time) {
	if latency <= 0 {
		return
	}
	queue := 0.0
	if l.Slots > 0 {
		c.slots = l.Slots
		queue = max(0, min(maxQueueRatio, float64(l.Waiting)/float64(l.Slots)))
	}
	if c.service.Age(now) >= serviceTTL {
		c.service = Estimate{}
	}
	sample := math.Log(milliseconds(latency) / (1 + queue))
	c.service.Add(sample, 1, now)
	if l.Slots > 0 && l.Running > 0 {
		serviceMS := math.Exp(sample)
		if l.Slowdown > 0 && c.usualFigure > 0 {
			// What slows down the machine as a whole says nothing about its concurrency.
			serviceMS /= max(1, min(maxFigureRatio, l.Slowdown/c.usualFigure))
		}
		c.adjustLimit(serviceMS, latency, l.Running, now)
	}
}

// adjustLimit adjusts the limit of the concurrency: a place more per round of calls that are served well, and
// a tenth less, at most once in the time of a call, when one took long.
func (c *Calls) adjustLimit(serviceMS float64, latency time.Duration, running int, now time.Time) {
	slots := float64(c.slots)
	if c.limit == 0 {
		c.limit = slots
	}
	if c.lowest == 0 || serviceMS < c.lowest {
		c.lowest = serviceMS
	}
	c.lowest *= lowestGrowth
	switch {
	case float64(running) < loadedShare*c.limit:
	case serviceMS <= limitRatio*c.lowest:
		c.limit = min(slots, c.limit+1/c.limit)
	case now.Sub(c.cutAt) > latency:
		c.limit, c.cutAt = max(1, limitCut*c.limit), now
	}
}

// RecordFigure records a reported slowdown.
func (c *Calls) RecordFigure(slowdown float64, now time.Time) {
	if !(slowdown > 0) {
		return
	}
	if c.usualFigure == 0 {
		c.usualFigure = slowdown
	}
	c.usualFigure += figureSmoothing * (slowdown - c.usualFigure)
	c.figure, c.figureAt = slowdown, now
}

// Slowdown returns how much slower than on average the server is at this moment, as far as its last report
// still says so: 1 if it is unknown. Reports are compared with the average of the same server, since a
// slower machine may report more than 100 percent all the time.
func (c *Calls) Slowdown(now time.Time) float64 {
	if c == nil || c.figure == 0 || c.usualFigure == 0 {
		return 1
	}
	ratio := max(1.0/maxFigureRatio, min(maxFigureRatio, c.figure/c.usualFigure))
	excess := (ratio - 1) * math.Exp(-float64(max(0, now.Sub(c.figureAt)))/float64(figureLife))
	if math.Abs(excess) < minFigureExcess {
		return 1
	}
	return 1 + excess
}

// ServiceLog returns the logarithm of the service time in ms and its weight, 0 if it is unknown.
func (c *Calls) ServiceLog(now time.Time) (log, weight float64) {
	if c == nil {
		return 0, 0
	}
	return c.service.median, c.service.Weight(now)
}

// Relative returns the service time relative to the usual one, given as a logarithm: 1 if the difference is
// small or the samples are few or old.
func (c *Calls) Relative(usualLog float64, now time.Time) float64 {
	if c == nil {
		return 1
	}
	x := threshold(c.service.shrunk(usualLog, now)-usualLog, callEvenWidth)
	if x == 0 {
		return 1
	}
	return math.Exp(max(-maxLog, min(maxLog, x)))
}

// Limit returns the number of concurrent requests that a server with the given slots handles well.
func (c *Calls) Limit(slots int) int {
	if c == nil || c.limit == 0 || slots <= 0 || c.limit >= limitDeadBand*float64(slots) {
		return slots
	}
	return max(1, min(slots, int(math.Round(c.limit))))
}
