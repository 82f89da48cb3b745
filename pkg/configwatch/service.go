package configwatch

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// ServiceName is the name of the configuration watch in the kernel.
const ServiceName = "configwatch"

const (
	// idleWatchTimeout ends a watch that receives no current event. Control
	// instances send a heartbeat every second, and a broken connection can stay
	// open without traffic indefinitely.
	idleWatchTimeout = 3 * time.Second
	// firstEventTimeout ends a new watch that receives no first event. Control
	// instances send one immediately, but a frozen instance only accepts the
	// connection.
	firstEventTimeout = time.Second
	// versionQueryTimeout bounds the query for the newest version after a start.
	versionQueryTimeout = 3 * time.Second
	// retryDelay is the delay before a retry when no instance could be used.
	retryDelay = 300 * time.Millisecond
	// maxRemoteWatchDuration bounds a watch at a control instance of another data
	// centre, so that the local data centre is tried again.
	maxRemoteWatchDuration = time.Minute
)

// Service keeps the configuration of an entry instance up to date by watching a
// control instance.
type Service struct {
	SettableSource
	settings settings.Entry
	dialer   *rpc.Dialer
	log      *slog.Logger
	bus      *kernel.Bus
	// membership is nil in a process without the membership service.
	membership membership.View
	store      *documentStore
	ready      atomic.Bool
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// watchActive is set while a watch receives current events. It is accessed
	// only by the goroutine of run.
	watchActive bool

	// idleTimeout ends a watch without current events, queryTimeout bounds the query
	// for the newest version.
	idleTimeout, queryTimeout time.Duration
}

// New returns a Service that is not started.
func New(s settings.Entry, dialer *rpc.Dialer) *Service {
	return &Service{settings: s, dialer: dialer, idleTimeout: idleWatchTimeout, queryTimeout: versionQueryTimeout}
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return ServiceName }

// Ready reports whether a configuration is in force that was stored locally or was
// the newest one of the instances reachable after the start.
func (s *Service) Ready() bool { return s.ready.Load() }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.log, s.bus = k.Log(), k.Bus()
	if view, err := kernel.Lookup[membership.View](k, "membership"); err == nil {
		s.membership = view
	}
	return nil
}

