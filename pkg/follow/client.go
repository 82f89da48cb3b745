package follow

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// Beat is the interval at which a coordinator sends at least an empty event.
	Beat = 400 * time.Millisecond
	// RenewalPause is the least time between two renewals of one backend server to a
	// gateway. Renewals grow with servers times gateways, and were nearly all bytes of
	// control at 1,000 servers; changes are told at once.
	RenewalPause = 8 * time.Second
	// silence ends a stream after three missed beats: a connection can go silent
	// for good while new ones work.
	silence = 3*Beat + 100*time.Millisecond
	// firstEventLimit bounds the wait for the first event, for which the
	// coordinator may ask the leader.
	firstEventLimit = 2 * time.Second
	// redialPause is the wait before a failed stream is opened again.
	redialPause = 60 * time.Millisecond
	// forgetAfter ends the attempts at a coordinator that is named by no one.
	forgetAfter = 20 * time.Second
)

// Sink takes what the streams bring. Calls may come from several goroutines.
type Sink interface {
	Publication(revision uint64, content []byte)
	Announcements(servers []directory.Server)
	// Placed tells which engine has the prompt of a run in its memory.
	Placed(p placement.Placement)
	// Revision returns the revision in force here.
	Revision() uint64
}

// Client follows all coordinators that it hears of.
type Client struct {
	instance string
	// self is the own peer address of a coordinator, empty at a gateway.
	self   string
	dialer *rpc.Dialer
	sink   Sink
	log    *slog.Logger

	mu        sync.Mutex
	following map[string]*stream
	recovery  recovery

	placements chan *wire.Placement
}

// stream is the state of one followed coordinator.
type stream struct {
	// named is when the settings or a coordinator named it last.
	named time.Time
	// heard is when the last event came.
	heard time.Time
	up    bool
}

// NewClient returns a client that follows no one.
func NewClient(instance string, dialer *rpc.Dialer, sink Sink, log *slog.Logger) *Client {
	return &Client{
		instance: instance, dialer: dialer, sink: sink, log: log, following: map[string]*stream{},
		placements: make(chan *wire.Placement, placeQueue),
	}
}

// NewPeerClient returns a client of a coordinator that follows the others; self is
// its own peer address.
func NewPeerClient(instance, self string, dialer *rpc.Dialer, sink Sink, log *slog.Logger) *Client {
	c := NewClient(instance, dialer, sink, log)
	c.self = self
	return c
}

// Add follows the coordinators at these peer addresses until ctx ends.
func (c *Client) Add(ctx context.Context, addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		if address == c.self {
			continue
		}
		if s, ok := c.following[address]; ok {
			s.named = time.Now()
			continue
		}
		s := &stream{named: time.Now()}
		c.following[address] = s
		go c.run(ctx, address, s)
	}
}

// Fresh returns how many coordinators were heard of within a time, and how many
// are known.
func (c *Client) Fresh(now time.Time, within time.Duration) (fresh, known int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.following {
		if now.Sub(s.heard) <= within {
			fresh++
		}
	}
	return fresh, len(c.following)
}

