// Package orders plans which engine carries which model. The planner is pure:
// time, the announced backend servers and the lease are arguments.
package orders

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
)

// Actions of orders.
const (
	Load   = "load"
	Unload = "unload"
)

// Config holds the limits of a planner.
type Config struct {
	// Margin is added to the lease of the old owner before engines that ignore
	// fencing numbers get orders. It must exceed the drift of two clocks over a
	// lease plus the time for which an order can be under way after its deadline.
	Margin time.Duration
	// OrderTimeout bounds the call that carries an order.
	OrderTimeout time.Duration
	// LoadTimeout is how long a backend server may take to announce the ordered
	// state; the order is repeated after it.
	LoadTimeout time.Duration
	// LoadsPerSecond and LoadBurst limit loads from the weight store.
	LoadsPerSecond float64
	LoadBurst      int
}

// Lease is the right of this instance to give orders. All times are of its own clock.
type Lease struct {
	// Fence is the lease number.
	Fence uint64
	// Granted is when this instance learned that it holds Fence. No earlier owner
	// renewed its lease after it.
	Granted time.Time
	// Longest is the longest lease that an earlier owner can have had.
	Longest time.Duration
	// Expires is the lease duration after the last successful request was sent.
	Expires time.Time
}

// Backend is an announced backend server.
type Backend struct {
	ID         string
	Address    netip.AddrPort
	DataCentre string
	// Loaded lists the services that it carries, as announced at Seen.
	Loaded  []string
	Seen    time.Time
	Leaving bool
}

// Order is an order for one backend server. It must not be sent, and its call
// must have ended, after Deadline.
type Order struct {
	Backend  string
	Address  netip.AddrPort
	Deadline time.Time
	engine.Order
}

// pending is an order whose effect was not announced yet.
type pending struct {
	action, service string
	sent            time.Time
}

// Planner plans the orders of one control instance. It is not safe for
// concurrent use.
type Planner struct {
	cfg     Config
	fence   uint64
	pending map[string]pending
	store   *rate.Limiter
}

// New returns a planner.
func New(cfg Config) *Planner { return &Planner{cfg: cfg} }

// Plan returns the orders to send now. Orders that were returned before are not
// repeated until their effect was announced, Failed was called or the load
// time-out has passed.
func (p *Planner) Plan(now time.Time, lease Lease, doc *document.Document, backends []Backend) []Order {
	if !now.Before(lease.Expires) {
		return nil
	}
	if p.fence != lease.Fence {
		p.begin(now, lease.Fence)
	}
	p.settle(now, backends)
	r := p.newRound(now, lease, doc, backends)
	for _, g := range r.goals {
		r.load(g)
	}
	for _, g := range r.goals {
		r.unload(g)
	}
	return r.orders
}

// Failed tells that an order provably had no effect. When the effect is unknown,
// announcements or the load time-out decide.
func (p *Planner) Failed(backend string) { delete(p.pending, backend) }

// begin starts the period of a lease number. The allowance for loads starts
// empty, because the old owner may have used it just now.
func (p *Planner) begin(now time.Time, fence uint64) {
	p.fence, p.pending = fence, map[string]pending{}
	p.store = rate.NewLimiter(rate.Limit(p.cfg.LoadsPerSecond), p.cfg.LoadBurst)
	p.store.AllowN(now, p.cfg.LoadBurst)
}

// settle forgets orders whose effect was announced after they were sent, and
// those that timed out.
func (p *Planner) settle(now time.Time, backends []Backend) {
	announced := map[string]Backend{}
	for _, b := range backends {
		announced[b.ID] = b
	}
	maps.DeleteFunc(p.pending, func(id string, o pending) bool {
		b, ok := announced[id]
		done := ok && b.Seen.After(o.sent) && slices.Contains(b.Loaded, o.service) == (o.action == Load)
		return done || now.Sub(o.sent) >= p.cfg.LoadTimeout
	})
}

// goal is the wanted number of replicas of a service by one placement rule in
// one data centre.
type goal struct {
	service  string
	replicas int
	eligible []*Backend
}

// round is the state of one call of Plan.
type round struct {
	p       *Planner
	now     time.Time
	lease   Lease
	goals   []*goal
	fenced  map[string]bool
	carries map[string]int
	orders  []Order
}

func (p *Planner) newRound(now time.Time, lease Lease, doc *document.Document, backends []Backend) *round {
	r := &round{p: p, now: now, lease: lease, fenced: map[string]bool{}, carries: map[string]int{}}
	usable := make([]*Backend, 0, len(backends))
	for i := range backends {
		b := &backends[i]
		r.fenced[b.ID] = true
		r.carries[b.ID] = len(b.Loaded)
		if !b.Leaving {
			usable = append(usable, b)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Placements)) {
		rule := doc.Placements[name]
		sites := map[string][]*Backend{}
		for _, b := range usable {
			if matches(rule, b) {
				r.fenced[b.ID] = r.fenced[b.ID] && rule.ChecksFencing
				sites[b.DataCentre] = append(sites[b.DataCentre], b)
			}
		}
		r.addGoals(rule, doc, sites)
	}
	return r
}

