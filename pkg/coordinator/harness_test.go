package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
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
