package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// ServiceName is the name of the coordinator in the kernel.
const ServiceName = "coordinator"

// ErrUnsure is returned when no leader confirms what is in force.
var ErrUnsure = eris.New("no leader confirms the publication in force")

// Service is a coordinator.
type Service struct {
	settings settings.Coordinator
	dialer   *rpc.Dialer
	server   *rpc.Server
	log      *slog.Logger
	group    *group
	hub      *hub
	// metrics is nil in a coordinator that counts nothing.
	metrics *metrics
	// peers follows the other coordinators.
	peers  *follow.Client
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New returns a coordinator that is not started.
func New(s settings.Coordinator, dialer *rpc.Dialer, server *rpc.Server, log *slog.Logger) *Service {
	return &Service{settings: s, dialer: dialer, server: server, log: log, hub: newHub(ServerLife(s.AnnounceMS))}
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return ServiceName }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start serves peers and joins the control group in the background.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group = newGroup(s.settings, newCarrier(ctx, s.dialer, s.log), s.log)
	s.group.dial = s.callJoin
	if err := wire.DRPCRegisterCoordinator(s.server.Mux(), &rpcServer{s: s}); err != nil {
		cancel()
		return eris.Wrap(err, "register the coordinator calls")
	}
	if err := s.server.Listen(ctx, s.settings.PeerAddress); err != nil {
		cancel()
		return err
	}
	s.wait.Go(func() { s.group.run(ctx) })
	s.wait.Go(func() { s.hub.run(ctx) })
	s.wait.Go(func() { s.hub.keepState(ctx, s.settings.DataFolder, s.log) })
	s.wait.Go(func() { s.greet(ctx) })
	s.followPeers(ctx)
	return nil
}

// followPeers keeps the directories of the coordinators equal.
func (s *Service) followPeers(ctx context.Context) {
	s.peers = follow.NewPeerClient(s.settings.Instance.ID, s.settings.PeerAddress, s.dialer, peerSink{s.hub}, s.log)
	s.peers.Add(ctx, s.settings.PeerSeeds())
}

// peerSink takes what other coordinators hear from backend servers.
type peerSink struct{ hub *hub }

// Announcements implements follow.Sink.
func (p peerSink) Announcements(servers []directory.Server) { p.hub.learn(servers) }

// Publication implements follow.Sink; coordinators agree on publications.
func (peerSink) Publication(uint64, []byte) {}

// Placed implements follow.Sink; gateways tell each coordinator.
func (peerSink) Placed(placement.Placement) {}

// Revision implements follow.Sink.
func (peerSink) Revision() uint64 { return 0 }

// greet tells the other coordinators about this one while it is no member, so
// that they name it to the gateways: backend servers may report here already.
func (s *Service) greet(ctx context.Context) {
	for {
		for _, address := range s.group.others() {
			answer, err := s.callJoin(ctx, address, &wire.JoinRequest{Address: s.settings.PeerAddress, Disk: "none", Slot: "none"})
			if err == nil {
				s.group.learn(answer.Coordinators)
			}
		}
		if !sleep(ctx, knownFor/4) {
			return
		}
	}
}

// AddSeeds notes further peer addresses of coordinators.
func (s *Service) AddSeeds(addresses []string) { s.group.learn(addresses) }

// Stop finishes open proposals and leaves.
func (s *Service) Stop(ctx context.Context) error {
	if node := s.group.current(); node != nil {
		node.DrainProposals(ctx)
	}
	s.cancel()
	s.wait.Wait()
	return nil
}

// Announce takes an announcement of a backend server.
func (s *Service) Announce(a directory.Server) directory.Effect {
	effect := s.hub.announce(a)
	s.metrics.announced(effect)
	if effect == directory.Changed {
		s.log.Info("backend server changed", "server", a.ID, "service", a.Service, "state", a.State.String(),
			"address", a.Address, "started_ms", a.StartedMS, "sequence", a.Sequence)
	}
	return effect
}

