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

// ServiceName is the name of the follower in the kernel.
const ServiceName = "configwatch"

const (
	// silenceLimit drops a watch without news. Control instances send a
	// heartbeat every second, and an open connection may be silent for good.
	silenceLimit = 3 * time.Second
	// firstLimit drops a new watch without a first event: control instances
	// send a heartbeat at once. A frozen instance still accepts connections.
	firstLimit = time.Second
	// askLimit bounds the question for the newest version after a start.
	askLimit = 3 * time.Second
	// retryPause is the wait after all control instances failed in turn.
	retryPause = 300 * time.Millisecond
	// awayLimit ends a watch at a control instance of another data centre, so
	// that the own data centre is tried again.
	awayLimit = time.Minute
)

// Service follows the accepted configuration at an entry instance.
type Service struct {
	Holder
	settings settings.Entry
	dialer   *rpc.Dialer
	log      *slog.Logger
	bus      *kernel.Bus
	// view is nil in a process without membership.
	view   membership.View
	folder *folder
	ready  atomic.Bool
	cancel context.CancelFunc
	wait   sync.WaitGroup
	// following is set while a watch gets news; it belongs to run.
	following bool

	// silence and ask are silenceLimit and askLimit, shorter in tests.
	silence, ask time.Duration
}

// New returns a follower that is not started.
func New(s settings.Entry, dialer *rpc.Dialer) *Service {
	return &Service{settings: s, dialer: dialer, silence: silenceLimit, ask: askLimit}
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return ServiceName }

// Ready reports whether the configuration is the stored one or the newest of
// the instances that could be reached after the start.
func (s *Service) Ready() bool { return s.ready.Load() }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.log, s.bus = k.Log(), k.Bus()
	if view, err := kernel.Lookup[membership.View](k, "membership"); err == nil {
		s.view = view
	}
	return nil
}

// Start reads the stored configuration and begins to follow.
func (s *Service) Start(context.Context) error {
	if s.settings.DataFolder != "" {
		folder, stored, err := openFolder(s.settings.DataFolder)
		if err != nil {
			return err
		}
		s.folder = folder
		if stored != nil {
			s.put(&update{document: stored}, false)
			s.ready.Store(true)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wait.Go(func() { s.run(ctx) })
	return nil
}

// Stop ends the watch.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.wait.Wait()
	if s.folder != nil {
		s.folder.close()
	}
	return nil
}

// Register serves the configuration in force to other entry instances.
func (s *Service) Register(mux drpc.Mux) error {
	return eris.Wrap(wire.DRPCRegisterHeld(mux, &heldServer{s}), "register the held configuration")
}

// heldServer serves wire.Held.
type heldServer struct{ service *Service }

// Version returns the version in force here.
func (h *heldServer) Version(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) {
	return &wire.ReadResponse{Version: h.service.Current().Version, Confirmed: h.service.Ready()}, nil
}

// Fetch sends the document in force here.
func (h *heldServer) Fetch(_ *wire.WatchRequest, stream wire.DRPCHeld_FetchStream) error {
	d := h.service.Current()
	data, err := json.Marshal(d)
	if err != nil {
		return eris.Wrap(err, "encode the configuration")
	}
	return SendSnapshot(stream, d.Version, data)
}

// run finds the newest version if none is stored, then follows.
func (s *Service) run(ctx context.Context) {
	for !s.ready.Load() {
		if s.catchUp(ctx) {
			s.ready.Store(true)
			s.log.Info("configuration found", "version", s.Current().Version)
		} else if !pause(ctx, retryPause) {
			return
		}
	}
	candidates := s.candidates()
	for ctx.Err() == nil {
		s.round(ctx, candidates)
	}
}

// round watches at one control instance after another, in order. It ends early
// when a watch far away ends, so that the own data centre is tried again.
func (s *Service) round(ctx context.Context, candidates []settings.Peer) {
	for _, c := range candidates {
		limit := ctx
		away := c.DataCentre != s.settings.Instance.DataCentre && c.ID != candidates[0].ID
		if away {
			var cancel context.CancelFunc
			limit, cancel = context.WithTimeout(ctx, awayLimit)
			defer cancel()
		}
		err := s.watch(limit, c.Address, s.Current().Version, func(uint64) bool { return false })
		if ctx.Err() != nil || limit.Err() != nil {
			return
		}
		if s.following {
			s.following = false
			s.log.Info("configuration watch ended", "control", c.ID, "error", err)
		}
	}
	pause(ctx, retryPause)
}

// candidates returns the control instances, own data centre first. Within a
// data centre the order differs between instances, which spreads the watches.
func (s *Service) candidates() []settings.Peer {
	var own, other []settings.Peer
	for _, p := range s.settings.Control {
		if p.DataCentre == s.settings.Instance.DataCentre {
			own = append(own, p)
		} else {
			other = append(other, p)
		}
	}
	return append(s.rotated(own), s.rotated(other)...)
}

func (s *Service) rotated(peers []settings.Peer) []settings.Peer {
	if len(peers) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.settings.Instance.ID))
	first := int(h.Sum32() % uint32(len(peers)))
	return append(append([]settings.Peer(nil), peers[first:]...), peers[:first]...)
}

