package broker

import (
	"math/rand"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/sched"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// notBroker is the refusal of an instance that is not the broker of a pool.
const notBroker = "not_broker"

// hosted is a pool that this instance is the broker of, or may become.
type hosted struct {
	name   string
	pool   *sched.Pool
	shares *sched.Shares
	used   time.Time
	// serving is set while this instance is the broker.
	serving bool
}

// host returns the state of a pool, created on first use.
func (s *Service) host(now time.Time, name string) *hosted {
	h := s.pools[name]
	if h == nil {
		h = &hosted{name: name, shares: sched.NewShares(sched.Site{DataCentre: s.view.Self().DataCentre, Pool: name}), used: now}
		s.addDataCentres(h)
		h.pool = sched.NewPool(now, s.poolConfig(h), rand.New(rand.NewSource(s.rng.Int63())))
		for id, d := range s.left {
			h.pool.Leave(d.at, id, d.incarnation, 0)
		}
		s.setRole(now, h, s.isBroker(name))
		s.pools[name] = h
	}
	return h
}

// setRole begins or ends the service of a pool. The first grants wait until the
// other instances have registered their leases.
func (s *Service) setRole(now time.Time, h *hosted, serving bool) {
	h.serving = serving
	if serving {
		h.pool.RestartGracePeriod(now)
	}
	if serving && len(s.candidates(h.name, s.view.Self().DataCentre)) > 1 {
		h.pool.PauseGrants(now.Add(settleTime))
	}
}

func (s *Service) addDataCentres(h *hosted) {
	for _, m := range s.view.Members() {
		h.shares.AddDataCentre(m.DataCentre)
	}
}

// poolConfig returns what the document in force says about a pool.
func (s *Service) poolConfig(h *hosted) sched.Config {
	d := s.config.Current()
	return sched.Config{
		Policy: s.policy, Ranks: sched.RanksOf(d), Shares: h.shares,
		// A plain call cannot be cancelled and continued elsewhere.
		Preempt:      d.Services[h.name].Kind == document.Generation,
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

// reconfigure puts a newer document in force.
func (s *Service) reconfigure() {
	d := s.config.Current()
	if d.Version == s.version {
		return
	}
	s.version, s.limited = d.Version, false
	for _, o := range d.Organisations {
		if o.TokensPerSecond > 0 || o.MaxInFlight > 0 {
			s.limited = true
			break
		}
	}
	for _, h := range s.pools {
		h.pool.Configure(s.poolConfig(h))
	}
}

func (s *Service) tickHosted(now time.Time) {
	for id, d := range s.left {
		if now.Sub(d.at) > leaveMemory {
			delete(s.left, id)
		}
	}
	for name, h := range s.pools {
		if serving := s.isBroker(name); serving != h.serving {
			s.setRole(now, h, serving)
			s.log.Info("broker role changed", "pool", name, "broker", serving)
		}
		if !h.serving {
			s.sendOn(now, h)
		}
		s.deliver(h.pool.Tick(now))
		if !h.pool.Empty() {
			h.used = now
		} else if now.Sub(h.used) > poolIdle {
			delete(s.pools, name)
		}
	}
}

// sendOn tells the instances whose requests wait here to ask the broker.
func (s *Service) sendOn(now time.Time, h *hosted) {
	for _, k := range h.pool.QueuedKeys() {
		h.pool.Cancel(now, k)
		s.reply(k.Instance, &wire.BrokerReply{Id: k.Number, Refusal: notBroker})
	}
}

// handOver gives up the role of all pools.
func (s *Service) handOver(now time.Time) {
	for _, h := range s.pools {
		s.sendOn(now, h)
	}
}

// serve does what an entry instance asks of a pool.
func (s *Service) serve(now time.Time, process string, m *wire.BrokerRequest) {
	key := sched.Key{Instance: process, Number: m.Id}
	switch {
	case m.Acquire != nil:
		s.serveAcquire(now, key, m.Acquire)
	case m.Release != nil:
		if h := s.pools[m.Release.Pool]; h != nil {
			s.deliver(h.pool.Release(now, key, usageOf(m.Release)))
		}
	case m.Cancel:
		for _, h := range s.pools {
			if h.pool.Contains(key) {
				s.deliver(h.pool.Cancel(now, key))
			}
		}
	}
}

func (s *Service) serveAcquire(now time.Time, key sched.Key, a *wire.Acquire) {
	// A broker that has just started may have no configuration yet; the asking
	// instance has checked the pool against its own.
	doc := s.config.Current()
	if _, ok := doc.Services[a.Pool]; !ok && doc.Version > 0 && a.HeldBackend == "" {
		s.reply(key.Instance, &wire.BrokerReply{Id: key.Number, Refusal: "unknown_pool", RetryAfterMs: 1000})
		return
	}
	if a.HeldBackend == "" && s.broker(a.Pool) != s.view.Self().ID {
		s.redirect(key, a.Pool)
		return
	}
	h := s.host(now, a.Pool)
	rank, _ := sched.ParseRank(a.Rank)
	r := sched.Request{
		Key: key, Organisation: a.Organisation, Rank: rank, Tokens: int(a.EstimatedTokens), PrefixHash: a.PrefixHash,
		Exclude: a.Exclude, ResumedTokens: int(a.ResumedTokens), Remote: a.Remote,
	}
	if a.HeldBackend != "" {
		s.deliver(h.pool.RegisterGrant(now, r, a.HeldBackend))
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
	s.deliver(decisions)
	if queued != nil {
		s.reply(key.Instance, queued)
	}
}

// redirect refuses a request and names the broker.
func (s *Service) redirect(key sched.Key, pool string) {
	reply := &wire.BrokerReply{Id: key.Number, Refusal: notBroker}
	if list := s.candidates(pool, s.view.Self().DataCentre); len(list) > 0 {
		reply.Backend, reply.Address = list[0].ID, list[0].PeerAddress
	}
	s.reply(key.Instance, reply)
}

func usageOf(r *wire.Release) sched.Usage {
	u := sched.Usage{Tokens: int(r.UsedTokens), TimeToFirstToken: time.Duration(r.FirstTokenMs) * time.Millisecond}
	switch Result(r.Result) {
	case OK:
		u.Outcome = sched.OK
	case Failed:
		u.Outcome = sched.Failed
	case Refused:
		u.Outcome = sched.ServerFull
	default:
		u.Outcome = sched.Cancelled
	}
	return u
}

// deliver sends decisions to the entry instances. The replies are made first,
// because an answer to this instance may lead to another call of the pool.
func (s *Service) deliver(decisions []sched.Decision) {
	type addressed struct {
		process string
		reply   *wire.BrokerReply
	}
	var replies []addressed
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
		replies = append(replies, addressed{d.Key.Instance, reply})
	}
	for _, r := range replies {
		s.reply(r.process, r.reply)
	}
}

// reply answers an entry instance, which may be this one. An instance without a
// session learns its grants when it repeats its requests.
func (s *Service) reply(process string, r *wire.BrokerReply) {
	if process == s.process {
		s.receive(s.view.Self().ID, r)
	} else if p := s.peers[process]; p != nil {
		p.send(r)
	}
}
