package broker

import (
	"math/rand"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/sched"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// notBroker is the refusal reason of an instance that is not the broker of a pool.
const notBroker = "not_broker"

// hostedPool is the state of a pool of which this instance is or may become the broker.
type hostedPool struct {
	name       string
	pool       *sched.Pool
	shares     *sched.Shares
	lastUsedAt time.Time
	// serving is set while this instance is the broker of the pool.
	serving bool
}

// getOrCreatePool returns the state of a pool and creates it on first use.
func (s *Service) getOrCreatePool(now time.Time, name string) *hostedPool {
	h := s.pools[name]
	if h == nil {
		h = &hostedPool{name: name, shares: sched.NewShares(sched.Site{DataCentre: s.view.Self().DataCentre, Pool: name}), lastUsedAt: now}
		s.addDataCentres(h)
		h.pool = sched.NewPool(now, s.poolConfig(h), rand.New(rand.NewSource(s.rng.Int63())))
		for id, leave := range s.leaves {
			h.pool.Leave(leave.leftAt, id, leave.incarnation, 0)
		}
		s.setServing(now, h, s.isBroker(name))
		s.pools[name] = h
	}
	return h
}

// setServing starts or ends the broker role for a pool. The first grants are delayed
// until the other instances have registered their leases.
func (s *Service) setServing(now time.Time, h *hostedPool, serving bool) {
	h.serving = serving
	if serving {
		h.pool.RestartAnnouncementWait(now)
	}
	if serving && len(s.rankedInstances(h.name, s.view.Self().DataCentre)) > 1 {
		h.pool.PauseGrants(now.Add(initialGrantDelay))
	}
}

func (s *Service) addDataCentres(h *hostedPool) {
	for _, m := range s.view.Members() {
		h.shares.AddDataCentre(m.DataCentre)
	}
}

// poolConfig returns the configuration of a pool from the current document.
func (s *Service) poolConfig(h *hostedPool) sched.Config {
	d := s.config.Current()
	return sched.Config{
		Policy: s.policy, Ranks: sched.RanksOf(d), Shares: h.shares,
		// A plain call cannot be cancelled and resumed on another backend server.
		Preempt:      d.Services[h.name].Kind == document.KindGeneration,
		PreemptAfter: sched.DefaultPreemptAfter, MaxPreemptCost: sched.DefaultMaxPreemptCost,
		Organisation: func(name string) sched.OrganisationConfig {
			o, ok := d.Organisations[name]
			if !ok {
				return sched.OrganisationConfig{Weight: 1}
			}
			return sched.OrganisationConfig{Weight: o.Weight, TokensPerSecond: o.TokensPerSecond, MaxInFlight: o.MaxInFlight}
		},
	}
}

// applyConfig applies a new version of the document to the hosted pools.
func (s *Service) applyConfig() {
	d := s.config.Current()
	if d.Version == s.configVersion {
		return
	}
	s.configVersion, s.hasLimits = d.Version, false
	for _, o := range d.Organisations {
		if o.TokensPerSecond > 0 || o.MaxInFlight > 0 {
			s.hasLimits = true
			break
		}
	}
	for _, h := range s.pools {
		h.pool.Configure(s.poolConfig(h))
	}
}

func (s *Service) tickPools(now time.Time) {
	for id, leave := range s.leaves {
		if now.Sub(leave.leftAt) > storedLeaveTTL {
			delete(s.leaves, id)
		}
	}
	for name, h := range s.pools {
		if serving := s.isBroker(name); serving != h.serving {
			s.setServing(now, h, serving)
			s.log.Info("broker role changed", "pool", name, "broker", serving)
		}
		if !h.serving {
			s.redirectQueued(now, h)
		}
		s.sendDecisions(h.pool.Tick(now))
		if !h.pool.Empty() {
			h.lastUsedAt = now
		} else if now.Sub(h.lastUsedAt) > poolIdleTTL {
			delete(s.pools, name)
		}
	}
}

// redirectQueued refuses the queued requests of a pool with notBroker, so that their
// instances ask the current broker.
func (s *Service) redirectQueued(now time.Time, h *hostedPool) {
	for _, k := range h.pool.QueuedKeys() {
		h.pool.Cancel(now, k)
		s.sendReply(k.ProcessID, &wire.BrokerReply{Id: k.Number, Refusal: notBroker})
	}
}

// redirectAllQueued redirects the queued requests of all hosted pools.
func (s *Service) redirectAllQueued(now time.Time) {
	for _, h := range s.pools {
		s.redirectQueued(now, h)
	}
}

// handleRequest handles a request message of an entry instance.
func (s *Service) handleRequest(now time.Time, processID string, m *wire.BrokerRequest) {
	key := sched.Key{ProcessID: processID, Number: m.Id}
	switch {
	case m.Acquire != nil:
		s.handleAcquire(now, key, m.Acquire)
	case m.Release != nil:
		if h := s.pools[m.Release.Pool]; h != nil {
			s.sendDecisions(h.pool.Release(now, key, usageOf(m.Release)))
		}
	case m.Cancel:
		for _, h := range s.pools {
			if h.pool.Contains(key) {
				s.sendDecisions(h.pool.Cancel(now, key))
			}
		}
	}
}

func (s *Service) handleAcquire(now time.Time, key sched.Key, a *wire.Acquire) {
	// A broker that has just started may have no configuration yet. The requesting
	// instance has already checked the pool against its configuration.
	doc := s.config.Current()
	if _, ok := doc.Services[a.Pool]; !ok && doc.Version > 0 && a.HeldBackend == "" {
		s.sendReply(key.ProcessID, &wire.BrokerReply{Id: key.Number, Refusal: "unknown_pool", RetryAfterMs: 1000})
		return
	}
	if a.HeldBackend == "" && s.brokerOf(a.Pool) != s.view.Self().ID {
		s.refuseNotBroker(key, a.Pool)
		return
	}
	h := s.getOrCreatePool(now, a.Pool)
	rank, _ := sched.ParseRank(a.Rank)
	r := sched.Request{
		Key: key, Organisation: a.Organisation, Rank: rank, EstimatedTokens: int(a.EstimatedTokens), PrefixHash: a.PrefixHash,
		Exclude: a.Exclude, ResumedTokens: int(a.ResumedTokens), Remote: a.Remote,
	}
	if a.HeldBackend != "" {
		s.sendDecisions(h.pool.RegisterGrant(now, r, a.HeldBackend))
		return
	}
	decisions := h.pool.Acquire(now, r)
	queued := &wire.BrokerReply{Id: key.Number, Queued: true}
	for _, d := range decisions {
		if d.Key != key {
			continue
		}
		if d.Kind != sched.Delayed {
			queued = nil
			break
		}
		queued.WaitMs = uint32(d.Wait.Milliseconds())
	}
	s.sendDecisions(decisions)
	if queued != nil {
		s.sendReply(key.ProcessID, queued)
	}
}

// refuseNotBroker refuses a request and names the broker of the pool: Backend and Address
// of the reply hold its identifier and address.
func (s *Service) refuseNotBroker(key sched.Key, pool string) {
	reply := &wire.BrokerReply{Id: key.Number, Refusal: notBroker}
	if ranked := s.rankedInstances(pool, s.view.Self().DataCentre); len(ranked) > 0 {
		reply.Backend, reply.Address = ranked[0].ID, ranked[0].PeerAddress
	}
	s.sendReply(key.ProcessID, reply)
}

func usageOf(r *wire.Release) sched.Usage {
	u := sched.Usage{Tokens: int(r.UsedTokens), TimeToFirstToken: time.Duration(r.FirstTokenMs) * time.Millisecond}
	switch Outcome(r.Result) {
	case OK:
		u.Outcome = sched.OK
	case Failed:
		u.Outcome = sched.Failed
	case ServerFull:
		u.Outcome = sched.ServerFull
	default:
		u.Outcome = sched.Cancelled
	}
	return u
}

// sendDecisions sends decisions to the entry instances. All replies are built first,
// because sending one to this instance may call the pool again and overwrite the
// decisions.
func (s *Service) sendDecisions(decisions []sched.Decision) {
	type addressedReply struct {
		processID string
		reply     *wire.BrokerReply
	}
	var replies []addressedReply
	for _, d := range decisions {
		reply := &wire.BrokerReply{Id: d.Key.Number}
		switch d.Kind {
		case sched.Granted:
			reply.Backend, reply.Address, reply.Slots = d.Server, d.Address, uint32(d.Slots)
		case sched.Refused:
			reply.Refusal, reply.RetryAfterMs = string(d.Reason), uint32(d.Wait.Milliseconds())
		case sched.Preempted:
			reply.Preempt = true
		case sched.Delayed:
			continue
		}
		replies = append(replies, addressedReply{d.Key.ProcessID, reply})
	}
	for _, r := range replies {
		s.sendReply(r.processID, r.reply)
	}
}

// sendReply sends a reply to an entry instance, which may be this one. An instance
// without an open session learns of its grants when it resends its requests.
func (s *Service) sendReply(processID string, r *wire.BrokerReply) {
	if processID == s.processID {
		s.handleReply(s.view.Self().ID, r)
	} else if c := s.clients[processID]; c != nil {
		c.send(r)
	}
}
