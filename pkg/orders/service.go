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
	// interval is how often the lease is renewed and orders are planned.
	interval = time.Second
	// leaseDuration survives the loss of four renewals. It is equal at all
	// control instances: the wait for an old owner depends on it.
	leaseDuration = 5 * time.Second
	// margin covers 1% of drift of two clocks over a lease, 0.1 s, and an order
	// that is on its way when its deadline passes.
	margin       = 2 * time.Second
	orderTimeout = time.Second
	// loadTimeout is long enough to read 100 GB of weights at 1 GB/s.
	loadTimeout = 2 * time.Minute
	// callTimeout bounds calls to entry instances and to the control group.
	callTimeout = 500 * time.Millisecond
	// membersInterval is how often members are asked for: instances come and go rarely.
	membersInterval = 3 * time.Second
	// silentAfter is the age of the last announcement after which a backend
	// server counts as lost; announcements come once a second.
	silentAfter = 5 * time.Second
	// parallelCalls bounds the calls to entry instances that run at once.
	parallelCalls = 32
)

// Control is the part of a control instance that grants the lease.
type Control interface {
	RequestLease(ctx context.Context, r control.LeaseRequest) (control.Lease, bool, error)
	Lease() control.Lease
	Document() *document.Document
	Status() consensus.Status
}

// Service gives orders to engines while this control instance holds the lease.
// Its kernel name is "orders".
type Service struct {
	settings settings.Control
	control  func() Control
	dialer   *rpc.Dialer
	client   *http.Client
	log      *slog.Logger

	sent, refused, failed metric.Int64Counter

	// lease is the zero value while this instance does not hold it.
	lease Lease
	// members holds what each entry instance of the settings knew last.
	members map[string][]string
	asked   time.Time

	mu      sync.Mutex
	planner *Planner

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewService returns a service that is not started. The control instance is
// asked for after the start.
func NewService(
	s settings.Control, node func() Control, dialer *rpc.Dialer, client *http.Client, meter metric.Meter, log *slog.Logger,
) (*Service, error) {
	o := &Service{
		settings: s, control: node, dialer: dialer, client: client, log: log, members: map[string][]string{},
		planner: New(Config{
			Margin: margin, OrderTimeout: orderTimeout, LoadTimeout: loadTimeout,
			LoadsPerSecond: s.LoadsPerSecond, LoadBurst: s.LoadBurst,
		}),
	}
	var errSent, errRefused, errFailed error
	o.sent, errSent = meter.Int64Counter("gp_orders_sent", metric.WithDescription("Orders sent to engines."))
	o.refused, errRefused = meter.Int64Counter("gp_orders_refused", metric.WithDescription("Orders that engines refused."))
	o.failed, errFailed = meter.Int64Counter("gp_orders_failed", metric.WithDescription("Orders that were late or whose call failed."))
	return o, eris.Wrap(errors.Join(errSent, errRefused, errFailed), "register the metrics of orders")
}

// ServiceName implements kernel.Service.
func (*Service) ServiceName() string { return "orders" }

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.tasks.Go(func() { s.run(ctx) })
	return nil
}

// Stop implements kernel.Stopper. It returns when no order is under way.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
	}
	s.tasks.Wait()
	return nil
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if s.hold(ctx) {
				s.give(ctx)
			}
		}
	}
}

// hold renews the lease, or requests it at the leader, and reports whether this
// instance holds it.
func (s *Service) hold(ctx context.Context) bool {
	node := s.control()
	current := node.Lease()
	sent := time.Now()
	if !sent.Before(s.lease.Expires) || current.Number > s.lease.Fence {
		s.lease = Lease{}
	}
	if node.Status().Role != consensus.Leader {
		return s.lease.Fence != 0
	}
	request := control.LeaseRequest{
		Holder: s.settings.Instance.ID, Expect: current.Number, DurationMS: leaseDuration.Milliseconds(),
	}
	if s.lease.Fence != 0 {
		request.Expect, request.Renew = s.lease.Fence, true
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
			Fence: granted.Number, Granted: time.Now(),
			Longest: max(leaseDuration, time.Duration(current.DurationMS)*time.Millisecond),
		}
		s.log.Info("this instance gives orders to engines", "fence", granted.Number)
	}
	s.lease.Expires = sent.Add(leaseDuration)
	return true
}