func (c *Client) run(ctx context.Context, address string, s *stream) {
	for ctx.Err() == nil {
		err := c.follow(ctx, address, s)
		c.dialer.Drop(address)
		c.mu.Lock()
		c.recovery.forget(address)
		wasUp, expired := s.up, time.Since(s.named) > forgetAfter
		s.up = false
		if expired {
			delete(c.following, address)
		}
		c.mu.Unlock()
		if wasUp && ctx.Err() == nil {
			c.log.Warn("lost the stream of a coordinator", "coordinator", address, "error", err)
		}
		if expired {
			c.log.Info("forgot a coordinator that no one names", "coordinator", address)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// follow reads one stream until it fails or falls silent.
func (c *Client) follow(root context.Context, address string, s *stream) error {
	ctx, cancel := context.WithCancel(root)
	defer cancel()
	watchdog := time.AfterFunc(firstEventLimit, cancel)
	defer watchdog.Stop()
	events, err := wire.NewDRPCCoordinatorClient(c.dialer.Conn(address)).Follow(ctx, &wire.FollowRequest{
		Instance: c.instance, Revision: c.sink.Revision(), AnnouncementsOnly: c.self != "",
	})
	if err != nil {
		return err
	}
	defer events.Close()
	for {
		event, err := events.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(silence)
		c.noteUp(address, s)
		c.take(root, address, event)
	}
}

func (c *Client) noteUp(address string, s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.up {
		c.log.Info("follows a coordinator", "coordinator", address)
	}
	now := time.Now()
	s.up, s.named, s.heard = true, now, now
}

func (c *Client) take(ctx context.Context, address string, event *wire.FollowEvent) {
	if len(event.Announcements) > 0 {
		servers := make([]directory.Server, 0, len(event.Announcements))
		for _, a := range event.Announcements {
			if s, ok := Decode(a); ok {
				servers = append(servers, s)
			}
		}
		c.sink.Announcements(servers)
	}
	for _, p := range event.Placements {
		c.sink.Placed(placement.Placement{
			Subject: p.Subject, Server: p.Server, Backup: p.Backup, Copied: p.Copied,
			Age: time.Duration(p.AgeMs) * time.Millisecond,
		})
	}
	if len(event.Coordinators) > 0 {
		c.Add(ctx, event.Coordinators)
	}
	// The publication comes last: requests that wait for it need the rest.
	if p := event.Publication; p != nil {
		c.sink.Publication(p.Revision, p.Content)
	}
	if p := event.Stored; p != nil && c.sink.Revision() == 0 {
		c.mu.Lock()
		newest := c.recovery.note(address, p, int(event.GroupSlots))
		c.mu.Unlock()
		if newest != nil {
			c.log.Info("takes the newest publication of a majority of logs", "revision", newest.Revision)
			c.sink.Publication(newest.Revision, newest.Content)
		}
	}
}

const (
	// placeInterval collects placements for one call; a caller needs more time
	// than this to come back after its gateway failed.
	placeInterval = 50 * time.Millisecond
	// placeQueue bounds the placements that wait; those beyond it are dropped.
	placeQueue = 128
	placeLimit = 500 * time.Millisecond
	// maxPlaceCalls bounds the coordinators that get a placement.
	maxPlaceCalls = 3
)

// Place tells the other gateways where the prompt of a run is in memory. It does
// not wait and may drop placements.
func (c *Client) Place(p placement.Placement) {
	select {
	case c.placements <- &wire.Placement{Subject: p.Subject, Server: p.Server, Backup: p.Backup, Copied: p.Copied}:
	default:
	}
}

// RunPlacements sends placements until ctx ends.
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

func (c *Client) sendPlacements(ctx context.Context, first *wire.Placement) {
	request := &wire.PlaceRequest{Placements: []*wire.Placement{first}}
	select {
	case <-ctx.Done():
		return
	case <-time.After(placeInterval):
	}
	for len(c.placements) > 0 {
		request.Placements = append(request.Placements, <-c.placements)
	}
	// One coordinator passes them on, the others keep them for gateways that start.
	for i, address := range c.freshest() {
		request.KeepOnly = i > 0
		_, err := rpc.Call(ctx, c.dialer, address, placeLimit,
			func(ctx context.Context, conn drpc.Conn) (*wire.PlaceResponse, error) {
				return wire.NewDRPCCoordinatorClient(conn).Place(ctx, request)
			})
		if err != nil {
			c.log.Warn("placements were lost", "coordinator", address, "count", len(request.Placements), "error", err)
		}
	}
}

// freshest returns the coordinators with an open stream, the one that was heard
// of last first.
func (c *Client) freshest() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []string
	for address, s := range c.following {
		if s.up {
			open = append(open, address)
		}
	}
	slices.SortFunc(open, func(a, b string) int { return c.following[b].heard.Compare(c.following[a].heard) })
	return open[:min(len(open), maxPlaceCalls)]
}
