package consensus

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against two leaders in a term, committed entries that change or
// vanish, stale reads and a cluster that does not recover, under loss,
// repetition, reordering and delay of messages, crashes around the sync, lost
// disks and frozen members.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 3, 5, 5, 4, 1}).Draw(t, "size")
		c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		c.limit(rapid.SampledFrom([]int{64, 1, 2}).Draw(t, "entries per message"))
		c.run(rapid.SampledFrom([]int{0, 80}).Draw(t, "quiet ticks"))
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			randomFault(t, c)
			c.run(rapid.SampledFrom([]int{0, 1, 2, 3, 5, 12, 30}).Draw(t, "ticks"))
		}
		c.settle()
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
		if c.mayLose(m) {
			c.lose(m)
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
			c.side[id] = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case 5:
		clear(c.side)
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
		// A leader that is cut off takes proposals until it notices.
		clear(c.side)
		c.side[m.id] = 1
		c.propose(3)
	default:
		c.propose(rapid.SampledFrom([]int{1, 3, 100}).Draw(t, "proposals"))
	}
}

// Guards against a repair that counts a disk too early: entries are committed
// without some members, a member that holds them loses its disk and is brought
// up to date only partly, and then the members that lack entries meet it alone.
func TestRandomRepairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "size")
		c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		c.limit(rapid.SampledFrom([]int{64, 1, 2}).Draw(t, "entries per message"))
		for range rapid.IntRange(1, 4).Draw(t, "repairs") {
			c.settle()
			if rapid.Bool().Draw(t, "old leader returns") {
				randomOldLeader(t, c, c.leader())
			} else {
				randomRepair(t, c, c.leader())
			}
		}
		c.settle()
	})
}

func randomRepair(t *rapid.T, c *cluster, leader *member) {
	others := rapid.Permutation(slices.DeleteFunc(slices.Clone(c.ids), func(id MemberID) bool { return id == leader.id })).Draw(t, "others")
	behind, lost := others[:len(c.ids)/2], c.members[others[len(others)-1]]
	for _, id := range behind {
		c.side[id] = 1
	}
	c.propose(rapid.IntRange(1, 5).Draw(t, "before"))
	c.run(3)
	if rapid.Bool().Draw(t, "compact") {
		c.compact(leader)
	}
	c.propose(rapid.SampledFrom([]int{1, 5, 100}).Draw(t, "after"))
	c.run(rapid.IntRange(0, 4).Draw(t, "ticks to commit"))
	c.lose(lost)
	c.start(lost)
	c.delay = rapid.SampledFrom([]int{0, 3}).Draw(t, "delay")
	c.dropPercent = rapid.SampledFrom([]int{0, 30}).Draw(t, "drop")
	if rapid.Bool().Draw(t, "others return") {
		clear(c.side)
	}
	c.run(rapid.IntRange(0, 12).Draw(t, "ticks to catch up"))
	clear(c.side)
	c.side[leader.id] = 1
	c.run(rapid.IntRange(0, 60).Draw(t, "ticks without the leader"))
	c.propose(2)
	c.run(rapid.IntRange(0, 10).Draw(t, "ticks after"))
}

// randomOldLeader freezes a leader together with a minority, lets the others
// elect a new one and commit, and brings the old leader back next to a member of
// the new majority that has just lost its disk.
func randomOldLeader(t *rapid.T, c *cluster, old *member) {
	others := rapid.Permutation(slices.DeleteFunc(slices.Clone(c.ids), func(id MemberID) bool { return id == old.id })).Draw(t, "others")
	minority, majority := others[:len(c.ids)/2-1], others[len(c.ids)/2-1:]
	old.frozen = true
	for _, id := range minority {
		c.side[id], c.members[id].frozen = 1, true
	}
	c.propose(rapid.IntRange(0, 2).Draw(t, "before"))
	c.run(40)
	c.propose(rapid.IntRange(1, 3).Draw(t, "after"))
	c.run(3)
	lost := c.members[majority[0]]
	c.lose(lost)
	c.start(lost)
	c.network = nil
	c.side[old.id], c.side[lost.id], old.frozen = 1, 1, false
	for _, id := range minority {
		c.members[id].frozen = false
	}
	c.propose(rapid.IntRange(0, 2).Draw(t, "at the old leader"))
	c.run(rapid.IntRange(0, 20).Draw(t, "ticks with the old leader"))
}

// Guards against two first tables that both gain a majority, and against members
// that never agree on one: disks are lost while the members meet.
func TestRandomFirstStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		c.delay = rapid.SampledFrom([]int{1, 3, 6}).Draw(t, "delay")
		c.dropPercent = rapid.SampledFrom([]int{0, 50, 80}).Draw(t, "drop")
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			c.run(rapid.IntRange(0, 8).Draw(t, "ticks"))
			m := c.members[rapid.SampledFrom(c.ids).Draw(t, "member")]
			if rapid.Bool().Draw(t, "lost") && c.mayLose(m) {
				c.lose(m)
			} else {
				c.crash(m)
			}
			c.start(m)
			for _, id := range c.ids {
				c.side[id] = c.rand.IntN(3) / 2
			}
		}
		c.run(60)
		c.propose(1)
		c.run(5)
		c.settle()
	})
}

// Guards against a second vote in one term: all members start at once, so that
// several ask for votes in the same term, and some restart between their votes.
func TestRandomElections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		c.settle()
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
		c.settle()
	})
}

// Guards against a panic on what the network carries: Step must handle any
// message that decodes.
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
			Term: number("entry term"), Index: m.Index + uint64(i) + 1, Kind: EntryKind(rapid.IntRange(0, 3).Draw(t, "entry kind")),
			Data: []byte(rapid.SampledFrom([]string{"", "{", `{"member":"a","disk":"x"}`, `{"member":"z"}`}).Draw(t, "data")),
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
		for _, flight := range c.network {
			f.Add(flight.data)
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
