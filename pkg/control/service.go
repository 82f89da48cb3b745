// Package control implements the replicated state of the control group and the control
// instance. A Node runs the consensus protocol and applies the committed commands to a State.
//
// The package has two users, one per kind of deployment. Service is a control instance: it
// adds the operators' HTTP API, the forwarding of requests to the leader and the watches of
// entry instances, and its configuration is a document with a version, to which operators
// propose changes. A coordinator runs a Node by NewNode and replicates publications, whole
// configurations with a revision, instead.
package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// ServiceName is the name of the control service in the kernel.
const ServiceName = "control"

const (
	// heartbeatTicks is the number of ticks per heartbeat interval. With several
	// ticks, election timeouts of instances can differ by less than a heartbeat.
	heartbeatTicks = 4
	// Timeouts of the operators' HTTP server.
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = 60 * time.Second
	idleTimeout       = 60 * time.Second
)

// Service runs a control instance: a member of the control group with the
// operators' HTTP server.
type Service struct {
	settings  settings.Control
	dialer    *rpc.Dialer
	server    *rpc.Server
	telemetry *telemetry.Telemetry
	log       *slog.Logger

	node       *Node
	router     *router
	auth       *Auth
	openLog    OpenLog
	store      Store
	httpServer *http.Server
	draining   atomic.Bool
	mounts     []mount
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	failed     chan struct{}
}

// mount is an HTTP handler of another package, served at the operators' address.
type mount struct {
	prefix  string
	handler http.Handler
}

// OpenLog opens the durable log in a folder and returns it with its stored state
// and the identifier of the disk.
type OpenLog func(folder string) (Store, consensus.StoredState, consensus.DiskID, error)

// New returns a control instance that is not started.
func New(
	s settings.Control, dialer *rpc.Dialer, server *rpc.Server, t *telemetry.Telemetry, open OpenLog,
) *Service {
	return &Service{
		settings: s, dialer: dialer, server: server, telemetry: t, openLog: open, failed: make(chan struct{}),
	}
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return ServiceName }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.log = k.Log()
	return nil
}

// Validate implements kernel.Validator.
func (s *Service) Validate() error {
	auth, err := NewAuth(s.settings.Operators)
	s.auth = auth
	return err
}

// Mount registers a handler for a path prefix at the operators' address. The
// handler must authenticate its requests itself. Mount must be called before Start.
func (s *Service) Mount(prefix string, handler http.Handler) {
	s.mounts = append(s.mounts, mount{prefix, handler})
}

// Start opens the log, joins the control group and starts to serve peers and
// operators.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if err := s.openNode(); err != nil {
		cancel()
		return err
	}
	sender := newTransport(s.dialer, s.log, s.settings.Instance.ID, s.settings.Members)
	s.node.deps.sender = sender
	sender.start(ctx, s.settings.Instance.ID)
	s.goroutines.Go(func() {
		if s.node.run(ctx) != nil {
			close(s.failed)
		}
	})
	return s.serve(ctx)
}

// openNode reads the stored state and creates the node from it.
func (s *Service) openNode() error {
	store, stored, diskID, err := s.openLog(s.settings.DataFolder)
	if err != nil {
		return err
	}
	s.store = store
	audit, err := openAuditFile(s.settings.DataFolder)
	if err != nil {
		return err
	}
	tickInterval := time.Duration(s.settings.HeartbeatIntervalMS) * time.Millisecond / heartbeatTicks
	s.node, err = newNode(nodeDependencies{
		core: consensus.New(s.consensusConfig(diskID), stored), store: store, audit: audit,
		tickInterval: tickInterval, compactAfter: uint64(s.settings.CompactAfterEntries), now: time.Now,
	}, stored.Snapshot, s.log)
	return err
}

