package control

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
	"github.com/geraniumpitch/geraniumpitch/pkg/configwatch"
	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
	"github.com/geraniumpitch/geraniumpitch/pkg/wal"
)

// loopback is a control group over loopback TCP. Its stores outlive restarts of
// the instances.
type loopback struct {
	t        testing.TB
	peers    []settings.Peer
	settings []settings.Control
	stores   []*memoryStore
	disks    []consensus.DiskID
	services []*Service
	kernels  []*kernel.Kernel
	cancels  []context.CancelFunc
	// onDisk selects a write-ahead log on disk instead of stores.
	onDisk bool
}

func newLoopback(t testing.TB, size int) *loopback { return newLoopbackGroup(t, size, false) }

func newLoopbackGroup(t testing.TB, size int, onDisk bool) *loopback {
	l := &loopback{
		t: t, onDisk: onDisk, services: make([]*Service, size), kernels: make([]*kernel.Kernel, size), cancels: make([]context.CancelFunc, size),
	}
	for i := range size {
		l.peers = append(l.peers, settings.Peer{ID: fmt.Sprint("c", i+1), DataCentre: fmt.Sprint("dc", i%3+1), Address: testnet.UnusedAddress(t)})
		l.stores = append(l.stores, &memoryStore{})
		l.disks = append(l.disks, consensus.DiskID("disk-"+fmt.Sprint(i)))
	}
	for i, p := range l.peers {
		s := settings.DefaultControl()
		s.Instance = settings.Instance{ID: p.ID, DataCentre: p.DataCentre, Region: "west"}
		s.PeerAddress, s.OperatorAddress, s.Members, s.DataFolder = p.Address, testnet.UnusedAddress(t), l.peers, t.TempDir()
		s.HeartbeatIntervalMS, s.ElectionTimeoutMS, s.CompactAfterEntries = 40, 200, 100
		l.settings = append(l.settings, s)
		l.start(i)
	}
	t.Cleanup(func() {
		for i := range size {
			l.stop(i)
		}
	})
	return l
}

func (l *loopback) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	counters := &rpc.Counters{}
	metrics, err := telemetry.New()
	qt.Assert(l.t, err, qt.IsNil)
	open := func(folder string) (Store, consensus.StoredState, consensus.DiskID, error) {
		if l.onDisk {
			return wal.Open(folder)
		}
		return l.stores[i], l.stores[i].read(), l.disks[i], nil
	}
	// The listeners of a former process may still be open when Stop returns.
	for _, address := range []string{l.settings[i].PeerAddress, l.settings[i].OperatorAddress} {
		eventually(l.t, address+" is free", func() bool {
			listener, err := net.Listen("tcp", address)
			return err == nil && listener.Close() == nil
		})
	}
	l.services[i] = New(l.settings[i], rpc.NewDialer(nil, counters), rpc.NewServer(nil, counters, log), metrics, open)
	l.kernels[i], l.cancels[i] = kernel.New(log), cancel
	qt.Assert(l.t, l.kernels[i].Register(l.services[i]), qt.IsNil)
	qt.Assert(l.t, l.kernels[i].Start(ctx), qt.IsNil)
}

func (l *loopback) stop(i int) {
	if l.services[i] == nil {
		return
	}
	l.kernels[i].Stop(context.Background())
	l.cancels[i]()
	_ = l.services[i].dialer.Close()
	l.services[i] = nil
}

const (
	// changeTimeout is the time within which a change is accepted although leaders change, and changePause the wait between
	// two proposals of it.
	changeTimeout = 10 * time.Second
	changePause   = 20 * time.Millisecond
)

// change proposes a change at an instance until it is accepted, as an operator does while there is no leader, and
// returns the new version.
func (l *loopback) change(i int, c document.Change) uint64 {
	var result Result
	for deadline := time.Now().Add(changeTimeout); time.Now().Before(deadline); time.Sleep(changePause) {
		result = l.services[i].Propose(context.Background(), &c)
		if result.Outcome == Accepted {
			return result.Version
		}
		if result.Outcome != Unknown && result.Outcome != Unavailable {
			l.t.Fatalf("%+v", result)
		}
	}
	l.t.Fatalf("no change was accepted within %s: %+v", changeTimeout, result)
	return 0
}

// watcher is a running configwatch service with its own kernel and dialer.
type watcher struct {
	*configwatch.Service
	counters rpc.Counters
	kernel   *kernel.Kernel
	dialer   *rpc.Dialer
}

