package sched

import (
	"container/list"
	"math"
	"time"
)

const (
	// burst is the length of a burst that the token limit lets pass.
	burst = 2 * time.Second
	// shareRefresh is how often the parts of the limits are computed again.
	shareRefresh = 500 * time.Millisecond
	// demandWindow is the time constant of an organisation's measured demand.
	demandWindow = 5 * time.Second
)

// organisation is the state of one organisation with queued, running or recent work.
type organisation struct {
	name    string
	config  OrganisationConfig
	version uint64
	flows   [rankCount]flow
	running int
	queued  int
	// level is the token bucket: requests pass while it is above 0.
	level  float64
	filled time.Time
	// rate and inFlight are this site's parts of the limits.
	rate     float64
	inFlight int
	shared   time.Time
	// demand is the decayed sum of requested tokens.
	demand   float64
	demanded time.Time
	idle     *list.Element
	idleAt   time.Time
}

// full reports whether the limit of requests in flight is reached. Requests then
// wait also where the part is 0: refused ones would not count as demand, and the
// part would stay 0.
func (o *organisation) full() bool { return o.config.MaxInFlight > 0 && o.running >= o.inFlight }

// ask counts demand, also of requests that will be refused.
func (o *organisation) ask(now time.Time, tokens int) {
	o.decay(now)
	o.demand += float64(tokens)
}

func (o *organisation) decay(now time.Time) {
	if dt := now.Sub(o.demanded); dt > 0 {
		o.demand *= math.Exp(-dt.Seconds() / demandWindow.Seconds())
		o.demanded = now
	}
}

// current returns the demand of the organisation at this site.
func (o *organisation) current(now time.Time) Demand {
	o.decay(now)
	return Demand{TokensPerSecond: o.demand / demandWindow.Seconds(), InFlight: float64(o.running + o.queued), Running: o.running}
}

// refresh computes the parts of the limits again when they are old.
func (o *organisation) refresh(now time.Time, s *Shares) {
	if now.Sub(o.shared) < shareRefresh {
		return
	}
	first := o.shared.IsZero()
	o.shared = now
	o.rate, o.inFlight = float64(o.config.TokensPerSecond), o.config.MaxInFlight
	if s != nil && (o.config.TokensPerSecond > 0 || o.config.MaxInFlight > 0) {
		demand := o.current(now)
		o.rate = s.TokensPerSecond(now, o.name, o.config.TokensPerSecond, demand)
		o.inFlight = s.InFlight(now, o.name, o.config.MaxInFlight, demand)
	}
	if first {
		o.level, o.filled = o.rate*burst.Seconds(), now
	}
}

// allow reports whether the token limit lets a request pass, or after which time.
func (o *organisation) allow(now time.Time) (bool, time.Duration) {
	if o.config.TokensPerSecond == 0 {
		return true, 0
	}
	if dt := now.Sub(o.filled); dt > 0 {
		o.level = min(o.level+o.rate*dt.Seconds(), o.rate*burst.Seconds())
		o.filled = now
	}
	if o.level > 0 {
		return true, 0
	}
	return false, time.Duration((1 - o.level) / max(o.rate, 1e-3) * float64(time.Second))
}

// spend takes tokens from the bucket, which may go below 0: a request larger
// than the burst passes and the following ones wait for it.
func (o *organisation) spend(tokens int) {
	if o.config.TokensPerSecond > 0 {
		o.level -= float64(tokens)
	}
}

// organisations holds the organisations with queued, running or recent work.
type organisations struct {
	byName  map[string]*organisation
	idle    *list.List
	version uint64
	evicted uint64
}

func newOrganisations() *organisations {
	return &organisations{byName: map[string]*organisation{}, idle: list.New()}
}

// get returns the state of an organisation, created on first use.
func (s *organisations) get(name string, lookup func(string) OrganisationConfig) *organisation {
	o := s.byName[name]
	if o == nil {
		o = &organisation{name: name}
		for i := range o.flows {
			o.flows[i] = flow{org: o, index: -1, items: chain{which: serviceChain}}
		}
		s.byName[name] = o
		o.configure(lookup, s.version)
	}
	return o
}

// configure reads weight and limits; the caller keeps sums of weights right.
func (o *organisation) configure(lookup func(string) OrganisationConfig, version uint64) {
	o.version = version
	o.config = OrganisationConfig{Weight: 1}
	if lookup != nil {
		o.config = lookup(o.name)
	}
	o.config.Weight = max(o.config.Weight, 1)
	o.shared = time.Time{}
}

// settle puts an organisation on the idle list, or takes it off.
func (s *organisations) settle(now time.Time, o *organisation) {
	busy := o.running > 0 || o.queued > 0
	switch {
	case busy && o.idle != nil:
		s.idle.Remove(o.idle)
		o.idle = nil
	case !busy && o.idle == nil:
		o.idleAt = now
		o.idle = s.idle.PushBack(o)
	case !busy:
		o.idleAt = now
		s.idle.MoveToBack(o.idle)
	}
}

// evict forgets organisations that were idle for long.
func (s *organisations) evict(now time.Time) {
	for front := s.idle.Front(); front != nil; front = s.idle.Front() {
		o := front.Value.(*organisation)
		if now.Sub(o.idleAt) < organisationIdle {
			return
		}
		s.idle.Remove(front)
		delete(s.byName, o.name)
		s.evicted++
	}
}
