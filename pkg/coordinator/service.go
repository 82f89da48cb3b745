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
	"github.com/geraniumpitch/geraniumpitch/pkg/quarantine"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
	"github.com/geraniumpitch/geraniumpitch/pkg/wal"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// ServiceName is the name under which the kernel registers the coordinator.
const ServiceName = "coordinator"

// ErrNotConfirmed is returned when no leader confirms the publication in force in time.
var ErrNotConfirmed = eris.New("no leader confirms the publication in force")

// Service is a coordinator: an instance that is a member of the control group, or waits for
// a slot of it, and serves gateways, operators and backend servers.
type Service struct {
	settings settings.Coordinator
	dialer   *rpc.Dialer
	server   *rpc.Server
	log      *slog.Logger
	openLog  openLogFunc
	group    *group
	hub      *hub
	// inForce and stored encode the publication in force and that of the stored log.
	inForce, stored follow.PublicationEncoder
	usage           usageTable
	rollouts        rollouts
	paces           *paceTable
	// metrics is nil if RegisterMetrics was not called.
	metrics *metrics
	// peerClient receives announcements from the other coordinators.
	peerClient *follow.Client
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// New returns a coordinator that is not started yet.
func New(s settings.Coordinator, dialer *rpc.Dialer, server *rpc.Server, log *slog.Logger) *Service {
	return &Service{settings: s, dialer: dialer, server: server, log: log, openLog: wal.Open, hub: newHub(ServerTTL(s.AnnounceIntervalMS)),
		usage: usageTable{table: usage.NewTable(time.Now())}, rollouts: newRollouts(), paces: newPaceTable()}
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return ServiceName }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start listens for peers, joins the control group and runs in the background.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group = newGroup(s.settings, newTransport(ctx, s.dialer, s.log), s.log)
	s.group.callJoin, s.group.openLog = s.callJoin, s.openLog
	if err := wire.DRPCRegisterCoordinator(s.server.Mux(), &rpcServer{service: s}); err != nil {
		cancel()
		return eris.Wrap(err, "register the coordinator calls")
	}
	if err := wire.DRPCRegisterRolloutService(s.server.Mux(), &rolloutServer{service: s}); err != nil {
		cancel()
		return eris.Wrap(err, "register the calls for rollouts")
	}
	if err := wire.DRPCRegisterPace(s.server.Mux(), s.paces); err != nil {
		cancel()
		return eris.Wrap(err, "register the exchange of paces")
	}
	if s.settings.FirstStart && isEmptyFolder(s.settings.DataFolder) {
		s.usage.table.SetNoHistory()
	}
	if err := s.server.Listen(ctx, s.settings.PeerAddress); err != nil {
		cancel()
		return err
	}
	s.background.Go(func() { s.group.run(ctx) })
	s.background.Go(func() { s.hub.run(ctx) })
	s.background.Go(func() { s.hub.persistState(ctx, s.settings.DataFolder, s.log) })
	s.background.Go(func() { s.announcePresence(ctx) })
	if s.settings.Rollouts != nil {
		s.background.Go(func() { s.runRollouts(ctx) })
	}
	s.followPeers(ctx)
	return nil
}

// followPeers receives the announcements of the other coordinators, so that all
// directories converge.
func (s *Service) followPeers(ctx context.Context) {
	s.peerClient = follow.NewPeerClient(s.settings.Instance.ID, s.settings.PeerAddress, s.dialer, peerSink{s.hub}, s.log)
	s.peerClient.SetSeeds(ctx, s.settings.PeerSeeds())
}

// peerSink receives the announcements that backend servers make to other coordinators.
type peerSink struct{ hub *hub }

// HandleAnnouncements implements follow.Sink.
func (p peerSink) HandleAnnouncements(servers []directory.Server) { p.hub.applyFromPeer(servers) }

// HandlePublication implements follow.Sink. It does nothing, because coordinators replicate
// publications by consensus.
func (peerSink) HandlePublication(uint64, []byte) {}

// HandlePlacement implements follow.Sink. It does nothing, because gateways send placements to
// each coordinator themselves.
func (peerSink) HandlePlacement(placement.Placement) {}

// HandlePromptReport implements follow.Sink. It does nothing, because gateways send reports to
// several coordinators themselves.
func (peerSink) HandlePromptReport(quarantine.Report) {}

// HandleRollouts implements follow.Sink. It does nothing, because coordinators replicate rollouts by
// consensus.
func (peerSink) HandleRollouts([]rollout.Record, time.Duration) {}

// Revision implements follow.Sink.
func (peerSink) Revision() uint64 { return 0 }