func (l *loopback) watch(
	id, dataCentre, folder string, control []settings.Peer, seeds []settings.Peer, dependencies ...kernel.Service,
) *watcher {
	w := &watcher{kernel: kernel.New(slog.New(slog.DiscardHandler))}
	s := settings.DefaultEntry()
	s.Instance = settings.Instance{ID: id, DataCentre: dataCentre, Region: "west"}
	s.Control, s.Seeds, s.DataFolder = control, seeds, folder
	w.dialer = rpc.NewDialer(nil, &w.counters)
	w.Service = configwatch.New(s, w.dialer)
	for _, service := range append(dependencies, w.Service) {
		qt.Assert(l.t, w.kernel.Register(service), qt.IsNil)
	}
	qt.Assert(l.t, w.kernel.Start(context.Background()), qt.IsNil)
	l.t.Cleanup(w.stop)
	return w
}

func (w *watcher) stop() {
	if w.kernel != nil {
		w.kernel.Stop(context.Background())
		_ = w.dialer.Close()
		w.kernel = nil
	}
}

// eventually waits up to 30 s for a condition that usually holds much earlier.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within 30 s: %s", description)
}

// Guards against a watcher that reverts to an older version, misses a version or
// does not catch up while control instances stop and start.
func TestWatchersNeverGoBack(t *testing.T) {
	l := newLoopback(t, 3)
	var watchers []*watcher
	done := make(chan struct{})
	var observers sync.WaitGroup
	for i := range 4 {
		w := l.watch(fmt.Sprint("e", i), fmt.Sprint("dc", i%3+1), "", l.peers, nil)
		watchers = append(watchers, w)
		observers.Go(func() {
			previous := uint64(0)
			for {
				select {
				case <-done:
					return
				default:
				}
				version := w.Current().Version
				if version < previous {
					t.Errorf("watcher %d reverted from version %d to %d", i, previous, version)
				}
				previous = version
				time.Sleep(50 * time.Microsecond)
			}
		})
	}
	const changes = 60
	for i := range changes {
		if i%20 == 10 {
			stoppedIndex := i / 20
			l.stop(stoppedIndex)
			version := l.change((stoppedIndex+1)%3, testChange(fmt.Sprint(i), uint64(i), 1+i%9))
			qt.Assert(t, version, qt.Equals, uint64(i+1))
			l.start(stoppedIndex)
			continue
		}
		qt.Assert(t, l.change(i%3, testChange(fmt.Sprint(i), uint64(i), 1+i%9)), qt.Equals, uint64(i+1))
	}
	want, err := l.services[0].Read(context.Background())
	qt.Assert(t, err, qt.IsNil)
	wantJSON, _ := json.Marshal(want)
	for _, w := range watchers {
		eventually(t, "the watcher is up to date", func() bool { return w.Current().Version == changes })
		gotJSON, _ := json.Marshal(w.Current())
		qt.Assert(t, string(gotJSON), qt.Equals, string(wantJSON))
	}
	close(done)
	observers.Wait()
}

// Guards against a control group or an entry instance that loses changes when it
// restarts from its log or its stored configuration on disk after 300 changes.
func TestRestartFromDisk(t *testing.T) {
	l := newLoopbackGroup(t, 3, true)
	folder := t.TempDir()
	w := l.watch("e1", "dc1", folder, l.peers, nil)
	const changes = 300
	for i := range changes {
		qt.Assert(t, l.change(i%3, testChange(fmt.Sprint(i), uint64(i), 1+i%9)), qt.Equals, uint64(i+1))
	}
	eventually(t, "the watcher is up to date", func() bool { return w.Current().Version == changes })
	w.stop()
	for i := range 3 {
		l.stop(i)
	}
	restarted := l.watch("e1", "dc1", folder, l.peers, nil)
	qt.Assert(t, restarted.Ready(), qt.IsTrue)
	qt.Assert(t, restarted.Current().Version, qt.Equals, uint64(changes))
	for i := range 3 {
		l.start(i)
	}
	d, err := l.services[1].Read(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, d.Version, qt.Equals, uint64(changes))
	qt.Assert(t, l.change(2, testChange("299", 299, 1+299%9)), qt.Equals, uint64(changes))
	qt.Assert(t, l.change(2, testChange("300", changes, 9)), qt.Equals, uint64(changes+1))
	eventually(t, "the watcher follows again", func() bool { return restarted.Current().Version == changes+1 })
}

