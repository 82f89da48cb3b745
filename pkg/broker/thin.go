package broker

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/configwatch"
	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// announcementLife is the time after which an announcement lapses.
const announcementLife = 5 * time.Second

// Service chooses a random announced backend server; it knows no queue yet.
type Service struct {
	view   membership.View
	dialer *rpc.Dialer

	mu       sync.Mutex
	backends map[string]announced
}

type announced struct {
	*wire.BackendAnnouncement
	at time.Time
}

// New returns a service without backend servers.
func New(view membership.View, _ configwatch.Source, dialer *rpc.Dialer, _ string, _ *slog.Logger) *Service {
	return &Service{view: view, dialer: dialer, backends: map[string]announced{}}
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return "broker" }

// Register adds the drpc service to a mux.
func (s *Service) Register(mux drpc.Mux) error { return wire.DRPCRegisterBroker(mux, &peers{s: s}) }

// peers serves the calls of other instances.
type peers struct {
	wire.DRPCBrokerUnimplementedServer
	s *Service
}

// Announce implements the drpc service.
func (p *peers) Announce(_ context.Context, r *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	p.s.take(r.Announcements)
	return &wire.AnnounceResponse{}, nil
}

// Announce takes announcements and forwards them to all known instances.
func (s *Service) Announce(ctx context.Context, list []*wire.BackendAnnouncement) error {
	for _, m := range s.view.Members() {
		go func() {
			_, _ = rpc.Call(context.WithoutCancel(ctx), s.dialer, m.PeerAddress, time.Second,
				func(ctx context.Context, conn drpc.Conn) (*wire.AnnounceResponse, error) {
					return wire.NewDRPCBrokerClient(conn).Announce(ctx, &wire.AnnounceRequest{Announcements: list})
				})
		}()
	}
	return nil
}

// Leave forwards that a backend server is leaving.
func (s *Service) Leave(ctx context.Context, id string, incarnation uint64) error {
	return s.Announce(ctx, []*wire.BackendAnnouncement{{Id: id, Incarnation: incarnation, Leaving: true}})
}

func (s *Service) take(list []*wire.BackendAnnouncement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range list {
		if old, ok := s.backends[a.Id]; ok && old.Leaving && old.Incarnation == a.Incarnation {
			continue
		}
		s.backends[a.Id] = announced{a, time.Now()}
	}
}

type lease struct{ id, address string }

func (l lease) Backend() (string, string)  { return l.id, l.address }
func (l lease) Preempted() <-chan struct{} { return nil }
func (l lease) Release(Usage)              {}

// Acquire implements Acquirer.
func (s *Service) Acquire(_ context.Context, r Request) (Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fit []lease
	for id, b := range s.backends {
		if time.Since(b.at) < announcementLife && !b.Leaving && slices.Contains(b.Pools, r.Pool) && !slices.Contains(r.Exclude, id) {
			fit = append(fit, lease{id, b.Address})
		}
	}
	if len(fit) == 0 {
		return nil, &Refusal{Reason: "no_backend", RetryAfter: time.Second}
	}
	return fit[rand.IntN(len(fit))], nil
}
