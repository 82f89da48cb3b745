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

// group makes this instance a member of the control group: it obtains a slot of the group,
// runs the control.Node of that slot, and starts over when the slot is reassigned to another
// disk or the log fails.
type group struct {
	settings  settings.Coordinator
	callJoin  func(ctx context.Context, address string, r *wire.JoinRequest) (*wire.JoinResponse, error)
	transport *transport
	log       *slog.Logger
	openLog   openLogFunc

	mu         sync.Mutex
	node       *control.Node
	assignment slotAssignment
	disk       consensus.DiskID
	// storedLog describes the log at the start of the node, nil if it has no publication.
	storedLog *wire.StoredLog
	// holderLastMessageAt holds the time of the last message from the holder of each slot.
	holderLastMessageAt map[string]time.Time
	// reservations holds the slots that are reserved for a new disk.
	reservations map[string]reservation
	// coordinatorLastSeenAt maps the peer address of each other coordinator to the time when
	// it last sent a message or request, or was named by another coordinator.
	coordinatorLastSeenAt map[string]time.Time
	// dataCentres maps the peer address of each coordinator that has called this one to its
	// data centre, and candidates those without a slot to the time of their last join request.
	dataCentres map[string]string
	candidates  map[string]time.Time
	startedAt   time.Time
	// leaderLastSeenAt is the time of the last message from a leader.
	leaderLastSeenAt time.Time
	// leadsSince is the time since which this instance knows that it leads in ledTerm.
	leadsSince time.Time
	ledTerm    uint64
}

// openLogFunc opens the log in a folder; it is wal.Open but in tests.
type openLogFunc func(folder string) (*wal.Log, consensus.StoredState, consensus.DiskID, error)

// reservation keeps a slot for a new disk until it expires.
type reservation struct {
	disk      consensus.DiskID
	expiresAt time.Time
}

func newGroup(s settings.Coordinator, t *transport, log *slog.Logger) *group {
	return &group{
		settings: s, transport: t, log: log, holderLastMessageAt: map[string]time.Time{}, reservations: map[string]reservation{},
		coordinatorLastSeenAt: map[string]time.Time{}, candidates: map[string]time.Time{},
		dataCentres: map[string]string{s.PeerAddress: s.Instance.DataCentre},
	}
}

// currentNode returns the running node, or nil if there is none, as before this instance
// has a slot.
func (g *group) currentNode() *control.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node
}

// unconfirmedLog returns the log as it was at the start of the node while this member has not
// had a leader since; otherwise it returns nil. Once a leader has appended to the log, what was
// read at the start may be outdated.
func (g *group) unconfirmedLog() *wire.StoredLog {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil || g.storedLog == nil || g.node.HasLeader() || !g.node.HasGroupState() {
		return nil
	}
	// A leader may also have replaced the last entry.
	if status := g.node.Status(); status.LastTerm != g.storedLog.LastTerm || status.LastIndex != g.storedLog.LastIndex {
		return nil
	}
	return g.storedLog
}

// describeLog returns what gateways need to know of a log in order to recover the publication in
// force without a leader, nil if the log has no publication.
func describeLog(stored consensus.StoredState, disk consensus.DiskID) (*wire.StoredLog, error) {
	publication, index, err := control.StoredPublication(stored)
	if err != nil || publication.Revision == 0 {
		return nil, err
	}
	description := &wire.StoredLog{
		Publication: &wire.Publication{Revision: publication.Revision, Content: publication.Content}, Disk: string(disk),
		PublicationIndex: index, CommitIndex: max(stored.HardState.Commit, stored.Snapshot.Index),
	}
	description.LastTerm, description.LastIndex = stored.LastEntry()
	for _, d := range stored.VotingDisks() {
		description.Disks = append(description.Disks, string(d))
	}
	return description, nil
}

// run keeps this instance in the group until ctx ends and rejoins after failures.
func (g *group) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := g.runOnce(ctx)
		g.mu.Lock()
		g.node = nil
		g.mu.Unlock()
		if err != nil && ctx.Err() == nil {
			g.log.Error("membership in the control group failed, retrying", "error", err)
			sleepContext(ctx, reopenDelay)
		}
	}
}

