package consensus

// peerProgress is the leader's replication state of another member.
type peerProgress struct {
	// disk is the disk of the member that this state belongs to.
	disk DiskID
	// matchIndex is the last entry known to be durable at the member, nextIndex the
	// next entry to send.
	matchIndex, nextIndex uint64
	// matchAtHeartbeatReply is matchIndex at the previous heartbeat reply; no progress
	// since then means that Append messages were lost.
	matchAtHeartbeatReply uint64
	// paused is set when an Append is sent and cleared when a message arrives from the
	// member. While matchIndex is unknown, that is 0, no Append is sent if it is set.
	paused bool
	// sentCommit is the commit index in the last message to the member.
	sentCommit uint64
	// ackedRound is the last heartbeat round that the member answered.
	ackedRound uint64
	// active is set when a message arrived since the last quorum check.
	active bool
	// needSnapshot is set when the member must receive a snapshot before further entries.
	needSnapshot bool
	// heartbeatsUntilSnapshot is the number of heartbeats until a snapshot may be sent
	// again.
	heartbeatsUntilSnapshot int
}

// markActive records that a message arrived from a member, so that the next Append may be
// sent, and returns its replication state, which starts over if the member has a new disk.
func (n *Node) markActive(m Message) *peerProgress {
	p := n.peers[m.From]
	if p.disk != m.Disk {
		*p = peerProgress{disk: m.Disk, nextIndex: n.lastIndex() + 1}
	}
	p.active, p.paused = true, false
	return p
}

// tickLeader steps down if no quorum was active during the last election timeout, and
// sends the periodic heartbeats.
func (n *Node) tickLeader() {
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		if !n.hasQuorum(func(p *peerProgress) bool { return p.active }) {
			n.becomeFollower(n.term, "")
			return
		}
		for _, p := range n.peers {
			p.active = false
		}
	}
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeatElapsed = 0
		for _, p := range n.peers {
			p.heartbeatsUntilSnapshot = max(0, p.heartbeatsUntilSnapshot-1)
		}
		n.broadcastHeartbeat()
	}
}

// hasQuorum reports whether a quorum of the members meets a condition. The leader itself
// counts as meeting it.
func (n *Node) hasQuorum(condition func(*peerProgress) bool) bool {
	return n.isQuorum(func(m MemberID) bool {
		if m == n.cfg.ID {
			return n.isVoter()
		}
		p := n.peers[m]
		return p != nil && n.isVotingDisk(m, p.disk) && condition(p)
	})
}

func (n *Node) broadcastHeartbeat() {
	for _, m := range n.memberIDs {
		if p := n.peers[m]; p != nil {
			n.sendHeartbeat(m, p)
		}
	}
}

func (n *Node) sendHeartbeat(to MemberID, p *peerProgress) {
	p.sentCommit = n.commitIndex
	n.send(Message{To: to, Kind: Heartbeat, Commit: n.commitIndex, LogTerm: n.termAt(n.commitIndex), Round: n.heartbeatRound})
}

// hasUnsent reports whether replicate would send an Append, snapshot or commit index.
func (n *Node) hasUnsent() bool {
	for _, p := range n.peers {
		if n.canAppend(p) || p.disk != "" && p.sentCommit < n.commitIndex {
			return true
		}
	}
	return false
}

// canAppend reports whether an Append or a snapshot may be sent to a peer now.
func (n *Node) canAppend(p *peerProgress) bool {
	switch {
	case p.needSnapshot:
		return p.heartbeatsUntilSnapshot == 0
	case p.matchIndex == 0:
		return p.nextIndex <= n.lastIndex() && !p.paused
	}
	return p.nextIndex <= n.lastIndex() && p.nextIndex-p.matchIndex <= uint64(maxInFlightMessages*n.cfg.MaxEntries)
}

// replicate starts a requested heartbeat round and sends new entries, or the new commit
// index, to all members.
func (n *Node) replicate() {
	if n.roundRequested {
		n.roundRequested = false
		n.heartbeatRound++
		n.broadcastHeartbeat()
		n.confirmReads()
	}
	for _, m := range n.memberIDs {
		p := n.peers[m]
		if p == nil {
			continue
		}
		for n.canAppend(p) {
			n.sendAppend(m, p)
		}
		if p.disk != "" && p.sentCommit < n.commitIndex {
			n.sendHeartbeat(m, p)
		}
	}
}

