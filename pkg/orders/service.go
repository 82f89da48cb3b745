package orders

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// planInterval is the time between two renewals of the lease, each followed by
	// a plan.
	planInterval = time.Second
	// leaseDuration is long enough to lose four renewals in a row. It must be equal
	// at all control instances, because the wait for the expiry of a previous
	// holder's lease depends on it.
	leaseDuration = 5 * time.Second
	// leaseMargin covers 1% of drift of two clocks over a lease, 0.1 s, and an order
	// that is in transit when its deadline passes.
	leaseMargin  = 2 * time.Second
	orderTimeout = time.Second
	// loadTimeout allows for reading 100 GB of weights at 1 GB/s.
	loadTimeout = 2 * time.Minute
	// callTimeout bounds one call to an entry instance or to the control group.
	callTimeout = 500 * time.Millisecond
	// memberQueryInterval is the time between two queries for the members. Entry
	// instances seldom start or stop, so not every plan needs a new query.
	memberQueryInterval = 3 * time.Second
	// announcementTTL is the age of the last announcement beyond which a backend
	// server counts as lost. Backend servers announce once a second.
	announcementTTL = 5 * time.Second
	// maxParallelCalls bounds the concurrent calls to entry instances.
	maxParallelCalls = 32
)

// ControlNode is the part of a control instance that the service uses: it grants the
// lease and holds the configuration.
type ControlNode interface {
	RequestLease(ctx context.Context, r control.LeaseRequest) (control.Lease, bool, error)
	Lease() control.Lease
	Document() *document.Document
	Status() consensus.Status
}

// Service sends orders to engines while this control instance holds the lease.
// Its kernel name is "orders".
type Service struct {
	settings settings.Control
	node     func() ControlNode
	dialer   *rpc.Dialer
	client   *http.Client
	log      *slog.Logger

	sentCounter, refusedCounter, failedCounter metric.Int64Counter

	// lease is the zero value while this instance does not hold the lease.
	lease Lease
	// memberAddresses holds, for each entry instance of the settings, the addresses
	// of the members in its last response.
	memberAddresses  map[string][]string
	membersQueriedAt time.Time

	mu      sync.Mutex
	planner *Planner

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewService returns a service that is not started. It calls node only after the
// start, because the control instance may not exist before.
func NewService(
	s settings.Control, node func() ControlNode, dialer *rpc.Dialer, client *http.Client, meter metric.Meter, log *slog.Logger,
) (*Service, error) {
	svc := &Service{
		settings: s, node: node, dialer: dialer, client: client, log: log, memberAddresses: map[string][]string{},
		planner: NewPlanner(PlannerConfig{
			LeaseMargin: leaseMargin, OrderTimeout: orderTimeout, LoadTimeout: loadTimeout,
			LoadsPerSecond: s.LoadsPerSecond, LoadBurst: s.LoadBurst,
		}),
	}
	var errSent, errRefused, errFailed error
	svc.sentCounter, errSent = meter.Int64Counter("gp_orders_sent", metric.WithDescription("Orders sent to engines."))
	svc.refusedCounter, errRefused = meter.Int64Counter("gp_orders_refused", metric.WithDescription("Orders that engines refused."))
	svc.failedCounter, errFailed = meter.Int64Counter("gp_orders_failed", metric.WithDescription("Orders that were late or whose call failed."))
	return svc, eris.Wrap(errors.Join(errSent, errRefused, errFailed), "register the metrics of orders")
}

// ServiceName implements kernel.Service.
func (*Service) ServiceName() string { return "orders" }

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.tasks.Go(func() { s.run(ctx) })
	return nil
}

// Stop implements kernel.Stopper. It returns when no order is in transit.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
	}
	s.tasks.Wait()
	return nil
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if s.ensureLease(ctx) {
				s.planAndSend(ctx)
			}
		}
	}
}

