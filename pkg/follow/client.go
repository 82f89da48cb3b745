// Package follow is the client side of the streams that coordinators send to gateways and
// to each other: the publication in force, announcements of backend servers, placements
// of runs and the addresses of coordinators.
package follow

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/quarantine"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// HeartbeatInterval is the maximum interval between two events of a coordinator, which
	// sends an empty one if need be.
	HeartbeatInterval = 400 * time.Millisecond
	// MinRenewalInterval is the minimum interval between two events to a gateway that renew the
	// announcement of one backend server without a change. The number of renewals grows
	// with servers times gateways; at 1,000 servers they made up nearly all control
	// traffic. Changes are sent immediately.
	MinRenewalInterval = 8 * time.Second
	// streamTimeout ends a stream after three missed heartbeats: a connection can stop
	// carrying data for good while new connections work.
	streamTimeout = 3*HeartbeatInterval + 100*time.Millisecond
	// firstEventTimeout bounds the wait for the first event, for which the coordinator
	// may have to ask the leader.
	firstEventTimeout = 2 * time.Second
)

// errSilentCoordinator ends a stream on which no whole event arrived in time.
var errSilentCoordinator = eris.New("no whole event arrived in time")

// Sink receives the content of the streams. Its methods may be called concurrently.
type Sink interface {
	// HandlePublication receives a publication, which may be older than the one in force.
	HandlePublication(revision uint64, content []byte)
	// HandleAnnouncements receives announcements of backend servers.
	HandleAnnouncements(servers []directory.Server)
	// HandlePlacement receives the placement of a run: which engine has its prompt cached.
	HandlePlacement(p placement.Placement)
	// HandlePromptReport receives what became of an engine as it began to answer a prompt.
	HandlePromptReport(r quarantine.Report)
	// HandleRollouts receives rollouts, which may be older than those that are known, and the time since a
	// leader last confirmed to the coordinator that it leads. It is called with each event, mostly without
	// rollouts.
	HandleRollouts(records []rollout.Record, leaderAge time.Duration)
	// Revision returns the revision in force, 0 if there is none.
	Revision() uint64
}

// Client follows the coordinators that the settings and other coordinators list.
type Client struct {
	instance string
	// selfAddress is the peer address of the coordinator that runs this client, empty at a
	// gateway.
	selfAddress string
	dialer      *rpc.Dialer
	sink        Sink
	log         *slog.Logger

	// mu guards roster, recovery, unconfirmed and offers.
	mu          sync.Mutex
	roster      roster
	recovery    recovery
	unconfirmed unconfirmedPublications
	offers      publicationOffers

	placements    chan *wire.Placement
	promptReports chan *wire.PromptReport
	// usageChanged asks for an exchange of the usage.
	usageChanged chan struct{}
}

// NewClient returns a client that follows no coordinator yet.
func NewClient(instance string, dialer *rpc.Dialer, sink Sink, log *slog.Logger) *Client {
	return &Client{
		instance: instance, dialer: dialer, sink: sink, log: log, roster: roster{coordinators: map[string]*coordinatorState{}},
		offers:     publicationOffers{revisions: map[string]uint64{}},
		placements: make(chan *wire.Placement, maxQueuedPlacements), promptReports: make(chan *wire.PromptReport, maxQueuedPromptReports),
		usageChanged: make(chan struct{}, 1),
	}
}

// NewPeerClient returns a client for a coordinator that follows the other coordinators;
// selfAddress is the peer address of the coordinator itself, which is not followed.
func NewPeerClient(instance, selfAddress string, dialer *rpc.Dialer, sink Sink, log *slog.Logger) *Client {
	c := NewClient(instance, dialer, sink, log)
	c.selfAddress = selfAddress
	return c
}

// SetSeeds replaces the coordinators that the settings list, by their peer addresses, and follows them until ctx ends.
func (c *Client) SetSeeds(ctx context.Context, addresses []string) {
	c.mu.Lock()
	c.roster.seeds = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == c.selfAddress })
	c.mu.Unlock()
	c.Add(ctx, addresses)
}

// Add follows the coordinators at these peer addresses, which a coordinator lists, until ctx ends.
func (c *Client) Add(ctx context.Context, addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, address := range addresses {
		if address == c.selfAddress {
			continue
		}
		if s := c.roster.list(address, now); s != nil {
			go c.maintainStream(ctx, address, s)
		}
	}
}

