package consensus

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// replacement is a ReplaceDisk entry of the log.
type replacement struct {
	index  uint64
	Member MemberID `json:"member"`
	Disk   DiskID   `json:"disk"`
}

// tableHash identifies a member table.
func tableHash(table map[MemberID]DiskID) uint64 {
	h := xxhash.New()
	for _, m := range slices.Sorted(maps.Keys(table)) {
		_, _ = h.WriteString(string(m) + "\x00" + string(table[m]) + "\x00")
	}
	return h.Sum64()
}

// tableAt returns the member table at index, which is not below the snapshot.
func (n *Node) tableAt(index uint64) map[MemberID]DiskID {
	table := maps.Clone(n.snap.Members)
	for _, r := range n.replacements {
		if _, known := table[r.Member]; known && r.index <= index {
			table[r.Member] = r.Disk
		}
	}
	return table
}

// refreshTable recomputes the committed table and the one that includes
// uncommitted entries.
func (n *Node) refreshTable() {
	n.members = n.tableAt(n.commit)
	n.ahead = n.tableAt(n.lastIndex())
	n.ids = slices.Sorted(maps.Keys(n.members))
}

// counts tells whether votes and acknowledgements of a disk count. While a
// replacement is in the log and not known to be committed, neither the old nor
// the new disk counts: the new one may lack what the old one acknowledged, and
// an old one that returns may lack what was committed with the new one.
func (n *Node) counts(member MemberID, disk DiskID) bool {
	return disk != "" && n.members[member] == disk && n.ahead[member] == disk
}

// isVoter tells whether this member itself counts.
func (n *Node) isVoter() bool { return n.counts(n.cfg.ID, n.cfg.Disk) }

// quorum returns the size of a majority.
func (n *Node) quorum() int { return len(n.members)/2 + 1 }

// empty tells that this member was never part of a group.
func (n *Node) empty() bool { return n.snap.Members == nil }

// fresh tells that this member holds nothing but a first table. Delayed
// messages of a lost disk can make it record a table that no other member
// holds; an elected leader of another group may then overwrite it.
func (n *Node) fresh() bool {
	return n.snap.Index == 0 && len(n.log) == 0 && n.commit == 0
}

// sayHello tells all members that this one is empty and which disks it knows.
// Round numbers the messages of this run of the process; Hint repeats the last
// number of the receiver.
func (n *Node) sayHello() {
	n.helloRound++
	for _, m := range n.cfg.Members {
		if m != n.cfg.ID {
			n.send(Message{
				To: m, Kind: Hello, Granted: true, Members: maps.Clone(n.known), Round: n.helloRound, Hint: n.seen[m],
			})
		}
	}
}

// recent tells whether m answers a later message of this run than all before
// it. A delayed message of a disk that was lost since is not recent.
func (n *Node) recent(m Message) bool {
	const runBits = 32
	if m.Hint>>runBits != n.helloRound>>runBits || m.Hint > n.helloRound || m.Hint < n.answered[m.From] {
		return false
	}
	n.answered[m.From] = m.Hint
	return true
}

func (n *Node) handleHello(m Message) {
	switch {
	case n.empty() && m.Granted:
		n.noteEmpty(m)
	case n.empty():
		n.adopt(m)
	case m.Granted:
		n.answerHello(m)
	}
}

// noteEmpty records another empty member. The first table is recorded once all
// members repeated exactly the same table from the disks that it names: a
// member that recorded a table no longer repeats another, so two tables cannot
// both get a majority, even when a disk is lost during the exchange.
func (n *Node) noteEmpty(m Message) {
	n.seen[m.From] = m.Round
	if !slices.Contains(n.cfg.Members, m.From) || !n.recent(m) {
		return
	}
	n.known[m.From] = m.Disk
	n.echoes[m.From] = m.Members
	n.maybeRecord()
}

func (n *Node) maybeRecord() {
	for _, member := range n.cfg.Members {
		if n.known[member] == "" || member != n.cfg.ID && !maps.Equal(n.echoes[member], n.known) {
			return
		}
	}
	n.record(maps.Clone(n.known))
}

// adopt takes the first table of another member if it names this disk. A table
// that differs from the first one is not adopted: a snapshot follows.
func (n *Node) adopt(m Message) {
	if n.recent(m) && m.Members[n.cfg.ID] == n.cfg.Disk && tableHash(m.Members) == m.Group {
		n.record(maps.Clone(m.Members))
	}
}

// record makes table the first member table.
func (n *Node) record(table map[MemberID]DiskID) {
	n.snap = Snapshot{Members: table, Group: tableHash(table)}
	n.snapPending = true
	n.refreshTable()
	n.resetTimer()
}

// answerHello tells an empty member the table; the leader also sends a snapshot.
// Without a leader any member does so for a disk that is in the table: such a
// disk never voted, a snapshot holds only what was committed, and its vote may
// be needed to elect a leader at all.
func (n *Node) answerHello(m Message) {
	table := n.members
	switch {
	case n.ahead[m.From] != m.Disk:
		table = n.ahead
	case n.snap.Index == 0:
		table = n.snap.Members
	}
	n.send(Message{To: m.From, Kind: Hello, Members: maps.Clone(table), Hint: m.Round})
	if n.role == Leader && n.peers[m.From] != nil {
		p := n.heard(m)
		p.needSnapshot = true
		n.sendAppend(m.From, p)
		return
	}
	if n.hasLeader() || n.installWait > 0 || n.ahead[m.From] != m.Disk || n.snap.Index == 0 {
		return
	}
	n.installWait = n.cfg.ElectionTicks
	s := n.snap
	n.send(Message{To: m.From, Kind: Install, Snapshot: &s, Granted: true, Hint: m.Round})
}

// maybeReplace proposes to replace the disk of a member that caught up under a
// disk that is not in the table, one at a time.
func (n *Node) maybeReplace(member MemberID, p *peer) {
	if n.members[member] == p.disk || n.termAt(n.commit) != n.term || p.match < n.commit {
		return
	}
	if !maps.Equal(n.members, n.ahead) {
		return
	}
	data, err := json.Marshal(replacement{Member: member, Disk: p.disk})
	if err != nil {
		panic(err)
	}
	n.appendLocal(ReplaceDisk, data)
}

// noteReplacement records a ReplaceDisk entry that was appended. One that does
// not decode has no effect, at any member.
func (n *Node) noteReplacement(e Entry) {
	if e.Kind != ReplaceDisk {
		return
	}
	r := replacement{}
	if json.Unmarshal(e.Data, &r) != nil || r.Disk == "" {
		return
	}
	r.index = e.Index
	n.replacements = append(n.replacements, r)
	n.refreshTable()
}