// Guards against a planned stop of the leader that leaves a change submitted at
// another instance without a definite result.
func TestPlannedStopLosesNoChange(t *testing.T) {
	l := newLoopback(t, 3)
	version := l.change(0, testChange("first", 0, 1))
	for round := range 3 {
		leader := -1
		eventually(t, "there is a leader", func() bool {
			leader = slices.IndexFunc(l.services, func(s *Service) bool { return s.Node().Status().Role == consensus.Leader })
			return leader >= 0
		})
		follower := l.services[(leader+1)%3]
		stopped := make(chan struct{})
		for i := 0; ; i++ {
			if i == 20 {
				go func() { l.stop(leader); close(stopped) }()
			}
			c := testChange(fmt.Sprint(round, "-", i), version, 1+i%9)
			result := Result{Outcome: Unavailable}
			for result.Outcome == Unavailable { // Not proposed if the election outlasts the request.
				result = follower.Propose(context.Background(), &c)
			}
			qt.Assert(t, result.Outcome, qt.Equals, Accepted, qt.Commentf("round %d, change %d: %+v", round, i, result))
			version = result.Version
			if i == 60 {
				break
			}
		}
		<-stopped
		l.start(leader)
	}
}

// fakeMembers is a fixed membership.View. The first member is the local instance.
type fakeMembers []membership.Member

func (f fakeMembers) ServiceName() string          { return "membership" }
func (f fakeMembers) Self() membership.Member      { return f[0] }
func (f fakeMembers) Members() []membership.Member { return f }
func (f fakeMembers) Member(string) (membership.Member, bool) {
	return membership.Member{}, false
}

// Guards against an instance without a stored configuration that becomes ready
// with an older version than the reachable instances have, and against an instance
// that loses its version when it restarts while no other instance is reachable.
func TestWatcherStartsWithNewest(t *testing.T) {
	l := newLoopback(t, 3)
	for i := range 5 {
		l.change(i%3, testChange(fmt.Sprint(i), uint64(i), 1+i))
	}
	folder := t.TempDir()
	first := l.watch("e1", "dc1", folder, l.peers, nil)
	eventually(t, "the first watcher is ready", first.Ready)
	qt.Assert(t, first.Current().Version, qt.Equals, uint64(5))
	l.change(0, testChange("5", 5, 9))
	eventually(t, "the change is in force", func() bool { return first.Current().Version == 6 })

	// The control group is stopped; only another entry instance responds.
	for i := range 3 {
		l.stop(i)
	}
	address := testnet.UnusedAddress(t)
	server := rpc.NewServer(nil, &rpc.Counters{}, slog.New(slog.DiscardHandler))
	qt.Assert(t, first.Register(server.Mux()), qt.IsNil)
	qt.Assert(t, server.Listen(t.Context(), address), qt.IsNil)
	second := l.watch("e2", "dc1", "", l.peers, []settings.Peer{{ID: "e1", Address: address}})
	eventually(t, "the second watcher is ready", second.Ready)
	qt.Assert(t, second.Current().Version, qt.Equals, uint64(6))

	third := l.watch("e4", "dc1", "", l.peers, nil, fakeMembers{{ID: "e4"}, {ID: "e1", PeerAddress: address}})
	eventually(t, "the third watcher is ready", third.Ready)
	qt.Assert(t, third.Current().Version, qt.Equals, uint64(6))

	first.stop()
	restarted := l.watch("e1", "dc1", folder, l.peers, nil)
	qt.Assert(t, restarted.Ready(), qt.IsTrue)
	qt.Assert(t, restarted.Current().Version, qt.Equals, uint64(6))

	unreachable := l.watch("e3", "dc1", "", l.peers, nil)
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, unreachable.Ready(), qt.IsFalse)
}

