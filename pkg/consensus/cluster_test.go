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

// TestMain fixes seed and count of the random tests; flags given on the command
// line go first, for longer runs.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "300", "rapid.seed": "11", "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// failer is the part of testing.TB and rapid.T that the cluster needs.
type failer interface {
	Fatalf(format string, args ...any)
}

// disk is what a member finds after a crash.
type disk struct {
	id     DiskID
	stored Stored
}

// save writes the first parts of a Ready: the snapshot is a file of its own,
// entries and hard state are one record.
func (d *disk) save(r Ready, snapshotOnly bool) {
	s := &d.stored
	if r.Snapshot != nil {
		log, keep := s.Entries, []Entry(nil)
		if i := int(r.Snapshot.Index - s.Snapshot.Index); i > 0 && i <= len(log) && log[i-1].Term == r.Snapshot.Term {
			keep = slices.Clone(log[i:])
		}
		s.Snapshot, s.Entries = *r.Snapshot, keep
	}
	if snapshotOnly {
		return
	}
	if len(r.Entries) > 0 {
		s.Entries = append(s.Entries[:r.Entries[0].Index-s.Snapshot.Index-1], r.Entries...)
	}
	if r.Hard != nil {
		s.Hard = *r.Hard
	}
}

// inTable tells whether the durable committed table names the disk.
func (d *disk) inTable(id MemberID) bool {
	named := d.stored.Snapshot.Members[id]
	for _, e := range d.stored.Entries {
		var r replacement
		if e.Kind == ReplaceDisk && e.Index <= d.stored.Hard.Commit && json.Unmarshal(e.Data, &r) == nil && r.Member == id {
			named = r.Disk
		}
	}
	return named == d.id
}

// member is one simulated process. Its state machine is a hash over the applied entries.
type member struct {
	id     MemberID
	disk   *disk
	node   *Node
	frozen bool
	ready  *Ready
	index  uint64
	hash   uint64
}

type flight struct {
	at   int
	data []byte
}

// cluster simulates members, disks and network and checks the oracle at each step.
type cluster struct {
	t       failer
	rand    *rand.Rand
	ids     []MemberID
	members map[MemberID]*member
	network []flight
	now     int
	disks   int
	reads   uint64
	// maxEntries is small in some runs, so that members catch up step by step.
	maxEntries int

	dropPercent, dupPercent, crashPercent, slowPercent, delay int
	// side tells the sides of a partition.
	side map[MemberID]int

	// hashes holds the state after each committed index, leaders the leader of each term.
	hashes    map[uint64]uint64
	leaders   map[uint64]MemberID
	committed uint64
	// wanted holds the least index that a read must see.
	wanted map[uint64]uint64
	served int
	// sent counts messages and bytes by kind.
	sent  map[MessageKind]int
	bytes map[MessageKind]int
}

func newCluster(t failer, size int, seed uint64) *cluster {
	c := &cluster{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), members: map[MemberID]*member{}, side: map[MemberID]int{},
		hashes: map[uint64]uint64{0: 0}, leaders: map[uint64]MemberID{}, wanted: map[uint64]uint64{},
		sent: map[MessageKind]int{}, bytes: map[MessageKind]int{},
	}
	for i := range size {
		c.ids = append(c.ids, MemberID(rune('a'+i)))
	}
	for _, id := range c.ids {
		c.members[id] = &member{id: id}
		c.newDisk(c.members[id])
		c.start(c.members[id])
	}
	return c
}

// limit sets the entries per message of all members, which are empty.
func (c *cluster) limit(entries int) {
	c.maxEntries = entries
	for _, id := range c.ids {
		c.crash(c.members[id])
		c.start(c.members[id])
	}
}

func (c *cluster) newDisk(m *member) {
	c.disks++
	m.disk = &disk{id: DiskID(fmt.Sprintf("%s%d", m.id, c.disks))}
}

