// Package gateway serves callers over HTTP/1.1: it forwards their requests to
// backend servers, resumes streams whose engine failed, and refuses requests that
// it cannot run. It makes these decisions locally, from the configuration in force
// and the announcements of backend servers.
//
// A call is a request with one response, a stream a request whose response consists of
// events. Each send to a backend server is an attempt. An engine is a backend server that
// generates text; a run is one generation on one engine.
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

	"github.com/geraniumpitch/geraniumpitch/pkg/connlimit"
	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/quarantine"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// ServiceName is the name of the gateway in the kernel.
const ServiceName = "gateway"

// Gateway is the gateway service: it serves callers and follows the coordinators.
type Gateway struct {
	settings     settings.Gateway
	protocol     Protocol
	client       *upstream.Client
	coordinators *follow.Client
	log          *slog.Logger
	// metrics is nil until RegisterMetrics is called; nothing is recorded then.
	metrics *metrics

	table atomic.Pointer[routing.Table]
	// configuredAt is the time of the first configuration; mu guards it.
	configuredAt time.Time
	// isolatedSince is the start of the present isolation; mu guards it.
	isolatedSince time.Time
	// configured is closed when the first configuration takes effect.
	configured chan struct{}
	// stopsAt is when a planned stop ends the requests in flight, nil before its start.
	stopsAt atomic.Pointer[time.Time]
	// callersStopped is set when a planned stop has closed the listener for callers.
	callersStopped atomic.Bool
	// requestsEnded is done when the requests in flight are to end, which endRequests does.
	requestsEnded context.Context
	endRequests   context.CancelFunc
	// isolated means that callers should use another gateway; see updateIsolation.
	isolated atomic.Bool

	// mu guards configuredAt, isolatedSince and the fields from servers to serversChanged. rollouts is nil
	// if rollouts are off, and is not replaced.
	mu      sync.Mutex
	servers *directory.Directory
	pools   map[string]*placement.Pool
	budgets map[string]*placement.RetryBudget
	usage   usage.View
	// usageUpdated is closed and replaced with each exchange of the usage.
	usageUpdated chan struct{}
	// incarnation identifies this process to the coordinators.
	incarnation     uint64
	rand            *mathrand.Rand
	promptLocations placement.PromptLocations
	quarantine      *quarantine.Tracker
	// endWatches holds the engines that broke off runs lately.
	endWatches      map[placement.Process]*endWatch
	limitQueues     map[string]*placement.LimitQueue
	admissionQueues map[string]*placement.AdmissionQueue
	callControls    map[string]*callControl
	streamControls  map[string]*streamControl
	// durations holds the durations of complete streams by route.
	durations map[string]*placement.DurationHistory
	// unstarted holds the streams that wait for the first event of their engine, with the function
	// that aborts the attempt.
	unstarted map[*streamState]func()
	// serversChanged is closed and replaced when servers join, leave or recover.
	serversChanged chan struct{}
	rollouts       *rollouts

	callerServer, readinessServer *http.Server
	callerListener                net.Listener
	callerConns                   callerConns
	guard                         *connlimit.Guard
	cancel                        context.CancelFunc
}

// New returns a gateway that has not been started.
func New(s settings.Gateway, p Protocol, client *upstream.Client, dialer *rpc.Dialer, log *slog.Logger) *Gateway {
	g := &Gateway{
		settings: s, protocol: p, client: client, log: log,
		servers: directory.New(serverTTL(s)), pools: map[string]*placement.Pool{},
		budgets: map[string]*placement.RetryBudget{}, rand: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		serversChanged: make(chan struct{}), usageUpdated: make(chan struct{}), configured: make(chan struct{}), unstarted: map[*streamState]func(){},
		usage:       usage.View{StartedAt: time.Now()},
		incarnation: mathrand.Uint64(), limitQueues: map[string]*placement.LimitQueue{}, durations: map[string]*placement.DurationHistory{}, admissionQueues: map[string]*placement.AdmissionQueue{},
		callControls: map[string]*callControl{}, streamControls: map[string]*streamControl{},
		callerConns: callerConns{conns: map[net.Conn]bool{}}, guard: newGuard(s),
	}
	if s.Rollouts != nil {
		g.rollouts = newRollouts()
	}
	g.requestsEnded, g.endRequests = context.WithCancel(context.Background())
	g.quarantine, g.endWatches = quarantine.NewTracker(g.rand), map[placement.Process]*endWatch{}
	g.coordinators = follow.NewClient(s.Instance.ID, dialer, g, log)
	return g
}

