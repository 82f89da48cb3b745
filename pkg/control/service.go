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
	// heartbeatTicks is the number of ticks per heartbeat; several ticks let
	// election time-outs differ by less than a heartbeat.
	heartbeatTicks = 4
	// Limits of the operators' HTTP server.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	answerTimeout = 60 * time.Second
	idleTimeout   = 60 * time.Second
)

// Service is a control instance.
type Service struct {
	settings  settings.Control
	dialer    *rpc.Dialer
	server    *rpc.Server
	telemetry *telemetry.Telemetry
	log       *slog.Logger

	node     *Node
	router   *router
	auth     *Auth
	openLog  OpenLog
	store    Store
	http     *http.Server
	draining atomic.Bool
	mounts   []mount
	cancel   context.CancelFunc
	wait     sync.WaitGroup
	failed   chan struct{}
}

// mount is a handler of another package under the operators' address.
type mount struct {
	prefix  string
	handler http.Handler
}

// OpenLog opens the synced log in a folder and returns what it holds and the
// identity of the disk.
type OpenLog func(folder string) (Store, consensus.Stored, consensus.DiskID, error)

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

// Mount serves a handler under a prefix of the operators' address. The handler
// authenticates by itself. Mount is called before Start.
func (s *Service) Mount(prefix string, handler http.Handler) {
	s.mounts = append(s.mounts, mount{prefix, handler})
}

// Start opens the log, joins the control group and serves peers and operators.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if err := s.open(); err != nil {
		cancel()
		return err
	}
	carrier := newTransport(s.dialer, s.log, s.settings.Instance.ID, s.settings.Members)
	s.node.parts.carrier = carrier
	carrier.start(ctx, s.settings.Instance.ID)
	s.wait.Go(func() {
		if s.node.run(ctx) != nil {
			close(s.failed)
		}
	})
	return s.serve(ctx)
}

// open reads the stored state and builds the node on it.
func (s *Service) open() error {
	log, stored, disk, err := s.openLog(s.settings.DataFolder)
	if err != nil {
		return err
	}
	s.store = log
	audit, err := openAuditFile(s.settings.DataFolder)
	if err != nil {
		return err
	}
	tick := time.Duration(s.settings.HeartbeatMS) * time.Millisecond / heartbeatTicks
	s.node, err = newNode(loopParts{
		core: consensus.New(s.consensusConfig(disk), stored), store: log, audit: audit,
		tick: tick, compactAfter: uint64(s.settings.CompactAfter), now: time.Now,
	}, stored.Snapshot, s.log)
	return err
}

func (s *Service) consensusConfig(disk consensus.DiskID) consensus.Config {
	config := consensus.Config{
		ID: consensus.MemberID(s.settings.Instance.ID), Disk: disk, HeartbeatTicks: heartbeatTicks,
		ElectionTicks: heartbeatTicks * s.settings.ElectionMS / s.settings.HeartbeatMS,
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

// serve binds both addresses.
func (s *Service) serve(ctx context.Context) error {
	addresses := map[consensus.MemberID]string{}
	for _, m := range s.settings.Members {
		addresses[consensus.MemberID(m.ID)] = m.Address
	}
	s.router = &router{
		node: s.node, self: consensus.MemberID(s.settings.Instance.ID),
		remote: &rpcRemote{dialer: s.dialer, addresses: addresses},
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
	results, err := s.instruments()
	if err != nil {
		return err
	}
	a := &api{
		id: s.settings.Instance.ID, node: s.node, router: s.router, auth: s.auth,
		metrics: s.telemetry.Handler(), results: results, draining: &s.draining,
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
	s.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout,
		WriteTimeout: answerTimeout, IdleTimeout: idleTimeout,
	}
	s.wait.Go(func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("operator listener failed", "error", err)
		}
	})
	return nil
}

// instruments registers the metrics of the control instance.
func (s *Service) instruments() (metric.Int64Counter, error) {
	meter := s.telemetry.Meter("control")
	observe := func(name, description string, value func() int64) error {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value())
				return nil
			}))
		return err
	}
	err := errors.Join(
		observe("gp_control_version", "Configuration version in force.", func() int64 { return int64(s.node.Document().Version) }),
		observe("gp_control_term", "Consensus term.", func() int64 { return int64(s.node.Status().Term) }),
		observe("gp_control_role", "0 learner, 1 follower, 2 candidate, 3 leader.", func() int64 { return int64(s.node.Status().Role) }),
		observe("gp_control_commit_index", "Committed log index.", func() int64 { return int64(s.node.Status().Commit) }),
		observe("gp_control_watchers", "Open watches.", func() int64 { return s.node.watchers.Load() }),
	)
	if err != nil {
		return nil, eris.Wrap(err, "register the metrics")
	}
	return meter.Int64Counter("gp_control_changes", metric.WithDescription("Operators' changes by outcome."))
}

// Failed is closed when the log cannot be written; the process should exit then.
func (s *Service) Failed() <-chan struct{} { return s.failed }

// Stop fails readiness, finishes the operators' requests and leaves the group.
func (s *Service) Stop(ctx context.Context) error {
	s.draining.Store(true)
	var err error
	if s.http != nil {
		err = s.http.Shutdown(ctx)
		s.node.drainProposals(ctx)
	}
	s.cancel()
	s.wait.Wait()
	if s.store != nil {
		err = errors.Join(err, s.store.Close())
	}
	return eris.Wrap(err, "stop the control instance")
}

// Propose submits a change at the leader; see router.Propose.
func (s *Service) Propose(ctx context.Context, c *document.Change) Result {
	return s.router.Propose(ctx, c)
}

// Read returns the document in force, linearizable.
func (s *Service) Read(ctx context.Context) (*document.Document, error) { return s.router.Read(ctx) }

// Node returns the node of a started instance.
func (s *Service) Node() *Node { return s.node }

// Auth returns the operators of a validated instance.
func (s *Service) Auth() *Auth { return s.auth }
