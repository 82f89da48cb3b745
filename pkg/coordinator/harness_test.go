package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/wal"
)

// waitTimeout limits each wait for the group and allows for several elections.
const waitTimeout = 10 * time.Second

// firstTestPort and testPorts are the range of ports of test groups. It ends below 32768, from which
// Linux takes the ports of outgoing connections.
const (
	firstTestPort = 20000
	testPorts     = 12000
)

// testGroup is a group of coordinators in this process, each with its own loopback
// address. Coordinators are numbered from 1.
type testGroup struct {
	t     testing.TB
	port  int
	seeds []string
	// toleratedDisks is the setting of all coordinators.
	toleratedDisks int
	// withoutRollouts leaves out the bounds of rollouts.
	withoutRollouts bool
	// mu guards coordinators against goroutines of the test.
	mu           sync.Mutex
	coordinators map[int]*Service
	folders      map[int]string
	dialers      map[int]*rpc.Dialer
	// linked is the follow client of the gateway behind a thin link.
	linked *follow.Client
	// fullDisks holds, by coordinator, whether its disk refuses what does not fit.
	fullDisks [maxTestCoordinators + 1]atomic.Bool
	// writeDelay is the time that each write of the soft state takes, in nanoseconds, and stateWrites the number
	// of these writes by all coordinators.
	writeDelay, stateWrites atomic.Int64
}

// maxTestCoordinators is the largest number of a coordinator.
const maxTestCoordinators = 9

// crampedFile is a file on the disk of a coordinator, which may be full: half of each write fits then.
type crampedFile struct {
	*os.File
	full *atomic.Bool
}

func (f crampedFile) Write(p []byte) (int, error) {
	if !f.full.Load() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	if err == nil {
		err = syscall.ENOSPC
	}
	return n, err
}

func newTestGroup(t testing.TB, size int) *testGroup { return newGrowingTestGroup(t, size, size, 1) }

// newGrowingTestGroup starts coordinators for the first time, of which the first ones are the
// seeds.
func newGrowingTestGroup(t testing.TB, size, seeds, toleratedDisks int) *testGroup {
	return startTestGroup(t, size, seeds, toleratedDisks, false)
}

// newTestGroupWithout starts coordinators without bounds of rollouts.
func newTestGroupWithout(t *testing.T, size int) *testGroup {
	return startTestGroup(t, size, size, 1, true)
}

func startTestGroup(t testing.TB, size, seeds, toleratedDisks int, withoutRollouts bool) *testGroup {
	g := &testGroup{
		withoutRollouts: withoutRollouts,
		t:               t, port: firstTestPort + rand.IntN(testPorts), toleratedDisks: toleratedDisks, coordinators: map[int]*Service{}, folders: map[int]string{}, dialers: map[int]*rpc.Dialer{},
	}
	for i := 1; i <= seeds; i++ {
		g.seeds = append(g.seeds, fmt.Sprintf("127.0.3.%d:1", i))
	}
	for i := 1; i <= size; i++ {
		g.start(i, true)
	}
	t.Cleanup(func() {
		for i := range g.coordinators {
			g.stop(i)
		}
	})
	return g
}

func (g *testGroup) address(i int) string { return fmt.Sprintf("127.0.3.%d:%d", i, g.port) }

func (g *testGroup) start(i int, firstStart bool) {
	g.t.Helper()
	if g.folders[i] == "" {
		g.folders[i] = g.t.TempDir()
	}
	// The listener of a coordinator may still be open when Stop returns.
	g.eventually("the address is free", func() bool {
		listener, err := net.Listen("tcp", g.address(i))
		return err == nil && listener.Close() == nil
	})
	s := settings.DefaultCoordinator()
	s.Instance = settings.Instance{ID: fmt.Sprint(i), Region: "r", DataCentre: "d"}
	s.OperatorAddress, s.PeerAddress = fmt.Sprintf("127.0.3.%d:1", i), g.address(i)
	s.Seeds, s.FirstStart, s.DataFolder = g.seeds, firstStart, g.folders[i]
	s.ToleratedDisks = g.toleratedDisks
	if !g.withoutRollouts {
		s.Rollouts = &testRolloutBounds
	}
	counters, log := &rpc.Counters{}, slog.New(slog.DiscardHandler)
	dialer := rpc.NewDialer(nil, counters)
	qt.Assert(g.t, dialer.BindSource(s.PeerAddress), qt.IsNil)
	service := New(s, dialer, rpc.NewServer(nil, counters, log), log)
	service.openLog = func(folder string) (*wal.Log, consensus.StoredState, consensus.DiskID, error) {
		return wal.OpenWith(folder, func(f *os.File) wal.File { return crampedFile{f, &g.fullDisks[i]} })
	}
	service.hub.writeFile = func(file string, data []byte) error {
		g.stateWrites.Add(1)
		time.Sleep(time.Duration(g.writeDelay.Load()))
		if g.fullDisks[i].Load() {
			return errors.Join(writeFileSynced(file, data[:len(data)/2]), syscall.ENOSPC)
		}
		return writeFileSynced(file, data)
	}
	qt.Assert(g.t, service.Start(context.Background()), qt.IsNil)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coordinators[i], g.dialers[i] = service, dialer
}

// running returns the coordinators that run.
func (g *testGroup) running() []*Service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.coordinators))
}

func (g *testGroup) stop(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = g.coordinators[i].Stop(ctx)
	_ = g.dialers[i].Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.coordinators, i)
}

// loseDisk empties the folder of a stopped coordinator.
func (g *testGroup) loseDisk(i int) { qt.Assert(g.t, os.RemoveAll(g.folders[i]), qt.IsNil) }

// eventually waits until a condition is met and fails the test after waitTimeout.
func (g *testGroup) eventually(description string, condition func() bool) {
	g.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			g.t.Fatalf("timeout after %s waiting for: %s", waitTimeout, description)
		}
	}
}

// publish publishes at one coordinator until the publication is accepted.
func (g *testGroup) publish(i int, revision uint64, content string) {
	g.t.Helper()
	g.eventually(fmt.Sprintf("revision %d accepted", revision), func() bool {
		return g.coordinators[i].Publish(context.Background(), control.Publication{Revision: revision, Content: []byte(content)}) == control.Accepted
	})
}

// expectPublication waits for a confirmed read at one coordinator and checks the result.
func (g *testGroup) expectPublication(i int, revision uint64, content string) {
	g.t.Helper()
	var got control.Publication
	g.eventually("a confirmed read", func() bool {
		var err error
		got, err = g.coordinators[i].Read(context.Background())
		return err == nil
	})
	qt.Assert(g.t, got.Revision, qt.Equals, revision)
	qt.Assert(g.t, string(got.Content), qt.Equals, content)
}

// holders returns the peer addresses of the slot holders according to one coordinator.
func (g *testGroup) holders(i int) map[string]bool {
	holders := map[string]bool{}
	if node := g.coordinators[i].group.currentNode(); node != nil {
		for _, disk := range node.Status().Members {
			holders[peerAddressOf(disk)] = true
		}
	}
	return holders
}