func (c *cluster) start(m *member) {
	if m.node != nil {
		return
	}
	cfg := Config{
		ID: m.id, Disk: m.disk.id, Members: c.ids, HeartbeatTicks: 2, ElectionTicks: 8, MaxEntries: c.maxEntries,
		// Half of the starts have a short first election.
		FirstElectionTicks: 2 * int(c.rand.Uint64()%2),
		Rand:               rand.New(rand.NewPCG(c.rand.Uint64(), 2)),
	}
	m.node = New(cfg, m.disk.stored)
	m.ready, m.frozen, m.index, m.hash = nil, false, 0, 0
	c.restore(m, m.disk.stored.Snapshot)
}

func (c *cluster) restore(m *member, s Snapshot) {
	if s.Index <= m.index {
		return
	}
	m.index, m.hash = s.Index, binary.BigEndian.Uint64(s.Data)
	if want, ok := c.hashes[m.index]; !ok || want != m.hash {
		c.t.Fatalf("member %s restored a state at %d that was never committed", m.id, m.index)
	}
}

func (c *cluster) crash(m *member) { m.node, m.ready, m.frozen = nil, nil, false }

// lose takes the disk of a member away.
func (c *cluster) lose(m *member) {
	c.crash(m)
	c.newDisk(m)
}

// mayLose tells whether one more lost disk leaves a quorum of old ones.
func (c *cluster) mayLose(m *member) bool {
	unrepaired := 1
	for _, other := range c.members {
		if other != m && !other.disk.inTable(other.id) && !c.untouched(other) {
			unrepaired++
		}
	}
	return unrepaired <= len(c.ids)-(len(c.ids)/2+1)
}

// untouched tells that a member still has the first disk it was given.
func (c *cluster) untouched(m *member) bool {
	return m.disk.id == DiskID(fmt.Sprintf("%s%d", m.id, slices.Index(c.ids, m.id)+1))
}

// run simulates some ticks.
func (c *cluster) run(ticks int) {
	for range ticks {
		c.now++
		for _, i := range c.rand.Perm(len(c.ids)) {
			m := c.members[c.ids[i]]
			if m.node != nil && !m.frozen {
				m.node.Tick()
				c.work(m)
			}
		}
		for range 3 {
			c.deliver()
		}
	}
}

// deliver hands over the messages that are due, in random order.
func (c *cluster) deliver() {
	due := c.network
	c.network = nil
	for _, i := range c.rand.Perm(len(due)) {
		f := due[i]
		if f.at > c.now {
			c.network = append(c.network, f)
			continue
		}
		msg, err := Decode(f.data)
		if err != nil {
			c.t.Fatalf("sent message does not decode: %v", err)
		}
		m := c.members[msg.To]
		if m.frozen {
			f.at = c.now + 1
			c.network = append(c.network, f)
		} else if m.node != nil && c.side[msg.From] == c.side[msg.To] {
			m.node.Step(msg)
			c.work(m)
		}
	}
}

// work carries out the Ready of a member, or crashes it in the middle.
func (c *cluster) work(m *member) {
	for {
		c.checkLeader(m)
		if m.ready == nil {
			if !m.node.HasReady() {
				return
			}
			r := m.node.Ready()
			m.ready = &r
		}
		if c.percent(c.slowPercent) {
			return
		}
		if c.percent(c.crashPercent) {
			if c.percent(50) {
				m.disk.save(*m.ready, c.percent(50))
			}
			c.crash(m)
			return
		}
		r := *m.ready
		m.ready = nil
		m.disk.save(r, false)
		c.carryOut(m, r)
		m.node.Advance()
	}
}

func (c *cluster) carryOut(m *member, r Ready) {
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
		c.served++
		if read.Index < c.wanted[read.ID] {
			c.t.Fatalf("read %d at %s sees index %d, but %d was committed before it", read.ID, m.id, read.Index, c.wanted[read.ID])
		}
	}
}

