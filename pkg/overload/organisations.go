package overload

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// Load pattern: one of 24 organisations, a few of which are large, sends 7.5 times its usual load while the servers
// can serve little more than the usual load of all. With the same share for all calls, the others lose half of
// theirs. Equal rates for all organisations would refuse a large one that sends what it always does, and
// let a small one send many times its usual load.

const (
	// usualWeight is the weight of one second in the usual load of an organisation: about a minute.
	usualWeight = 1.0 / 60
	// usualDelay is the number of seconds after which a rate counts towards the usual load. An organisation sends many
	// times its usual load for some seconds before calls begin to wait.
	usualDelay = 5
	// minUsualShare is the smallest usual load that counts, as a share of the mean. An organisation that is new has
	// none.
	minUsualShare = 0.25
	// excessTolerance is the multiple of its usual load up to which an organisation is not in excess. The usual load of a
	// small one is known to a half.
	excessTolerance = 1.5
	// organisationTTL is how long an organisation is kept that offers nothing, and maxKnownOrganisations how many are
	// kept.
	organisationTTL       = 5 * time.Minute
	maxKnownOrganisations = 1024
)

// Organisations divides the admitted calls of a service among organisations: max-min fairness, weighted by their
// usual load. The zero value knows none. It is not safe for concurrent use.
type Organisations struct {
	known map[string]*organisation
	// seconds is the number of seconds in which the usual load was measured.
	seconds int
	// delayed is the number of seconds without overload whose rates are kept in organisation.delayed.
	delayed    int
	measuredAt time.Time
	// fill lists the organisations of the last totals by their demand relative to their weight, ascending.
	fill []filled
	// byName holds the position of an organisation in fill.
	byName map[string]int
	// total is the demand of all of them.
	total float64
	// Smoothing is the weight of the latest totals in the demand; 0 is 1. Where organisations offer only a few
	// requests per second, one second alone says little.
	Smoothing float64
	smoothed  map[string]float64
}

type organisation struct {
	meter meter[float64]
	usual float64
	// delayed holds the rates of the latest seconds, which do not count towards the usual load yet.
	delayed [usualDelay]float64
	// seenAt is the time of its latest call.
	seenAt time.Time
}

// filled is an organisation in the order in which rising levels fill their demands.
type filled struct {
	// ratio is the demand relative to the weight.
	ratio float64
	// demandBefore is the demand of those with lower ratios, and weightFrom the weight of this one and all that
	// follow.
	demandBefore, weightFrom float64
}

// rate returns the calls per second in the last second.
func (o *organisation) rate(now time.Time) (sum float64) {
	o.meter.at(now)
	for _, count := range o.meter.buckets {
		sum += count
	}
	return sum / o.meter.span(now).Seconds()
}

// Record counts a call of an organisation.
func (o *Organisations) Record(name string, now time.Time) {
	known := o.known[name]
	if known == nil {
		if len(o.known) >= maxKnownOrganisations {
			return
		}
		if o.known == nil {
			o.known = map[string]*organisation{}
		}
		// It offered nothing before. A rate over the short time since its first call would be far too high.
		known = &organisation{meter: meter[float64]{startedAt: now.Add(-meterWindow), current: meterBuckets}}
		o.known[name] = known
	}
	*known.meter.at(now)++
	known.seenAt = now
}

// Measure updates the usual load of the organisations. It is called about once a second, and only without overload:
// an organisation that causes one does not get a larger share from it. It does nothing while another gateway
// reports an overload.
func (o *Organisations) Measure(now time.Time) {
	if now.Sub(o.measuredAt) < meterWindow || len(o.fill) > 0 {
		return
	}
	o.measuredAt = now
	slot, isFull := o.delayed%usualDelay, o.delayed >= usualDelay
	o.delayed++
	if isFull {
		o.seconds++
	}
	maps.DeleteFunc(o.known, func(_ string, known *organisation) bool { return now.Sub(known.seenAt) > organisationTTL })
	weight := max(usualWeight, 1/float64(max(1, o.seconds)))
	for _, known := range o.known {
		if isFull {
			known.usual += weight * (known.delayed[slot] - known.usual)
		}
		known.delayed[slot] = known.rate(now)
	}
}

