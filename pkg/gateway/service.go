package gateway

import (
	"context"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

// ServiceName is the name of the gateway in the kernel.
const ServiceName = "gateway"

// Gateway is the service.
type Gateway struct {
	settings settings.Gateway
	protocol Protocol
	client   *upstream.Client
	follow   *follow.Client
	log      *slog.Logger
	// metrics is nil in a gateway that counts nothing.
	metrics *metrics

	table   atomic.Pointer[routing.Table]
	tableAt time.Time
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	stopping   atomic.Bool
	// isolated tells that callers should go elsewhere, see noteIsolation.
	isolated atomic.Bool

	mu      sync.Mutex
	servers *directory.Directory
	pools   map[string]*placement.Pool
	budgets map[string]*placement.Budget
	rand    *mathrand.Rand
	memory  placement.Memory
	// changed is closed and replaced when servers came or left.
	changed chan struct{}

	http, ready *http.Server
	cancel      context.CancelFunc
}

// New returns a gateway that is not started.
func New(s settings.Gateway, p Protocol, client *upstream.Client, dialer *rpc.Dialer, log *slog.Logger) *Gateway {
	g := &Gateway{
		settings: s, protocol: p, client: client, log: log,
		servers: directory.New(serverLife(s)), pools: map[string]*placement.Pool{},
		budgets: map[string]*placement.Budget{}, rand: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		changed: make(chan struct{}), configured: make(chan struct{}),
	}
	g.follow = follow.NewClient(s.Instance.ID, dialer, g, log)
	return g
}

// Instrument registers the metrics of the gateway. It is called before Start.
func (g *Gateway) Instrument(meter metric.Meter) (err error) {
	g.metrics, err = newMetrics(meter, g)
	return err
}

// serverLife exceeds the time that coordinators allow, since announcements reach
// a gateway over them, and two renewals from them. A server that has ended before
// is found out by requests and probes.
func serverLife(s settings.Gateway) time.Duration {
	const missed = 6
	return missed*time.Duration(s.AnnounceMS)*time.Millisecond + 2*follow.RenewalPause
}

// ServiceName implements kernel.Service.
func (g *Gateway) ServiceName() string { return ServiceName }

// Provision implements kernel.Provisioner.
func (g *Gateway) Provision(*kernel.Kernel) error { return nil }

// Start binds the addresses and follows the coordinators.
func (g *Gateway) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.AddSeeds(ctx, g.settings.PeerSeeds())
	if err := g.listen(ctx); err != nil {
		cancel()
		return err
	}
	go g.maintain(ctx)
	go g.runProbes(ctx)
	go g.follow.RunPlacements(ctx)
	return nil
}

// AddSeeds follows further coordinators.
func (g *Gateway) AddSeeds(ctx context.Context, seeds []string) { g.follow.Add(ctx, seeds) }

func (g *Gateway) listen(ctx context.Context) error {
	lc := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			const tcpUserTimeout = 18
			failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(callerSilence/time.Millisecond))
		})
		return errors.Join(err, failure)
	}}
	callers, err := lc.Listen(ctx, "tcp", g.settings.CallerAddress)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", g.settings.CallerAddress)
	}
	balancer, err := net.Listen("tcp", g.settings.ReadyAddress)
	if err != nil {
		return errors.Join(eris.Wrapf(err, "listen for the balancer on %s", g.settings.ReadyAddress), callers.Close())
	}
	g.http = &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit,
		MaxHeaderBytes: headerBytes, ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug), ConnState: noteState,
	}
	r := chi.NewRouter()
	r.Get("/*", g.serveReady)
	g.ready = &http.Server{Handler: r, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}
	serve := func(s *http.Server, l net.Listener) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("listener failed", "address", l.Addr().String(), "error", err)
		}
	}
	go serve(g.http, &idleListener{Listener: callers, limit: g.idleTime})
	go serve(g.ready, balancer)
	return nil
}

// Ready tells whether new callers should come here.
func (g *Gateway) Ready() bool {
	if g.stopping.Load() || g.table.Load() == nil || g.isolated.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.tableAt) > directoryWait {
		return true
	}
	return len(g.pools) > 0
}

// noteIsolation decides whether this gateway is cut off from what callers need
// while others probably are not: most coordinators are silent, and a service has
// no server that can be reached. Callers do better at another gateway then. It
// answers a cut of this data centre; when only the coordinators are down, or only
// the servers, all gateways fare alike and stay ready.
func (g *Gateway) noteIsolation(now time.Time) {
	fresh, known := g.follow.Fresh(now, coordinatorSilence)
	isolated := 2*fresh < known && g.starved(now)
	if g.isolated.Swap(isolated) != isolated {
		g.log.Warn("isolation changed", "isolated", isolated, "coordinators_heard", fresh, "coordinators_known", known)
	}
}