// Publish puts a publication in force. Accepted means that this revision or a
// higher one is durable on a quorum; after Unknown the publisher sends it again.
func (s *Service) Publish(ctx context.Context, p control.Publication) control.Outcome {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	began := time.Now()
	outcome := control.Unavailable
	for {
		outcome = s.publishOnce(ctx, p)
		if outcome != control.Unavailable || !sleep(ctx, retryPause) {
			break
		}
	}
	s.metrics.published(outcome, time.Since(began))
	s.log.Info("publication decided", "revision", p.Revision, "bytes", len(p.Content), "outcome", outcome,
		"after_ms", time.Since(began).Milliseconds())
	return outcome
}

func (s *Service) publishOnce(ctx context.Context, p control.Publication) control.Outcome {
	node := s.group.current()
	if node != nil {
		if outcome := node.Publish(ctx, p); outcome != control.Unavailable {
			return outcome
		}
	}
	for _, address := range s.leaderCandidates() {
		answer, err := rpc.Call(ctx, s.dialer, address, callLimit,
			func(ctx context.Context, conn drpc.Conn) (*wire.PublishResponse, error) {
				return wire.NewDRPCCoordinatorClient(conn).Publish(ctx, &wire.PublishRequest{Revision: p.Revision, Content: p.Content})
			})
		var dial *rpc.DialError
		switch {
		case errors.As(err, &dial):
		case err != nil || answer.Status == wire.PublishStatus_PUBLISH_UNKNOWN:
			return control.Unknown
		case answer.Status == wire.PublishStatus_PUBLISH_ACCEPTED:
			return control.Accepted
		}
	}
	return control.Unavailable
}

// leaderCandidates returns where a request for the leader is sent.
func (s *Service) leaderCandidates() []string {
	if leader := s.group.leaderAddress(); leader != "" {
		return []string{leader}
	}
	if node := s.group.current(); node != nil && node.Up() {
		// A member without a leader waits for the election.
		return nil
	}
	return s.group.others()
}

// Read returns the publication in force: every one that was accepted before the
// call is older or the same. It fails with ErrUnsure.
func (s *Service) Read(ctx context.Context) (control.Publication, error) {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	for {
		if p, ok := s.readOnce(ctx); ok {
			return p, nil
		}
		if !sleep(ctx, retryPause) {
			return control.Publication{}, ErrUnsure
		}
	}
}

func (s *Service) readOnce(ctx context.Context) (control.Publication, bool) {
	node := s.group.current()
	if node == nil || !node.Up() {
		return control.Publication{}, false
	}
	if node.Status().Role == consensus.Leader {
		if !node.Confirm(ctx) {
			return control.Publication{}, false
		}
		return node.Publication(), true
	}
	leader := s.group.leaderAddress()
	if leader == "" {
		return control.Publication{}, false
	}
	answer, err := rpc.Call(ctx, s.dialer, leader, callLimit,
		func(ctx context.Context, conn drpc.Conn) (*wire.ReadRevisionResponse, error) {
			return wire.NewDRPCCoordinatorClient(conn).ReadRevision(ctx, &wire.ReadRevisionRequest{})
		})
	if err != nil || !answer.Confirmed {
		return control.Publication{}, false
	}
	p, err := node.WaitRevision(ctx, answer.Revision)
	return p, err == nil
}

func (s *Service) callJoin(ctx context.Context, address string, r *wire.JoinRequest) (*wire.JoinResponse, error) {
	return rpc.Call(ctx, s.dialer, address, callLimit,
		func(ctx context.Context, conn drpc.Conn) (*wire.JoinResponse, error) {
			return wire.NewDRPCCoordinatorClient(conn).Join(ctx, r)
		})
}

// rpcServer answers other processes.
type rpcServer struct{ s *Service }

// StepGroup implements wire.DRPCCoordinatorServer.
func (r *rpcServer) StepGroup(_ context.Context, request *wire.GroupStepRequest) (*wire.GroupStepResponse, error) {
	r.s.group.take(request.Messages)
	return &wire.GroupStepResponse{}, nil
}

// Join implements wire.DRPCCoordinatorServer.
func (r *rpcServer) Join(ctx context.Context, request *wire.JoinRequest) (*wire.JoinResponse, error) {
	answer := r.s.group.join(request)
	if answer.Status == wire.JoinStatus_JOIN_REPLACED {
		// A leader that was cut off may not know of the latest replacement.
		if node := r.s.group.current(); node == nil || !node.Confirm(ctx) {
			answer.Status = wire.JoinStatus_JOIN_UNDECIDED
		}
	}
	return answer, nil
}