// Guards against an instance that cannot recover with a new, empty disk: the
// snapshot is larger than one drpc packet and is sent in pieces. Meanwhile the
// instance must not serve version 0 from the empty disk to a watcher.
func TestLostDiskIsReplaced(t *testing.T) {
	l := newLoopback(t, 3)
	const changes, items = 110, 400 // 110 entries exceed compact_after, which is 100.
	for i := range changes {
		var ops []document.Op
		for j := range items {
			ops = append(ops, organisationOp(fmt.Sprintf("org-%d-%d", i, j), 1+j%9))
		}
		c := document.Change{ID: fmt.Sprint(i), Operator: "rozenn", Base: uint64(i), Ops: ops}
		qt.Assert(t, l.change(0, c), qt.Equals, uint64(i+1))
	}
	want := l.services[0].Node().Document()
	l.stop(2)
	l.stores[2], l.disks[2] = &memoryStore{}, "disk-new"
	l.start(2)
	w := l.watch("e1", "dc3", "", l.peers[2:], nil)
	eventually(t, "the empty instance is up to date", func() bool {
		if w.Ready() {
			qt.Assert(t, w.Current().Version, qt.Equals, uint64(changes))
		}
		return l.services[2].Node().Document().Version == changes
	})
	eventually(t, "the new disk is a member", func() bool { return l.services[0].Node().Status().Members["c3"] == "disk-new" })
	eventually(t, "the watcher is up to date", func() bool { return w.Ready() && w.Current().Version == changes })
	wantJSON, _ := json.Marshal(want)
	gotJSON, _ := json.Marshal(w.Current())
	qt.Assert(t, string(wantJSON) == string(gotJSON), qt.IsTrue)
	size := len(l.stores[0].read().Snapshot.Data)
	qt.Assert(t, size > 4*maxPieceBytes, qt.IsTrue, qt.Commentf("%d bytes", size))
}

// silentServer accepts connections and never responds.
func silentServer(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return
			}
		}
	}()
	return l.Addr().String()
}

// Guards against a watcher that waits forever on an open connection without traffic.
func TestSilentWatchIsReplaced(t *testing.T) {
	l := newLoopback(t, 1)
	l.change(0, testChange("0", 0, 1))
	silent := settings.Peer{ID: "c0", DataCentre: "dc1", Address: silentServer(t)}
	remote := l.peers[0]
	remote.DataCentre = "dc2"
	w := l.watch("e1", "dc1", "", []settings.Peer{silent, remote}, nil)
	eventually(t, "the watcher is ready", w.Ready)
	l.change(0, testChange("1", 1, 2))
	eventually(t, "the change is in force", func() bool { return w.Current().Version == 2 })
}

// BenchmarkTimeInForce measures the time from proposing a change until it is in
// force at all watchers, and the bytes that each watcher sends and receives per
// change.
func BenchmarkTimeInForce(b *testing.B) {
	for _, size := range []struct{ watchers, organisations int }{{7, 10}, {500, 10}, {7, 35_000}} {
		b.Run(fmt.Sprintf("watchers%d/organisations%d", size.watchers, size.organisations), func(b *testing.B) {
			benchmarkTimeInForce(b, size.watchers, size.organisations)
		})
	}
}

func benchmarkTimeInForce(b *testing.B, watcherCount, organisations int) {
	l := newLoopbackGroup(b, 5, true)
	version := uint64(0)
	for start := 0; start < organisations; start += 1000 {
		var ops []document.Op
		for i := start; i < min(start+1000, organisations); i++ {
			ops = append(ops, organisationOp(fmt.Sprintf("org-%d", i), 1))
		}
		version = l.change(0, document.Change{ID: fmt.Sprint("load", start), Operator: "rozenn", Base: version, Ops: ops})
	}
	var watchers []*watcher
	for i := range watcherCount {
		watchers = append(watchers, l.watch(fmt.Sprint("e", i), fmt.Sprint("dc", i%3+1), "", l.peers, nil))
	}
	version = l.change(0, testChange("first", version, 1))
	for _, w := range watchers {
		eventually(b, "the watcher is up to date", func() bool { return w.Ready() && w.Current().Version == version })
	}
	transferredBytes := func() (total uint64) {
		for _, w := range watchers {
			total += w.counters.Received.Load() + w.counters.Sent.Load()
		}
		return total
	}
	bytesBefore := transferredBytes()
	var latencies []time.Duration
	for b.Loop() {
		start := time.Now()
		version = l.change(len(latencies)%5, testChange(fmt.Sprint(version), version, 1+int(version)%9))
		for _, w := range watchers {
			for w.Current().Version < version {
				time.Sleep(50 * time.Microsecond)
			}
		}
		latencies = append(latencies, time.Since(start))
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(transferredBytes()-bytesBefore)/float64(len(latencies)*len(watchers)), "bytes/change/watcher")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "ms-p99")
}