// runOnce obtains a slot and runs its node until ctx ends, the log fails or the slot is
// reassigned.
func (g *group) runOnce(ctx context.Context) error {
	if err := os.MkdirAll(g.settings.DataFolder, 0o755); err != nil {
		return eris.Wrap(err, "create the data folder")
	}
	assignment, err := g.obtainSlot(ctx)
	if err != nil {
		return err
	}
	store, stored, disk, err := g.openLog(g.settings.DataFolder)
	if err != nil {
		return err
	}
	disk = diskIDAt(disk, g.settings.PeerAddress)
	storedLog, err := describeLog(stored, disk)
	if err != nil {
		return errors.Join(err, store.Close())
	}
	node, err := control.NewNode(control.NodeConfig{
		Config: consensusConfig(assignment, disk), Stored: stored, Store: store, Send: g.transport.send,
		Folder: g.settings.DataFolder, TickInterval: tickInterval, CompactAfter: compactAfter, Log: g.log,
	})
	if err != nil {
		return errors.Join(err, store.Close())
	}
	// The holders of the other slots may not know this instance and its address.
	for slot, holderDisk := range node.Status().Members {
		g.transport.setRoute(slot, peerAddressOf(holderDisk))
	}
	g.mu.Lock()
	g.node, g.assignment, g.disk, g.startedAt = node, assignment, disk, time.Now()
	g.storedLog = storedLog
	g.mu.Unlock()
	g.log.Info("joined the control group", "slot", assignment.Slot, "disk", disk, "stored_entries", len(stored.Entries),
		"stored_snapshot", stored.Snapshot.Index)
	nodeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	replaced := make(chan struct{})
	go g.watchSlot(nodeCtx, node, assignment, disk, func() { close(replaced); cancel() })
	err = errors.Join(node.Run(nodeCtx), store.Close())
	select {
	case <-replaced:
		g.log.Warn("the slot was reassigned to another disk; requesting another one with an empty disk", "slot", assignment.Slot)
		return errors.Join(err, retireFolder(g.settings.DataFolder))
	default:
		return err
	}
}

// consensusConfig returns the consensus configuration of a slot.
func consensusConfig(assignment slotAssignment, disk consensus.DiskID) consensus.Config {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	config := consensus.Config{
		ID: consensus.MemberID(assignment.Slot), Disk: disk, HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks,
		FirstElectionTicks: firstElectionTicks,
		Rand:               mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))),
	}
	for _, slot := range assignment.Slots {
		config.Members = append(config.Members, consensus.MemberID(slot))
	}
	return config
}

// obtainSlot returns the slot of this instance's disk. A founding member takes the slot
// named after its own address; any other instance, and one that has lost its slot, requests one
// from the group.
func (g *group) obtainSlot(ctx context.Context) (slotAssignment, error) {
	assignment, err := readAssignment(g.settings.DataFolder)
	if err != nil || assignment.Slot != "" {
		return assignment, err
	}
	former, err := isFormerMember(g.settings.DataFolder)
	if err != nil {
		return slotAssignment{}, err
	}
	if g.settings.FirstStart && !former && slices.Contains(g.settings.PeerSeeds(), g.settings.PeerAddress) {
		assignment = slotAssignment{Slot: g.settings.PeerAddress, Slots: slices.Sorted(slices.Values(g.settings.PeerSeeds())), Founder: true}
		return assignment, writeAssignment(g.settings.DataFolder, assignment)
	}
	if err := clearFolder(g.settings.DataFolder); err != nil {
		return slotAssignment{}, err
	}
	// Creating the log also creates the disk identity that the request names.
	store, _, disk, err := g.openLog(g.settings.DataFolder)
	if err != nil {
		return slotAssignment{}, err
	}
	if err := store.Close(); err != nil {
		return slotAssignment{}, err
	}
	request := g.joinRequest(string(diskIDAt(disk, g.settings.PeerAddress)), "")
	g.log.Info("requesting a slot in the control group", "disk", request.Disk)
	for {
		if response := g.sendJoin(ctx, request); response != nil && response.Status == wire.JoinStatus_JOIN_GRANTED {
			assignment = slotAssignment{Slot: response.Slot, Slots: response.Slots}
			for slot, address := range response.Holders {
				g.transport.setRoute(consensus.MemberID(slot), address)
			}
			return assignment, writeAssignment(g.settings.DataFolder, assignment)
		}
		if !sleepContext(ctx, joinInterval) {
			return slotAssignment{}, ctx.Err()
		}
	}
}

