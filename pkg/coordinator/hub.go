package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// hub keeps the directory of backend servers and forwards announcements and placements to
// its subscribers, which are gateways and other coordinators. Changes are sent immediately,
// renewals with the next periodic wake-up.
type hub struct {
	// writeFile replaces the content of a file; it is writeFileSynced but in tests.
	writeFile func(file string, data []byte) error

	mu          sync.Mutex
	servers     *directory.Directory
	subscribers map[*subscriber]bool
	// recentPlacements are sent to gateways that connect.
	recentPlacements []recentPlacement
	// recentReports are sent to gateways that connect. uncertainReports bounds the rate of uncertain ones.
	recentReports    []recentReport
	uncertainReports *rate.Limiter
	// updates counts the received announcements, placements and prompt reports.
	updates int
	// lastAnnouncedAt holds the time at which each server was last announced to gateways.
	lastAnnouncedAt map[string]time.Time
	// recorded holds, by ID, the last state of each server that was put on enough disks (see Withdraw).
	recorded map[string]withdrawal
	// lastWrite is the last attempt to write the state to the disk.
	lastWrite stateWrite
	// writeSoon asks for a write before the end of the interval.
	writeSoon chan struct{}
}

// stateWrite is an attempt to write the state to the disk.
type stateWrite struct {
	// attempted is the number of updates in the state that was to be written, and stored the number in the
	// latest state that is on the disk.
	attempted, stored int
	err               error
	// next is closed at the end of the next attempt.
	next chan struct{}
}

// recentPlacement is a placement and the time of its arrival. It is also stored in a file.
type recentPlacement struct {
	Placement  *wire.Placement `json:"placement"`
	ReceivedAt time.Time       `json:"at"`
}

// subscriber is the send queue of one gateway or coordinator.
type subscriber struct {
	hub *hub
	// isCoordinator is set for another coordinator, which receives only announcements
	// that backend servers made to this one.
	isCoordinator bool
	// pending holds the latest announcement of each server with unsent changes, by ID.
	pending map[string]directory.Server
	// placements are the unsent placements, at most maxPlacements.
	placements []*wire.Placement
	// promptReports are the unsent prompt reports, at most maxReports.
	promptReports []*wire.PromptReport
	// changed wakes the sender for changes, placements and prompt reports, periodic for renewals.
	changed, periodic chan struct{}
}

func newHub(serverTTL time.Duration) *hub {
	return &hub{writeFile: writeFileSynced, servers: directory.New(serverTTL), subscribers: map[*subscriber]bool{},
		lastAnnouncedAt: map[string]time.Time{}, recorded: map[string]withdrawal{}, writeSoon: make(chan struct{}, 1),
		uncertainReports: rate.NewLimiter(maxUncertainRate, maxUncertainBurst),
		lastWrite:        stateWrite{next: make(chan struct{})}}
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

// enqueue adds the state of a server to the queues of the subscribers. Gateways get changes
// and, at most once per follow.MinRenewalInterval, renewals. Coordinators get only what
// backend servers announced to this one (fromPeer is false). h.mu is held.
func (h *hub) enqueue(id string, effect directory.Effect, fromPeer bool) {
	server, _ := h.servers.Lookup(id)
	now := time.Now()
	due := effect == directory.Changed || now.Sub(h.lastAnnouncedAt[id]) >= follow.MinRenewalInterval
	if due {
		h.lastAnnouncedAt[id] = now
	}
	for sub := range h.subscribers {
		if sub.isCoordinator && fromPeer || !sub.isCoordinator && !due {
			continue
		}
		sub.pending[id] = server
		if effect == directory.Changed {
			wake(sub.changed)
		}
	}
}

// subscribe returns a new subscriber whose queue holds the state of all servers and, for
// gateways only, the recent placements.
func (h *hub) subscribe(isCoordinator bool) *subscriber {
	h.mu.Lock()
	defer h.mu.Unlock()
	sub := &subscriber{
		hub: h, isCoordinator: isCoordinator, pending: map[string]directory.Server{}, changed: make(chan struct{}, 1), periodic: make(chan struct{}, 1),
	}
	h.enqueueState(sub)
	h.subscribers[sub] = true
	return sub
}

// enqueueState adds the state of all servers to the queue of a subscriber and, for gateways only, the
// recent placements and prompt reports. h.mu is held.
func (h *hub) enqueueState(sub *subscriber) {
	for _, s := range h.servers.Servers() {
		sub.pending[s.ID] = s
	}
	if sub.isCoordinator {
		return
	}
	now := time.Now()
	for _, r := range h.recentReports {
		sub.promptReports = append(sub.promptReports, r.withAge(now))
	}
	for _, r := range h.recentPlacements {
		if age := now.Sub(r.ReceivedAt); age < placement.PromptLocationTTL {
			p := r.Placement
			sub.placements = append(sub.placements, &wire.Placement{
				Subject: p.Subject, Server: p.Server, Backup: p.Backup, Copied: p.Copied,
				AgeMs: uint32(max(0, age.Milliseconds())),
			})
		}
	}
}

// serversOf returns the announcements of the servers of a service that have not ended.
func (h *hub) serversOf(service string) []directory.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers.EntriesOf(service)
}

// gatewayCount returns the number of connected gateways.
func (h *hub) gatewayCount() (gateways int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for f := range h.subscribers {
		if !f.isCoordinator {
			gateways++
		}
	}
	return gateways
}

func (h *hub) unsubscribe(sub *subscriber) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscribers, sub)
}

// maxPlacements limits the recent placements, and those that wait for one gateway.
// Placements only save work, so excess ones are dropped.
const maxPlacements = 256

// addPlacements stores the most recent placements for gateways that connect later: callers
// also reconnect to gateways that have just started. It forwards the placements to all
// connected gateways if broadcast is set.
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
	for sub := range h.subscribers {
		if sub.isCoordinator {
			continue
		}
		capacity := max(0, maxPlacements-len(sub.placements))
		sub.placements = append(sub.placements, placements[:min(capacity, len(placements))]...)
		wake(sub.changed)
	}
}

// drain returns the queued announcements and placements and empties the queue.
func (sub *subscriber) drain() ([]*wire.Announcement, []*wire.Placement) {
	sub.hub.mu.Lock()
	defer sub.hub.mu.Unlock()
	placements := sub.placements
	sub.placements = nil
	announcements := make([]*wire.Announcement, 0, len(sub.pending))
	for _, s := range sub.pending {
		announcements = append(announcements, follow.EncodeAnnouncement(s))
	}
	clear(sub.pending)
	return announcements, placements
}

// run periodically wakes the subscribers and removes expired servers until ctx ends.
func (h *hub) run(ctx context.Context) {
	for sleepContext(ctx, follow.HeartbeatInterval) {
		h.mu.Lock()
		for _, s := range h.servers.Expire(time.Now()) {
			delete(h.lastAnnouncedAt, s.ID)
		}
		h.forgetRecorded()
		for sub := range h.subscribers {
			wake(sub.periodic)
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