// give plans and sends the orders that are due.
func (s *Service) give(ctx context.Context) {
	doc := s.control().Document()
	if !wantsReplicas(doc) {
		return // the answers of all entry instances are worth their bytes only for a plan
	}
	backends := s.backends(ctx, doc)
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

// send sends an order before its deadline. The clock is compared right before
// the call, because the process may have been frozen since the order was planned.
func (s *Service) send(ctx context.Context, o Order) {
	ctx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	adapter := engine.NewHTTP(o.Address.String(), s.client)
	if !time.Now().Before(o.Deadline) {
		s.failed.Add(ctx, 1)
		s.withdraw(o)
		return
	}
	s.sent.Add(ctx, 1)
	err := adapter.Order(ctx, o.Order)
	if err == nil {
		s.log.Info("order sent", "backend", o.Backend, "action", o.Action, "target", o.Target, "fence", o.Fence)
		return
	}
	s.log.Warn("order failed", "backend", o.Backend, "action", o.Action, "target", o.Target, "fence", o.Fence, "error", err)
	var typed *engine.Error
	if !errors.As(err, &typed) {
		s.failed.Add(ctx, 1)
		return
	}
	switch typed.Reason {
	case engine.Fenced, engine.Refused, engine.BadRequest:
		s.refused.Add(ctx, 1)
		s.withdraw(o)
	case engine.NotSent:
		s.failed.Add(ctx, 1)
		s.withdraw(o)
	default:
		s.failed.Add(ctx, 1)
	}
}

// withdraw tells the planner that an order had no effect, unless the planner
// has begun the period of another lease since.
func (s *Service) withdraw(o Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.planner.fence == o.Fence {
		s.planner.Failed(o.Backend)
	}
}

// backends returns the backend servers that announced themselves lately.
func (s *Service) backends(ctx context.Context, doc *document.Document) []Backend {
	s.askMembers(ctx)
	var mu sync.Mutex
	newest := map[string]*wire.BackendAnnouncement{}
	seen := map[string]time.Time{}
	each(s.addresses(), func(address string) {
		sent := time.Now()
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
			if a == nil || newest[a.Id] != nil && !newer(a, newest[a.Id]) {
				continue
			}
			newest[a.Id], seen[a.Id] = a, sent.Add(-time.Duration(b.AgeMs)*time.Millisecond)
		}
	})
	var list []Backend
	for id, a := range newest {
		address, err := netip.ParseAddrPort(a.Address)
		if err != nil || time.Since(seen[id]) > silentAfter || servesCalls(doc, a.Pools) {
			continue
		}
		list = append(list, Backend{ID: id, Address: address, DataCentre: a.DataCentre, Loaded: a.Pools, Seen: seen[id], Leaving: a.Leaving})
	}
	return list
}

func newer(a, b *wire.BackendAnnouncement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// servesCalls tells the backend servers of plain services, which are no engines
// and would take an order for a call.
func servesCalls(doc *document.Document, pools []string) bool {
	return slices.ContainsFunc(pools, func(pool string) bool { return doc.Services[pool].Kind == document.Plain })
}

// askMembers asks the entry instances of the settings for the members they know.
// What one knew last is kept while it does not answer.
func (s *Service) askMembers(ctx context.Context) {
	if time.Since(s.asked) < membersInterval {
		return
	}
	s.asked = time.Now()
	var mu sync.Mutex
	var addresses []string
	for _, e := range s.settings.Entries {
		addresses = append(addresses, e.Address)
	}
	each(addresses, func(address string) {
		response, err := rpc.Call(ctx, s.dialer, address, callTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.ProbeResponse, error) {
				return wire.NewDRPCMembershipClient(conn).Probe(ctx, &wire.ProbeRequest{Join: true})
			})
		if err != nil {
			return
		}
		var known []string
		for _, m := range response.Updates {
			if m.PeerAddress != "" && membership.State(m.State) != membership.Dead {
				known = append(known, m.PeerAddress)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		s.members[address] = known
	})
}

// addresses returns the entry instances of the settings and their members.
func (s *Service) addresses() []string {
	var list []string
	for _, e := range s.settings.Entries {
		list = append(list, e.Address)
	}
	for _, known := range s.members {
		list = append(list, known...)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// each calls fn for all addresses, some at once, and waits.
func each(addresses []string, fn func(address string)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, parallelCalls)
	for _, address := range addresses {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			fn(address)
		})
	}
	wait.Wait()
}