// RegisterMetrics registers the metrics of the gateway. It must be called before Start.
func (g *Gateway) RegisterMetrics(meter metric.Meter) (err error) {
	g.metrics, err = newMetrics(meter, g)
	return err
}

// serverTTL returns how long a server is kept without a new announcement. It exceeds
// the time that coordinators allow, because they relay the announcements, plus two of
// their renewal intervals. A server that ends sooner is detected by requests and probes.
func serverTTL(s settings.Gateway) time.Duration {
	const missedAnnouncements = 6
	return missedAnnouncements*time.Duration(s.AnnounceIntervalMS)*time.Millisecond + 2*follow.MinRenewalInterval
}

// ServiceName implements kernel.Service.
func (g *Gateway) ServiceName() string { return ServiceName }

// Provision implements kernel.Provisioner.
func (g *Gateway) Provision(*kernel.Kernel) error { return nil }

// Start listens on the configured addresses and begins to follow the coordinators.
func (g *Gateway) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.SetSeeds(ctx, g.settings.PeerSeeds())
	if err := g.listen(ctx); err != nil {
		cancel()
		return err
	}
	go g.maintain(ctx)
	go g.runProbes(ctx)
	go g.coordinators.RunPlacements(ctx)
	go g.coordinators.RunPromptReports(ctx)
	go g.coordinators.RunUsage(ctx, g)
	if g.rollouts != nil {
		go g.coordinators.RunRollouts(ctx, g)
		go g.runMoves(ctx)
	}
	go g.coordinators.RunPaces(ctx, g)
	return nil
}

// SetSeeds follows the coordinators at these seed addresses, which replace those of the previous settings as a source,
// until ctx ends.
func (g *Gateway) SetSeeds(ctx context.Context, seeds []string) { g.coordinators.SetSeeds(ctx, seeds) }

// listen starts the listeners for callers and for the load balancer's readiness checks.
func (g *Gateway) listen(ctx context.Context) error {
	listenConfig := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			const tcpUserTimeout = 18
			optionErr = errors.Join(connlimit.Control(fd),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(callerAckTimeout/time.Millisecond)))
		})
		return errors.Join(err, optionErr)
	}}
	callers, err := listenConfig.Listen(ctx, "tcp", g.settings.CallerAddress)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", g.settings.CallerAddress)
	}
	balancer, err := net.Listen("tcp", g.settings.ReadyAddress)
	if err != nil {
		return errors.Join(eris.Wrapf(err, "listen for the balancer on %s", g.settings.ReadyAddress), callers.Close())
	}
	g.serveListeners(callers, balancer)
	return nil
}

// serveListeners serves callers and the readiness checks until Stop.
func (g *Gateway) serveListeners(callers, balancer net.Listener) {
	g.callerServer = &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerReadTimeout, IdleTimeout: maxIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug), ConnContext: connlimit.ConnContext,
		ConnState: func(conn net.Conn, state http.ConnState) {
			connlimit.SetState(conn, state)
			trackConnState(conn, state)
			g.callerConns.track(conn, state)
		},
	}
	r := chi.NewRouter()
	r.Get("/debug/where", g.serveWhere)
	r.Get("/*", g.serveReady)
	g.readinessServer = &http.Server{Handler: r, ReadHeaderTimeout: headerReadTimeout, IdleTimeout: maxIdleTimeout, ConnState: connlimit.SetState}
	serve := func(s *http.Server, l net.Listener) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !g.stopping() {
			g.log.Error("listener failed", "address", l.Addr().String(), "error", err)
		}
	}
	g.callerListener = &callerListener{Listener: g.guard.Limit(callers), timeouts: g.timeouts}
	go serve(g.callerServer, g.callerListener)
	go serve(g.readinessServer, connlimit.NewListener(balancer, g.guard.Memory, maxReadinessConnections, readinessBufferBytes))
}