// joinRequest returns the request of this coordinator for a disk and the slot that it holds.
func (g *group) joinRequest(disk, slot string) *wire.JoinRequest {
	return &wire.JoinRequest{Address: g.settings.PeerAddress, Disk: disk, Slot: slot, DataCentre: g.settings.Instance.DataCentre}
}

// sendJoin sends a join request to one coordinator after the other until one decides it.
// It returns nil if none does.
func (g *group) sendJoin(ctx context.Context, r *wire.JoinRequest) *wire.JoinResponse {
	for _, address := range g.otherCoordinators() {
		response, err := g.callJoin(ctx, address, r)
		if err != nil {
			continue
		}
		g.addCoordinators(response.Coordinators)
		if response.Status != wire.JoinStatus_JOIN_UNDECIDED {
			return response
		}
	}
	return nil
}

// watchSlot calls replaced if the group has reassigned the slot to another disk. It checks
// this while the member has no leader.
func (g *group) watchSlot(ctx context.Context, node *control.Node, assignment slotAssignment, disk consensus.DiskID, replaced func()) {
	lastCheckAt := time.Now()
	for sleepContext(ctx, joinInterval) {
		if node.HasLeader() {
			lastCheckAt = time.Now()
			continue
		}
		if time.Since(lastCheckAt) < slotCheckInterval {
			continue
		}
		response := g.sendJoin(ctx, g.joinRequest(string(disk), assignment.Slot))
		if response != nil && response.Status == wire.JoinStatus_JOIN_REPLACED {
			replaced()
			return
		}
		lastCheckAt = time.Now()
	}
}

// receive passes consensus messages from other members to the node.
func (g *group) receive(messages [][]byte) {
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

// admit returns the node that should process a message, or nil if the message is not for
// this slot or comes from a disk that has lost its slot: a former holder that returns must
// not disrupt its successor. If the message is admitted, admit also records its time,
// extends a reservation of its sender and, unless the slot is reserved for another disk,
// updates the route to the sender.
func (g *group) admit(m consensus.Message) *control.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil || string(m.To) != g.assignment.Slot {
		return nil
	}
	now := time.Now()
	status := g.node.Status()
	slot, holderDisk := string(m.From), status.Members[m.From]
	if isFromLeader(m) && m.Term >= status.Term {
		g.leaderLastSeenAt = now
	}
	reserved, ok := g.reservations[slot]
	ok = ok && now.Before(reserved.expiresAt)
	switch {
	case m.Disk == holderDisk:
		g.holderLastMessageAt[slot] = now
		if ok && reserved.disk != m.Disk {
			// The new disk is catching up, so the route stays with it.
			return g.node
		}
	case ok && reserved.disk == m.Disk:
		g.reservations[slot] = reservation{disk: m.Disk, expiresAt: now.Add(reservationTTL)}
	case !isFromLeader(m) && g.node.HasLeader():
		// While connected to a leader, the local member table is up to date.
		return nil
	}
	g.coordinatorLastSeenAt[peerAddressOf(m.Disk)] = now
	g.transport.setRoute(m.From, peerAddressOf(m.Disk))
	return g.node
}

// isFromLeader reports whether only a leader sends messages of this kind. Such a message
// is accepted from an unknown disk as well: the leader's disk may have been replaced while
// this instance was disconnected.
func isFromLeader(m consensus.Message) bool {
	return m.Kind == consensus.Append || m.Kind == consensus.Heartbeat || m.Kind == consensus.InstallSnapshot
}