// presenceSlot is the slot and the disk in requests that only announce a coordinator. It
// belongs to no member, so the receiver assigns no slot.
const presenceSlot = "none"

// announcePresence periodically sends the address of this coordinator to the others, so
// that they list it to gateways even if it is not a group member: backend servers may
// already announce themselves here.
func (s *Service) announcePresence(ctx context.Context) {
	for {
		for _, address := range s.group.otherCoordinators() {
			response, err := s.callJoin(ctx, address, s.group.joinRequest(presenceSlot, presenceSlot))
			if err == nil {
				s.group.addCoordinators(response.Coordinators)
			}
		}
		if !sleepContext(ctx, coordinatorTTL/4) {
			return
		}
	}
}

// SetSeeds follows the coordinators at these peer addresses, which replace those of the previous settings as a source, until
// ctx ends.
func (s *Service) SetSeeds(ctx context.Context, addresses []string) {
	s.group.addCoordinators(addresses)
	s.peerClient.SetSeeds(ctx, addresses)
}

// Stop waits for open proposals and stops this member.
func (s *Service) Stop(ctx context.Context) error {
	if node := s.group.currentNode(); node != nil {
		node.DrainProposals(ctx)
	}
	s.cancel()
	s.background.Wait()
	return nil
}

// Announce applies an announcement of a backend server.
func (s *Service) Announce(a directory.Server) directory.Effect {
	effect := s.hub.announce(a)
	s.metrics.recordAnnouncement(effect)
	if effect == directory.Changed {
		s.log.Info("backend server changed", "server", a.ID, "service", a.Service, "state", a.State.String(),
			"address", a.Address, "started_ms", a.StartedMS, "sequence", a.Sequence)
	}
	return effect
}

// Publish puts a publication in force. Accepted means that this revision or a higher one
// is durable on a quorum; after Unknown the publisher should retry.
func (s *Service) Publish(ctx context.Context, p control.Publication) control.Outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	startedAt := time.Now()
	outcome := control.Unavailable
	for {
		outcome = s.tryPublish(ctx, p)
		if outcome != control.Unavailable || !sleepContext(ctx, retryDelay) {
			break
		}
	}
	s.metrics.recordPublication(outcome, time.Since(startedAt))
	s.log.Info("publication decided", "revision", p.Revision, "bytes", len(p.Content), "outcome", outcome,
		"after_ms", time.Since(startedAt).Milliseconds(), "members", s.group.memberCount(), "wanted_members", s.settings.GroupSize())
	return outcome
}

// tryPublish proposes a publication locally or at the leader, once.
func (s *Service) tryPublish(ctx context.Context, p control.Publication) control.Outcome {
	if outcome := s.publishAtLeader(ctx, p); outcome != control.Unavailable {
		return outcome
	}
	for _, address := range s.leaderCandidates() {
		response, err := rpc.Call(ctx, s.dialer, address, callTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.PublishResponse, error) {
				return wire.NewDRPCCoordinatorClient(conn).Publish(ctx, &wire.PublishRequest{Revision: p.Revision, Content: p.Content})
			})
		var dialErr *rpc.DialError
		switch {
		case errors.As(err, &dialErr):
		case err != nil || response.Status == wire.PublishStatus_PUBLISH_UNKNOWN:
			return control.Unknown
		case response.Status == wire.PublishStatus_PUBLISH_ACCEPTED:
			return control.Accepted
		}
	}
	return control.Unavailable
}

// publishAtLeader proposes a publication at this instance. The outcome is Unavailable if it
// is not the leader, or if the group is still growing.
func (s *Service) publishAtLeader(ctx context.Context, p control.Publication) control.Outcome {
	node := s.group.currentNode()
	if node == nil || !s.group.acceptsPublications(time.Now()) {
		return control.Unavailable
	}
	return node.Publish(ctx, p)
}

// leaderCandidates returns the peer addresses to which a request for the leader is sent.
func (s *Service) leaderCandidates() []string {
	if leader := s.group.leaderAddress(); leader != "" {
		return []string{leader}
	}
	if node := s.group.currentNode(); node != nil && node.HasGroupState() {
		// A member that has no leader waits for the election.
		return nil
	}
	return s.group.otherCoordinators()
}

// Read returns the publication in force. It is at least as new as every publication that
// was accepted before the call. Read returns ErrNotConfirmed if no leader confirms it in
// time.
func (s *Service) Read(ctx context.Context) (control.Publication, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		if p, ok := s.tryRead(ctx); ok {
			return p, nil
		}
		if !sleepContext(ctx, retryDelay) {
			return control.Publication{}, ErrNotConfirmed
		}
	}
}

