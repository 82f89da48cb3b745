package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a leader that stays leader without a majority, and against a
// returning member that disturbs the leader by a higher term.
func TestCutOffMembers(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settle()
	old := c.leader()
	c.side[old.id] = 1
	c.run(17) // two checks of the quorum
	qt.Assert(t, old.node.Status().Role, qt.Not(qt.Equals), Leader)
	c.settle()
	term, cut := c.leader().node.Status().Term, c.members[c.ids[0]]
	if cut == c.leader() {
		cut = c.members[c.ids[1]]
	}
	c.side[cut.id] = 1
	c.run(200)
	c.settle()
	qt.Assert(t, c.leader().node.Status().Term, qt.Equals, term)
}

// Guards against reads that are never confirmed and against a new disk that
// needs more than one replacement.
func TestReadsAndReplacement(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settle()
	c.read()
	c.run(3)
	qt.Assert(t, c.served, qt.Equals, 1)
	leader := c.leader()
	last := leader.node.Status().Last
	follower := c.members[c.ids[0]]
	if follower == leader {
		follower = c.members[c.ids[1]]
	}
	c.lose(follower)
	c.start(follower)
	c.run(20)
	qt.Assert(t, follower.node.Status().Role, qt.Equals, Follower)
	qt.Assert(t, leader.node.Status().Last, qt.Equals, last+1)
}

// Guards against a commit of an entry of an older term by counting: another
// leader may still replace it until an entry of the own term is committed.
func TestOlderTermIsNotCounted(t *testing.T) {
	table := map[MemberID]DiskID{"a": "a1", "b": "b1", "c": "c1"}
	group := tableHash(table)
	n := New(Config{ID: "a", Disk: "a1", HeartbeatTicks: 1, ElectionTicks: 5, Rand: rand.New(rand.NewPCG(1, 1))}, Stored{
		Hard: HardState{Term: 1}, Snapshot: Snapshot{Members: table, Group: group}, Entries: []Entry{{Term: 1, Index: 1}},
	})
	reply := func(kind MessageKind, index uint64) {
		n.Step(Message{From: "b", To: "a", Disk: "b1", Group: group, Kind: kind, Term: 2, Index: index, Granted: true})
		n.Ready()
		n.Advance()
	}
	for range 10 {
		n.Tick()
	}
	reply(PreVoteReply, 0)
	reply(VoteReply, 0)
	qt.Assert(t, n.Status().Role, qt.Equals, Leader)
	reply(AppendReply, 1)
	qt.Assert(t, n.Status().Commit, qt.Equals, uint64(0))
	reply(AppendReply, 2)
	qt.Assert(t, n.Status().Commit, qt.Equals, uint64(2))
}

// Guards against a member that is left out for ever because it recorded a first
// table that names a lost disk, while the others recorded a later one.
func TestOtherFirstTable(t *testing.T) {
	c := newCluster(t, 3, 1)
	for _, id := range c.ids {
		c.crash(c.members[id])
		table := map[MemberID]DiskID{"a": "a1", "b": "b2", "c": "c3"}
		if id == "a" {
			table["c"] = "lost"
		}
		c.members[id].disk.stored.Snapshot = Snapshot{Members: table, Group: tableHash(table)}
	}
	c.settle()
}

// Guards against a group without a leader because the one member whose vote is
// missing was named in the first table but never recorded it (a run with seed
// 901 stalled): two disks are lost, and two members have entries or a snapshot.
func TestEmptyMemberIsNeeded(t *testing.T) {
	first := map[MemberID]DiskID{"a": "a1", "b": "b2", "c": "c3", "d": "d4", "e": "e5"}
	later := maps.Clone(first)
	later["d"] = "d6"
	entries := []Entry{
		{Term: 1, Index: 1, Kind: Noop}, {Term: 1, Index: 2},
		{Term: 1, Index: 3, Kind: ReplaceDisk, Data: []byte(`{"member":"c","disk":"c7"}`)},
	}
	for name, stored := range map[string]Stored{
		"replacement not committed": {Snapshot: Snapshot{Members: first}, Entries: entries, Hard: HardState{Term: 1, Commit: 2}},
		"replacement compacted": {
			Snapshot: Snapshot{Index: 2, Term: 1, Members: later, Data: make([]byte, 8)}, Hard: HardState{Term: 1, Commit: 2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 5, 1)
			stored.Snapshot.Group = tableHash(first)
			c.hashes[stored.Snapshot.Index] = 0
			for _, id := range []MemberID{"a", "e"} {
				c.crash(c.members[id])
				c.members[id].disk.stored = stored
			}
			c.lose(c.members["c"])
			c.lose(c.members["d"])
			c.settle()
		})
	}
}

// Guards against a group without a leader after the loss of a second disk right
// after a repair (a run with seed 903 stalled): the member that remains holds the
// replacement, has a longer log and does not know that it is committed.
func TestSecondLossAfterRepair(t *testing.T) {
	c := newCluster(t, 3, 1)
	first := map[MemberID]DiskID{"a": "a1", "b": "b2", "c": "c3"}
	entries := []Entry{
		{Term: 1, Index: 1, Kind: Noop}, {Term: 1, Index: 2, Kind: ReplaceDisk, Data: []byte(`{"member":"b","disk":"b4"}`)},
		{Term: 1, Index: 3},
	}
	for id, commit := range map[MemberID]uint64{"a": 1, "b": 2} {
		c.crash(c.members[id])
		c.members[id].disk.stored = Stored{
			Snapshot: Snapshot{Members: first, Group: tableHash(first)}, Hard: HardState{Term: 1, Commit: commit},
			Entries: entries[:4-commit],
		}
	}
	c.members["b"].disk.id = "b4"
	c.lose(c.members["c"])
	c.settle()
}

// BenchmarkProposal reports the cost of one proposal and the messages for it.
func BenchmarkProposal(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			c := newCluster(b, size, 1)
			c.settle()
			clear(c.sent)
			clear(c.bytes)
			b.ReportAllocs()
			for b.Loop() {
				c.propose(1)
				c.deliver()
				c.deliver()
			}
			b.ReportMetric(float64(c.bytes[Append])/float64(c.sent[Append]), "B/append")
			b.ReportMetric(float64(c.bytes[Heartbeat])/float64(c.sent[Heartbeat]), "B/heartbeat")
			total := 0
			for _, n := range c.bytes {
				total += n
			}
			b.ReportMetric(float64(total)/float64(b.N), "B/op-net")
			if c.leader().node.Status().Commit < uint64(b.N) {
				b.Fatal("proposals were not committed")
			}
		})
	}
}

// BenchmarkStart reports the cost of a start with a log of entries.
func BenchmarkStart(b *testing.B) {
	for _, count := range []int{300, 3000} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			c := newCluster(b, 3, 1)
			c.settle()
			c.propose(count)
			c.run(50)
			c.settle()
			m := c.members[c.ids[0]]
			b.ReportAllocs()
			for b.Loop() {
				c.crash(m)
				c.start(m)
				c.work(m)
			}
			if m.index < uint64(count) {
				b.Fatal("entries were not applied")
			}
		})
	}
}