func (s *Service) consensusConfig(diskID consensus.DiskID) consensus.Config {
	config := consensus.Config{
		ID: consensus.MemberID(s.settings.Instance.ID), Disk: diskID, HeartbeatTicks: heartbeatTicks,
		ElectionTicks: heartbeatTicks * s.settings.ElectionTimeoutMS / s.settings.HeartbeatIntervalMS,
	}
	for _, m := range s.settings.Members {
		config.Members = append(config.Members, consensus.MemberID(m.ID))
	}
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	config.Rand = mathrand.New(mathrand.NewPCG(
		binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	return config
}

// serve starts the peer and the operator servers.
func (s *Service) serve(ctx context.Context) error {
	addresses := map[consensus.MemberID]string{}
	for _, m := range s.settings.Members {
		addresses[consensus.MemberID(m.ID)] = m.Address
	}
	s.router = &router{
		node: s.node, self: consensus.MemberID(s.settings.Instance.ID),
		client: &rpcPeerClient{dialer: s.dialer, addresses: addresses},
	}
	err := wire.DRPCRegisterControl(s.server.Mux(), &rpcServer{
		node: s.node, router: s.router, members: addresses,
		assembler: assembler{transfers: map[string]*transferState{}},
	})
	if err != nil {
		return eris.Wrap(err, "register the control calls")
	}
	if err := s.server.Listen(ctx, s.settings.PeerAddress); err != nil {
		return err
	}
	return s.serveOperators()
}

func (s *Service) serveOperators() error {
	changeCounter, err := s.registerMetrics()
	if err != nil {
		return err
	}
	a := &api{
		id: s.settings.Instance.ID, node: s.node, router: s.router, auth: s.auth,
		metrics: s.telemetry.Handler(), changeCounter: changeCounter, draining: &s.draining,
	}
	listener, err := net.Listen("tcp", s.settings.OperatorAddress)
	if err != nil {
		return eris.Wrapf(err, "listen for operators on %s", s.settings.OperatorAddress)
	}
	mux := http.NewServeMux()
	mux.Handle("/", a.handler())
	for _, m := range s.mounts {
		mux.Handle(m.prefix, m.handler)
	}
	s.httpServer = &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	}
	s.goroutines.Go(func() {
		if err := s.httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("HTTP server for operators failed", "address", s.settings.OperatorAddress, "error", err)
		}
	})
	return nil
}

// registerMetrics registers the metrics of the control instance and returns the
// counter of operators' changes.
func (s *Service) registerMetrics() (metric.Int64Counter, error) {
	meter := s.telemetry.Meter("control")
	registerGauge := func(name, description string, value func() int64) error {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value())
				return nil
			}))
		return err
	}
	err := errors.Join(
		registerGauge("gp_control_version", "Configuration version in force.", func() int64 { return int64(s.node.Document().Version) }),
		registerGauge("gp_control_term", "Consensus term.", func() int64 { return int64(s.node.Status().Term) }),
		registerGauge("gp_control_role", "0 learner, 1 follower, 2 candidate, 3 leader.", func() int64 { return int64(s.node.Status().Role) }),
		registerGauge("gp_control_commit_index", "Committed log index.", func() int64 { return int64(s.node.Status().Commit) }),
		registerGauge("gp_control_watchers", "Open watches.", func() int64 { return s.node.openWatches.Load() }),
	)
	if err != nil {
		return nil, eris.Wrap(err, "register the metrics")
	}
	return meter.Int64Counter("gp_control_changes", metric.WithDescription("Operators' changes by outcome."))
}

// Failed returns a channel that is closed when the event loop of the node has failed;
// see Node.Run. The process should exit then.
func (s *Service) Failed() <-chan struct{} { return s.failed }

// Stop makes the readiness check fail, waits for running requests and leaves the
// control group.
func (s *Service) Stop(ctx context.Context) error {
	s.draining.Store(true)
	var err error
	if s.httpServer != nil {
		err = s.httpServer.Shutdown(ctx)
		s.node.drainProposals(ctx)
	}
	s.cancel()
	s.goroutines.Wait()
	if s.store != nil {
		err = errors.Join(err, s.store.Close())
	}
	return eris.Wrap(err, "stop the control instance")
}

// Propose submits a change to the leader; see router.Propose.
func (s *Service) Propose(ctx context.Context, c *document.Change) Result {
	return s.router.Propose(ctx, c)
}

// Read returns the document in force by a linearizable read.
func (s *Service) Read(ctx context.Context) (*document.Document, error) { return s.router.Read(ctx) }

// Node returns the consensus node. It is nil before Start.
func (s *Service) Node() *Node { return s.node }

// Auth returns the operators' authenticator. It is nil before Validate.
func (s *Service) Auth() *Auth { return s.auth }