// tryRead reads the publication in force and reports whether a leader confirmed it.
func (s *Service) tryRead(ctx context.Context) (control.Publication, bool) {
	node := s.group.currentNode()
	if node == nil || !node.HasGroupState() {
		return control.Publication{}, false
	}
	if node.Status().Role == consensus.Leader {
		if !node.ConfirmRead(ctx) {
			return control.Publication{}, false
		}
		return node.Publication(), true
	}
	leader := s.group.leaderAddress()
	if leader == "" {
		return control.Publication{}, false
	}
	response, err := rpc.Call(ctx, s.dialer, leader, callTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.ReadRevisionResponse, error) {
			return wire.NewDRPCCoordinatorClient(conn).ReadRevision(ctx, &wire.ReadRevisionRequest{})
		})
	if err != nil || !response.Confirmed {
		return control.Publication{}, false
	}
	p, err := node.WaitRevision(ctx, response.Revision)
	return p, err == nil
}

func (s *Service) callJoin(ctx context.Context, address string, r *wire.JoinRequest) (*wire.JoinResponse, error) {
	return rpc.Call(ctx, s.dialer, address, callTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.JoinResponse, error) {
			return wire.NewDRPCCoordinatorClient(conn).Join(ctx, r)
		})
}

// rpcServer implements the RPC interface of a coordinator.
type rpcServer struct{ service *Service }

// StepGroup implements wire.DRPCCoordinatorServer.
func (r *rpcServer) StepGroup(_ context.Context, request *wire.GroupStepRequest) (*wire.GroupStepResponse, error) {
	r.service.group.receive(request.Messages)
	return &wire.GroupStepResponse{}, nil
}

// Join implements wire.DRPCCoordinatorServer.
func (r *rpcServer) Join(ctx context.Context, request *wire.JoinRequest) (*wire.JoinResponse, error) {
	response := r.service.group.handleJoin(request)
	if response.Status == wire.JoinStatus_JOIN_REPLACED {
		// A partitioned leader may not know the latest replacement.
		if node := r.service.group.currentNode(); node == nil || !node.ConfirmRead(ctx) {
			response.Status = wire.JoinStatus_JOIN_UNDECIDED
		}
	}
	return response, nil
}

// Publish implements wire.DRPCCoordinatorServer.
func (r *rpcServer) Publish(ctx context.Context, request *wire.PublishRequest) (*wire.PublishResponse, error) {
	status := wire.PublishStatus_PUBLISH_UNKNOWN
	switch r.service.publishAtLeader(ctx, control.Publication{Revision: request.Revision, Content: request.Content}) {
	case control.Accepted:
		status = wire.PublishStatus_PUBLISH_ACCEPTED
	case control.Unavailable:
		status = wire.PublishStatus_PUBLISH_UNAVAILABLE
	}
	return &wire.PublishResponse{Status: status}, nil
}

// ReadRevision implements wire.DRPCCoordinatorServer.
func (r *rpcServer) ReadRevision(ctx context.Context, _ *wire.ReadRevisionRequest) (*wire.ReadRevisionResponse, error) {
	node := r.service.group.currentNode()
	if node == nil || !node.ConfirmRead(ctx) {
		return &wire.ReadRevisionResponse{}, nil
	}
	return &wire.ReadRevisionResponse{Confirmed: true, Revision: node.Publication().Revision}, nil
}

// Place implements wire.DRPCCoordinatorServer.
func (r *rpcServer) Place(_ context.Context, request *wire.PlaceRequest) (*wire.PlaceResponse, error) {
	r.service.hub.addPlacements(request.Placements, !request.KeepOnly)
	return &wire.PlaceResponse{}, nil
}

// ReportPrompts implements wire.DRPCCoordinatorServer.
func (r *rpcServer) ReportPrompts(_ context.Context, request *wire.ReportPromptsRequest) (*wire.ReportPromptsResponse, error) {
	if dropped := r.service.hub.addPromptReports(request.Reports, time.Now()); dropped > 0 {
		r.service.log.Info("dropped uncertain prompt reports: more arrive than are forwarded", "dropped", dropped, "received", len(request.Reports))
	}
	return &wire.ReportPromptsResponse{}, nil
}

// leaderWaitTimeout limits the wait for a leader before a gateway gets the publication that
// is applied here, so that gateways in a partitioned data centre still get one.
const leaderWaitTimeout = 400 * time.Millisecond