// Ready reports whether the load balancer should send new callers to this gateway.
func (g *Gateway) Ready() bool {
	if g.stopping() || g.table.Load() == nil || g.isolated.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.configuredAt) > maxDirectoryWait {
		return true
	}
	return len(g.pools) > 0
}

// serveReady answers the readiness checks of the load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// HandlePublication implements follow.Sink. Only higher revisions take effect, so that the
// gateway never returns to an older configuration.
func (g *Gateway) HandlePublication(revision uint64, content []byte) {
	if revision <= g.Revision() {
		return
	}
	config, err := g.protocol.ParseConfig(content)
	if err != nil {
		g.log.Error("failed to parse an accepted publication", "revision", revision, "error", err)
		return
	}
	table := routing.NewTable(config)
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.table.Load(); current != nil && current.Config.Revision >= revision {
		return
	}
	config.Revision = revision
	initial := g.table.Load() == nil
	g.table.Store(table)
	if initial {
		g.configuredAt = time.Now()
		close(g.configured)
	}
	g.log.Info("publication in force", "revision", revision, "bytes", len(content), "routes", len(config.Routes),
		"services", len(config.Services), "organisations", len(config.Organisations))
}

// Revision implements follow.Sink.
func (g *Gateway) Revision() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Config.Revision
	}
	return 0
}

// HandleAnnouncements implements follow.Sink.
func (g *Gateway) HandleAnnouncements(servers []directory.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	changed := false
	for _, s := range servers {
		previous, _ := g.servers.Lookup(s.ID)
		effect, displaced := g.servers.Apply(s, now)
		if effect == directory.Stale {
			continue
		}
		if displaced != nil || previous.StartedMS != s.StartedMS {
			// Connections to the previous process at this address would be reset.
			g.client.CloseIdle(s.Address)
		}
		if previous.ID != "" && previous.StartedMS < s.StartedMS {
			g.recordReplacedProcess(previous)
		}
		if displaced != nil {
			g.recordReplacedProcess(*displaced)
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
		g.notifyServersChanged()
	}
}

// HandlePlacement implements follow.Sink.
func (g *Gateway) HandlePlacement(p placement.Placement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	previous := g.promptLocations.CurrentEngine(p.Subject)
	g.promptLocations.Record(p.Subject, p.Server, p.PromptCopied, now.Add(-p.Age))
	if s, ok := g.servers.Lookup(p.Server); ok {
		g.pool(s.Service).RecordPeerPlacement(previous, p, now)
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

// budget returns the retry budget of a service; g.mu is held.
func (g *Gateway) budget(service string) *placement.RetryBudget {
	b := g.budgets[service]
	if b == nil {
		b = &placement.RetryBudget{
			RetryRatio: g.settings.RetryRatio, RetrySlack: g.settings.RetrySlack,
			Window: time.Duration(g.settings.RetryWindowS * float64(time.Second)), Service: service, View: &g.usage,
		}
		g.budgets[service] = b
	}
	return b
}

// notifyServersChanged wakes the requests that wait for a server; g.mu is held.
func (g *Gateway) notifyServersChanged() {
	close(g.serversChanged)
	g.serversChanged = make(chan struct{})
}

// maintain removes expired servers, closes expired connections and updates the isolation
// state until ctx ends.
func (g *Gateway) maintain(ctx context.Context) {
	const expiryInterval = time.Second
	expiryTicker := time.NewTicker(expiryInterval)
	defer expiryTicker.Stop()
	isolationTicker := time.NewTicker(isolationCheckInterval)
	defer isolationTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-isolationTicker.C:
			g.updateIsolation(now)
		case now := <-expiryTicker.C:
			g.client.CloseExpired(now)
			g.guard.LogEffects(g.log, now)
			g.mu.Lock()
			for _, s := range g.servers.Expire(now) {
				g.log.Info("backend server expired", "server", s.ID, "service", s.Service, "state", s.State)
				g.pool(s.Service).Remove(s.ID, now)
			}
			g.logSuspicions(g.quarantine.Expire(now))
			g.mu.Unlock()
		}
	}
}