// ensureLease renews the lease, or requests it if this instance is the leader of
// the control group, and reports whether this instance holds it.
func (s *Service) ensureLease(ctx context.Context) bool {
	node := s.node()
	current := node.Lease()
	sentAt := time.Now()
	if !sentAt.Before(s.lease.ExpiresAt) || current.Number > s.lease.Fence {
		s.lease = Lease{}
	}
	if node.Status().Role != consensus.Leader {
		return s.lease.Fence != 0
	}
	request := control.LeaseRequest{
		Holder: s.settings.Instance.ID, ExpectedNumber: current.Number, DurationMS: leaseDuration.Milliseconds(),
	}
	if s.lease.Fence != 0 {
		request.ExpectedNumber, request.Renew = s.lease.Fence, true
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	granted, ok, err := node.RequestLease(callCtx, request)
	switch {
	case err != nil:
		return s.lease.Fence != 0
	case !ok:
		s.lease = Lease{}
		return false
	case !request.Renew:
		s.lease = Lease{
			Fence: granted.Number, GrantedAt: time.Now(),
			MaxPreviousDuration: max(leaseDuration, time.Duration(current.DurationMS)*time.Millisecond),
		}
		s.log.Info("acquired the lease for orders to engines", "fence", granted.Number)
	}
	s.lease.ExpiresAt = sentAt.Add(leaseDuration)
	return true
}

// planAndSend plans orders and sends them.
func (s *Service) planAndSend(ctx context.Context) {
	doc := s.node().Document()
	if !wantsReplicas(doc) {
		return // querying all entry instances is worth the traffic only if a rule wants replicas
	}
	backends := s.announcedBackends(ctx, doc)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.planner.Plan(time.Now(), s.lease, doc, backends) {
		s.tasks.Go(func() { s.send(ctx, o) })
	}
}

func wantsReplicas(doc *document.Document) bool {
	for _, rule := range doc.Placements {
		if rule.Replicas > 0 {
			return true
		}
	}
	return false
}

// send sends an order unless its deadline has passed. It checks the clock right
// before the call, because the process may have been paused since the order was
// planned.
func (s *Service) send(ctx context.Context, o Order) {
	ctx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	adapter := engine.NewHTTP(o.Address.String(), s.client)
	if !time.Now().Before(o.Deadline) {
		s.failedCounter.Add(ctx, 1)
		s.orderNotExecuted(o)
		return
	}
	s.sentCounter.Add(ctx, 1)
	err := adapter.Order(ctx, o.Order)
	if err == nil {
		s.log.Info("order sent", "backend", o.BackendID, "action", o.Action, "target", o.Target, "fence", o.Fence)
		return
	}
	s.log.Warn("order failed", "backend", o.BackendID, "action", o.Action, "target", o.Target, "fence", o.Fence, "error", err)
	var engineErr *engine.Error
	if !errors.As(err, &engineErr) {
		s.failedCounter.Add(ctx, 1)
		return
	}
	switch engineErr.Reason {
	case engine.Fenced, engine.Refused, engine.BadRequest:
		s.refusedCounter.Add(ctx, 1)
		s.orderNotExecuted(o)
	case engine.NotSent:
		s.failedCounter.Add(ctx, 1)
		s.orderNotExecuted(o)
	default:
		s.failedCounter.Add(ctx, 1)
	}
}

// orderNotExecuted reports to the planner that an order was not executed, unless the
// planner has moved on to another lease.
func (s *Service) orderNotExecuted(o Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.planner.fence == o.Fence {
		s.planner.OrderNotExecuted(o.BackendID)
	}
}

// announcedBackends returns the backend servers whose newest announcement is not
// older than announcementTTL, without those that serve a plain service.
func (s *Service) announcedBackends(ctx context.Context, doc *document.Document) []Backend {
	s.queryMembers(ctx)
	var mu sync.Mutex
	newest := map[string]*wire.BackendAnnouncement{}
	announcedAt := map[string]time.Time{}
	forEachAddress(s.entryAddresses(), func(address string) {
		sentAt := time.Now()
		response, err := rpc.Call(ctx, s.dialer, address, callTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.BackendsResponse, error) {
				return wire.NewDRPCBrokerClient(conn).Backends(ctx, &wire.BackendsRequest{})
			})
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, b := range response.Backends {
			a := b.Announcement
			if a == nil || newest[a.Id] != nil && !isNewer(a, newest[a.Id]) {
				continue
			}
			newest[a.Id], announcedAt[a.Id] = a, sentAt.Add(-time.Duration(b.AgeMs)*time.Millisecond)
		}
	})
	var list []Backend
	for id, a := range newest {
		address, err := netip.ParseAddrPort(a.Address)
		if err != nil || time.Since(announcedAt[id]) > announcementTTL || servesPlainService(doc, a.Pools) {
			continue
		}
		list = append(list, Backend{ID: id, Address: address, DataCentre: a.DataCentre, Loaded: a.Pools, AnnouncedAt: announcedAt[id], Leaving: a.Leaving})
	}
	return list
}

func isNewer(a, b *wire.BackendAnnouncement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// servesPlainService reports whether one of the pools belongs to a plain service.
// Backend servers of plain services are not engines: they would process an order as
// a request of a caller.
func servesPlainService(doc *document.Document, pools []string) bool {
	return slices.ContainsFunc(pools, func(pool string) bool { return doc.Services[pool].Kind == document.KindPlain })
}

// queryMembers queries the entry instances of the settings for the members in their
// membership lists. The last response of an instance is kept while it does not respond.
func (s *Service) queryMembers(ctx context.Context) {
	if time.Since(s.membersQueriedAt) < memberQueryInterval {
		return
	}
	s.membersQueriedAt = time.Now()
	var mu sync.Mutex
	var addresses []string
	for _, e := range s.settings.Entries {
		addresses = append(addresses, e.Address)
	}
	forEachAddress(addresses, func(address string) {
		response, err := rpc.Call(ctx, s.dialer, address, callTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.ProbeResponse, error) {
				return wire.NewDRPCMembershipClient(conn).Probe(ctx, &wire.ProbeRequest{Join: true})
			})
		if err != nil {
			return
		}
		var live []string
		for _, m := range response.Updates {
			if m.PeerAddress != "" && membership.State(m.State) != membership.Dead {
				live = append(live, m.PeerAddress)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		s.memberAddresses[address] = live
	})
}

// entryAddresses returns the addresses of the entry instances of the settings and
// of the members that they returned, each once.
func (s *Service) entryAddresses() []string {
	var list []string
	for _, e := range s.settings.Entries {
		list = append(list, e.Address)
	}
	for _, addresses := range s.memberAddresses {
		list = append(list, addresses...)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// forEachAddress calls fn for all addresses, at most maxParallelCalls at once, and
// waits for all calls.
func forEachAddress(addresses []string, fn func(address string)) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelCalls)
	for _, address := range addresses {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			fn(address)
		})
	}
	wg.Wait()
}
