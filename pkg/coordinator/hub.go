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

// hub passes announcements on to the following gateways. Changes leave at once,
// renewals with the next beat.
type hub struct {
	mu        sync.Mutex
	servers   *directory.Directory
	followers map[*follower]bool
	// recent are the last placements, for gateways that start.
	recent []recentPlacement
	// noted counts announcements and placements.
	noted int
	// renewed is when gateways were told last that a server is still there.
	renewed map[string]time.Time
}

// recentPlacement is a placement and when it came. It is also kept in a file.
type recentPlacement struct {
	Placement *wire.Placement `json:"placement"`
	At        time.Time       `json:"at"`
}

// follower is the queue of one gateway.
type follower struct {
	hub *hub
	// peer tells that it is a coordinator: it gets only what is announced here.
	peer    bool
	pending map[string]directory.Server
	// placements wait to be sent, at most maxPlacements.
	placements []*wire.Placement
	// urgent wakes the sender for changes, beat for renewals.
	urgent, beat chan struct{}
}

func newHub(life time.Duration) *hub {
	return &hub{servers: directory.New(life), followers: map[*follower]bool{}, renewed: map[string]time.Time{}}
}

func (h *hub) announce(s directory.Server) directory.Effect {
	h.mu.Lock()
	defer h.mu.Unlock()
	effect, _ := h.servers.Apply(s, time.Now())
	if effect == directory.Stale {
		return effect
	}
	h.noted++
	h.queue(s.ID, effect, false)
	return effect
}

// learn takes announcements that another coordinator heard. Gateways hear of them
// there, too, so only changes are passed on: a gateway may be cut off from that
// coordinator. It answers gateways that start: without it, each coordinator would
// know only the backend servers that announce themselves to it.
func (h *hub) learn(servers []directory.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, s := range servers {
		effect, _ := h.servers.Apply(s, now)
		if effect != directory.Stale {
			h.noted++
		}
		if effect == directory.Changed {
			h.queue(s.ID, effect, true)
		}
	}
}

// queue puts the state of a server into the queues of the followers; h.mu is held.
func (h *hub) queue(id string, effect directory.Effect, heardElsewhere bool) {
	current, _ := h.servers.Lookup(id)
	now := time.Now()
	due := effect == directory.Changed || now.Sub(h.renewed[id]) >= follow.RenewalPause
	if due {
		h.renewed[id] = now
	}
	for f := range h.followers {
		if f.peer && heardElsewhere || !f.peer && !due {
			continue
		}
		f.pending[id] = current
		if effect == directory.Changed {
			wake(f.urgent)
		}
	}
}

// subscribe returns a queue that starts with all that is known; placements are for
// gateways only.
func (h *hub) subscribe(peer bool) *follower {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := &follower{
		hub: h, peer: peer, pending: map[string]directory.Server{}, urgent: make(chan struct{}, 1), beat: make(chan struct{}, 1),
	}
	for _, s := range h.servers.All() {
		f.pending[s.ID] = s
	}
	h.followers[f] = true
	if peer {
		return f
	}
	now := time.Now()
	for _, r := range h.recent {
		if age := now.Sub(r.At); age < placement.MemoryLife {
			p := r.Placement
			f.placements = append(f.placements, &wire.Placement{
				Subject: p.Subject, Server: p.Server, Backup: p.Backup, Copied: p.Copied,
				AgeMs: uint32(max(0, age.Milliseconds())),
			})
		}
	}
	return f
}

// count returns the number of following gateways.
func (h *hub) count() (gateways int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for f := range h.followers {
		if !f.peer {
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

// maxPlacements bounds the placements that wait for one gateway. They only save
// work, so those beyond it are dropped.
const maxPlacements = 256

// place keeps the last placements, since callers come back to a gateway that has
// just started, too, and passes them on to all gateways if asked.
func (h *hub) place(placements []*wire.Placement, passOn bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, p := range placements {
		h.recent = append(h.recent, recentPlacement{p, now})
		h.noted++
	}
	h.recent = slices.Delete(h.recent, 0, max(0, len(h.recent)-maxPlacements))
	if !passOn {
		return
	}
	for f := range h.followers {
		if f.peer {
			continue
		}
		room := max(0, maxPlacements-len(f.placements))
		f.placements = append(f.placements, placements[:min(room, len(placements))]...)
		wake(f.urgent)
	}
}

// take empties the queue.
func (f *follower) take() ([]*wire.Announcement, []*wire.Placement) {
	f.hub.mu.Lock()
	defer f.hub.mu.Unlock()
	placements := f.placements
	f.placements = nil
	announcements := make([]*wire.Announcement, 0, len(f.pending))
	for _, s := range f.pending {
		announcements = append(announcements, follow.Encode(s))
	}
	clear(f.pending)
	return announcements, placements
}

// run wakes the followers at each beat and drops lapsed servers.
func (h *hub) run(ctx context.Context) {
	for sleep(ctx, follow.Beat) {
		h.mu.Lock()
		for _, s := range h.servers.Expire(time.Now()) {
			delete(h.renewed, s.ID)
		}
		for f := range h.followers {
			wake(f.beat)
		}
		h.mu.Unlock()
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
