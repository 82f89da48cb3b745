package consensus

import (
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
		c.run(rapid.SampledFrom([]int{0, 80}).Draw(t, "quiet ticks"))
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			randomFault(t, c)
			c.run(rapid.IntRange(1, 30).Draw(t, "ticks"))
		}
		c.settle()
	})
}

func randomFault(t *rapid.T, c *cluster) {
	m := c.members[rapid.SampledFrom(c.ids).Draw(t, "member")]
	if leader := c.leader(); leader != nil && rapid.Bool().Draw(t, "leader instead") {
		m = leader
	}
	switch action := rapid.IntRange(0, 16).Draw(t, "action"); action {
	case 0:
		c.crash(m)
	case 1:
		if c.mayLose(m) {
			c.lose(m)
		}
	case 2:
		m.frozen = m.node != nil
	case 3:
		m.frozen = false
	case 4:
		c.cut[m.id] = !c.cut[m.id]
	case 5:
		c.dropPercent = rapid.IntRange(0, 40).Draw(t, "drop")
		c.dupPercent = rapid.IntRange(0, 30).Draw(t, "duplicate")
	case 6:
		c.delay = rapid.SampledFrom([]int{0, 2, 5, 40}).Draw(t, "delay")
	case 7:
		c.crashPercent = rapid.SampledFrom([]int{0, 0, 1, 4}).Draw(t, "crash")
		c.slowPercent = rapid.SampledFrom([]int{0, 0, 20}).Draw(t, "slow")
	case 8:
		c.compact(m)
	case 9:
		c.read()
	case 10:
		for _, id := range c.ids {
			c.start(c.members[id])
		}
	case 11:
		c.heal()
	case 12:
		// A leader that is cut off, or cannot be heard, keeps taking proposals.
		c.cut[m.id] = true
		c.propose(3)
	default:
		c.propose(rapid.IntRange(1, 5).Draw(t, "proposals"))
	}
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