// CountCoordinators returns the number of coordinators whose last event is not older than maxAge,
// and the number of those that are expected to exist.
func (c *Client) CountCoordinators(now time.Time, maxAge time.Duration) (recent, expected int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.roster.coordinators {
		if now.Sub(s.lastEventAt) <= maxAge {
			recent++
		}
	}
	return recent, c.roster.count(now)
}

// maintainStream keeps a stream to a coordinator open until ctx ends or the coordinator
// expires.
func (c *Client) maintainStream(ctx context.Context, address string, s *coordinatorState) {
	for ctx.Err() == nil {
		err := c.receiveStream(ctx, address, s)
		c.dialer.Invalidate(address)
		now := time.Now()
		c.mu.Lock()
		c.recovery.remove(address)
		c.unconfirmed.remove(address)
		delete(c.offers.revisions, address)
		wasConnected, expired := s.connected, c.roster.isExpired(s, now)
		c.roster.recordFailure(s, now)
		if expired {
			delete(c.roster.coordinators, address)
		}
		addedSeeds := c.roster.addForgottenSeeds(now)
		delay := s.reconnectDelay(now)
		c.mu.Unlock()
		for address, s := range addedSeeds {
			c.log.Warn("all coordinators are silent; following one of the settings again", "coordinator", address)
			go c.maintainStream(ctx, address, s)
		}
		if wasConnected && ctx.Err() == nil {
			c.log.Warn("stream of a coordinator ended", "coordinator", address, "error", err)
		}
		if expired {
			c.log.Info("coordinator expired", "coordinator", address)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// receiveStream receives the events of one stream until it fails or times out.
func (c *Client) receiveStream(parent context.Context, address string, s *coordinatorState) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := time.AfterFunc(firstEventTimeout, func() { cancel(errSilentCoordinator) })
	defer watchdog.Stop()
	events, err := wire.NewDRPCCoordinatorClient(c.dialer.Conn(address)).Follow(ctx, &wire.FollowRequest{
		Instance: c.instance, Revision: c.sink.Revision(), AnnouncementsOnly: c.selfAddress != "",
		FetchesPublications: c.selfAddress == "",
	})
	if err != nil {
		return streamError(ctx, err)
	}
	defer events.Close()
	for {
		event, err := events.Recv()
		if err != nil {
			return streamError(ctx, err)
		}
		watchdog.Reset(streamTimeout)
		c.recordEvent(address, s)
		c.handleEvent(parent, address, event)
	}
}

// streamError returns the cause of a stream's end: err, or the reason for which ctx was cancelled.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// recordEvent records the arrival of an event from a coordinator.
func (c *Client) recordEvent(address string, s *coordinatorState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.connected {
		c.log.Info("stream of a coordinator opened", "coordinator", address)
	}
	c.roster.recordEvent(s, time.Now())
}

// handleEvent passes the content of an event to the sink.
func (c *Client) handleEvent(ctx context.Context, address string, event *wire.FollowEvent) {
	if len(event.Announcements) > 0 {
		c.sink.HandleAnnouncements(c.decodeAnnouncements(address, event.Announcements))
	}
	for _, p := range event.Placements {
		c.sink.HandlePlacement(placement.Placement{
			Subject: p.Subject, Server: p.Server, Backup: p.Backup, PromptCopied: p.Copied,
			Age: time.Duration(p.AgeMs) * time.Millisecond,
		})
	}
	for _, r := range event.PromptReports {
		c.sink.HandlePromptReport(decodePromptReport(r))
	}
	if len(event.Coordinators) > 0 {
		c.Add(ctx, event.Coordinators)
	}
	c.sink.HandleRollouts(DecodeRollouts(event.Rollouts, time.Now()), time.Duration(event.LeaderAgeMs)*time.Millisecond)
	// The publication is passed on last: requests that wait for it need the backend
	// servers, placements and rollouts of the same event.
	if p, holder := c.publicationToAdopt(address, event, time.Now()); p != nil {
		c.adopt(ctx, holder, p, nil)
	}
	if log := event.Stored; log != nil && c.sink.Revision() == 0 {
		c.mu.Lock()
		latest, holder := c.recovery.record(address, log)
		c.mu.Unlock()
		if latest != nil {
			c.log.Info("recovered the newest publication of a majority of logs", "revision", latest.Publication.Revision, "coordinator", holder,
				"last_term", latest.LastTerm, "last_index", latest.LastIndex, "publication_index", latest.PublicationIndex)
			c.adopt(ctx, holder, latest.Publication, latest)
		}
	}
}

// decodeAnnouncements returns the valid ones of the announcements that a coordinator sent.
func (c *Client) decodeAnnouncements(coordinator string, announcements []*wire.Announcement) []directory.Server {
	now := time.Now()
	servers := make([]directory.Server, 0, len(announcements))
	for _, a := range announcements {
		s, err := DecodeAnnouncement(a, now)
		if err != nil {
			c.log.Warn("skipped an announcement of a coordinator", "coordinator", coordinator, "server", a.Id, "error", err)
			continue
		}
		servers = append(servers, s)
	}
	return servers
}

// publicationToAdopt returns the publication to adopt after an event and the coordinator that holds
// it, nil if there is none. A gateway without a configuration does not take an unconfirmed
// publication as long as it reaches most coordinators: a leader among them will confirm one, and if
// there is none because too many disks are lost, an accepted one may be missing.
func (c *Client) publicationToAdopt(address string, event *wire.FollowEvent, now time.Time) (p *wire.Publication, holder string) {
	if c.sink.Revision() > 0 {
		return event.Publication, address
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := event.Publication; p != nil {
		c.unconfirmed.add(address, p, now)
	}
	if event.Confirmed {
		return c.unconfirmed.of(address), address
	}
	connected := len(c.connectedAddressesLocked())
	expected := c.roster.count(now)
	if 2*connected > expected {
		return nil, ""
	}
	p, holder = c.unconfirmed.newest(now)
	if p != nil {
		c.log.Warn("most coordinators are out of reach; taking an unconfirmed publication", "revision", p.Revision,
			"connected", connected, "expected", expected)
	}
	return p, holder
}

const (
	// placementBatchInterval is the time over which placements are collected for one call.
	// A caller whose gateway failed takes longer than this to reconnect.
	placementBatchInterval = 50 * time.Millisecond
	// maxQueuedPlacements bounds the queued placements; further ones are dropped.
	maxQueuedPlacements = 128
	// placeTimeout bounds one call that sends placements to a coordinator.
	placeTimeout = 500 * time.Millisecond
	// maxPlacementTargets bounds the coordinators that a placement is sent to.
	maxPlacementTargets = 3
)

// AnnouncePlacement announces to the other gateways which engine has the prompt of a run cached.
// It does not block, and drops the placement if the queue is full.
func (c *Client) AnnouncePlacement(p placement.Placement) {
	select {
	case c.placements <- &wire.Placement{Subject: p.Subject, Server: p.Server, Backup: p.Backup, Copied: p.PromptCopied}:
	default:
	}
}

// RunPlacements sends queued placements until ctx ends.
func (c *Client) RunPlacements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.placements:
			c.sendPlacements(ctx, first)
		}
	}
}