// addGoals adds the goals of a rule. Only generation services have engines.
func (r *round) addGoals(rule document.Placement, doc *document.Document, sites map[string][]*Backend) {
	if rule.Replicas == 0 {
		return
	}
	for _, site := range slices.Sorted(maps.Keys(sites)) {
		for _, service := range rule.Services {
			if doc.Services[service].Kind == document.Generation {
				r.goals = append(r.goals, &goal{service: service, replicas: rule.Replicas, eligible: sites[site]})
			}
		}
	}
}

func matches(rule document.Placement, b *Backend) bool {
	if len(rule.DataCentres) > 0 && !slices.Contains(rule.DataCentres, b.DataCentre) {
		return false
	}
	return len(rule.Networks) == 0 || slices.ContainsFunc(rule.Networks, func(network string) bool {
		prefix, err := netip.ParsePrefix(network)
		return err == nil && prefix.Contains(b.Address.Addr())
	})
}

// mayOrder tells whether a backend server may get an order now. One order at a
// time is outstanding. Where any matching rule says that an engine ignores
// fencing numbers, the earlier owners must have lost their lease.
func (r *round) mayOrder(b *Backend) bool {
	if _, busy := r.p.pending[b.ID]; busy {
		return false
	}
	first := r.lease.Fence == 1
	return r.fenced[b.ID] || first || !r.now.Before(r.lease.Granted.Add(r.lease.Longest+r.p.cfg.Margin))
}

// loaded tells whether a backend server carries a service or is ordered to.
func (r *round) loaded(b *Backend, service string) bool {
	if o, ok := r.p.pending[b.ID]; ok && o.service == service {
		return o.action == Load
	}
	return slices.Contains(b.Loaded, service)
}

// surplus returns how many backend servers more than wanted carry the service;
// less than zero if some are missing.
func (r *round) surplus(g *goal) int {
	count := -g.replicas
	for _, b := range g.eligible {
		if r.loaded(b, g.service) {
			count++
		}
	}
	return count
}

// load orders the missing replicas, on the servers that carry least first.
func (r *round) load(g *goal) {
	for _, b := range r.sorted(g) {
		if r.surplus(g) >= 0 {
			return
		}
		if !r.loaded(b, g.service) && r.mayOrder(b) && r.p.store.AllowN(r.now, 1) {
			r.order(b, Load, g.service)
		}
	}
}

// unload orders surplus replicas away, from the servers that carry most first.
// A replica goes only if no rule needs it, and only while none is being loaded:
// one that is only ordered may still fail.
func (r *round) unload(g *goal) {
	candidates := r.sorted(g)
	slices.Reverse(candidates)
	for _, b := range candidates {
		if slices.Contains(b.Loaded, g.service) && r.loaded(b, g.service) && r.mayOrder(b) && r.spare(b, g.service) {
			r.order(b, Unload, g.service)
		}
	}
}

// spare tells whether every rule that counts on this replica has more than it wants.
func (r *round) spare(b *Backend, service string) bool {
	for _, g := range r.goals {
		if g.service != service || !slices.Contains(g.eligible, b) {
			continue
		}
		if r.surplus(g) <= 0 || slices.ContainsFunc(g.eligible, r.loading(service)) {
			return false
		}
	}
	return true
}

func (r *round) loading(service string) func(*Backend) bool {
	return func(b *Backend) bool { return r.p.pending[b.ID].action == Load && r.p.pending[b.ID].service == service }
}

// sorted returns the eligible servers of a goal by the number of services that
// they carry, then by a hash that spreads services over servers.
func (r *round) sorted(g *goal) []*Backend {
	return slices.SortedFunc(slices.Values(g.eligible), func(a, b *Backend) int {
		return cmp.Or(
			cmp.Compare(r.carries[a.ID], r.carries[b.ID]),
			cmp.Compare(xxhash.Sum64String(g.service+"\x00"+a.ID), xxhash.Sum64String(g.service+"\x00"+b.ID)),
		)
	})
}

func (r *round) order(b *Backend, action, service string) {
	r.p.pending[b.ID] = pending{action: action, service: service, sent: r.now}
	if action == Load {
		r.carries[b.ID]++
	}
	deadline := r.now.Add(r.p.cfg.OrderTimeout)
	if r.lease.Expires.Before(deadline) {
		deadline = r.lease.Expires
	}
	r.orders = append(r.orders, Order{
		Backend: b.ID, Address: b.Address, Deadline: deadline,
		Order: engine.Order{Fence: r.lease.Fence, Action: action, Target: service},
	})
}
