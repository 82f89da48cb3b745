package consensus

import (
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
)

// TestMain sets default values for the seed and the number of checks of the random
// tests. Flags on the command line override them.
func TestMain(m *testing.M) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "300", "rapid.seed": "11", "rapid.nofailfile": "true"} {
		if !explicit[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// fataler is the common part of testing.TB and rapid.T that the cluster uses.
type fataler interface {
	Fatalf(format string, args ...any)
}

// disk is the durable state of a member, which survives a crash.
type disk struct {
	id     DiskID
	stored StoredState
}

// save writes the durable parts of a Ready. The snapshot is a separate file, entries and
// hard state are one record; snapshotOnly simulates a crash between the two writes.
func (d *disk) save(r Ready, snapshotOnly bool) {
	s := &d.stored
	if r.Snapshot != nil {
		entries, kept := s.Entries, []Entry(nil)
		if i := int(r.Snapshot.Index - s.Snapshot.Index); i > 0 && i <= len(entries) && entries[i-1].Term == r.Snapshot.Term {
			kept = slices.Clone(entries[i:])
		}
		s.Snapshot, s.Entries = *r.Snapshot, kept
	}
	if snapshotOnly {
		return
	}
	if len(r.Entries) > 0 {
		s.Entries = append(s.Entries[:r.Entries[0].Index-s.Snapshot.Index-1], r.Entries...)
	}
	if r.HardState != nil {
		s.HardState = *r.HardState
	}
}

// isInTable reports whether the disk is in the member table that is committed according
// to the stored state.
func (d *disk) isInTable(id MemberID) bool {
	tableDisk := d.stored.Snapshot.Members[id]
	for _, e := range d.stored.Entries {
		var change tableChange
		if (e.Kind == ReplaceDisk || e.Kind == AddMember) && e.Index <= d.stored.HardState.Commit &&
			json.Unmarshal(e.Data, &change) == nil && change.Member == id {
			tableDisk = change.Disk
		}
	}
	return tableDisk == d.id
}

// member is one simulated process. The state of its state machine is a hash chain over
// the applied entries.
type member struct {
	id           MemberID
	disk         *disk
	node         *Node
	frozen       bool
	pending      *Ready
	appliedIndex uint64
	stateHash    uint64
}

// inFlightMessage is an encoded message and the tick from which it can be delivered.
type inFlightMessage struct {
	deliverAt int
	data      []byte
}

// cluster simulates members, disks and the network, and checks the safety properties of
// the protocol at each step.
type cluster struct {
	t    fataler
	rand *rand.Rand
	ids  []MemberID
	// founders is the number of members, the first of ids, that found the group.
	founders   int
	members    map[MemberID]*member
	inFlight   []inFlightMessage
	tick       int
	diskCount  int
	lastReadID uint64
	// maxEntries is small in some runs, so that members catch up in many steps.
	maxEntries int

	dropPercent, dupPercent, crashPercent, slowPercent, delay int
	// partition assigns members to the sides of a network partition.
	partition map[MemberID]int

	// stateHashes holds the state hash after each committed index, leaders the leader of
	// each term.
	stateHashes map[uint64]uint64
	leaders     map[uint64]MemberID
	commitIndex uint64
	// minReadIndex holds the lowest index at which each read may be served.
	minReadIndex   map[uint64]uint64
	confirmedReads int
	// sentMessages and sentBytes count the traffic by message kind.
	sentMessages map[MessageKind]int
	sentBytes    map[MessageKind]int
}

func newCluster(t fataler, size int, seed uint64) *cluster {
	c := &cluster{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), members: map[MemberID]*member{}, partition: map[MemberID]int{},
		stateHashes: map[uint64]uint64{0: 0}, leaders: map[uint64]MemberID{}, minReadIndex: map[uint64]uint64{},
		sentMessages: map[MessageKind]int{}, sentBytes: map[MessageKind]int{},
	}
	for i := range size {
		c.ids = append(c.ids, MemberID(rune('a'+i)))
	}
	c.founders = size
	for _, id := range c.ids {
		c.members[id] = &member{id: id}
		c.newDisk(c.members[id])
		c.start(c.members[id])
	}
	return c
}

// addMember starts a member that is not in the member table. The group must be founded.
func (c *cluster) addMember() {
	id := MemberID(rune('a' + len(c.ids)))
	c.ids = append(c.ids, id)
	c.members[id] = &member{id: id}
	c.newDisk(c.members[id])
	c.start(c.members[id])
}

// admitMembers makes the running members admit the members that did not found the group.
func (c *cluster) admitMembers() {
	for _, id := range c.ids {
		for _, added := range c.ids[c.founders:] {
			if m := c.members[id]; m.node != nil && !m.frozen {
				m.node.AdmitMember(added)
			}
		}
	}
}

// setMaxEntries restarts all members with a new limit of entries per message. It is
// called while they are still empty.
func (c *cluster) setMaxEntries(entries int) {
	c.maxEntries = entries
	for _, id := range c.ids {
		c.crash(c.members[id])
		c.start(c.members[id])
	}
}

func (c *cluster) newDisk(m *member) {
	c.diskCount++
	m.disk = &disk{id: DiskID(fmt.Sprintf("%s%d", m.id, c.diskCount))}
}

func (c *cluster) start(m *member) {
	if m.node != nil {
		return
	}
	known := c.ids
	if c.hasOriginalDisk(m) {
		known = c.ids[:c.founders]
	}
	cfg := Config{
		ID: m.id, Disk: m.disk.id, Members: known, HeartbeatTicks: 2, ElectionTicks: 8, MaxEntries: c.maxEntries,
		// Half of the starts have a short first election.
		FirstElectionTicks: 2 * int(c.rand.Uint64()%2),
		Rand:               rand.New(rand.NewPCG(c.rand.Uint64(), 2)),
	}
	m.node = New(cfg, m.disk.stored)
	m.pending, m.frozen, m.appliedIndex, m.stateHash = nil, false, 0, 0
	c.restore(m, m.disk.stored.Snapshot)
}

func (c *cluster) restore(m *member, s Snapshot) {
	if s.Index <= m.appliedIndex {
		return
	}
	m.appliedIndex, m.stateHash = s.Index, binary.BigEndian.Uint64(s.Data)
	if want, ok := c.stateHashes[m.appliedIndex]; !ok || want != m.stateHash {
		c.t.Fatalf("member %s restored a state at %d that was never committed", m.id, m.appliedIndex)
	}
}

func (c *cluster) crash(m *member) { m.node, m.pending, m.frozen = nil, nil, false }

// loseDisk crashes a member and replaces its disk with an empty one.
func (c *cluster) loseDisk(m *member) {
	c.crash(m)
	c.newDisk(m)
}

// canLoseDisk reports whether a quorum of replaced or original disks remains if the
// member loses its disk.
func (c *cluster) canLoseDisk(m *member) bool {
	outsideTable := 1
	for _, other := range c.members {
		if other != m && !other.disk.isInTable(other.id) && !c.hasOriginalDisk(other) {
			outsideTable++
		}
	}
	return outsideTable <= len(c.ids)-(len(c.ids)/2+1)
}

// hasOriginalDisk reports whether a founder still has the disk that it started with.
func (c *cluster) hasOriginalDisk(m *member) bool {
	return slices.Index(c.ids, m.id) < c.founders && m.disk.id == DiskID(fmt.Sprintf("%s%d", m.id, slices.Index(c.ids, m.id)+1))
}

// run simulates a number of ticks.
func (c *cluster) run(ticks int) {
	for range ticks {
		c.tick++
		c.admitMembers()
		for _, i := range c.rand.Perm(len(c.ids)) {
			m := c.members[c.ids[i]]
			if m.node != nil && !m.frozen {
				m.node.Tick()
				c.process(m)
			}
		}
		for range 3 {
			c.deliver()
		}
	}
}

// deliver delivers the messages that are due, in random order.
func (c *cluster) deliver() {
	due := c.inFlight
	c.inFlight = nil
	for _, i := range c.rand.Perm(len(due)) {
		f := due[i]
		if f.deliverAt > c.tick {
			c.inFlight = append(c.inFlight, f)
			continue
		}
		msg, err := Decode(f.data)
		if err != nil {
			c.t.Fatalf("sent message does not decode: %v", err)
		}
		m := c.members[msg.To]
		if m.frozen {
			f.deliverAt = c.tick + 1
			c.inFlight = append(c.inFlight, f)
		} else if m.node != nil && c.partition[msg.From] == c.partition[msg.To] {
			m.node.Step(msg)
			c.process(m)
		}
	}
}

// process processes the pending Ready of a member, or randomly delays it or crashes the
// member before or after a partial write.
func (c *cluster) process(m *member) {
	for {
		c.checkLeader(m)
		if m.pending == nil {
			if !m.node.HasReady() {
				return
			}
			r := m.node.Ready()
			m.pending = &r
		}
		if c.percent(c.slowPercent) {
			return
		}
		if c.percent(c.crashPercent) {
			if c.percent(50) {
				m.disk.save(*m.pending, c.percent(50))
			}
			c.crash(m)
			return
		}
		r := *m.pending
		m.pending = nil
		m.disk.save(r, false)
		c.execute(m, r)
		m.node.Advance()
	}
}

func (c *cluster) execute(m *member, r Ready) {
	for _, msg := range r.Messages {
		c.transmit(msg)
	}
	if r.Snapshot != nil {
		c.restore(m, *r.Snapshot)
	}
	for _, e := range r.Committed {
		c.apply(m, e)
	}
	for _, read := range r.Reads {
		c.confirmedReads++
		if read.Index < c.minReadIndex[read.ID] {
			c.t.Fatalf("read %d at %s sees index %d, but %d was committed before it", read.ID, m.id, read.Index, c.minReadIndex[read.ID])
		}
	}
}

func (c *cluster) transmit(msg Message) {
	data, err := Encode(msg)
	if err != nil {
		c.t.Fatalf("encode: %v", err)
	}
	c.sentMessages[msg.Kind]++
	c.sentBytes[msg.Kind] += len(data)
	copies := 1
	if c.percent(c.dropPercent) {
		copies = 0
	} else if c.percent(c.dupPercent) {
		copies = 2
	}
	for range copies {
		at := c.tick
		if c.delay > 0 {
			at += c.rand.IntN(c.delay)
		}
		c.inFlight = append(c.inFlight, inFlightMessage{deliverAt: at, data: data})
	}
}

func (c *cluster) apply(m *member, e Entry) {
	if e.Index != m.appliedIndex+1 {
		c.t.Fatalf("member %s applies %d after %d", m.id, e.Index, m.appliedIndex)
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %d %d %q", m.stateHash, e.Index, e.Term, e.Kind, e.Data)
	m.appliedIndex, m.stateHash = e.Index, h.Sum64()
	if want, ok := c.stateHashes[m.appliedIndex]; ok && want != m.stateHash {
		c.t.Fatalf("member %s applies a different entry at %d than the committed one: %+v", m.id, e.Index, e)
	}
	c.stateHashes[m.appliedIndex] = m.stateHash
	c.commitIndex = max(c.commitIndex, m.appliedIndex)
}

func (c *cluster) checkLeader(m *member) {
	if s := m.node.Status(); s.Role == Leader {
		if previous, ok := c.leaders[s.Term]; ok && previous != m.id {
			c.t.Fatalf("term %d has two leaders, %s and %s", s.Term, previous, m.id)
		}
		c.leaders[s.Term] = m.id
	}
}

func (c *cluster) percent(p int) bool { return p > 0 && c.rand.IntN(100) < p }

// propose proposes commands at every running member and returns how many were accepted,
// which only leaders do.
func (c *cluster) propose(count int) (accepted int) {
	for _, id := range c.ids {
		m := c.members[id]
		if m.node == nil || m.frozen {
			continue
		}
		for i := range count {
			if _, _, ok := m.node.Propose(fmt.Appendf(nil, "%s %d %d", id, c.tick, i)); ok {
				accepted++
			}
		}
		c.process(m)
	}
	return accepted
}

// read requests a read at every running member; only members that consider themselves
// the leader accept it.
func (c *cluster) read() {
	for _, id := range c.ids {
		m := c.members[id]
		if m.node == nil || m.frozen {
			continue
		}
		c.lastReadID++
		c.minReadIndex[c.lastReadID] = c.commitIndex
		m.node.ReadIndex(c.lastReadID)
		c.process(m)
	}
}

// compact makes a member replace its applied log entries with a snapshot.
func (c *cluster) compact(m *member) {
	if m.node != nil && m.pending == nil && m.appliedIndex > 0 {
		m.node.Compact(m.appliedIndex, binary.BigEndian.AppendUint64(nil, m.stateHash))
		c.process(m)
	}
}

// heal removes all faults and starts all members.
func (c *cluster) heal() {
	c.dropPercent, c.dupPercent, c.crashPercent, c.slowPercent, c.delay = 0, 0, 0, 0, 1
	clear(c.partition)
	for _, id := range c.ids {
		c.members[id].frozen = false
		c.start(c.members[id])
	}
}

// converge heals the cluster and checks that it commits new entries, that every disk is
// in the member table and that all members reach the same state.
func (c *cluster) converge() {
	c.heal()
	target := uint64(0)
	// Members join one after the other.
	const ticksPerJoin = 600
	for range ticksPerJoin * (1 + len(c.ids) - c.founders) {
		c.run(1)
		if target == 0 && c.propose(1) > 0 {
			target = c.commitIndex + 2
		}
		if target > 0 && c.hasConverged(target) {
			return
		}
		if target > 0 && c.commitIndex < target {
			c.propose(1)
		}
	}
	for _, id := range c.ids {
		m := c.members[id]
		if m.node == nil {
			continue
		}
		fmt.Fprintf(os.Stderr, "%s disk %s applied %d %+v group %x\n", id, m.disk.id, m.appliedIndex, m.node.Status(), m.node.snap.Group)
	}
	c.t.Fatalf("the healed cluster does not converge: target index %d, committed index %d", target, c.commitIndex)
}

func (c *cluster) hasConverged(target uint64) bool {
	for _, m := range c.members {
		s := m.node.Status()
		if m.appliedIndex < target || m.appliedIndex != c.commitIndex || s.Role == Learner || s.Members[m.id] != m.disk.id ||
			!maps.Equal(s.Members, c.members[c.ids[0]].node.Status().Members) {
			return false
		}
	}
	return true
}

func (c *cluster) leader() *member {
	for _, id := range c.ids {
		if m := c.members[id]; m.node != nil && m.node.Status().Role == Leader {
			return m
		}
	}
	return nil
}