// sendAppend sends the next entries to a member, or the snapshot if the log was
// compacted past the first of them.
func (n *Node) sendAppend(to MemberID, p *peerProgress) {
	if p.needSnapshot || p.nextIndex <= n.snap.Index {
		p.needSnapshot = true
		if p.heartbeatsUntilSnapshot == 0 {
			// At most one snapshot is sent per election timeout.
			p.heartbeatsUntilSnapshot = 1 + n.cfg.ElectionTicks/n.cfg.HeartbeatTicks
			s := n.snap
			n.send(Message{To: to, Kind: InstallSnapshot, Snapshot: &s})
		}
		return
	}
	prev := p.nextIndex - 1
	entries := n.messageEntries(p.nextIndex)
	p.nextIndex += uint64(len(entries))
	p.sentCommit, p.paused = n.commitIndex, true
	n.send(Message{
		To: to, Kind: Append, Index: prev, LogTerm: n.termAt(prev), Entries: entries, Commit: n.commitIndex,
	})
}

// messageEntries returns as many entries from first on as fit into one message, at
// least one if there is any.
func (n *Node) messageEntries(first uint64) []Entry {
	last, size := first, 0
	for ; last <= n.lastIndex() && last-first < uint64(n.cfg.MaxEntries); last++ {
		size += len(n.log[last-n.snap.Index-1].Data)
		if size > maxMessageBytes && last > first {
			break
		}
	}
	return n.copyEntries(first, last-1)
}

func (n *Node) handleAppend(m Message) {
	if !n.acceptLeader(m) {
		return
	}
	reply := Message{To: m.From, Kind: AppendReply, Granted: true}
	switch {
	case m.Index < n.commitIndex:
		reply.Index = n.commitIndex
	case n.hasEntry(m.Index, m.LogTerm):
		n.appendEntries(m.Entries)
		reply.Index = m.Index + uint64(len(m.Entries))
		n.commitTo(min(m.Commit, reply.Index))
	default:
		reply.Granted, reply.Index, reply.Hint = false, m.Index, n.conflictHint(m)
	}
	n.send(reply)
}

