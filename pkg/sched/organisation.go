package sched

import (
	"container/list"
	"math"
	"time"
)

const (
	// burstDuration is the time at the full rate that the token bucket holds.
	burstDuration = 2 * time.Second
	// shareRefreshInterval is how often this site's shares of the limits are recomputed.
	shareRefreshInterval = 500 * time.Millisecond
	// demandWindow is the time constant of an organisation's measured demand.
	demandWindow = 5 * time.Second
)

// organisation is the state of one organisation with queued, running or recent requests.
type organisation struct {
	name          string
	config        OrganisationConfig
	configVersion uint64
	flows         [rankCount]flow
	running       int
	queued        int
	// bucketTokens is the level of the token bucket; requests are admitted while it is
	// above 0.
	bucketTokens   float64
	bucketFilledAt time.Time
	// tokenRateShare and inFlightShare are this site's shares of the organisation's
	// limits.
	tokenRateShare  float64
	inFlightShare   int
	sharesUpdatedAt time.Time
	// demandedTokens is the sum of requested tokens, with exponential decay.
	demandedTokens  float64
	demandUpdatedAt time.Time
	idleElement     *list.Element
	idleSince       time.Time
}

// atInFlightLimit reports whether the organisation has as many running requests as its
// share allows. Requests are queued even if the share is 0: the demand in flight does not
// include refused requests, so the share would stay 0.
func (o *organisation) atInFlightLimit() bool {
	return o.config.MaxInFlight > 0 && o.running >= o.inFlightShare
}

// recordDemand counts the tokens of a request as demand, even if the request is refused
// later.
func (o *organisation) recordDemand(now time.Time, tokens int) {
	o.decayDemand(now)
	o.demandedTokens += float64(tokens)
}

func (o *organisation) decayDemand(now time.Time) {
	if elapsed := now.Sub(o.demandUpdatedAt); elapsed > 0 {
		o.demandedTokens *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		o.demandUpdatedAt = now
	}
}

// currentDemand returns the demand of the organisation at this site.
func (o *organisation) currentDemand(now time.Time) Demand {
	o.decayDemand(now)
	return Demand{TokensPerSecond: o.demandedTokens / demandWindow.Seconds(), InFlight: float64(o.running + o.queued), Running: o.running}
}

// refreshShares recomputes the shares of the limits if they are older than
// shareRefreshInterval.
func (o *organisation) refreshShares(now time.Time, shares *Shares) {
	if now.Sub(o.sharesUpdatedAt) < shareRefreshInterval {
		return
	}
	isFirstRefresh := o.sharesUpdatedAt.IsZero()
	o.sharesUpdatedAt = now
	o.tokenRateShare, o.inFlightShare = float64(o.config.TokensPerSecond), o.config.MaxInFlight
	if shares != nil && (o.config.TokensPerSecond > 0 || o.config.MaxInFlight > 0) {
		demand := o.currentDemand(now)
		o.tokenRateShare = shares.TokenRateShare(now, o.name, o.config.TokensPerSecond, demand)
		o.inFlightShare = shares.InFlightShare(now, o.name, o.config.MaxInFlight, demand)
	}
	if isFirstRefresh {
		o.bucketTokens, o.bucketFilledAt = o.tokenRateShare*burstDuration.Seconds(), now
	}
}

// checkTokenLimit reports whether the token limit admits a request, and if not, after
// which time it would.
func (o *organisation) checkTokenLimit(now time.Time) (bool, time.Duration) {
	if o.config.TokensPerSecond == 0 {
		return true, 0
	}
	if elapsed := now.Sub(o.bucketFilledAt); elapsed > 0 {
		o.bucketTokens = min(o.bucketTokens+o.tokenRateShare*elapsed.Seconds(), o.tokenRateShare*burstDuration.Seconds())
		o.bucketFilledAt = now
	}
	if o.bucketTokens > 0 {
		return true, 0
	}
	return false, time.Duration((1 - o.bucketTokens) / max(o.tokenRateShare, 1e-3) * float64(time.Second))
}

// chargeBucket removes tokens from the bucket. The level may become negative: a request
// larger than the burst is admitted, and the requests after it are refused until the
// bucket is refilled.
func (o *organisation) chargeBucket(tokens int) {
	if o.config.TokensPerSecond > 0 {
		o.bucketTokens -= float64(tokens)
	}
}

// organisationTable holds the organisations with queued, running or recent requests.
type organisationTable struct {
	byName        map[string]*organisation
	idleList      *list.List
	configVersion uint64
	evictions     uint64
}

func newOrganisationTable() *organisationTable {
	return &organisationTable{byName: map[string]*organisation{}, idleList: list.New()}
}

// getOrCreate returns the state of an organisation.
func (t *organisationTable) getOrCreate(name string, lookup func(string) OrganisationConfig) *organisation {
	o := t.byName[name]
	if o == nil {
		o = &organisation{name: name}
		for i := range o.flows {
			o.flows[i] = flow{org: o, heapIndex: -1, requests: entryList{linkIndex: serviceLink}}
		}
		t.byName[name] = o
		o.configure(lookup, t.configVersion)
	}
	return o
}

// configure reads the weight and the limits. The caller updates the sums of weights in
// the queues.
func (o *organisation) configure(lookup func(string) OrganisationConfig, version uint64) {
	o.configVersion = version
	o.config = OrganisationConfig{Weight: 1}
	if lookup != nil {
		o.config = lookup(o.name)
	}
	o.config.Weight = max(o.config.Weight, 1)
	o.sharesUpdatedAt = time.Time{}
}

// updateIdle adds an organisation without queued and running requests to the idle list
// and removes one that has some.
func (t *organisationTable) updateIdle(now time.Time, o *organisation) {
	busy := o.running > 0 || o.queued > 0
	switch {
	case busy && o.idleElement != nil:
		t.idleList.Remove(o.idleElement)
		o.idleElement = nil
	case !busy && o.idleElement == nil:
		o.idleSince = now
		o.idleElement = t.idleList.PushBack(o)
	case !busy:
		o.idleSince = now
		t.idleList.MoveToBack(o.idleElement)
	}
}

// evictIdle removes the organisations that were idle for organisationIdleTTL.
func (t *organisationTable) evictIdle(now time.Time) {
	for front := t.idleList.Front(); front != nil; front = t.idleList.Front() {
		o := front.Value.(*organisation)
		if now.Sub(o.idleSince) < organisationIdleTTL {
			return
		}
		t.idleList.Remove(front)
		delete(t.byName, o.name)
		t.evictions++
	}
}
