// Package orders plans which backend server loads which services and sends the orders
// to their engines. The
// planner does no I/O and reads no clock: the time, the announced backend servers
// and the lease are arguments.
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

// Actions of an order.
const (
	Load   = "load"
	Unload = "unload"
)

// PlannerConfig holds the limits of a planner.
type PlannerConfig struct {
	// LeaseMargin is the time after the end of the previous holder's lease during
	// which engines that ignore fencing numbers still get no orders. It must be longer
	// than the sum of two times: the drift between two clocks over one lease, and the
	// time for which an order can be in transit after its deadline.
	LeaseMargin time.Duration
	// OrderTimeout bounds the call that carries an order.
	OrderTimeout time.Duration
	// LoadTimeout bounds the time from an order to the announcement of its effect.
	// After it the order may be repeated.
	LoadTimeout time.Duration
	// LoadsPerSecond and LoadBurst limit the rate of loads from the weight store.
	LoadsPerSecond float64
	LoadBurst      int
}

// Lease is the right of this instance to send orders. All times are readings of
// the clock of this instance.
type Lease struct {
	// Fence is the fencing number of the orders: the number of the lease in the
	// control group.
	Fence uint64
	// GrantedAt is when this instance learned that it holds the lease. No earlier
	// holder has renewed its lease since then.
	GrantedAt time.Time
	// MaxPreviousDuration is the longest duration that the lease of an earlier holder
	// can have had.
	MaxPreviousDuration time.Duration
	// ExpiresAt is the time at which the last successful request was sent plus the
	// duration of the lease.
	ExpiresAt time.Time
}

// Backend is an announced backend server.
type Backend struct {
	ID         string
	Address    netip.AddrPort
	DataCentre string
	// Loaded lists the services that the backend server has loaded, as announced at
	// AnnouncedAt. The announcement calls them pools, and an order its target.
	Loaded      []string
	AnnouncedAt time.Time
	Leaving     bool
}

// Order is an order for one backend server. It must not be sent after Deadline,
// and a call that carries it must end by then.
type Order struct {
	BackendID string
	Address   netip.AddrPort
	Deadline  time.Time
	engine.Order
}

// pendingOrder is an order whose effect was not announced yet.
type pendingOrder struct {
	action, service string
	sentAt          time.Time
}

// Planner plans the orders of one control instance. It is not safe for
// concurrent use.
type Planner struct {
	cfg         PlannerConfig
	fence       uint64
	pending     map[string]pendingOrder
	loadLimiter *rate.Limiter
}

// NewPlanner returns a planner that has no pending orders.
func NewPlanner(cfg PlannerConfig) *Planner { return &Planner{cfg: cfg} }

// Plan returns the orders to send now. A backend server with a pending order gets
// no further one until the effect was announced, OrderNotExecuted was called, or
// LoadTimeout has passed.
func (p *Planner) Plan(now time.Time, lease Lease, doc *document.Document, backends []Backend) []Order {
	if !now.Before(lease.ExpiresAt) {
		return nil
	}
	if p.fence != lease.Fence {
		p.beginLease(now, lease.Fence)
	}
	p.prunePending(now, backends)
	r := p.newPlanRun(now, lease, doc, backends)
	for _, g := range r.goals {
		r.addLoads(g)
	}
	for _, g := range r.goals {
		r.addUnloads(g)
	}
	return r.orders
}

// OrderNotExecuted removes the pending order of a backend server. The caller must know
// that it was not executed: a failed order whose effect is unknown must stay pending
// until the effect is announced or LoadTimeout has passed.
func (p *Planner) OrderNotExecuted(backendID string) { delete(p.pending, backendID) }

// beginLease resets the planner for a new lease. The token bucket for loads starts
// empty, because the previous holder may just have used its burst.
func (p *Planner) beginLease(now time.Time, fence uint64) {
	p.fence, p.pending = fence, map[string]pendingOrder{}
	p.loadLimiter = rate.NewLimiter(rate.Limit(p.cfg.LoadsPerSecond), p.cfg.LoadBurst)
	p.loadLimiter.AllowN(now, p.cfg.LoadBurst)
}

// prunePending removes the pending orders whose effect was announced after they
// were sent, and those that timed out.
func (p *Planner) prunePending(now time.Time, backends []Backend) {
	announced := map[string]Backend{}
	for _, b := range backends {
		announced[b.ID] = b
	}
	maps.DeleteFunc(p.pending, func(id string, o pendingOrder) bool {
		b, isAnnounced := announced[id]
		announcedEffect := isAnnounced && b.AnnouncedAt.After(o.sentAt) && slices.Contains(b.Loaded, o.service) == (o.action == Load)
		return announcedEffect || now.Sub(o.sentAt) >= p.cfg.LoadTimeout
	})
}

// goal is the number of replicas of a service that one placement rule requires in
// one data centre, with the backend servers that match the rule.
type goal struct {
	service  string
	replicas int
	eligible []*Backend
}

// planRun is the state of one call of Plan.
type planRun struct {
	planner *Planner
	now     time.Time
	lease   Lease
	goals   []*goal
	// checksFencing holds, by backend server, whether all rules that match it say that
	// its engine checks fencing numbers.
	checksFencing map[string]bool
	// serviceCount holds the number of services that a backend server has loaded or
	// was ordered to load in this run.
	serviceCount map[string]int
	orders       []Order
}

