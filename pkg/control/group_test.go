package control

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// memoryStore is an in-memory Store that keeps its contents across restarts of
// its node.
type memoryStore struct {
	mu     sync.Mutex
	stored consensus.StoredState
}

func (m *memoryStore) Save(r consensus.Ready) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := r.Snapshot; s != nil {
		m.stored.Snapshot, m.stored.Entries = *s, m.entriesAfter(*s)
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - m.stored.Snapshot.Index - 1
		m.stored.Entries = append(m.stored.Entries[:keep:keep], r.Entries...)
	}
	if r.HardState != nil {
		m.stored.HardState = *r.HardState
	}
	return nil
}

// entriesAfter returns the stored entries after a snapshot. As in pkg/wal, they
// are kept only if the log contains the last entry covered by the snapshot:
// entries of a diverged log must not follow it.
func (m *memoryStore) entriesAfter(s consensus.Snapshot) []consensus.Entry {
	holdsLast := m.stored.Snapshot.Index == s.Index && m.stored.Snapshot.Term == s.Term
	kept := []consensus.Entry{}
	for _, e := range m.stored.Entries {
		holdsLast = holdsLast || e.Index == s.Index && e.Term == s.Term
		if e.Index > s.Index && holdsLast {
			kept = append(kept, e)
		}
	}
	return kept
}

func (m *memoryStore) Close() error { return nil }

func (m *memoryStore) read() consensus.StoredState {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stored
	s.Entries = append([]consensus.Entry(nil), s.Entries...)
	return s
}

// gatedCore is a core whose calls block while the gate is locked, which simulates
// a frozen instance.
type gatedCore struct {
	core
	gate *sync.RWMutex
}

func (g gatedCore) waitForGate() {
	g.gate.RLock()
	defer g.gate.RUnlock()
}

func (g gatedCore) Tick()                    { g.waitForGate(); g.core.Tick() }
func (g gatedCore) Step(m consensus.Message) { g.waitForGate(); g.core.Step(m) }
func (g gatedCore) ReadIndex(id uint64) bool { g.waitForGate(); return g.core.ReadIndex(id) }
func (g gatedCore) Ready() consensus.Ready   { g.waitForGate(); return g.core.Ready() }
func (g gatedCore) Propose(d []byte) (uint64, uint64, bool) {
	g.waitForGate()
	return g.core.Propose(d)
}

type discardAudit struct{}

func (discardAudit) append([]AuditEntry) error              { return nil }
func (discardAudit) read(uint64, int) ([]AuditEntry, error) { return nil, nil }

const (
	testTickInterval  = 4 * time.Millisecond
	testCompactAfter  = 40
	testElectionTicks = 10
)

// group is a control group in one process whose members communicate over a
// simulated lossy network.
type group struct {
	t   *testing.T
	ids []consensus.MemberID

	mu       sync.Mutex
	rng      *rand.Rand
	lossRate float64
	isolated map[consensus.MemberID]bool
	members  map[consensus.MemberID]*member
	// lostDisks counts the replaced disks. It is written only by injectFaults.
	lostDisks int
}

// member is one instance of a group. It outlives restarts of its node.
type member struct {
	group  *group
	id     consensus.MemberID
	store  *memoryStore
	disk   consensus.DiskID
	gate   sync.RWMutex
	node   *Node
	cancel context.CancelFunc
	starts int
}

func newGroup(t *testing.T, size int, seed uint64) *group {
	g := &group{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), isolated: map[consensus.MemberID]bool{},
		members: map[consensus.MemberID]*member{},
	}
	for i := range size {
		g.ids = append(g.ids, consensus.MemberID(fmt.Sprint("c", i+1)))
	}
	for _, id := range g.ids {
		g.members[id] = &member{group: g, id: id, store: &memoryStore{}, disk: consensus.DiskID("disk-" + string(id))}
	}
	// Running members send to all others, so all are created before one starts.
	for _, id := range g.ids {
		g.start(id, seed)
	}
	t.Cleanup(func() {
		for _, id := range g.ids {
			g.stop(id)
		}
	})
	return g
}

