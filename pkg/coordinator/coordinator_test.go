package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// waitLimit bounds waits for the group: several elections.
const waitLimit = 10 * time.Second

// group of coordinators in this process, each at a loopback address of its own.
type testGroup struct {
	t      *testing.T
	port   int
	seeds  []string
	nodes  map[int]*Service
	folder map[int]string
	dialer map[int]*rpc.Dialer
}

func newTestGroup(t *testing.T, size int) *testGroup {
	g := &testGroup{
		t: t, port: 20000 + rand.IntN(20000), nodes: map[int]*Service{}, folder: map[int]string{}, dialer: map[int]*rpc.Dialer{},
	}
	for i := 1; i <= size; i++ {
		g.seeds = append(g.seeds, fmt.Sprintf("127.0.3.%d:1", i))
	}
	for i := 1; i <= size; i++ {
		g.start(i, true)
	}
	t.Cleanup(func() {
		for i := range g.nodes {
			g.stop(i)
		}
	})
	return g
}

func (g *testGroup) peer(i int) string { return fmt.Sprintf("127.0.3.%d:%d", i, g.port) }

func (g *testGroup) start(i int, first bool) {
	g.t.Helper()
	if g.folder[i] == "" {
		g.folder[i] = g.t.TempDir()
	}
	s := settings.DefaultCoordinator()
	s.Instance = settings.Instance{ID: fmt.Sprint(i), Region: "r", DataCentre: "d"}
	s.OperatorAddress, s.PeerAddress = fmt.Sprintf("127.0.3.%d:1", i), g.peer(i)
	s.Seeds, s.FirstStart, s.DataFolder = g.seeds, first, g.folder[i]
	counters, log := &rpc.Counters{}, slog.New(slog.DiscardHandler)
	dialer := rpc.NewDialer(nil, counters)
	qt.Assert(g.t, dialer.BindSource(s.PeerAddress), qt.IsNil)
	node := New(s, dialer, rpc.NewServer(nil, counters, log), log)
	qt.Assert(g.t, node.Start(context.Background()), qt.IsNil)
	g.nodes[i], g.dialer[i] = node, dialer
}

func (g *testGroup) stop(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = g.nodes[i].Stop(ctx)
	_ = g.dialer[i].Close()
	delete(g.nodes, i)
}

// loseDisk empties the folder of a stopped coordinator.
func (g *testGroup) loseDisk(i int) { qt.Assert(g.t, os.RemoveAll(g.folder[i]), qt.IsNil) }

// eventually waits until a condition holds.
func (g *testGroup) eventually(what string, condition func() bool) {
	g.t.Helper()
	for limit := time.Now().Add(waitLimit); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			g.t.Fatalf("not within %s: %s", waitLimit, what)
		}
	}
}

// publish sends a publication to one coordinator until it is accepted.
func (g *testGroup) publish(i int, revision uint64, content string) {
	g.t.Helper()
	g.eventually(fmt.Sprintf("revision %d accepted", revision), func() bool {
		return g.nodes[i].Publish(context.Background(), control.Publication{Revision: revision, Content: []byte(content)}) == control.Accepted
	})
}

// expect reads at one coordinator until it answers, and compares.
func (g *testGroup) expect(i int, revision uint64, content string) {
	g.t.Helper()
	var got control.Publication
	g.eventually("a confirmed read", func() bool {
		var err error
		got, err = g.nodes[i].Read(context.Background())
		return err == nil
	})
	qt.Assert(g.t, got.Revision, qt.Equals, revision)
	qt.Assert(g.t, string(got.Content), qt.Equals, content)
}

// members returns the peer addresses that hold the slots, as one coordinator sees it.
func (g *testGroup) members(i int) map[string]bool {
	holders := map[string]bool{}
	if node := g.nodes[i].group.current(); node != nil {
		for _, disk := range node.Status().Members {
			holders[addressOf(disk)] = true
		}
	}
	return holders
}

// Guards against a group that does not form without a list of members, and
// against a publication that one coordinator does not show after its ack.
func TestPublishAndReadEverywhere(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 5, "five")
	for i := range g.nodes {
		g.expect(i, 5, "five")
	}
	g.publish(2, 4, "four")
	g.publish(3, 5, "other five")
	g.publish(3, 9, "nine")
	for i := range g.nodes {
		g.expect(i, 9, "nine")
	}
}