// sendPlacements collects placements for placementBatchInterval, starting with first, and
// sends them.
func (c *Client) sendPlacements(ctx context.Context, first *wire.Placement) {
	request := &wire.PlaceRequest{Placements: []*wire.Placement{first}}
	select {
	case <-ctx.Done():
		return
	case <-time.After(placementBatchInterval):
	}
	for len(c.placements) > 0 {
		request.Placements = append(request.Placements, <-c.placements)
	}
	// The first coordinator forwards them to the gateways; all store them for gateways
	// that connect later.
	for i, address := range c.connectedCoordinators() {
		request.KeepOnly = i > 0
		_, err := rpc.Call(ctx, c.dialer, address, placeTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.PlaceResponse, error) {
				return wire.NewDRPCCoordinatorClient(conn).Place(ctx, request)
			})
		if err != nil {
			c.log.Warn("failed to send placements", "coordinator", address, "count", len(request.Placements), "error", err)
		}
	}
}

// connectedCoordinators returns up to maxPlacementTargets coordinators with an open stream, the one with the
// latest event first.
func (c *Client) connectedCoordinators() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	connected := c.connectedAddressesLocked()
	slices.SortFunc(connected, func(a, b string) int {
		return c.roster.coordinators[b].lastEventAt.Compare(c.roster.coordinators[a].lastEventAt)
	})
	return connected[:min(len(connected), maxPlacementTargets)]
}

// connectedAddressesLocked returns the addresses of the coordinators with an open stream in no order; c.mu is held.
func (c *Client) connectedAddressesLocked() (connected []string) {
	for address, s := range c.roster.coordinators {
		if s.connected {
			connected = append(connected, address)
		}
	}
	return connected
}
