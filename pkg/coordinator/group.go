package coordinator

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/wal"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// group runs this machine's part in the control group: it finds a slot, runs the
// consensus node in it and starts over when the slot was given to another disk
// or the log failed.
type group struct {
	settings settings.Coordinator
	dial     func(ctx context.Context, address string, r *wire.JoinRequest) (*wire.JoinResponse, error)
	carrier  *carrier
	log      *slog.Logger

	mu    sync.Mutex
	node  *control.Node
	place place
	disk  consensus.DiskID
	// stored is the newest publication that the log had when the node started, and
	// storedLast the index of its last entry.
	stored     control.Publication
	storedLast uint64
	// heard is when a slot's disk sent a message last.
	heard map[string]time.Time
	// reserved slots were promised to a disk until a time.
	reserved map[string]promise
	// known are the peer addresses of other coordinators.
	known map[string]time.Time
	since time.Time
}

type promise struct {
	disk  consensus.DiskID
	until time.Time
}

func newGroup(s settings.Coordinator, c *carrier, log *slog.Logger) *group {
	return &group{
		settings: s, carrier: c, log: log, heard: map[string]time.Time{}, reserved: map[string]promise{},
		known: map[string]time.Time{},
	}
}

// current returns the running node, nil while there is none.
func (g *group) current() *control.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node
}

// unconfirmed returns the newest publication in the log of a member that has known
// no leader since it started, and the number of slots; it is false otherwise. Once a
// leader has added to the log, what was read at the start is no longer the newest,
// and a disk that is still catching up is in no majority.
func (g *group) unconfirmed() (p control.Publication, slots int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil || g.node.InTouch() || !g.node.Up() || g.node.Status().Last != g.storedLast {
		return control.Publication{}, 0, false
	}
	return g.stored, len(g.place.Slots), g.stored.Revision > 0
}

// run takes part in the group until ctx ends.
func (g *group) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := g.runOnce(ctx)
		g.mu.Lock()
		g.node = nil
		g.mu.Unlock()
		if err != nil && ctx.Err() == nil {
			g.log.Error("left the control group", "error", err)
			sleep(ctx, reopenPause)
		}
	}
}

func (g *group) runOnce(ctx context.Context) error {
	if err := os.MkdirAll(g.settings.DataFolder, 0o755); err != nil {
		return eris.Wrap(err, "make the data folder")
	}
	p, err := g.findPlace(ctx)
	if err != nil {
		return err
	}
	store, stored, disk, err := wal.Open(g.settings.DataFolder)
	if err != nil {
		return err
	}
	disk = diskAt(disk, g.settings.PeerAddress)
	newest, err := control.StoredPublication(stored)
	if err != nil {
		return errors.Join(err, store.Close())
	}
	node, err := control.NewNode(control.NodeParts{
		Config: nodeConfig(p, disk), Stored: stored, Store: store, Send: g.carrier.send,
		Folder: g.settings.DataFolder, Tick: tick, CompactAfter: compactAfter, Log: g.log,
	})
	if err != nil {
		return errors.Join(err, store.Close())
	}
	g.mu.Lock()
	g.node, g.place, g.disk, g.since = node, p, disk, time.Now()
	g.stored, g.storedLast = newest, stored.Snapshot.Index+uint64(len(stored.Entries))
	g.mu.Unlock()
	g.log.Info("takes part in the control group", "slot", p.Slot, "disk", disk, "stored_entries", len(stored.Entries),
		"stored_snapshot", stored.Snapshot.Index)
	nodeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	replaced := make(chan struct{})
	go g.watchPlace(nodeCtx, node, p, disk, func() { close(replaced); cancel() })
	err = errors.Join(node.Run(nodeCtx), store.Close())
	select {
	case <-replaced:
		g.log.Warn("the slot belongs to another disk now; starts over with an empty one", "slot", p.Slot)
		return errors.Join(err, emptyFolder(g.settings.DataFolder))
	default:
		return err
	}
}

func nodeConfig(p place, disk consensus.DiskID) consensus.Config {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	config := consensus.Config{
		ID: consensus.MemberID(p.Slot), Disk: disk, HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks,
		FirstElectionTicks: firstElectionTicks,
		Rand:               mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))),
	}
	for _, slot := range p.Slots {
		config.Members = append(config.Members, consensus.MemberID(slot))
	}
	return config
}