// appendEntries appends the entries that the log lacks and first removes the entries
// that conflict with them. All of them are above the commit index.
func (n *Node) appendEntries(entries []Entry) {
	for i, e := range entries {
		if n.hasEntry(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.lastIndex() {
			n.truncate(e.Index)
		}
		for _, e := range entries[i:] {
			n.log = append(n.log, e)
			n.trackTableChange(e)
		}
		return
	}
}

// conflictHint returns the index of the last entry that may match the log of the leader
// after an Append was rejected.
func (n *Node) conflictHint(m Message) uint64 {
	i := min(m.Index, n.lastIndex())
	for i > n.commitIndex && n.termAt(i) > m.LogTerm {
		i--
	}
	if i == m.Index && i > n.commitIndex {
		i--
	}
	return i
}

// handleHeartbeat adopts the commit index of the leader only if the log has the leader's
// entry at that index. The leader cannot check this: the matchIndex that it has for this
// member may stem from a disk that was lost.
func (n *Node) handleHeartbeat(m Message) {
	if !n.acceptLeader(m) {
		return
	}
	if m.Commit > n.commitIndex && n.hasEntry(m.Commit, m.LogTerm) {
		n.commitTo(m.Commit)
	}
	n.send(Message{To: m.From, Kind: HeartbeatReply, Round: m.Round})
}

// handleInstall processes a snapshot. An empty member accepts it from the leader or as the
// response to its Hello, and a member with only a first member table accepts it from the
// leader of another group; both join the group of the sender. Any other member accepts it from its leader. It
// ignores a snapshot that its commit index covers, only advances its commit index if its log
// has the last entry of the snapshot, and otherwise replaces its whole log.
func (n *Node) handleInstall(m Message) {
	if m.Snapshot.Group != m.Group || m.Granted && !(n.isEmpty() && n.acceptHelloReply(m)) {
		return
	}
	joining := n.isEmpty() || n.snap.Group != m.Group
	if joining && m.Term < n.term || !joining && !n.acceptLeader(m) {
		return
	}
	s := *m.Snapshot
	switch {
	case joining:
		n.becomeFollower(m.Term, "")
		n.resetTimer()
		n.log = nil
		n.issuedIndex, n.durableIndex = s.Index, s.Index
		n.setSnapshot(s)
	case s.Index <= n.commitIndex:
	case n.hasEntry(s.Index, s.Term):
		n.commitTo(s.Index)
	default:
		n.log = nil
		n.issuedIndex, n.durableIndex = s.Index, s.Index
		n.setSnapshot(s)
	}
	n.send(Message{To: m.From, Kind: AppendReply, Granted: true, Index: n.commitIndex})
}

func (n *Node) handleAppendReply(m Message) {
	if n.role != Leader || n.peers[m.From] == nil {
		return
	}
	p := n.markActive(m)
	if !m.Granted {
		// A rejection below matchIndex is outdated, or the disk lost entries that it had
		// acknowledged. Answering it could loop for ever.
		if m.Hint >= p.matchIndex {
			p.nextIndex = min(m.Hint, n.lastIndex()) + 1
			n.sendAppend(m.From, p)
		}
		return
	}
	if m.Index > n.lastIndex() {
		return
	}
	p.needSnapshot = p.needSnapshot && m.Index < n.snap.Index
	if !p.needSnapshot {
		p.heartbeatsUntilSnapshot = 0
	}
	p.matchIndex = max(p.matchIndex, m.Index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n.advanceCommit()
	if n.role == Leader {
		n.maybeProposeTableChange(m.From, p)
	}
}

func (n *Node) handleHeartbeatReply(m Message) {
	if n.role != Leader || n.peers[m.From] == nil {
		return
	}
	p := n.markActive(m)
	p.ackedRound = max(p.ackedRound, min(m.Round, n.heartbeatRound))
	n.resendLost(m.From, p)
	n.maybeProposeTableChange(m.From, p)
	n.confirmReads()
}

// resendLost retransmits entries if the peer made no progress since its previous
// heartbeat reply. While matchIndex is unknown, an Append without entries probes for it.
func (n *Node) resendLost(to MemberID, p *peerProgress) {
	if p.matchIndex < n.lastIndex() && p.matchIndex == p.matchAtHeartbeatReply {
		if p.matchIndex > 0 {
			p.nextIndex = p.matchIndex + 1
		}
		n.sendAppend(to, p)
	}
	p.matchAtHeartbeatReply = p.matchIndex
}

// advanceCommit commits the entries of the current term that a quorum has made durable.
// It repeats until nothing changes, because committing a change of the member table changes
// which acknowledgements count.
func (n *Node) advanceCommit() {
	for {
		acked := map[MemberID]uint64{}
		if n.isVoter() {
			acked[n.cfg.ID] = n.durableIndex
		}
		for m, p := range n.peers {
			if n.isVotingDisk(m, p.disk) {
				acked[m] = p.matchIndex
			}
		}
		index := uint64(0)
		for _, candidate := range acked {
			if candidate > index && n.isQuorum(func(m MemberID) bool { return acked[m] >= candidate }) {
				index = candidate
			}
		}
		if index <= n.commitIndex || n.termAt(index) != n.term {
			return
		}
		n.commitTo(index)
		if !n.isVoter() {
			n.becomeFollower(n.term, "")
			return
		}
	}
}

// confirmReads releases the pending reads whose heartbeat round a quorum has answered.
func (n *Node) confirmReads() {
	unconfirmed := n.pendingReads[:0]
	for _, r := range n.pendingReads {
		if r.round <= n.heartbeatRound && n.hasQuorum(func(p *peerProgress) bool { return p.ackedRound >= r.round }) {
			n.confirmedReads = append(n.confirmedReads, r.ReadState)
		} else {
			unconfirmed = append(unconfirmed, r)
		}
	}
	n.pendingReads = unconfirmed
}
