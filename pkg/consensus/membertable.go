package consensus

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tableChange is the decoded content of a ReplaceDisk or an AddMember entry.
type tableChange struct {
	index  uint64
	kind   EntryKind
	Member MemberID `json:"member"`
	Disk   DiskID   `json:"disk"`
}

// parseTableChange returns the change of the member table that an entry makes. An entry that
// does not decode changes nothing at any member.
func parseTableChange(e Entry) (c tableChange, ok bool) {
	if e.Kind != ReplaceDisk && e.Kind != AddMember {
		return c, false
	}
	c = tableChange{kind: e.Kind, index: e.Index}
	return c, json.Unmarshal(e.Data, &c) == nil && c.Disk != "" && c.Member != ""
}

// apply changes a member table.
func (c tableChange) apply(table map[MemberID]DiskID) {
	if _, ok := table[c.Member]; ok == (c.kind == ReplaceDisk) {
		table[c.Member] = c.Disk
	}
}

// tableHash returns a hash that identifies a member table.
func tableHash(table map[MemberID]DiskID) uint64 {
	h := xxhash.New()
	for _, m := range slices.Sorted(maps.Keys(table)) {
		_, _ = h.WriteString(string(m) + "\x00" + string(table[m]) + "\x00")
	}
	return h.Sum64()
}

// tableAt returns the member table at index, which must not be below the snapshot.
func (n *Node) tableAt(index uint64) map[MemberID]DiskID {
	table := maps.Clone(n.snap.Members)
	for _, c := range n.tableChanges {
		if c.index <= index {
			c.apply(table)
		}
	}
	return table
}

// refreshTables recomputes the committed and the latest member table, and who is sent
// messages: the members of both tables and those that the leader admits.
func (n *Node) refreshTables() {
	n.committedTable = n.tableAt(n.commitIndex)
	n.latestTable = n.tableAt(n.lastIndex())
	ids := maps.Clone(n.admitted)
	if ids == nil {
		ids = map[MemberID]bool{}
	}
	// No entry removes a member, so the latest table has all members of the committed one.
	for m := range n.latestTable {
		ids[m] = true
	}
	n.memberIDs = slices.Sorted(maps.Keys(ids))
}

// AdmitMember lets a new member join: the leader sends it a snapshot and the log, and adds
// it to the member table once it has caught up. Only the leader admits members, one at a
// time, and forgets them when it steps down. AdmitMember reports whether the member is
// admitted or in the table.
func (n *Node) AdmitMember(id MemberID) bool {
	if _, ok := n.latestTable[id]; ok {
		return true
	}
	if n.role != Leader || len(n.admitted) > 0 && !n.admitted[id] {
		return false
	}
	if n.peers[id] == nil {
		n.admitted = map[MemberID]bool{id: true}
		n.peers[id] = &peerProgress{nextIndex: n.lastIndex() + 1}
		n.refreshTables()
	}
	return true
}

// isVotingDisk reports whether votes and acknowledgements from a disk count towards a
// quorum. While a replacement is in the log and not known to be committed, neither the
// old nor the new disk counts: the new disk may lack entries that the old one
// acknowledged, and an old disk that returns may lack entries that were committed with
// the new one. A new member counts from the entry on that adds it.
func (n *Node) isVotingDisk(member MemberID, disk DiskID) bool {
	if disk == "" || n.latestTable[member] != disk {
		return false
	}
	committedDisk, ok := n.committedTable[member]
	return !ok || committedDisk == disk
}

// isVoter reports whether the disk of this member counts towards a quorum.
func (n *Node) isVoter() bool { return n.isVotingDisk(n.cfg.ID, n.cfg.Disk) }

// isQuorum reports whether the members that meet a condition are a majority of the
// committed and of the latest member table. The condition must not hold for a member whose
// disk does not vote.
func (n *Node) isQuorum(condition func(MemberID) bool) bool {
	for _, table := range []map[MemberID]DiskID{n.committedTable, n.latestTable} {
		count := 0
		for m := range table {
			if condition(m) {
				count++
			}
		}
		if 2*count <= len(table) {
			return false
		}
	}
	return true
}

// isEmpty reports whether this member has never been part of a group.
func (n *Node) isEmpty() bool { return n.snap.Members == nil }

// hasOnlyFirstTable reports whether this member stores a first member table and nothing
// else. Delayed messages from a lost disk can make it store a table that no other member
// has; an elected leader of another group may then overwrite it.
func (n *Node) hasOnlyFirstTable() bool {
	return n.snap.Index == 0 && len(n.log) == 0 && n.commitIndex == 0
}

// broadcastHello announces to all members that this one is empty and which disks it has
// discovered. Round numbers the Hello messages of this process run; Hint echoes the last
// round received from the receiver.
func (n *Node) broadcastHello() {
	n.helloRound++
	for _, m := range n.knownMembers {
		if m != n.cfg.ID {
			n.send(Message{
				To: m, Kind: Hello, Granted: true, Members: maps.Clone(n.discoveredDisks), Round: n.helloRound, Hint: n.receivedRounds[m],
			})
		}
	}
}