// eventSource is the receiving half of a watch stream.
type eventSource interface {
	Recv() (*wire.WatchEvent, error)
}

// watch follows one control instance until the stream fails, is silent for
// silenceLimit or done is true for the version in force.
func (s *Service) watch(ctx context.Context, address string, from uint64, done func(uint64) bool) error {
	return s.receive(ctx, address, done, func(ctx context.Context, conn drpc.Conn) (eventSource, error) {
		request := &wire.WatchRequest{FromVersion: from, Instance: s.settings.Instance.ID}
		return wire.NewDRPCControlClient(conn).Watch(ctx, request)
	})
}

// fetch takes the document of another entry instance.
func (s *Service) fetch(ctx context.Context, address string, done func(uint64) bool) error {
	return s.receive(ctx, address, done, func(ctx context.Context, conn drpc.Conn) (eventSource, error) {
		return wire.NewDRPCHeldClient(conn).Fetch(ctx, &wire.WatchRequest{Instance: s.settings.Instance.ID})
	})
}

func (s *Service) receive(
	ctx context.Context, address string, done func(uint64) bool,
	open func(context.Context, drpc.Conn) (eventSource, error),
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(min(firstLimit, s.silence), func() {
		s.dialer.Drop(address)
		cancel()
	})
	defer silence.Stop()
	source, err := open(ctx, s.dialer.Conn(address))
	if err != nil {
		return eris.Wrapf(err, "open a watch at %s", address)
	}
	var r reader
	for {
		event, err := source.Recv()
		if err != nil {
			return eris.Wrapf(err, "watch at %s", address)
		}
		// An instance that is behind this one does not count as news.
		if event.Version >= s.Current().Version {
			silence.Reset(s.silence)
			s.noteFollowing(address)
		}
		u, err := r.take(s.Current(), event)
		if err != nil {
			return err
		}
		if u != nil {
			s.put(u, true)
		}
		if done(s.Current().Version) {
			return nil
		}
	}
}

// noteFollowing logs that a watch has news after a time without.
func (s *Service) noteFollowing(address string) {
	if !s.following {
		s.following = true
		s.log.Info("configuration is followed", "address", address, "version", s.Current().Version)
	}
}

// put stores an update and then puts it in force, so that a restart cannot go
// back. If it cannot be stored, nothing stays stored.
func (s *Service) put(u *update, store bool) {
	if store && s.folder != nil {
		if err := s.folder.save(u); err != nil {
			s.log.Error("the configuration cannot be stored", "version", u.document.Version, "error", err)
			if err := s.folder.discard(); err != nil {
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

// pause waits and reports whether ctx is still open.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