// Guards against two contents under one revision when two operators publish at
// the same time.
func TestRaceOfOneRevision(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "first")
	for revision := uint64(2); revision < 12; revision++ {
		var wait sync.WaitGroup
		for i := range g.nodes {
			wait.Go(func() { g.publish(i, revision, fmt.Sprintf("%d by %d", revision, i)) })
		}
		wait.Wait()
		contents := map[string]bool{}
		for i := range g.nodes {
			p, err := g.nodes[i].Read(context.Background())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, p.Revision, qt.Equals, revision)
			contents[string(p.Content)] = true
		}
		qt.Assert(t, contents, qt.HasLen, 1)
	}
}

// Guards against an accepted publication that a restart of all, or a lost disk
// followed by the loss of another machine, takes back.
func TestRestartsAndLostDisks(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 7, "seven")
	for i := 1; i <= 3; i++ {
		g.stop(i)
	}
	g.loseDisk(2)
	for i := 1; i <= 3; i++ {
		g.start(i, false)
	}
	for i := 1; i <= 3; i++ {
		g.expect(i, 7, "seven")
	}
	g.publish(1, 8, "eight")
	g.eventually("the new disk of 2 counts", func() bool {
		node := g.nodes[2].group.current()
		return node != nil && node.InTouch()
	})
	g.stop(3)
	g.expect(2, 8, "eight")
	g.publish(2, 9, "nine")
	g.expect(1, 9, "nine")
}

// Guards against a machine at another address that never replaces one that is
// gone for good, and against an old holder that disturbs the group when it returns.
func TestMachineAtAnotherAddressTakesTheSlot(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 3, "three")
	g.stop(3)
	g.start(4, false)
	g.eventually("4 holds the slot of 3", func() bool { return g.members(1)[g.peer(4)] && !g.members(1)[g.peer(3)] })
	g.expect(4, 3, "three")
	g.stop(2)
	g.publish(4, 4, "four")
	g.expect(1, 4, "four")
	// The old holder finds out that its slot is gone and takes the free one.
	g.start(3, false)
	g.eventually("3 holds the slot of 2", func() bool { return g.members(1)[g.peer(3)] && !g.members(1)[g.peer(2)] })
	g.expect(3, 4, "four")
	g.publish(3, 5, "five")
	g.expect(4, 5, "five")
}

// leader returns the coordinator that leads.
func (g *testGroup) leader() (leads int) {
	g.eventually("a leader", func() bool {
		for i, s := range g.nodes {
			if node := s.group.current(); node != nil && node.Status().Role == consensus.Leader {
				leads = i
				return true
			}
		}
		return false
	})
	return leads
}

// Guards against an old holder whose messages reach the members after the leader
// that gave its slot away is gone: they would send to it instead of its successor.
func TestOldHolderAfterItsLeaderIsGone(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	leader := g.leader()
	old, other := leader%3+1, (leader+1)%3+1
	g.stop(old)
	g.start(4, false)
	g.eventually("4 holds the slot", func() bool { return g.members(other)[g.peer(4)] && !g.members(other)[g.peer(old)] })
	g.expect(4, 1, "one")
	g.stop(leader)
	g.start(old, false)
	g.publish(4, 2, "two")
	g.eventually("the old holder takes the slot of the leader", func() bool {
		members := g.members(other)
		return members[g.peer(old)] && !members[g.peer(leader)]
	})
	g.expect(old, 2, "two")
}

// Guards against a machine that takes the slot of a holder that is alive.
func TestSpareMachineWaits(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	g.start(4, false)
	time.Sleep(2 * silentAfter)
	qt.Assert(t, g.members(1)[g.peer(4)], qt.IsFalse)
	// It forwards publications meanwhile and does not answer reads.
	g.publish(4, 2, "two")
	g.expect(1, 2, "two")
	_, err := g.nodes[4].Read(context.Background())
	qt.Assert(t, err, qt.Equals, ErrUnsure)
}

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

// Guards against two machines that are promised one slot, and against a slot that
// is taken from the leader or from a holder that is heard.
func TestFreeSlot(t *testing.T) {
	status := consensus.Status{Leader: "a", Members: map[consensus.MemberID]consensus.DiskID{
		"a": "d1@1.1.1.1:1", "b": "d2@1.1.1.2:1", "c": "d3@1.1.1.3:1",
	}}
	silent := func(slots ...string) func(string) bool {
		return func(slot string) bool {
			for _, s := range slots {
				if s == slot {
					return true
				}
			}
			return false
		}
	}
	qt.Assert(t, freeSlot(status, "1.1.1.3:1", silent()), qt.Equals, "c")
	qt.Assert(t, freeSlot(status, "9.9.9.9:1", silent()), qt.Equals, "")
	qt.Assert(t, freeSlot(status, "9.9.9.9:1", silent("b", "c")), qt.Equals, "b")
	qt.Assert(t, freeSlot(status, "9.9.9.9:1", silent("a")), qt.Equals, "")
}