// handleJoin responds to an instance that requests a slot, checks whether it still holds one,
// or only announces its presence (see announcePresence).
func (g *group) handleJoin(r *wire.JoinRequest) *wire.JoinResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.coordinatorLastSeenAt[r.Address] = now
	g.dataCentres[r.Address] = r.DataCentre
	switch r.Slot {
	case "":
		g.candidates[r.Address] = now
	case presenceSlot:
	default:
		delete(g.candidates, r.Address)
	}
	response := &wire.JoinResponse{Coordinators: g.listedCoordinatorsLocked(now)}
	if g.node == nil {
		return response
	}
	status := g.node.Status()
	disk := consensus.DiskID(r.Disk)
	response.Holders = map[string]string{}
	for slot, holderDisk := range status.Members {
		response.Slots = append(response.Slots, string(slot))
		response.Holders[string(slot)] = peerAddressOf(holderDisk)
	}
	if len(status.Members) == 0 {
		if !g.assignment.Founder {
			return response
		}
		// The first member table is not agreed on yet.
		response.Slots = g.assignment.Slots
		if slices.Contains(g.assignment.Slots, r.Address) {
			response.Status, response.Slot = wire.JoinStatus_JOIN_GRANTED, r.Address
		}
		return response
	}
	for slot, holderDisk := range status.Members {
		if holderDisk == disk {
			response.Status, response.Slot = wire.JoinStatus_JOIN_GRANTED, string(slot)
			return response
		}
	}
	if status.Role != consensus.Leader {
		return response
	}
	if r.Slot != "" {
		// The disk held this slot and is no longer in the member table. It has lost the
		// slot, unless the slot is reserved for it and the replacement is not yet
		// committed.
		if reserved, ok := g.reservations[r.Slot]; !ok || reserved.disk != disk {
			response.Status = wire.JoinStatus_JOIN_REPLACED
		}
		return response
	}
	if g.ledTerm != status.Term {
		g.ledTerm, g.leadsSince = status.Term, now
	}
	slot := freeSlot(status, r.Address, func(slot string) bool {
		reserved, ok := g.reservations[slot]
		return g.holderSilenceLocked(slot, now) > holderTimeout && (!ok || reserved.disk == disk || now.After(reserved.expiresAt))
	})
	if slot == "" {
		if slot = g.newSlotLocked(status, r, now); slot == "" {
			return response
		}
		response.Slots = append(response.Slots, slot)
		g.node.AdmitMember(consensus.MemberID(slot))
	}
	g.reservations[slot] = reservation{disk: disk, expiresAt: now.Add(reservationTTL)}
	g.transport.setRoute(consensus.MemberID(slot), r.Address)
	g.log.Info("assigned a slot of the control group to a new disk", "slot", slot, "disk", disk,
		"holder", status.Members[consensus.MemberID(slot)], "silent_ms", g.holderSilenceLocked(slot, now).Milliseconds())
	response.Status, response.Slot = wire.JoinStatus_JOIN_GRANTED, slot
	return response
}

// holderSilenceLocked returns the time for which the leader has heard nothing from the holder
// of a slot. Holders send messages to the leader only, so it does not count the time before
// this instance led. g.mu is held.
func (g *group) holderSilenceLocked(slot string, now time.Time) time.Duration {
	since := g.leadsSince
	if at := g.holderLastMessageAt[slot]; at.After(since) {
		since = at
	}
	return now.Sub(since)
}