// sendInitial waits for a leader, so that the first publication a gateway gets is the newest,
// and reports whether one has confirmed it. If this member has had no leader since its start,
// it first sends the description of its log: a gateway that has those of a majority knows the
// publication in force.
func (s *Service) sendInitial(request *wire.FollowRequest, sub *subscriber, stream wire.DRPCCoordinator_FollowStream) (confirmed bool, err error) {
	if log := s.group.unconfirmedLog(); log != nil {
		log, err := s.logForSubscriber(request, log)
		if err != nil {
			return false, err
		}
		event := &wire.FollowEvent{Coordinators: s.group.listedCoordinators(), Stored: log, PromptReports: sub.drainPromptReports()}
		event.Announcements, event.Placements = sub.drain()
		if err := stream.Send(event); err != nil {
			return false, err
		}
	}
	if s.isConfirmed(stream.Context()) {
		return true, nil
	}
	s.log.Info("no leader confirmed in time; sending the local state to a gateway as unconfirmed", "gateway", request.Instance)
	return false, nil
}

// isConfirmed reports whether a leader confirms the publication applied here within
// leaderWaitTimeout.
func (s *Service) isConfirmed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
	defer cancel()
	_, err := s.Read(ctx)
	return err == nil
}

// publicationForSubscriber returns a publication in the form that a subscriber reads.
func publicationForSubscriber(
	request *wire.FollowRequest, encoder *follow.PublicationEncoder, revision uint64, content []byte,
) (*wire.Publication, error) {
	if !request.FetchesPublications {
		return &wire.Publication{Revision: revision, Content: content}, nil
	}
	return encoder.Event(revision, content)
}

// logForSubscriber returns the description of a log with its publication in the form that a
// subscriber reads.
func (s *Service) logForSubscriber(request *wire.FollowRequest, log *wire.StoredLog) (*wire.StoredLog, error) {
	p, err := publicationForSubscriber(request, &s.stored, log.Publication.Revision, log.Publication.Content)
	if err != nil {
		return nil, err
	}
	return &wire.StoredLog{
		Publication: p, Disk: log.Disk, LastTerm: log.LastTerm, LastIndex: log.LastIndex, Disks: log.Disks,
		PublicationIndex: log.PublicationIndex, CommitIndex: log.CommitIndex,
	}, nil
}

// FetchPublication implements wire.DRPCCoordinatorServer.
func (r *rpcServer) FetchPublication(_ context.Context, request *wire.FetchPublicationRequest) (*wire.Publication, error) {
	s := r.service
	if request.Stored {
		if log := s.group.unconfirmedLog(); log != nil && log.LastTerm == request.LastTerm && log.LastIndex == request.LastIndex {
			return s.stored.Compress(log.Publication.Revision, log.Publication.Content)
		}
	} else if node := s.group.currentNode(); node != nil && node.HasGroupState() {
		if p := node.Publication(); p.Revision >= request.Revision {
			return s.inForce.Compress(p.Revision, p.Content)
		}
	}
	return &wire.Publication{}, nil
}

// Follow implements wire.DRPCCoordinatorServer.
func (r *rpcServer) Follow(request *wire.FollowRequest, stream wire.DRPCCoordinator_FollowStream) error {
	s := r.service
	sub := s.hub.subscribe(request.AnnouncementsOnly)
	defer s.hub.unsubscribe(sub)
	confirmed := false
	if !request.AnnouncementsOnly {
		s.log.Info("gateway connected", "gateway", request.Instance, "revision", request.Revision)
		var err error
		if confirmed, err = s.sendInitial(request, sub, stream); err != nil {
			return err
		}
	}
	sentRevision, sentRollouts := request.Revision, sentRollouts{}
	for {
		event := &wire.FollowEvent{Coordinators: s.group.listedCoordinators(), PromptReports: sub.drainPromptReports()}
		event.Announcements, event.Placements = sub.drain()
		var publicationChanged <-chan struct{}
		if node := s.group.currentNode(); node != nil && node.HasGroupState() && !request.AnnouncementsOnly {
			confirmed = confirmed || node.HasLeader() && s.isConfirmed(stream.Context())
			event.Confirmed = confirmed
			if s.settings.Rollouts != nil {
				event.LeaderAgeMs = uint32(s.group.leaderAge(time.Now()).Milliseconds())
			}
			var p control.Publication
			p, publicationChanged = node.PublicationAndChange()
			if p.Revision > sentRevision {
				var err error
				if event.Publication, err = publicationForSubscriber(request, &s.inForce, p.Revision, p.Content); err != nil {
					return err
				}
				sentRevision = p.Revision
			}
			// The channel was taken before, so that it is closed by any later change of a rollout.
			records, _ := node.RolloutsAndChange()
			event.Rollouts = sentRollouts.changed(records, time.Now())
		}
		if err := stream.Send(event); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-publicationChanged:
		case <-sub.changed:
		case <-sub.periodic:
		}
	}
}
