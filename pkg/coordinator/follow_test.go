package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// recorder is a sink of a gateway.
type recorder struct {
	mu        sync.Mutex
	revision  uint64
	servers   map[string]directory.Server
	placement map[string]string
}

func (r *recorder) Publication(revision uint64, _ []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
}

func (r *recorder) Announcements(servers []directory.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range servers {
		r.servers[s.ID] = s
	}
}

func (r *recorder) Placed(p placement.Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placement[p.Subject] = p.Server + " " + p.Backup
}

func (r *recorder) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

func (r *recorder) holds(condition func(*recorder) bool) func() bool {
	return func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return condition(r)
	}
}

// followAt starts a gateway's follow client with one seed.
func (g *testGroup) followAt(seed string) (*recorder, *follow.Client) {
	r := &recorder{servers: map[string]directory.Server{}, placement: map[string]string{}}
	dialer := rpc.NewDialer(nil, &rpc.Counters{})
	g.t.Cleanup(func() { _ = dialer.Close() })
	c := follow.NewClient("g", dialer, r, slog.New(slog.DiscardHandler))
	c.Add(g.t.Context(), []string{seed})
	go c.RunPlacements(g.t.Context())
	return r, c
}

// Guards against gateways that miss a publication, an announcement made at any
// coordinator, a coordinator that was added, or where recent prompts are.
func TestFollow(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	r, c := g.followAt(g.peer(1))
	g.eventually("the publication", r.holds(func(r *recorder) bool { return r.revision == 1 }))
	g.eventually("streams of all coordinators", func() bool { fresh, _ := c.Fresh(time.Now(), time.Second); return fresh == 3 })
	server := directory.Server{ID: "s", Service: "p", Address: "a:1", DataCentre: "d", StartedMS: 1, Sequence: 1, Slots: 6, WarmingMS: 3}
	for i := 1; i <= 3; i++ {
		server.Sequence++
		server.Address = fmt.Sprintf("a:%d", i)
		qt.Assert(t, g.nodes[i].Announce(server), qt.Equals, directory.Changed)
		g.eventually("the announcement", r.holds(func(r *recorder) bool { return r.servers["s"] == server }))
	}
	server.State, server.Sequence = directory.Leaving, 9
	began := time.Now()
	g.nodes[2].Announce(server)
	g.eventually("the server leaves", r.holds(func(r *recorder) bool { return r.servers["s"].State == directory.Leaving }))
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
	g.start(4, false)
	g.eventually("the added coordinator", func() bool { fresh, _ := c.Fresh(time.Now(), time.Second); return fresh == 4 })
	g.publish(3, 2, "two")
	g.eventually("the next publication", r.holds(func(r *recorder) bool { return r.revision == 2 }))
	c.Place(placement.Placement{Subject: "part", Server: "engine", Backup: "backup"})
	g.eventually("the placement", r.holds(func(r *recorder) bool { return r.placement["part"] == "engine backup" }))
	// One coordinator passes a placement on; it and two others keep it.
	g.eventually("the placement at three coordinators", func() bool {
		keeping := 0
		for _, s := range g.nodes {
			f := s.hub.subscribe(false)
			_, kept := f.take()
			s.hub.unsubscribe(f)
			if len(kept) > 0 {
				keeping++
			}
		}
		return keeping == 3
	})
	late, _ := g.followAt(g.peer(2))
	g.eventually("the placement at a late gateway", late.holds(func(r *recorder) bool { return r.placement["part"] == "engine backup" }))
}

// Replays the end of all processes at once after a cut: a gateway that starts with
// one coordinator learns of the backend servers that announce themselves at others.
func TestCoordinatorsExchangeAnnouncements(t *testing.T) {
	g := newTestGroup(t, 3)
	server := directory.Server{ID: "s", Service: "p", Address: "a:1", DataCentre: "d", StartedMS: 1, Sequence: 1}
	g.eventually("streams between coordinators", func() bool {
		for _, s := range g.nodes {
			if fresh, _ := s.peers.Fresh(time.Now(), time.Second); fresh != 2 {
				return false
			}
		}
		return true
	})
	g.nodes[1].Announce(server)
	knows := func(i int, state directory.State) func() bool {
		return func() bool {
			h := g.nodes[i].hub
			h.mu.Lock()
			defer h.mu.Unlock()
			got, ok := h.servers.Lookup("s")
			return ok && got.State == state
		}
	}
	g.eventually("the server at the second", knows(2, directory.Ready))
	g.eventually("the server at the third", knows(3, directory.Ready))
	// What a coordinator heard from another one does not go back and forth.
	f := g.nodes[2].hub.subscribe(true)
	defer g.nodes[2].hub.unsubscribe(f)
	f.take()
	server.State, server.Sequence = directory.Leaving, 2
	g.nodes[1].Announce(server)
	g.eventually("the end at the second", knows(2, directory.Leaving))
	announcements, _ := f.take()
	qt.Assert(t, announcements, qt.HasLen, 0)
}

