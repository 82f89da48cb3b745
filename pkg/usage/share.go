package usage

import (
	"math"
	"time"
)

const (
	// Interval is the interval at which gateways exchange their usage.
	Interval = time.Second
	// sharesTTL is how long totals are used for shares, and TotalsTTL how long they are compared with a
	// common limit: meanwhile other gateways add to them.
	sharesTTL = 3 * Interval
	TotalsTTL = Interval + Interval/2
	// connectedTTL is how long the largest number of gateways counts, so that a gateway in a part of
	// the deployment that is cut off does not take the share of the others.
	connectedTTL = time.Minute
)

// View is what one gateway knows of the usage by all of them. The zero value knows nothing. It is not
// safe for concurrent use.
type View struct {
	// StartedAt is when the process of the gateway started; the zero value means long ago.
	StartedAt time.Time

	totals     Totals
	reported   Report
	receivedAt time.Time
	// connected is the largest number of gateways seen within connectedTTL, connectedAt when it was
	// seen last.
	connected   int
	connectedAt time.Time
	// ceilings holds the retries within the window that this gateway may send, by service, since ceilingsAt.
	ceilings   map[string]float64
	ceilingsAt time.Time
}

// Update stores totals that include the report of this gateway.
func (v *View) Update(totals Totals, reported Report, now time.Time) {
	v.totals, v.reported, v.receivedAt = totals, reported, now
	if totals.Connected >= v.connected || now.Sub(v.connectedAt) > connectedTTL {
		v.connected, v.connectedAt = totals.Connected, now
	}
	if totals.Ceilings != nil {
		v.ceilings, v.ceilingsAt = totals.Ceilings, now
	}
}

// Ceiling returns the number of retries within the window that this gateway may send to a service, and the
// time since it was granted. It reports false if nothing has been granted yet.
func (v *View) Ceiling(service string, now time.Time) (ceiling float64, age time.Duration, ok bool) {
	ceiling, ok = v.ceilings[service]
	return ceiling, now.Sub(v.ceilingsAt), ok
}

// Uptime returns how long the process of the gateway has run.
func (v *View) Uptime(now time.Time) time.Duration { return now.Sub(v.StartedAt) }

// LowerCeiling gives back half of the retries that this gateway may still send, given those that it has
// sent, and returns the ceiling. It is called for each report: what is given back, another gateway may
// need, and the rest lasts until the response.
func (v *View) LowerCeiling(service string, retries float64) float64 {
	ceiling, ok := v.ceilings[service]
	if left := ceiling - retries; ok && left > 0 {
		ceiling = retries + math.Floor(left/2)
		v.ceilings[service] = ceiling
	}
	return ceiling
}

// isKnown reports whether there are totals that are not older than ttl.
func (v *View) isKnown(now time.Time, ttl time.Duration) bool {
	return v.totals.Settled && now.Sub(v.receivedAt) <= ttl
}

// coverage returns the share of the known gateways that the totals include.
func (v *View) coverage() float64 {
	return float64(v.totals.Reporting) / float64(max(1, v.connected, v.totals.Reporting))
}

// Share returns the share, 0 to 1, of this gateway in what all gateways may use together of a
// service, by its demand. It is an equal share while the demand of the others is unknown, and 0 while
// their number is.
func (v *View) Share(service string, demand float64, now time.Time) float64 {
	total := v.totals.Services[service].Demand - v.reported.Services[service].Demand + demand
	if v.isKnown(now, sharesTTL) && total > 0 {
		return v.coverage() * min(1, demand/total)
	}
	if v.connected == 0 {
		return 0
	}
	return 1 / float64(v.connected)
}

// Gateways returns the number of gateways, 0 if it is unknown.
func (v *View) Gateways() int { return v.connected }

// Common is the usage of a service by all gateways, as one gateway knows it.
type Common struct {
	// Age is the time since the last exchange.
	Age time.Duration
	// Total is the usage at the time of the last exchange, but with the present requests and demand of
	// this gateway. NewRetries is the number of retries that this gateway added since.
	Total      Service
	NewRetries float64
	// Gateways is the number of gateways that are included, and Coverage their share of all.
	Gateways int
	Coverage float64
}

// Common returns the usage of a service by all gateways, given the present usage by this one. It
// reports false if the usage is unknown or older than maxAge.
func (v *View) Common(service string, own Service, now time.Time, maxAge time.Duration) (Common, bool) {
	if !v.isKnown(now, maxAge) {
		return Common{}, false
	}
	total, reported := v.totals.Services[service], v.reported.Services[service]
	total.Requests += own.Requests - reported.Requests
	total.Demand += own.Demand - reported.Demand
	return Common{
		Age: now.Sub(v.receivedAt), Total: total, NewRetries: max(0, own.Retries-reported.Retries), Gateways: v.totals.Reporting, Coverage: v.coverage(),
	}, true
}