// acceptHelloReply reports whether m answers a Hello of this process run that is at least
// as new as every one its sender answered before, and records its round. A delayed
// message from a disk that has since been lost is not accepted.
func (n *Node) acceptHelloReply(m Message) bool {
	const runBits = 32
	if m.Hint>>runBits != n.helloRound>>runBits || m.Hint > n.helloRound || m.Hint < n.answeredRounds[m.From] {
		return false
	}
	n.answeredRounds[m.From] = m.Hint
	return true
}

// handleHello processes a Hello from an empty member or a reply from a member of a group.
func (n *Node) handleHello(m Message) {
	switch {
	case n.isEmpty() && m.Granted:
		n.handleEmptyPeer(m)
	case n.isEmpty():
		n.adoptFirstTable(m)
	case m.Granted:
		n.replyToHello(m)
	}
}

// handleEmptyPeer records the disk of another empty member and the table it reports. The
// first member table is stored once every member has reported exactly the same table
// from the disk that the table names. A member that stored a table no longer reports a
// different one, so two tables cannot both get a majority, even when a disk is lost
// during the exchange.
func (n *Node) handleEmptyPeer(m Message) {
	n.receivedRounds[m.From] = m.Round
	if !slices.Contains(n.cfg.Members, m.From) || !n.acceptHelloReply(m) {
		return
	}
	n.discoveredDisks[m.From] = m.Disk
	n.reportedTables[m.From] = m.Members
	n.maybeStoreFirstTable()
}

// maybeStoreFirstTable stores the first member table if all members report the same one.
func (n *Node) maybeStoreFirstTable() {
	for _, member := range n.cfg.Members {
		if n.discoveredDisks[member] == "" || member != n.cfg.ID && !maps.Equal(n.reportedTables[member], n.discoveredDisks) {
			return
		}
	}
	n.storeFirstTable(maps.Clone(n.discoveredDisks))
}

// adoptFirstTable stores the first member table reported by a member of a group if it
// names the disk of this member. Of any later table it only learns the members, because a
// snapshot follows, from a leader that may have joined after this member was configured.
func (n *Node) adoptFirstTable(m Message) {
	if !n.acceptHelloReply(m) {
		return
	}
	if m.Members[n.cfg.ID] == n.cfg.Disk && tableHash(m.Members) == m.Group {
		n.storeFirstTable(maps.Clone(m.Members))
		return
	}
	for _, member := range slices.Sorted(maps.Keys(m.Members)) {
		if !slices.Contains(n.knownMembers, member) {
			n.knownMembers = append(n.knownMembers, member)
		}
	}
}

// storeFirstTable makes table the first member table, by which an empty member founds or
// joins a group.
func (n *Node) storeFirstTable(table map[MemberID]DiskID) {
	n.snap = Snapshot{Members: table, Group: tableHash(table)}
	n.snapPending = true
	n.refreshTables()
	n.resetTimer()
}

// replyToHello sends the member table to an empty member; the leader also sends a
// snapshot. Without a leader, any member sends its snapshot to a disk that is in the
// table, whose vote may be needed to elect a leader. This is safe: such a disk has never
// voted, and a snapshot contains only committed entries.
func (n *Node) replyToHello(m Message) {
	table := n.committedTable
	switch {
	case n.latestTable[m.From] != m.Disk:
		table = n.latestTable
	case n.snap.Index == 0:
		// The snapshot is the first member table, which the empty member adopts if the
		// table names its disk.
		table = n.snap.Members
	}
	n.send(Message{To: m.From, Kind: Hello, Members: maps.Clone(table), Hint: m.Round})
	if n.role == Leader && n.peers[m.From] != nil {
		p := n.markActive(m)
		p.needSnapshot = true
		n.sendAppend(m.From, p)
		return
	}
	if n.hasActiveLeader() || n.ticksUntilSnapshot > 0 || n.latestTable[m.From] != m.Disk || n.snap.Index == 0 {
		return
	}
	n.ticksUntilSnapshot = n.cfg.ElectionTicks
	s := n.snap
	n.send(Message{To: m.From, Kind: InstallSnapshot, Snapshot: &s, Granted: true, Hint: m.Round})
}

// maybeProposeTableChange proposes a ReplaceDisk or an AddMember entry for a member that has
// caught up on a disk that is not in the member table. Only one change is in progress at a
// time. The old disk of the member may be alive, but votes no more from the entry on, so the
// other members must be able to commit the entry without it.
func (n *Node) maybeProposeTableChange(member MemberID, p *peerProgress) {
	if n.committedTable[member] == p.disk || n.termAt(n.commitIndex) != n.term || p.matchIndex < n.commitIndex {
		return
	}
	if !maps.Equal(n.committedTable, n.latestTable) || !n.hasQuorum(func(other *peerProgress) bool { return other != p && other.active }) {
		return
	}
	data, err := json.Marshal(tableChange{Member: member, Disk: p.disk})
	if err != nil {
		panic(err)
	}
	kind := ReplaceDisk
	if _, ok := n.committedTable[member]; !ok {
		kind = AddMember
		// The entry makes it a member, so the next one may be admitted.
		n.admitted = nil
	}
	n.appendLocal(kind, data)
}

// trackTableChange applies an appended entry to the latest member table if it changes it.
func (n *Node) trackTableChange(e Entry) {
	if c, ok := parseTableChange(e); ok {
		n.tableChanges = append(n.tableChanges, c)
		n.refreshTables()
	}
}
