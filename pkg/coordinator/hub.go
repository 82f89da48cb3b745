package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// hub keeps the directory of backend servers and forwards announcements and placements to
// its followers, which are gateways and other coordinators. Changes are sent immediately,
// renewals with the next periodic wake-up.
type hub struct {
	mu        sync.Mutex
	servers   *directory.Directory
	followers map[*follower]bool
	// recentPlacements are sent to gateways that connect.
	recentPlacements []recentPlacement
	// updates counts the received announcements and placements.
	updates int
	// renewalSentAt holds the time at which each server was last announced to gateways.
	renewalSentAt map[string]time.Time
}

// recentPlacement is a placement and the time of its arrival. It is also stored in a file.
type recentPlacement struct {
	Placement *wire.Placement `json:"placement"`
	At        time.Time       `json:"at"`
}

// follower is the send queue of one gateway or coordinator.
type follower struct {
	hub *hub
	// isCoordinator is set for another coordinator, which receives only announcements
	// that backend servers made to this one.
	isCoordinator bool
	// pending holds the latest announcement of each server with unsent changes, by ID.
	pending map[string]directory.Server
	// placements are the unsent placements, at most maxPlacements.
	placements []*wire.Placement
	// changed wakes the sender for changes and placements, periodic for renewals.
	changed, periodic chan struct{}
}

func newHub(serverTTL time.Duration) *hub {
	return &hub{servers: directory.New(serverTTL), followers: map[*follower]bool{}, renewalSentAt: map[string]time.Time{}}
}

// announce applies an announcement that a backend server made to this coordinator.
func (h *hub) announce(s directory.Server) directory.Effect {
	h.mu.Lock()
	defer h.mu.Unlock()
	effect, _ := h.servers.Apply(s, time.Now())
	if effect == directory.Stale {
		return effect
	}
	h.updates++
	h.enqueue(s.ID, effect, false)
	return effect
}

// applyFromPeer applies announcements that another coordinator received, so that gateways
// that connect here get the backend servers of all coordinators. Gateways receive renewals
// from the other coordinator as well, so only changes are forwarded, for gateways that
// cannot reach it.
func (h *hub) applyFromPeer(servers []directory.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, s := range servers {
		effect, _ := h.servers.Apply(s, now)
		if effect != directory.Stale {
			h.updates++
		}
		if effect == directory.Changed {
			h.enqueue(s.ID, effect, true)
		}
	}
}

// enqueue adds the state of a server to the queues of the followers; h.mu is held.
func (h *hub) enqueue(id string, effect directory.Effect, fromPeer bool) {
	server, _ := h.servers.Lookup(id)
	now := time.Now()
	due := effect == directory.Changed || now.Sub(h.renewalSentAt[id]) >= follow.MinRenewalInterval
	if due {
		h.renewalSentAt[id] = now
	}
	for f := range h.followers {
		if f.isCoordinator && fromPeer || !f.isCoordinator && !due {
			continue
		}
		f.pending[id] = server
		if effect == directory.Changed {
			wake(f.changed)
		}
	}
}

// subscribe returns a new follower whose queue holds the state of all servers and, for
// gateways only, the recent placements.
func (h *hub) subscribe(isCoordinator bool) *follower {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := &follower{
		hub: h, isCoordinator: isCoordinator, pending: map[string]directory.Server{}, changed: make(chan struct{}, 1), periodic: make(chan struct{}, 1),
	}
	for _, s := range h.servers.Servers() {
		f.pending[s.ID] = s
	}
	h.followers[f] = true
	if isCoordinator {
		return f
	}
	now := time.Now()
	for _, r := range h.recentPlacements {
		if age := now.Sub(r.At); age < placement.PromptLocationTTL {
			p := r.Placement
			f.placements = append(f.placements, &wire.Placement{
				Subject: p.Subject, Server: p.Server, Backup: p.Backup, Copied: p.Copied,
				AgeMs: uint32(max(0, age.Milliseconds())),
			})
		}
	}
	return f
}

// gatewayCount returns the number of connected gateways.
func (h *hub) gatewayCount() (gateways int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for f := range h.followers {
		if !f.isCoordinator {
			gateways++
		}
	}
	return gateways
}

func (h *hub) unsubscribe(f *follower) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.followers, f)
}

// maxPlacements limits the recent placements, and those that wait for one gateway.
// Placements only save work, so excess ones are dropped.
const maxPlacements = 256

// addPlacements stores the most recent placements, because callers also reconnect to
// gateways that have just started, and forwards them to all gateways if broadcast is set.
func (h *hub) addPlacements(placements []*wire.Placement, broadcast bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, p := range placements {
		h.recentPlacements = append(h.recentPlacements, recentPlacement{p, now})
		h.updates++
	}
	h.recentPlacements = slices.Delete(h.recentPlacements, 0, max(0, len(h.recentPlacements)-maxPlacements))
	if !broadcast {
		return
	}
	for f := range h.followers {
		if f.isCoordinator {
			continue
		}
		capacity := max(0, maxPlacements-len(f.placements))
		f.placements = append(f.placements, placements[:min(capacity, len(placements))]...)
		wake(f.changed)
	}
}

// drain returns the queued announcements and placements and empties the queue.
func (f *follower) drain() ([]*wire.Announcement, []*wire.Placement) {
	f.hub.mu.Lock()
	defer f.hub.mu.Unlock()
	placements := f.placements
	f.placements = nil
	announcements := make([]*wire.Announcement, 0, len(f.pending))
	for _, s := range f.pending {
		announcements = append(announcements, follow.EncodeAnnouncement(s))
	}
	clear(f.pending)
	return announcements, placements
}

// run periodically wakes the followers and removes expired servers until ctx ends.
func (h *hub) run(ctx context.Context) {
	for sleep(ctx, follow.HeartbeatInterval) {
		h.mu.Lock()
		for _, s := range h.servers.Expire(time.Now()) {
			delete(h.renewalSentAt, s.ID)
		}
		for f := range h.followers {
			wake(f.periodic)
		}
		h.mu.Unlock()
	}
}

// wake signals c without blocking; c has a buffer of one.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