// findPlace returns the slot of this machine's disk. A founding member takes the
// slot of its own address; any other machine asks the group.
func (g *group) findPlace(ctx context.Context) (place, error) {
	p, err := readPlace(g.settings.DataFolder)
	if err != nil || p.Slot != "" {
		return p, err
	}
	if g.settings.FirstStart && slices.Contains(g.settings.PeerSeeds(), g.settings.PeerAddress) {
		p = place{Slot: g.settings.PeerAddress, Slots: slices.Sorted(slices.Values(g.settings.PeerSeeds()))}
		return p, writePlace(g.settings.DataFolder, p)
	}
	if err := emptyFolder(g.settings.DataFolder); err != nil {
		return place{}, err
	}
	// The empty log fixes the disk identity that the slot is asked for.
	store, _, disk, err := wal.Open(g.settings.DataFolder)
	if err != nil {
		return place{}, err
	}
	if err := store.Close(); err != nil {
		return place{}, err
	}
	request := &wire.JoinRequest{Address: g.settings.PeerAddress, Disk: string(diskAt(disk, g.settings.PeerAddress))}
	g.log.Info("asks for a slot in the control group", "disk", request.Disk)
	for {
		if answer := g.ask(ctx, request); answer != nil && answer.Status == wire.JoinStatus_JOIN_GRANTED {
			p = place{Slot: answer.Slot, Slots: answer.Slots}
			return p, writePlace(g.settings.DataFolder, p)
		}
		if !sleep(ctx, joinPause) {
			return place{}, ctx.Err()
		}
	}
}

// ask sends a request to join to the known coordinators until one decides.
func (g *group) ask(ctx context.Context, r *wire.JoinRequest) *wire.JoinResponse {
	for _, address := range g.others() {
		answer, err := g.dial(ctx, address, r)
		if err != nil {
			continue
		}
		g.learn(answer.Coordinators)
		if answer.Status != wire.JoinStatus_JOIN_UNDECIDED {
			return answer
		}
	}
	return nil
}

// watchPlace calls replaced when the group has given the slot to another disk.
func (g *group) watchPlace(ctx context.Context, node *control.Node, p place, disk consensus.DiskID, replaced func()) {
	leaderless := time.Now()
	for sleep(ctx, joinPause) {
		if node.InTouch() {
			leaderless = time.Now()
			continue
		}
		if time.Since(leaderless) < joinCheck {
			continue
		}
		answer := g.ask(ctx, &wire.JoinRequest{Address: g.settings.PeerAddress, Disk: string(disk), Slot: p.Slot})
		if answer != nil && answer.Status == wire.JoinStatus_JOIN_REPLACED {
			replaced()
			return
		}
		leaderless = time.Now()
	}
}

// take handles messages of other members.
func (g *group) take(messages [][]byte) {
	for _, data := range messages {
		m, err := consensus.Decode(data)
		if err != nil {
			g.log.Warn("dropped a malformed consensus message", "error", err)
			continue
		}
		if node := g.admit(m); node != nil {
			node.Step(m)
		}
	}
}

// admit returns the node for a message, nil if it comes from a disk that has lost
// its slot: an old holder that returns must not disturb its successor.
func (g *group) admit(m consensus.Message) *control.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil || string(m.To) != g.place.Slot {
		return nil
	}
	now := time.Now()
	slot, holder := string(m.From), g.node.Status().Members[m.From]
	promised, ok := g.reserved[slot]
	ok = ok && now.Before(promised.until)
	switch {
	case m.Disk == holder:
		g.heard[slot] = now
		if ok && promised.disk != m.Disk {
			// The successor is catching up; answers go to it.
			return g.node
		}
	case ok && promised.disk == m.Disk:
		g.reserved[slot] = promise{disk: m.Disk, until: now.Add(reservation)}
	case !fromLeader(m) && g.node.InTouch():
		// The table of an instance in touch with the leader is up to date.
		return nil
	}
	g.known[addressOf(m.Disk)] = now
	g.carrier.route(m.From, addressOf(m.Disk))
	return g.node
}

// fromLeader tells whether only a leader sends a message. One with a disk that
// this instance does not know yet was replaced while this instance was away.
func fromLeader(m consensus.Message) bool {
	return m.Kind == consensus.Append || m.Kind == consensus.Heartbeat || m.Kind == consensus.InstallSnapshot
}