// Guards against control traffic that grows with servers times gateways: a gateway
// hears of a server that only renews itself every few seconds, a coordinator each time.
func TestRenewalsAreThinned(t *testing.T) {
	h := newHub(time.Minute)
	gateway, peer := h.subscribe(false), h.subscribe(true)
	server := directory.Server{ID: "s", Service: "p", Address: "a:1", StartedMS: 1}
	heard := func(f *follower) int {
		announcements, _ := f.take()
		return len(announcements)
	}
	for i, wanted := range []int{1, 0, 0} {
		server.Sequence++
		h.announce(server)
		qt.Assert(t, heard(gateway), qt.Equals, wanted, qt.Commentf("announcement %d", i))
		qt.Assert(t, heard(peer), qt.Equals, 1)
	}
	server.State, server.Sequence = directory.Leaving, 9
	h.announce(server)
	qt.Assert(t, heard(gateway), qt.Equals, 1)
	h.renewed["s"] = time.Now().Add(-follow.RenewalPause)
	server.Sequence++
	h.announce(server)
	qt.Assert(t, heard(gateway), qt.Equals, 1)
	// A gateway that starts learns all at once.
	qt.Assert(t, heard(h.subscribe(false)), qt.Equals, 1)
}

// Replays the end of all processes at once: gateways get the newest publication
// before there is a leader, from a majority of the logs and from no fewer.
func TestPublicationBeforeThereIsALeader(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 7, "seven")
	g.eventually("the publication in all logs", func() bool {
		for _, s := range g.nodes {
			if s.group.current().Publication().Revision != 7 {
				return false
			}
		}
		return true
	})
	for i := 1; i <= 3; i++ {
		g.stop(i)
	}
	// A single member of three elects no leader.
	g.start(1, false)
	g.eventually("the log of the first", func() bool {
		p, slots, ok := g.nodes[1].group.unconfirmed()
		return ok && p.Revision == 7 && string(p.Content) == "seven" && slots == 3
	})
	r, c := g.followAt(g.peer(1))
	g.eventually("the stream of the first", func() bool { fresh, _ := c.Fresh(time.Now(), time.Second); return fresh == 1 })
	qt.Assert(t, r.Revision(), qt.Equals, uint64(0))
	g.start(2, false)
	g.eventually("the publication", r.holds(func(r *recorder) bool { return r.revision == 7 }))
}

// Guards against an old publication: a member whose leader added to its log and was
// lost then does not know what was accepted last, and may not count for a majority.
func TestLogThatGrewIsNotOffered(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 7, "seven")
	for i := 1; i <= 3; i++ {
		g.stop(i)
	}
	for i := 1; i <= 3; i++ {
		g.start(i, false)
	}
	g.publish(1, 8, "eight")
	g.stop(2)
	g.stop(3)
	g.eventually("the loss of the leader", func() bool { return !g.nodes[1].group.current().InTouch() })
	_, _, ok := g.nodes[1].group.unconfirmed()
	qt.Assert(t, ok, qt.IsFalse)
}

// Replays the end of all processes and the loss of power: a gateway that starts
// after it learns the backend servers and where recent prompts are; a torn or old
// file does no harm.
func TestSoftStateOutlivesTheProcess(t *testing.T) {
	const life = 5 * time.Second
	folder := t.TempDir()
	before := newHub(life)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { before.keepState(ctx, folder, slog.New(slog.DiscardHandler)); close(done) }()
	note := func(server, subject, file string) {
		before.announce(directory.Server{ID: server, Service: "p", Address: server, StartedMS: 1, Sequence: 1})
		before.place([]*wire.Placement{{Subject: subject, Server: "engine", Backup: "backup"}}, true)
		for limit := time.Now().Add(waitLimit); ; time.Sleep(10 * time.Millisecond) {
			if data, err := os.ReadFile(filepath.Join(folder, file)); err == nil && strings.Contains(string(data), subject) && json.Valid(data) {
				return
			}
			qt.Assert(t, time.Now().Before(limit), qt.IsTrue)
		}
	}
	first, second := softStateFiles[1], softStateFiles[0]
	note("s", "part", first)
	note("s2", "other", second)
	cancel()
	<-done
	check := func(now time.Time, wantServers, wantPlacements int) {
		t.Helper()
		after := newHub(life)
		_, _ = after.restore(folder, now)
		servers, placements := after.subscribe(false).take()
		qt.Assert(t, servers, qt.HasLen, wantServers)
		qt.Assert(t, placements, qt.HasLen, wantPlacements)
	}
	check(time.Now(), 2, 2)
	check(time.Now().Add(life+time.Second), 0, 2)
	check(time.Now().Add(time.Minute), 0, 0)
	check(time.Now().Add(-time.Minute), 0, 0)
	// The file that was being written is torn, the one before counts.
	qt.Assert(t, os.WriteFile(filepath.Join(folder, second), []byte("{\"written\":9,\"servers\":["), 0o600), qt.IsNil)
	check(time.Now(), 1, 1)
	_, err := newHub(life).restore(folder, time.Now())
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*soft-state-0.json.*")
	qt.Assert(t, os.WriteFile(filepath.Join(folder, first), nil, 0o600), qt.IsNil)
	check(time.Now(), 0, 0)
}