// Publish implements wire.DRPCCoordinatorServer.
func (r *rpcServer) Publish(ctx context.Context, request *wire.PublishRequest) (*wire.PublishResponse, error) {
	node := r.s.group.current()
	if node == nil {
		return &wire.PublishResponse{Status: wire.PublishStatus_PUBLISH_UNAVAILABLE}, nil
	}
	status := wire.PublishStatus_PUBLISH_UNKNOWN
	switch node.Publish(ctx, control.Publication{Revision: request.Revision, Content: request.Content}) {
	case control.Accepted:
		status = wire.PublishStatus_PUBLISH_ACCEPTED
	case control.Unavailable:
		status = wire.PublishStatus_PUBLISH_UNAVAILABLE
	}
	return &wire.PublishResponse{Status: status}, nil
}

// ReadRevision implements wire.DRPCCoordinatorServer.
func (r *rpcServer) ReadRevision(ctx context.Context, _ *wire.ReadRevisionRequest) (*wire.ReadRevisionResponse, error) {
	node := r.s.group.current()
	if node == nil || !node.Confirm(ctx) {
		return &wire.ReadRevisionResponse{}, nil
	}
	return &wire.ReadRevisionResponse{Confirmed: true, Revision: node.Publication().Revision}, nil
}

// Place implements wire.DRPCCoordinatorServer.
func (r *rpcServer) Place(_ context.Context, request *wire.PlaceRequest) (*wire.PlaceResponse, error) {
	r.s.hub.place(request.Placements, !request.KeepOnly)
	return &wire.PlaceResponse{}, nil
}

// newestLimit bounds the wait for a leader before a gateway is told what this
// coordinator holds: a data centre that is cut off goes on with that.
const newestLimit = 400 * time.Millisecond

// sendNewest waits for a leader, so that the gateway gets the newest publication
// first. Without a leader it sends what the log has, from which the gateway finds
// out by itself once a majority has answered.
func (s *Service) sendNewest(request *wire.FollowRequest, f *follower, out wire.DRPCCoordinator_FollowStream) error {
	if p, slots, ok := s.group.unconfirmed(); ok {
		event := &wire.FollowEvent{
			Coordinators: s.group.coordinators(), GroupSlots: uint32(slots),
			Stored: &wire.Publication{Revision: p.Revision, Content: p.Content},
		}
		event.Announcements, event.Placements = f.take()
		if err := out.Send(event); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(out.Context(), newestLimit)
	defer cancel()
	if _, err := s.Read(ctx); err != nil {
		s.log.Info("tells a gateway what this coordinator holds", "gateway", request.Instance, "reason", err.Error())
	}
	return nil
}

// Follow implements wire.DRPCCoordinatorServer.
func (r *rpcServer) Follow(request *wire.FollowRequest, out wire.DRPCCoordinator_FollowStream) error {
	s := r.s
	f := s.hub.subscribe(request.AnnouncementsOnly)
	defer s.hub.unsubscribe(f)
	if !request.AnnouncementsOnly {
		s.log.Info("a gateway follows", "gateway", request.Instance, "revision", request.Revision)
		if err := s.sendNewest(request, f, out); err != nil {
			return err
		}
	}
	sent := request.Revision
	for {
		event := &wire.FollowEvent{Coordinators: s.group.coordinators()}
		event.Announcements, event.Placements = f.take()
		var changed <-chan struct{}
		if node := s.group.current(); node != nil && node.Up() && !request.AnnouncementsOnly {
			var p control.Publication
			p, changed = node.PublicationOrChange()
			if p.Revision > sent {
				event.Publication = &wire.Publication{Revision: p.Revision, Content: p.Content}
				sent = p.Revision
			}
			event.InTouch = node.InTouch()
		}
		if err := out.Send(event); err != nil {
			return err
		}
		select {
		case <-out.Context().Done():
			return nil
		case <-changed:
		case <-f.urgent:
		case <-f.beat:
		}
	}
}