func (p *Planner) newPlanRun(now time.Time, lease Lease, doc *document.Document, backends []Backend) *planRun {
	r := &planRun{planner: p, now: now, lease: lease, checksFencing: map[string]bool{}, serviceCount: map[string]int{}}
	usable := make([]*Backend, 0, len(backends))
	for i := range backends {
		b := &backends[i]
		r.checksFencing[b.ID] = true
		r.serviceCount[b.ID] = len(b.Loaded)
		if !b.Leaving {
			usable = append(usable, b)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Placements)) {
		rule := doc.Placements[name]
		byDataCentre := map[string][]*Backend{}
		for _, b := range usable {
			if matches(rule, b) {
				r.checksFencing[b.ID] = r.checksFencing[b.ID] && rule.ChecksFencing
				byDataCentre[b.DataCentre] = append(byDataCentre[b.DataCentre], b)
			}
		}
		r.addGoals(rule, doc, byDataCentre)
	}
	return r
}

// addGoals adds the goals of a rule in each data centre. It leaves out services
// that are not of kind generation, because only those have engines.
func (r *planRun) addGoals(rule document.PlacementRule, doc *document.Document, byDataCentre map[string][]*Backend) {
	if rule.Replicas == 0 {
		return
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(byDataCentre)) {
		for _, service := range rule.Services {
			if doc.Services[service].Kind == document.KindGeneration {
				r.goals = append(r.goals, &goal{service: service, replicas: rule.Replicas, eligible: byDataCentre[dataCentre]})
			}
		}
	}
}

func matches(rule document.PlacementRule, b *Backend) bool {
	if len(rule.DataCentres) > 0 && !slices.Contains(rule.DataCentres, b.DataCentre) {
		return false
	}
	return len(rule.Networks) == 0 || slices.ContainsFunc(rule.Networks, func(network string) bool {
		prefix, err := netip.ParsePrefix(network)
		return err == nil && prefix.Contains(b.Address.Addr())
	})
}

// mayOrder reports whether a backend server may get an order now. It may have only
// one pending order. If any rule that matches it says that its engine ignores
// fencing numbers, the leases of earlier holders must have expired.
func (r *planRun) mayOrder(b *Backend) bool {
	if _, hasPending := r.planner.pending[b.ID]; hasPending {
		return false
	}
	firstLease := r.lease.Fence == 1
	return r.checksFencing[b.ID] || firstLease || !r.now.Before(r.lease.GrantedAt.Add(r.lease.MaxPreviousDuration+r.planner.cfg.LeaseMargin))
}

// willHaveLoaded reports whether a backend server will have a service loaded after its
// pending order.
func (r *planRun) willHaveLoaded(b *Backend, service string) bool {
	if o, ok := r.planner.pending[b.ID]; ok && o.service == service {
		return o.action == Load
	}
	return slices.Contains(b.Loaded, service)
}

// surplus returns by how many replicas the goal is exceeded, counting pending
// orders. It is negative if replicas are missing.
func (r *planRun) surplus(g *goal) int {
	count := -g.replicas
	for _, b := range g.eligible {
		if r.willHaveLoaded(b, g.service) {
			count++
		}
	}
	return count
}

// addLoads orders the missing replicas, beginning with the backend servers that have
// the fewest services loaded.
func (r *planRun) addLoads(g *goal) {
	for _, b := range r.sortedEligible(g) {
		if r.surplus(g) >= 0 {
			return
		}
		if !r.willHaveLoaded(b, g.service) && r.mayOrder(b) && r.planner.loadLimiter.AllowN(r.now, 1) {
			r.addOrder(b, Load, g.service)
		}
	}
}

// addUnloads orders surplus replicas to be unloaded, beginning with the backend
// servers that have the most services loaded. A replica is unloaded only if no rule
// needs it, and not while another one is being loaded, because that load may fail.
func (r *planRun) addUnloads(g *goal) {
	candidates := r.sortedEligible(g)
	slices.Reverse(candidates)
	for _, b := range candidates {
		if slices.Contains(b.Loaded, g.service) && r.willHaveLoaded(b, g.service) && r.mayOrder(b) && r.canUnload(b, g.service) {
			r.addOrder(b, Unload, g.service)
		}
	}
}

// canUnload reports whether each goal that counts this replica is exceeded and has
// no pending load of the service.
func (r *planRun) canUnload(b *Backend, service string) bool {
	for _, g := range r.goals {
		if g.service != service || !slices.Contains(g.eligible, b) {
			continue
		}
		if r.surplus(g) <= 0 || slices.ContainsFunc(g.eligible, r.loadPending(service)) {
			return false
		}
	}
	return true
}

// loadPending returns a function that reports whether a backend server has a pending
// order to load the service.
func (r *planRun) loadPending(service string) func(*Backend) bool {
	return func(b *Backend) bool {
		return r.planner.pending[b.ID].action == Load && r.planner.pending[b.ID].service == service
	}
}

// sortedEligible returns the eligible backend servers of a goal by the number of
// loaded services, then by a hash that spreads services over backend servers.
func (r *planRun) sortedEligible(g *goal) []*Backend {
	return slices.SortedFunc(slices.Values(g.eligible), func(a, b *Backend) int {
		return cmp.Or(
			cmp.Compare(r.serviceCount[a.ID], r.serviceCount[b.ID]),
			cmp.Compare(xxhash.Sum64String(g.service+"\x00"+a.ID), xxhash.Sum64String(g.service+"\x00"+b.ID)),
		)
	})
}

func (r *planRun) addOrder(b *Backend, action, service string) {
	r.planner.pending[b.ID] = pendingOrder{action: action, service: service, sentAt: r.now}
	if action == Load {
		r.serviceCount[b.ID]++
	}
	deadline := r.now.Add(r.planner.cfg.OrderTimeout)
	if r.lease.ExpiresAt.Before(deadline) {
		deadline = r.lease.ExpiresAt
	}
	r.orders = append(r.orders, Order{
		BackendID: b.ID, Address: b.Address, Deadline: deadline,
		Order: engine.Order{Fence: r.lease.Fence, Action: action, Target: service},
	})
}