// Report returns the demand of the organisations for an exchange.
func (o *Organisations) Report(now time.Time) []usage.OrganisationCalls {
	// The latest seconds led to the overload.
	o.delayed = 0
	list := make([]usage.OrganisationCalls, 0, len(o.known))
	for name, known := range o.known {
		if rate := known.rate(now); rate > 0 || known.usual > 0 {
			list = append(list, usage.OrganisationCalls{Organisation: name, Offered: rate, Usual: known.usual})
		}
	}
	return usage.LargestOrganisations(list)
}

// HandleTotals applies the demand of the organisations at all gateways.
func (o *Organisations) HandleTotals(list []usage.OrganisationCalls) {
	o.fill, o.byName, o.total = o.fill[:0], map[string]int{}, 0
	if len(list) == 0 {
		return
	}
	meanUsual := 0.0
	for _, c := range list {
		meanUsual += c.Usual / float64(len(list))
	}
	weight := func(c usage.OrganisationCalls) float64 { return max(c.Usual, minUsualShare*meanUsual, 1e-3) }
	sorted := o.smooth(list)
	slices.SortFunc(sorted, func(a, b usage.OrganisationCalls) int { return cmp.Compare(a.Offered/weight(a), b.Offered/weight(b)) })
	weights := 0.0
	for _, c := range sorted {
		weights += weight(c)
	}
	for i, c := range sorted {
		o.byName[c.Organisation] = i
		o.fill = append(o.fill, filled{ratio: c.Offered / weight(c), demandBefore: o.total, weightFrom: weights})
		o.total += c.Offered
		weights -= weight(c)
	}
}

// smooth returns a copy of the totals with the demand averaged over the latest ones.
func (o *Organisations) smooth(list []usage.OrganisationCalls) []usage.OrganisationCalls {
	averaged := slices.Clone(list)
	if o.Smoothing <= 0 {
		return averaged
	}
	previous := o.smoothed
	o.smoothed = make(map[string]float64, len(list))
	for i := range averaged {
		c := &averaged[i]
		before, ok := previous[c.Organisation]
		if !ok {
			before = c.Usual
		}
		c.Offered = before + o.Smoothing*(c.Offered-before)
		o.smoothed[c.Organisation] = c.Offered
	}
	return averaged
}

// ExcessShare returns the share of the requests of an organisation that are beyond its usual load, 0 if it does not offer
// more than excessTolerance times as much.
func (o *Organisations) ExcessShare(name string) float64 {
	i, ok := o.byName[name]
	if !ok || o.fill[i].ratio <= excessTolerance {
		return 0
	}
	return 1 - excessTolerance/o.fill[i].ratio
}

// Share returns the share of the calls of an organisation to admit, if a share of all calls, whose rate is offered, is
// admitted. Organisations that are not in the totals offer less than the others, and are admitted.
func (o *Organisations) Share(name string, share, offered float64) float64 {
	if share >= 1 || len(o.fill) == 0 {
		return share
	}
	rate := share*offered - max(0, offered-o.total)
	if rate <= 0 {
		return share
	}
	i, ok := o.byName[name]
	if !ok {
		return 1
	}
	level := o.level(rate)
	if ratio := o.fill[i].ratio; ratio > level {
		return level / ratio
	}
	return 1
}

// level returns the demand relative to its weight up to which each organisation is admitted, so that the rate of all
// is the given one.
func (o *Organisations) level(rate float64) float64 {
	// The first organisation that is not admitted in full at its own ratio.
	i := sort.Search(len(o.fill), func(i int) bool { return o.fill[i].demandBefore+o.fill[i].ratio*o.fill[i].weightFrom > rate })
	if i == len(o.fill) {
		return o.fill[len(o.fill)-1].ratio
	}
	return (rate - o.fill[i].demandBefore) / o.fill[i].weightFrom
}
