package consensus

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against two leaders in a term, changed or lost committed entries, stale reads
// and a cluster that does not recover. Messages are lost, duplicated, reordered and
// delayed, members crash before and after a sync, lose their disks and freeze.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 3, 5, 5, 4, 1}).Draw(t, "size")
		c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		c.setMaxEntries(rapid.SampledFrom([]int{64, 1, 2}).Draw(t, "entries per message"))
		c.run(rapid.SampledFrom([]int{0, 80}).Draw(t, "quiet ticks"))
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			randomFault(t, c)
			c.run(rapid.SampledFrom([]int{0, 1, 2, 3, 5, 12, 30}).Draw(t, "ticks"))
		}
		c.converge()
	})
}

func randomFault(t *rapid.T, c *cluster) {
	m := c.members[rapid.SampledFrom(c.ids).Draw(t, "member")]
	if leader := c.leader(); leader != nil && rapid.Bool().Draw(t, "leader instead") {
		m = leader
	}
	switch rapid.IntRange(0, 15).Draw(t, "action") {
	case 0:
		c.crash(m)
	case 1:
		if c.canLoseDisk(m) {
			c.loseDisk(m)
			if rapid.Bool().Draw(t, "back at once") {
				c.start(m)
			}
		}
	case 2:
		m.frozen = m.node != nil
	case 3:
		m.frozen = false
		c.read()
	case 4:
		for _, id := range c.ids {
			c.partition[id] = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case 5:
		clear(c.partition)
	case 6:
		c.dropPercent = rapid.IntRange(0, 40).Draw(t, "drop")
		c.dupPercent = rapid.IntRange(0, 30).Draw(t, "duplicate")
	case 7:
		c.delay = rapid.SampledFrom([]int{0, 2, 5, 40}).Draw(t, "delay")
	case 8:
		c.crashPercent = rapid.SampledFrom([]int{0, 0, 1, 4}).Draw(t, "crash")
		c.slowPercent = rapid.SampledFrom([]int{0, 0, 20}).Draw(t, "slow")
	case 9:
		c.compact(m)
	case 10:
		c.read()
	case 11:
		for _, id := range c.ids {
			c.start(c.members[id])
		}
	case 12:
		c.heal()
	case 13:
		// A partitioned leader accepts proposals until its quorum check fails.
		clear(c.partition)
		c.partition[m.id] = 1
		c.propose(3)
	default:
		c.propose(rapid.SampledFrom([]int{1, 3, 100}).Draw(t, "proposals"))
	}
}

// Guards against two leaders, changed entries and stale reads while a group grows: members
// join at any moment of the same faults as in TestRandomFaults.
func TestRandomGrowth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 3, 1, 4}).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		c.setMaxEntries(rapid.SampledFrom([]int{64, 1, 2}).Draw(t, "entries per message"))
		c.run(rapid.SampledFrom([]int{0, 80}).Draw(t, "quiet ticks"))
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			if c.commitIndex > 0 && len(c.ids) < 7 && rapid.IntRange(0, 5).Draw(t, "join") == 0 {
				c.addMember()
			}
			randomFault(t, c)
			c.run(rapid.SampledFrom([]int{0, 1, 2, 3, 5, 12, 30}).Draw(t, "ticks"))
		}
		c.converge()
	})
}

// Guards against a new disk that counts towards a quorum too early. Entries are committed
// without some members, a member that has them loses its disk and catches up only in
// part, and then it is alone with the members that lack those entries.
func TestRandomReplacements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "size")
		c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		c.setMaxEntries(rapid.SampledFrom([]int{64, 1, 2}).Draw(t, "entries per message"))
		for range rapid.IntRange(1, 4).Draw(t, "repairs") {
			c.converge()
			if rapid.Bool().Draw(t, "old leader returns") {
				randomOldLeader(t, c, c.leader())
			} else {
				randomReplacement(t, c, c.leader())
			}
		}
		c.converge()
	})
}

func randomReplacement(t *rapid.T, c *cluster, leader *member) {
	others := rapid.Permutation(slices.DeleteFunc(slices.Clone(c.ids), func(id MemberID) bool { return id == leader.id })).Draw(t, "others")
	lagging, lost := others[:len(c.ids)/2], c.members[others[len(others)-1]]
	for _, id := range lagging {
		c.partition[id] = 1
	}
	c.propose(rapid.IntRange(1, 5).Draw(t, "before"))
	c.run(3)
	if rapid.Bool().Draw(t, "compact") {
		c.compact(leader)
	}
	c.propose(rapid.SampledFrom([]int{1, 5, 100}).Draw(t, "after"))
	c.run(rapid.IntRange(0, 4).Draw(t, "ticks to commit"))
	c.loseDisk(lost)
	c.start(lost)
	c.delay = rapid.SampledFrom([]int{0, 3}).Draw(t, "delay")
	c.dropPercent = rapid.SampledFrom([]int{0, 30}).Draw(t, "drop")
	if rapid.Bool().Draw(t, "others return") {
		clear(c.partition)
	}
	c.run(rapid.IntRange(0, 12).Draw(t, "ticks to catch up"))
	clear(c.partition)
	c.partition[leader.id] = 1
	c.run(rapid.IntRange(0, 60).Draw(t, "ticks without the leader"))
	c.propose(2)
	c.run(rapid.IntRange(0, 10).Draw(t, "ticks after"))
}