// starved tells whether a service of the configuration has no server that can be
// reached.
func (g *Gateway) starved(now time.Time) bool {
	table := g.table.Load()
	if table == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range table.Config.Services {
		if p := g.pools[s.Name]; p != nil && p.Starved(now) {
			return true
		}
	}
	return false
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Publication implements follow.Sink. Only higher revisions take effect, so that
// this instance never goes back.
func (g *Gateway) Publication(revision uint64, content []byte) {
	if revision <= g.Revision() {
		return
	}
	config, err := g.protocol.ParseConfig(content)
	if err != nil {
		g.log.Error("an accepted publication cannot be read", "revision", revision, "error", err)
		return
	}
	table := routing.NewTable(config)
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.table.Load(); current != nil && current.Config.Revision >= revision {
		return
	}
	config.Revision = revision
	first := g.table.Load() == nil
	g.table.Store(table)
	if first {
		g.tableAt = time.Now()
		close(g.configured)
	}
	g.log.Info("publication in force", "revision", revision, "routes", len(config.Routes),
		"services", len(config.Services), "organisations", len(config.Organisations))
}

// Revision implements follow.Sink.
func (g *Gateway) Revision() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Config.Revision
	}
	return 0
}

// Announcements implements follow.Sink.
func (g *Gateway) Announcements(servers []directory.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	changed := false
	for _, s := range servers {
		before, _ := g.servers.Lookup(s.ID)
		effect, displaced := g.servers.Apply(s, now)
		if effect == directory.Stale {
			continue
		}
		if displaced != nil || before.StartedMS != s.StartedMS {
			// Connections of the process that was there before would be reset.
			g.client.Drop(s.Address)
		}
		if displaced != nil {
			changed = g.pool(displaced.Service).Update(*displaced, now) || changed
		}
		s, _ = g.servers.Lookup(s.ID)
		if effect == directory.Changed {
			g.log.Info("backend server changed", "server", s.ID, "service", s.Service, "state", s.State.String(),
				"address", s.Address, "data_centre", s.DataCentre, "sequence", s.Sequence)
		}
		changed = g.pool(s.Service).Update(s, now) || changed
	}
	if changed {
		g.announce()
	}
}

// Placed implements follow.Sink.
func (g *Gateway) Placed(p placement.Placement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	previous := g.memory.Current(p.Subject)
	g.memory.Note(p.Subject, p.Server, p.Copied, now.Add(-p.Age))
	if s, known := g.servers.Lookup(p.Server); known {
		g.pool(s.Service).PlacedElsewhere(previous, p, now)
	}
}

// pool returns the pool of a service; g.mu is held.
func (g *Gateway) pool(service string) *placement.Pool {
	p := g.pools[service]
	if p == nil {
		p = placement.NewPool(g.settings.Instance.DataCentre, g.rand)
		g.pools[service] = p
	}
	return p
}

// budget returns the budget for repeats of a service; g.mu is held.
func (g *Gateway) budget(service string) *placement.Budget {
	b := g.budgets[service]
	if b == nil {
		b = &placement.Budget{
			Ratio: g.settings.RetryRatio, Slack: g.settings.RetrySlack,
			Window: time.Duration(g.settings.RetryWindowS * float64(time.Second)),
		}
		g.budgets[service] = b
	}
	return b
}

// announce wakes the requests that wait for a server; g.mu is held.
func (g *Gateway) announce() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// maintain drops servers that lapsed and connections that expired.
func (g *Gateway) maintain(ctx context.Context) {
	const interval = time.Second
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	isolation := time.NewTicker(isolationCheck)
	defer isolation.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-isolation.C:
			g.noteIsolation(now)
		case now := <-ticker.C:
			g.client.Sweep(now)
			g.mu.Lock()
			for _, s := range g.servers.Expire(now) {
				g.log.Info("backend server lapsed", "server", s.ID, "service", s.Service, "state", s.State)
				g.pool(s.Service).Remove(s.ID)
			}
			g.mu.Unlock()
		}
	}
}

// Stop finishes the requests in flight. Callers come for a while after readiness
// failed; their connections are closed after the answer.
func (g *Gateway) Stop(ctx context.Context) error {
	g.stopping.Store(true)
	g.log.Info("planned stop: no longer ready")
	end := time.Now().Add(time.Duration(g.settings.GraceS*float64(time.Second)) - stopMargin)
	g.http.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(balancerDelay):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := g.http.Shutdown(ctx)
	if err != nil {
		g.log.Warn("planned stop: requests were still in flight at the end of the grace time")
		err = g.http.Close()
	}
	g.cancel()
	return errors.Join(err, g.ready.Close())
}