// join answers a machine that asks for a slot, or whether it still has one.
func (g *group) join(r *wire.JoinRequest) *wire.JoinResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.known[r.Address] = now
	answer := &wire.JoinResponse{Coordinators: g.coordinatorsLocked(now)}
	if g.node == nil {
		return answer
	}
	answer.Slots = g.place.Slots
	status := g.node.Status()
	disk := consensus.DiskID(r.Disk)
	if len(status.Members) == 0 {
		// The group is still being founded.
		if slices.Contains(g.place.Slots, r.Address) {
			answer.Status, answer.Slot = wire.JoinStatus_JOIN_GRANTED, r.Address
		}
		return answer
	}
	for slot, held := range status.Members {
		if held == disk {
			answer.Status, answer.Slot = wire.JoinStatus_JOIN_GRANTED, string(slot)
			return answer
		}
	}
	if status.Role != consensus.Leader {
		return answer
	}
	if r.Slot != "" {
		// The disk had a slot once. It lost it unless it was promised the slot
		// and the replacement is still to be committed.
		if promised, ok := g.reserved[r.Slot]; !ok || promised.disk != disk {
			answer.Status = wire.JoinStatus_JOIN_REPLACED
		}
		return answer
	}
	slot := freeSlot(status, r.Address, func(slot string) bool {
		last := g.heard[slot]
		if last.IsZero() {
			last = g.since
		}
		promised, ok := g.reserved[slot]
		return now.Sub(last) > silentAfter && (!ok || promised.disk == disk || now.After(promised.until))
	})
	if slot == "" {
		return answer
	}
	g.reserved[slot] = promise{disk: disk, until: now.Add(reservation)}
	g.carrier.route(consensus.MemberID(slot), r.Address)
	g.log.Info("gave a slot of the control group to a new disk", "slot", slot, "disk", disk,
		"holder", status.Members[consensus.MemberID(slot)], "silent_ms", now.Sub(g.heard[slot]).Milliseconds())
	answer.Status, answer.Slot = wire.JoinStatus_JOIN_GRANTED, slot
	return answer
}

// freeSlot returns the slot for a machine with an empty disk: the one whose
// holder had this address, or else one whose holder is silent.
func freeSlot(status consensus.Status, address string, silent func(slot string) bool) string {
	var slots []string
	for slot, disk := range status.Members {
		if addressOf(disk) == address {
			return string(slot)
		}
		slots = append(slots, string(slot))
	}
	slices.Sort(slots)
	for _, slot := range slots {
		if consensus.MemberID(slot) != status.Leader && silent(slot) {
			return slot
		}
	}
	return ""
}

// learn notes peer addresses of coordinators.
func (g *group) learn(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, a := range addresses {
		if a != "" && a != g.settings.PeerAddress {
			g.known[a] = now
		}
	}
}

// others returns the peer addresses to try, those of the group first.
func (g *group) others() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	if g.node != nil {
		for _, disk := range g.node.Status().Members {
			addresses = append(addresses, addressOf(disk))
		}
	}
	addresses = append(addresses, g.settings.PeerSeeds()...)
	for a := range g.known {
		addresses = append(addresses, a)
	}
	var unique []string
	for _, a := range addresses {
		if a != "" && a != g.settings.PeerAddress && !slices.Contains(unique, a) {
			unique = append(unique, a)
		}
	}
	return unique
}

// leaderAddress returns the peer address of the leader, empty if it is unknown
// or this machine.
func (g *group) leaderAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil {
		return ""
	}
	status := g.node.Status()
	if a := addressOf(status.Members[status.Leader]); a != g.settings.PeerAddress {
		return a
	}
	return ""
}

// coordinators returns the peer addresses of the coordinators heard of lately.
func (g *group) coordinators() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coordinatorsLocked(time.Now())
}

func (g *group) coordinatorsLocked(now time.Time) []string {
	addresses := []string{g.settings.PeerAddress}
	if g.node != nil {
		for _, disk := range g.node.Status().Members {
			addresses = append(addresses, addressOf(disk))
		}
	}
	for a, last := range g.known {
		if now.Sub(last) < knownFor {
			addresses = append(addresses, a)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// sleep waits and reports whether ctx is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