// randomOldLeader freezes a leader and a minority of the members, lets the others elect a
// new leader and commit, and then connects the old leader with a member of the new
// majority that has just lost its disk.
func randomOldLeader(t *rapid.T, c *cluster, old *member) {
	others := rapid.Permutation(slices.DeleteFunc(slices.Clone(c.ids), func(id MemberID) bool { return id == old.id })).Draw(t, "others")
	minority, majority := others[:len(c.ids)/2-1], others[len(c.ids)/2-1:]
	old.frozen = true
	for _, id := range minority {
		c.partition[id], c.members[id].frozen = 1, true
	}
	c.propose(rapid.IntRange(0, 2).Draw(t, "before"))
	c.run(40)
	c.propose(rapid.IntRange(1, 3).Draw(t, "after"))
	c.run(3)
	lost := c.members[majority[0]]
	c.loseDisk(lost)
	c.start(lost)
	c.inFlight = nil
	c.partition[old.id], c.partition[lost.id], old.frozen = 1, 1, false
	for _, id := range minority {
		c.members[id].frozen = false
	}
	c.propose(rapid.IntRange(0, 2).Draw(t, "at the old leader"))
	c.run(rapid.IntRange(0, 20).Draw(t, "ticks with the old leader"))
}

// Guards against two different first member tables that both get a majority, and against
// members that never agree on one. Disks are lost while the members discover each other.
func TestRandomFirstStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		c.delay = rapid.SampledFrom([]int{1, 3, 6}).Draw(t, "delay")
		c.dropPercent = rapid.SampledFrom([]int{0, 50, 80}).Draw(t, "drop")
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			c.run(rapid.IntRange(0, 8).Draw(t, "ticks"))
			m := c.members[rapid.SampledFrom(c.ids).Draw(t, "member")]
			if rapid.Bool().Draw(t, "lost") && c.canLoseDisk(m) {
				c.loseDisk(m)
			} else {
				c.crash(m)
			}
			c.start(m)
			for _, id := range c.ids {
				c.partition[id] = c.rand.IntN(3) / 2
			}
		}
		c.run(60)
		c.propose(1)
		c.run(5)
		c.converge()
	})
}

// Guards against a member that votes twice in one term. All members start at once, so
// that several are candidates in the same term, and one restarts between its votes.
func TestRandomElections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		c.converge()
		for range rapid.IntRange(1, 10).Draw(t, "elections") {
			for _, id := range c.ids {
				c.crash(c.members[id])
				c.start(c.members[id])
			}
			c.delay = rapid.SampledFrom([]int{1, 3, 6}).Draw(t, "delay")
			restarting := rapid.SampledFrom(c.ids).Draw(t, "restarting")
			for range 25 {
				c.run(1)
				c.crash(c.members[restarting])
				c.start(c.members[restarting])
			}
		}
		c.converge()
	})
}

// Guards against a panic in Step: it must handle any message, well-formed or not.
func TestRandomMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3, rapid.Uint64().Draw(t, "seed"))
		c.run(rapid.SampledFrom([]int{0, 60}).Draw(t, "ticks"))
		c.propose(3)
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			m := c.members[rapid.SampledFrom(c.ids).Draw(t, "to")]
			m.node.Step(drawMessage(t, c, m))
			if m.node.HasReady() {
				m.node.Ready()
				m.node.Advance()
			}
		}
	})
}

func drawMessage(t *rapid.T, c *cluster, to *member) Message {
	number := func(label string) uint64 {
		return rapid.SampledFrom([]uint64{0, 1, 2, 3, 4, 5, 1 << 63, 1<<64 - 1}).Draw(t, label)
	}
	from := rapid.SampledFrom(c.ids).Draw(t, "from")
	m := Message{
		From: from, To: to.id, Disk: c.members[from].disk.id, Kind: MessageKind(rapid.IntRange(0, 11).Draw(t, "kind")),
		Term: number("term"), LogTerm: number("log term"), Index: number("index"), Commit: number("commit"),
		Hint: number("hint"), Round: number("round"), Granted: rapid.Bool().Draw(t, "granted"), Group: to.node.snap.Group,
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "entries") {
		m.Entries = append(m.Entries, Entry{
			Term: number("entry term"), Index: m.Index + uint64(i) + 1, Kind: EntryKind(rapid.IntRange(0, 4).Draw(t, "entry kind")),
			Data: []byte(rapid.SampledFrom([]string{"", "{", `{"member":"a","disk":"x"}`, `{"member":"z"}`, `{"member":"z","disk":"x"}`}).Draw(t, "data")),
		})
	}
	if rapid.Bool().Draw(t, "with snapshot") {
		m.Snapshot = &Snapshot{
			Index: number("snapshot index"), Term: number("snapshot term"), Group: m.Group,
			Members: map[MemberID]DiskID{"a": "a1", "b": "b2", "c": "c3"}, Data: make([]byte, 8),
		}
	}
	return m
}

// FuzzDecode guards against a panic on bytes from the network.
func FuzzDecode(f *testing.F) {
	c := newCluster(f, 3, 1)
	for _, ticks := range []int{1, 30, 1} {
		c.run(ticks)
		c.propose(1)
		for _, message := range c.inFlight {
			f.Add(message.data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		for _, ticks := range []int{0, 60} {
			c := newCluster(t, 3, 1)
			c.run(ticks)
			m.To, m.Group = c.ids[0], c.members[c.ids[0]].node.snap.Group
			c.members[m.To].node.Step(m)
			c.members[m.To].node.Ready()
		}
	})
}