// Start reads the stored configuration and starts to watch for changes.
func (s *Service) Start(context.Context) error {
	if s.settings.DataFolder != "" {
		store, stored, err := openStore(s.settings.DataFolder)
		if err != nil {
			return err
		}
		s.store = store
		if stored != nil {
			s.applyUpdate(&update{document: stored}, false)
			s.ready.Store(true)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.goroutines.Go(func() { s.run(ctx) })
	return nil
}

// Stop ends the watch.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.goroutines.Wait()
	if s.store != nil {
		s.store.close()
	}
	return nil
}

// Register serves the configuration in force to other entry instances.
func (s *Service) Register(mux drpc.Mux) error {
	return eris.Wrap(wire.DRPCRegisterHeld(mux, &documentServer{s}), "register the calls for the configuration in force")
}

// documentServer implements the server of wire.Held, by which other entry instances
// obtain the configuration in force at this one.
type documentServer struct{ service *Service }

// Version returns the version in force at this instance.
func (h *documentServer) Version(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) {
	return &wire.ReadResponse{Version: h.service.Current().Version, Confirmed: h.service.Ready()}, nil
}

// Fetch sends the document in force at this instance as a snapshot.
func (h *documentServer) Fetch(_ *wire.WatchRequest, stream wire.DRPCHeld_FetchStream) error {
	d := h.service.Current()
	data, err := json.Marshal(d)
	if err != nil {
		return eris.Wrap(err, "encode the configuration")
	}
	return SendSnapshot(stream, d.Version, data)
}

// run obtains the newest version if none is stored, then watches until ctx ends.
func (s *Service) run(ctx context.Context) {
	for !s.ready.Load() {
		if s.catchUp(ctx) {
			s.ready.Store(true)
			s.log.Info("obtained the initial configuration", "version", s.Current().Version)
		} else if !sleepContext(ctx, retryDelay) {
			return
		}
	}
	candidates := s.candidates()
	for ctx.Err() == nil {
		s.watchCandidates(ctx, candidates)
	}
}

// watchCandidates watches the control instances one after another, each until its
// watch fails. It returns early when maxRemoteWatchDuration has passed, so that the
// local data centre is tried again.
func (s *Service) watchCandidates(ctx context.Context, candidates []settings.Peer) {
	for _, c := range candidates {
		watchCtx := ctx
		isRemote := c.DataCentre != s.settings.Instance.DataCentre && c.ID != candidates[0].ID
		if isRemote {
			var cancel context.CancelFunc
			watchCtx, cancel = context.WithTimeout(ctx, maxRemoteWatchDuration)
			defer cancel()
		}
		err := s.watch(watchCtx, c.Address, s.Current().Version, func(uint64) bool { return false })
		if ctx.Err() != nil || watchCtx.Err() != nil {
			return
		}
		if s.watchActive {
			s.watchActive = false
			s.log.Info("configuration watch ended", "control", c.ID, "error", err)
		}
	}
	sleepContext(ctx, retryDelay)
}

// candidates returns the control instances, those of the local data centre first.
// Within a data centre the order depends on the identifier of this instance, which
// spreads the watches over the control instances.
func (s *Service) candidates() []settings.Peer {
	var local, remote []settings.Peer
	for _, p := range s.settings.Control {
		if p.DataCentre == s.settings.Instance.DataCentre {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	return append(s.rotate(local), s.rotate(remote)...)
}

func (s *Service) rotate(peers []settings.Peer) []settings.Peer {
	if len(peers) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.settings.Instance.ID))
	start := int(h.Sum32() % uint32(len(peers)))
	return append(append([]settings.Peer(nil), peers[start:]...), peers[:start]...)
}

// eventStream is the receiving side of a watch stream.
type eventStream interface {
	Recv() (*wire.WatchEvent, error)
}

// watch applies the changes sent by one control instance until the stream fails,
// no current event arrives within the idle timeout or done returns true for the
// version in force.
func (s *Service) watch(ctx context.Context, address string, fromVersion uint64, done func(uint64) bool) error {
	return s.receive(ctx, address, done, func(ctx context.Context, conn drpc.Conn) (eventStream, error) {
		request := &wire.WatchRequest{FromVersion: fromVersion, Instance: s.settings.Instance.ID}
		return wire.NewDRPCControlClient(conn).Watch(ctx, request)
	})
}

// fetch receives and applies the document of another entry instance.
func (s *Service) fetch(ctx context.Context, address string, done func(uint64) bool) error {
	return s.receive(ctx, address, done, func(ctx context.Context, conn drpc.Conn) (eventStream, error) {
		return wire.NewDRPCHeldClient(conn).Fetch(ctx, &wire.WatchRequest{Instance: s.settings.Instance.ID})
	})
}

func (s *Service) receive(
	ctx context.Context, address string, done func(uint64) bool,
	open func(context.Context, drpc.Conn) (eventStream, error),
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(min(firstEventTimeout, s.idleTimeout), func() {
		s.dialer.Invalidate(address)
		cancel()
	})
	defer idleTimer.Stop()
	stream, err := open(ctx, s.dialer.Conn(address))
	if err != nil {
		return eris.Wrapf(err, "open a watch at %s", address)
	}
	var decoder eventDecoder
	for {
		event, err := stream.Recv()
		if err != nil {
			return eris.Wrapf(err, "watch at %s", address)
		}
		// Events of a control instance that lags behind do not keep the watch alive.
		if event.Version >= s.Current().Version {
			idleTimer.Reset(s.idleTimeout)
			s.markWatchActive(address)
		}
		u, err := decoder.decode(s.Current(), event)
		if err != nil {
			return eris.Wrapf(err, "watch at %s", address)
		}
		if u != nil {
			s.applyUpdate(u, true)
		}
		if done(s.Current().Version) {
			return nil
		}
	}
}

// markWatchActive logs the first current event since no watch was active.
func (s *Service) markWatchActive(address string) {
	if !s.watchActive {
		s.watchActive = true
		s.log.Info("configuration watch established", "address", address, "version", s.Current().Version)
	}
}

// applyUpdate stores an update and then puts it in force, so that a restart cannot
// revert to an older version. If it cannot be stored, the stored configuration is
// removed.
func (s *Service) applyUpdate(u *update, persist bool) {
	if persist && s.store != nil {
		if err := s.store.save(u); err != nil {
			s.log.Error("the configuration cannot be stored", "version", u.document.Version, "error", err)
			if err := s.store.discard(); err != nil {
				s.log.Error("the stored configuration cannot be removed", "error", err)
			}
		}
	}
	if !s.Set(u.document) {
		return
	}
	if err := s.bus.Publish(kernel.TopicConfigApplied, kernel.ConfigApplied{Version: u.document.Version}); err != nil {
		s.log.Error("the configuration event cannot be published", "error", err)
	}
}

// sleepContext waits for d or until ctx ends, and reports whether d has passed.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