func (g *group) start(id consensus.MemberID, seed uint64) {
	m := g.members[id]
	m.starts++
	stored := m.store.read()
	c := consensus.New(consensus.Config{
		ID: id, Disk: m.disk, Members: g.ids, HeartbeatTicks: 2, ElectionTicks: testElectionTicks,
		Rand: rand.New(rand.NewPCG(seed, uint64(m.starts)<<8|uint64(id[1]))),
	}, stored)
	node, err := newNode(nodeDependencies{
		core: gatedCore{c, &m.gate}, store: m.store, sender: m, audit: discardAudit{},
		tickInterval: testTickInterval, compactAfter: testCompactAfter, now: time.Now,
	}, stored.Snapshot, slog.New(slog.DiscardHandler))
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.mu.Lock()
	m.node, m.cancel = node, cancel
	g.mu.Unlock()
	go func() { _ = node.run(ctx) }()
}

func (g *group) stop(id consensus.MemberID) {
	n := g.node(id)
	g.members[id].cancel()
	<-n.stopped
}

func (g *group) node(id consensus.MemberID) *Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[id].node
}

func (g *group) setIsolated(id consensus.MemberID, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated[id] = isolated
}

// delivers draws at random whether a message between two members arrives. It
// reports false if one of them is isolated.
func (g *group) delivers(from, to consensus.MemberID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.isolated[from] && !g.isolated[to] && g.rng.Float64() >= g.lossRate
}

// send implements messageSender. Messages are lost or delayed at random, which
// also reorders them.
func (m *member) send(message consensus.Message) {
	g := m.group
	if !g.delivers(m.id, message.To) {
		return
	}
	g.mu.Lock()
	delay := time.Duration(g.rng.IntN(3)) * time.Millisecond
	g.mu.Unlock()
	data, err := consensus.Encode(message)
	if err != nil {
		g.t.Error(err)
		return
	}
	time.AfterFunc(delay, func() {
		decoded, err := consensus.Decode(data)
		if err != nil {
			g.t.Error(err)
			return
		}
		n := g.node(message.To)
		if n == nil {
			// The receiver has not started yet.
			return
		}
		select {
		case n.messages <- decoded:
		default:
		}
	})
}

// propose implements peerClient. The outcome is Unknown if the response is lost.
func (m *member) propose(ctx context.Context, leader consensus.MemberID, c *document.Change) Result {
	if !m.group.delivers(m.id, leader) {
		return Result{ChangeID: c.ID, Outcome: Unavailable}
	}
	ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	result := m.group.node(leader).ProposeLocal(ctx, c)
	if !m.group.delivers(leader, m.id) {
		return Result{ChangeID: c.ID, Outcome: Unknown}
	}
	return result
}

// read implements peerClient.
func (m *member) read(ctx context.Context, leader consensus.MemberID) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	if !m.group.delivers(m.id, leader) || !m.group.node(leader).confirmRead(ctx) {
		return 0, false
	}
	version := m.group.node(leader).Document().Version
	return version, m.group.delivers(leader, m.id)
}

func (g *group) router(id consensus.MemberID) *router {
	return &router{node: g.node(id), self: id, client: g.members[id]}
}

// leader waits for a member whose leadership is confirmed by a quorum and returns
// its identifier.
func (g *group) leader() consensus.MemberID {
	g.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		for _, id := range g.ids {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			n := g.node(id)
			isLeader := n.Status().Role == consensus.Leader && n.confirmRead(ctx)
			cancel()
			if isLeader {
				return id
			}
		}
		time.Sleep(testTickInterval)
	}
	g.t.Fatal("no leader within 10 s")
	return ""
}

// change proposes a change under the same identifier until its result is known.
func (g *group) change(id consensus.MemberID, c document.Change) Result {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		result := g.router(id).Propose(ctx, &c)
		cancel()
		if result.Outcome != Unavailable && result.Outcome != Unknown {
			return result
		}
	}
}

func testChange(id string, base uint64, weight int) document.Change {
	return document.Change{ID: id, Operator: "rozenn", Base: base, Ops: []document.Op{organisationOp("boutique", weight)}}
}

// Guards against an instance that loses changes or diverges from the others when
// all instances restart after 300 changes with several snapshots in between.
func TestRestartAfter300Changes(t *testing.T) {
	g := newGroup(t, 3, 7)
	g.leader()
	for i := range 300 {
		result := g.change(g.ids[i%3], testChange(fmt.Sprint(i), uint64(i), 1+i%9))
		qt.Assert(t, result.Version, qt.Equals, uint64(i+1), qt.Commentf("%+v", result))
	}
	before := g.node("c1").Document().Version
	for _, id := range g.ids {
		g.stop(id)
		g.start(id, 8)
	}
	qt.Assert(t, g.members["c1"].store.read().Snapshot.Index > 200, qt.IsTrue)
	g.leader()
	for _, id := range g.ids {
		d, err := g.router(id).Read(context.Background())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, d.Version, qt.Equals, uint64(300))
	}
	qt.Assert(t, before <= 300, qt.IsTrue)
	resend := g.change("c2", testChange("120", 120, 1+120%9))
	qt.Assert(t, resend, qt.DeepEquals, Result{ChangeID: "120", Outcome: Accepted, Version: 121})
	var states [][]byte
	for _, id := range g.ids {
		n := g.node(id)
		n.mu.RLock()
		data, err := n.state.encode()
		n.mu.RUnlock()
		qt.Assert(t, err, qt.IsNil)
		states = append(states, data)
	}
	qt.Assert(t, string(states[1]), qt.Equals, string(states[0]))
	qt.Assert(t, string(states[2]), qt.Equals, string(states[0]))
}