// freeSlot returns the slot for an instance with an empty disk: the slot whose holder has
// the same address or else the first slot whose holder is silent, but never the leader's.
// It returns an empty string if there is none.
func freeSlot(status consensus.Status, address string, silent func(slot string) bool) string {
	var slots []string
	for slot, disk := range status.Members {
		if peerAddressOf(disk) == address {
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

// newSlotLocked returns the slot by which the control group grows for an instance without a
// slot. It returns an empty string if the group has all its members, if another instance is
// joining, or if an instance in a data centre with fewer slots waits as well: the loss of one
// data centre should take as few members as possible. g.mu is held.
func (g *group) newSlotLocked(status consensus.Status, r *wire.JoinRequest, now time.Time) string {
	if len(status.Members) >= g.settings.GroupSize() {
		return ""
	}
	slot := newSlotName(len(status.Members) + 1)
	if reserved, ok := g.reservations[slot]; ok && reserved.disk != consensus.DiskID(r.Disk) && now.Before(reserved.expiresAt) {
		return ""
	}
	slots := map[string]int{}
	for _, disk := range status.Members {
		slots[g.dataCentres[peerAddressOf(disk)]]++
	}
	for address, seenAt := range g.candidates {
		if now.Sub(seenAt) < candidateTTL && slots[g.dataCentres[address]] < slots[r.DataCentre] {
			return ""
		}
	}
	return slot
}

// memberCount returns the number of members of the control group, 0 if it is unknown here.
func (g *group) memberCount() int {
	if node := g.currentNode(); node != nil {
		return len(node.Status().Members)
	}
	return 0
}

// acceptsPublications reports whether this instance leads a control group that has all its members, or
// that lacks some which are not expected soon. A publication that is accepted before would be lost with
// the disks whose loss the complete group tolerates.
func (g *group) acceptsPublications(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil {
		return false
	}
	// A node acts as the leader shortly before its status says so. The status decides, as the members are
	// known from it.
	status := g.node.Status()
	if status.Role != consensus.Leader {
		return false
	}
	age := now.Sub(g.startedAt)
	if len(status.Members) >= g.settings.GroupSize() || age > growthTimeout {
		return true
	}
	if g.settings.FirstStart && age < firstGrowthWait {
		return false
	}
	holders := map[string]bool{}
	for _, disk := range status.Members {
		holders[peerAddressOf(disk)] = true
	}
	for address, seenAt := range g.candidates {
		if !holders[address] && now.Sub(seenAt) < candidateTTL {
			return false
		}
	}
	return true
}

// addCoordinators records the peer addresses of other coordinators as seen now.
func (g *group) addCoordinators(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, a := range addresses {
		if a != "" && a != g.settings.PeerAddress {
			g.coordinatorLastSeenAt[a] = now
		}
	}
}

// otherCoordinators returns the peer addresses of all other coordinators, those of group
// members first.
func (g *group) otherCoordinators() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	if g.node != nil {
		for _, disk := range g.node.Status().Members {
			addresses = append(addresses, peerAddressOf(disk))
		}
	}
	addresses = append(addresses, g.settings.PeerSeeds()...)
	for a := range g.coordinatorLastSeenAt {
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

// maxLeaderAge bounds the reported time without a leader.
const maxLeaderAge = time.Hour

// leaderAge returns the time since this member last heard from a leader, 0 if it leads.
func (g *group) leaderAge(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil || g.leaderLastSeenAt.IsZero() && g.node.Status().Role != consensus.Leader {
		return maxLeaderAge
	}
	if g.node.Status().Role == consensus.Leader {
		return 0
	}
	return min(maxLeaderAge, max(0, now.Sub(g.leaderLastSeenAt)))
}

// leaderAddress returns the peer address of the leader, or an empty string if the leader
// is unknown or is this instance.
func (g *group) leaderAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil {
		return ""
	}
	status := g.node.Status()
	if a := peerAddressOf(status.Members[status.Leader]); a != g.settings.PeerAddress {
		return a
	}
	return ""
}

// listedCoordinators returns the peer addresses that are sent to gateways: those of this
// coordinator, of the slot holders and of all coordinators seen within coordinatorTTL.
func (g *group) listedCoordinators() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listedCoordinatorsLocked(time.Now())
}

// listedCoordinatorsLocked implements listedCoordinators; g.mu is held.
func (g *group) listedCoordinatorsLocked(now time.Time) []string {
	addresses := []string{g.settings.PeerAddress}
	if g.node != nil {
		for _, disk := range g.node.Status().Members {
			addresses = append(addresses, peerAddressOf(disk))
		}
	}
	for a, seenAt := range g.coordinatorLastSeenAt {
		if now.Sub(seenAt) < coordinatorTTL {
			addresses = append(addresses, a)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// sleepContext waits for d and reports whether ctx is still active.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