func (c *cluster) transmit(msg Message) {
	data, err := Encode(msg)
	if err != nil {
		c.t.Fatalf("encode: %v", err)
	}
	c.sent[msg.Kind]++
	c.bytes[msg.Kind] += len(data)
	copies := 1
	if c.percent(c.dropPercent) {
		copies = 0
	} else if c.percent(c.dupPercent) {
		copies = 2
	}
	for range copies {
		at := c.now
		if c.delay > 0 {
			at += c.rand.IntN(c.delay)
		}
		c.network = append(c.network, flight{at: at, data: data})
	}
}

func (c *cluster) apply(m *member, e Entry) {
	if e.Index != m.index+1 {
		c.t.Fatalf("member %s applies %d after %d", m.id, e.Index, m.index)
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %d %d %q", m.hash, e.Index, e.Term, e.Kind, e.Data)
	m.index, m.hash = e.Index, h.Sum64()
	if want, ok := c.hashes[m.index]; ok && want != m.hash {
		c.t.Fatalf("member %s applies another entry at %d than was committed: %+v", m.id, e.Index, e)
	}
	c.hashes[m.index] = m.hash
	c.committed = max(c.committed, m.index)
}

func (c *cluster) checkLeader(m *member) {
	if s := m.node.Status(); s.Role == Leader {
		if old, ok := c.leaders[s.Term]; ok && old != m.id {
			c.t.Fatalf("term %d has two leaders, %s and %s", s.Term, old, m.id)
		}
		c.leaders[s.Term] = m.id
	}
}

func (c *cluster) percent(p int) bool { return p > 0 && c.rand.IntN(100) < p }

// propose offers commands to every member; only leaders take them.
func (c *cluster) propose(count int) (taken int) {
	for _, id := range c.ids {
		m := c.members[id]
		if m.node == nil || m.frozen {
			continue
		}
		for i := range count {
			if _, _, ok := m.node.Propose(fmt.Appendf(nil, "%s %d %d", id, c.now, i)); ok {
				taken++
			}
		}
		c.work(m)
	}
	return taken
}

// read asks every member that believes to be the leader.
func (c *cluster) read() {
	for _, id := range c.ids {
		m := c.members[id]
		if m.node == nil || m.frozen {
			continue
		}
		c.reads++
		c.wanted[c.reads] = c.committed
		m.node.ReadIndex(c.reads)
		c.work(m)
	}
}

// compact takes a snapshot of the applied state.
func (c *cluster) compact(m *member) {
	if m.node != nil && m.ready == nil && m.index > 0 {
		m.node.Compact(m.index, binary.BigEndian.AppendUint64(nil, m.hash))
		c.work(m)
	}
}

// heal ends all faults and starts all members.
func (c *cluster) heal() {
	c.dropPercent, c.dupPercent, c.crashPercent, c.slowPercent, c.delay = 0, 0, 0, 0, 1
	clear(c.side)
	for _, id := range c.ids {
		c.members[id].frozen = false
		c.start(c.members[id])
	}
}

// settle heals the cluster and checks that it commits again, that every disk is
// in the table and that all members reach the same state.
func (c *cluster) settle() {
	c.heal()
	target := uint64(0)
	for range 600 {
		c.run(1)
		if target == 0 && c.propose(1) > 0 {
			target = c.committed + 2
		}
		if target > 0 && c.settled(target) {
			return
		}
		if target > 0 && c.committed < target {
			c.propose(1)
		}
	}
	for _, id := range c.ids {
		m := c.members[id]
		fmt.Fprintf(os.Stderr, "%s disk %s applied %d %+v group %x\n", id, m.disk.id, m.index, m.node.Status(), m.node.snap.Group)
	}
	c.t.Fatalf("the healed cluster does not settle: target %d, committed %d", target, c.committed)
}

func (c *cluster) settled(target uint64) bool {
	for _, m := range c.members {
		s := m.node.Status()
		if m.index < target || m.index != c.committed || s.Role == Learner || s.Members[m.id] != m.disk.id ||
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