// Guards against a former leader that was frozen and, after it resumes, accepts a
// change or serves the state from before the freeze.
func TestFrozenFormerLeader(t *testing.T) {
	g := newGroup(t, 3, 11)
	formerLeader := g.leader()
	qt.Assert(t, g.change(formerLeader, testChange("before", 0, 1)).Outcome, qt.Equals, Accepted)
	m := g.members[formerLeader]
	m.gate.Lock()
	// The two remaining members elect a new leader.
	survivor := g.ids[0]
	if survivor == formerLeader {
		survivor = g.ids[1]
	}
	result := g.change(survivor, testChange("during", 1, 2))
	qt.Assert(t, result.Outcome, qt.Equals, Accepted)
	frozen := g.node(formerLeader)
	reads, changes := make(chan bool, 1), make(chan Result, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		ok := frozen.confirmRead(ctx)
		reads <- !ok || frozen.Document().Version >= 2
	}()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c := testChange("stale", 1, 3)
		changes <- frozen.ProposeLocal(ctx, &c)
	}()
	time.Sleep(50 * time.Millisecond)
	m.gate.Unlock()
	qt.Assert(t, <-reads, qt.IsTrue)
	qt.Assert(t, (<-changes).Outcome, qt.Not(qt.Equals), Accepted)
	d, err := g.router(survivor).Read(context.Background())
	qt.Assert(t, err, qt.IsNil)
	value, _ := json.Marshal(d.Organisations["boutique"].Weight)
	qt.Assert(t, string(value), qt.Equals, "2")
}

// eventRecorder is a configwatch.Sender that records the events of a watch.
type eventRecorder struct {
	mu     sync.Mutex
	events []*wire.WatchEvent
}

func (e *eventRecorder) Send(event *wire.WatchEvent) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, event)
	return nil
}

// Guards against a watch that never ends at an instance that is isolated from its
// group but can still reach the watcher.
func TestWatchEndsWithoutLeader(t *testing.T) {
	g := newGroup(t, 3, 13)
	g.leader()
	qt.Assert(t, g.change("c1", testChange("1", 0, 1)).Outcome, qt.Equals, Accepted)
	_, err := g.node("c1").waitVersion(t.Context(), 1)
	qt.Assert(t, err, qt.IsNil)
	var received eventRecorder
	ended := make(chan error, 1)
	go func() { ended <- g.node("c1").watch(t.Context(), 0, &received) }()
	eventually(t, "the first events", func() bool {
		received.mu.Lock()
		defer received.mu.Unlock()
		return len(received.events) >= 2 && !received.events[0].Heartbeat && received.events[1].Heartbeat && received.events[1].Version == 1
	})
	g.setIsolated("c1", true)
	select {
	case err := <-ended:
		qt.Assert(t, err, qt.ErrorIs, errNoLeader)
	case <-time.After(30 * time.Second):
		t.Fatal("the watch did not end without a leader")
	}
	var second eventRecorder
	qt.Assert(t, g.node("c1").watch(t.Context(), 0, &second), qt.ErrorIs, errNoLeader)
	qt.Assert(t, second.events, qt.HasLen, 1)
}

// Guards against reads that wait for a version at an instance that has stopped.
func TestWaitForVersionEndsWithTheNode(t *testing.T) {
	g := newGroup(t, 3, 17)
	g.leader()
	ended := make(chan error, 1)
	go func() {
		_, err := g.node("c1").waitVersion(t.Context(), 1000)
		ended <- err
	}()
	g.stop("c1")
	select {
	case err := <-ended:
		qt.Assert(t, err, qt.ErrorMatches, "the node stopped .*")
	case <-time.After(10 * time.Second):
		t.Fatal("the wait did not end with the node")
	}
}
