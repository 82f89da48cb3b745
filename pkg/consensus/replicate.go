package consensus

import "slices"

// peer is what the leader knows about another member.
type peer struct {
	// disk is the disk that the fields below belong to.
	disk DiskID
	// match is the last entry known to be durable there, next the next to send.
	match, next uint64
	// lastMatch is match at the last heartbeat reply; no progress since then
	// means that entries were lost on the way.
	lastMatch uint64
	// paused tells that an entry was sent while match is unknown; the next one
	// is sent after an answer.
	paused bool
	// commit is the commit index that was sent last.
	commit uint64
	// round is the last heartbeat round that was answered.
	round uint64
	// active tells that the member was heard of since the last quorum check.
	active       bool
	needSnapshot bool
	// snapshotWait counts the heartbeats until a snapshot may be sent again.
	snapshotWait int
}

// heard notes a message of a member and returns what is known about it.
func (n *Node) heard(m Message) *peer {
	p := n.peers[m.From]
	if p.disk != m.Disk {
		*p = peer{disk: m.Disk, next: n.lastIndex() + 1}
	}
	p.active, p.paused = true, false
	return p
}

func (n *Node) tickLeader() {
	if n.elapsed >= n.cfg.ElectionTicks {
		n.elapsed = 0
		if !n.hasQuorum(func(p *peer) bool { return p.active }) {
			n.becomeFollower(n.term, "")
			return
		}
		for _, p := range n.peers {
			p.active = false
		}
	}
	if n.beatElapsed >= n.cfg.HeartbeatTicks {
		n.beatElapsed = 0
		for _, p := range n.peers {
			p.snapshotWait = max(0, p.snapshotWait-1)
		}
		n.broadcastHeartbeat()
	}
}

// hasQuorum tells whether a majority of the members fulfils a condition; the
// leader itself does.
func (n *Node) hasQuorum(condition func(*peer) bool) bool {
	count := 0
	if n.isVoter() {
		count++
	}
	for m, p := range n.peers {
		if n.counts(m, p.disk) && condition(p) {
			count++
		}
	}
	return count >= n.quorum()
}

func (n *Node) broadcastHeartbeat() {
	for _, m := range n.ids {
		if p := n.peers[m]; p != nil {
			n.sendHeartbeat(m, p)
		}
	}
}

func (n *Node) sendHeartbeat(to MemberID, p *peer) {
	p.commit = n.commit
	n.send(Message{To: to, Kind: Heartbeat, Commit: n.commit, LogTerm: n.termAt(n.commit), Round: n.round})
}

// wantsToSend tells whether replicate would send anything.
func (n *Node) wantsToSend() bool {
	for _, p := range n.peers {
		if n.canAppend(p) || p.disk != "" && p.commit < n.commit {
			return true
		}
	}
	return false
}

func (n *Node) canAppend(p *peer) bool {
	switch {
	case p.needSnapshot:
		return p.snapshotWait == 0
	case p.match == 0:
		return p.next <= n.lastIndex() && !p.paused
	}
	return p.next <= n.lastIndex() && p.next-p.match <= uint64(inFlightMessages*n.cfg.MaxEntries)
}

// replicate sends new entries, or the new commit index, to all members.
func (n *Node) replicate() {
	if n.wantRound {
		n.wantRound = false
		n.round++
		n.broadcastHeartbeat()
		n.confirmReads()
	}
	for _, m := range n.ids {
		p := n.peers[m]
		if p == nil {
			continue
		}
		for n.canAppend(p) {
			n.sendAppend(m, p)
		}
		if p.disk != "" && p.commit < n.commit {
			n.sendHeartbeat(m, p)
		}
	}
}

// sendAppend sends the next entries to a member, or the snapshot if the log
// does not reach back far enough.
func (n *Node) sendAppend(to MemberID, p *peer) {
	if p.needSnapshot || p.next <= n.snap.Index {
		p.needSnapshot = true
		if p.snapshotWait == 0 {
			p.snapshotWait = 1 + n.cfg.ElectionTicks/n.cfg.HeartbeatTicks
			s := n.snap
			n.send(Message{To: to, Kind: Install, Snapshot: &s})
		}
		return
	}
	prev := p.next - 1
	entries := n.bounded(p.next)
	p.next += uint64(len(entries))
	p.commit, p.paused = n.commit, true
	n.send(Message{
		To: to, Kind: Append, Index: prev, LogTerm: n.termAt(prev), Entries: entries, Commit: n.commit,
	})
}

// bounded returns entries from first on, within the bounds of one message.
func (n *Node) bounded(first uint64) []Entry {
	last, size := first, 0
	for ; last <= n.lastIndex() && last-first < uint64(n.cfg.MaxEntries); last++ {
		size += len(n.log[last-n.snap.Index-1].Data)
		if size > maxMessageBytes && last > first {
			break
		}
	}
	return n.slice(first, last-1)
}

func (n *Node) handleAppend(m Message) {
	if !n.followLeader(m) {
		return
	}
	reply := Message{To: m.From, Kind: AppendReply, Granted: true}
	switch {
	case m.Index < n.commit:
		reply.Index = n.commit
	case n.matches(m.Index, m.LogTerm):
		n.appendEntries(m.Entries)
		reply.Index = m.Index + uint64(len(m.Entries))
		n.commitTo(min(m.Commit, reply.Index))
	default:
		reply.Granted, reply.Index, reply.Hint = false, m.Index, n.hint(m)
	}
	n.send(reply)
}

// appendEntries appends what the log lacks and removes what differs. All
// entries are above the commit index.
func (n *Node) appendEntries(entries []Entry) {
	for i, e := range entries {
		if n.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.lastIndex() {
			n.truncate(e.Index)
		}
		for _, e := range entries[i:] {
			n.log = append(n.log, e)
			n.noteReplacement(e)
		}
		return
	}
}

// hint returns the last entry that may match the log of the leader.
func (n *Node) hint(m Message) uint64 {
	i := min(m.Index, n.lastIndex())
	for i > n.commit && n.termAt(i) > m.LogTerm {
		i--
	}
	if i == m.Index && i > n.commit {
		i--
	}
	return i
}

// handleHeartbeat takes the commit index only if the entry there is the one of
// the leader; what the leader knows about this member may be of a lost disk.
func (n *Node) handleHeartbeat(m Message) {
	if !n.followLeader(m) {
		return
	}
	if m.Commit > n.commit && n.matches(m.Commit, m.LogTerm) {
		n.commitTo(m.Commit)
	}
	n.send(Message{To: m.From, Kind: HeartbeatReply, Round: m.Round})
}

func (n *Node) handleInstall(m Message) {
	if m.Snapshot.Group != m.Group || m.Granted && !(n.empty() && n.recent(m)) {
		return
	}
	joins := n.empty() || n.snap.Group != m.Group
	if joins && m.Term < n.term || !joins && !n.followLeader(m) {
		return
	}
	s := *m.Snapshot
	switch {
	case joins:
		n.becomeFollower(m.Term, "")
		n.resetTimer()
		n.log = nil
		n.handed, n.stable = s.Index, s.Index
		n.setSnapshot(s)
	case s.Index <= n.commit:
	case n.matches(s.Index, s.Term):
		n.commitTo(s.Index)
	default:
		n.log = nil
		n.handed, n.stable = s.Index, s.Index
		n.setSnapshot(s)
	}
	n.send(Message{To: m.From, Kind: AppendReply, Granted: true, Index: n.commit})
}

func (n *Node) handleAppendReply(m Message) {
	if n.role != Leader || n.peers[m.From] == nil {
		return
	}
	p := n.heard(m)
	if !m.Granted {
		// A refusal below match is out of date, or the disk lost what it had
		// acknowledged; an answer to it could repeat for ever.
		if m.Hint >= p.match {
			p.next = min(m.Hint, n.lastIndex()) + 1
			n.sendAppend(m.From, p)
		}
		return
	}
	if m.Index > n.lastIndex() {
		return
	}
	p.needSnapshot = p.needSnapshot && m.Index < n.snap.Index
	if !p.needSnapshot {
		p.snapshotWait = 0
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	n.advanceCommit()
	if n.role == Leader {
		n.maybeReplace(m.From, p)
	}
}

func (n *Node) handleHeartbeatReply(m Message) {
	if n.role != Leader || n.peers[m.From] == nil {
		return
	}
	p := n.heard(m)
	p.round = max(p.round, min(m.Round, n.round))
	n.resend(m.From, p)
	n.maybeReplace(m.From, p)
	n.confirmReads()
}

// resend sends again what was lost on the way. While match is unknown, an
// append without entries finds it.
func (n *Node) resend(to MemberID, p *peer) {
	if p.match < n.lastIndex() && p.match == p.lastMatch {
		if p.match > 0 {
			p.next = p.match + 1
		}
		n.sendAppend(to, p)
	}
	p.lastMatch = p.match
}

// advanceCommit commits the entries of the own term that a quorum holds. A
// committed replacement changes who counts, so it is repeated.
func (n *Node) advanceCommit() {
	for {
		acks := []uint64{}
		if n.isVoter() {
			acks = append(acks, n.stable)
		}
		for m, p := range n.peers {
			if n.counts(m, p.disk) {
				acks = append(acks, p.match)
			}
		}
		if len(acks) < n.quorum() {
			return
		}
		slices.Sort(acks)
		index := acks[len(acks)-n.quorum()]
		if index <= n.commit || n.termAt(index) != n.term {
			return
		}
		n.commitTo(index)
		if !n.isVoter() {
			n.becomeFollower(n.term, "")
			return
		}
	}
}

func (n *Node) confirmReads() {
	kept := n.reads[:0]
	for _, r := range n.reads {
		if r.round <= n.round && n.hasQuorum(func(p *peer) bool { return p.round >= r.round }) {
			n.confirmed = append(n.confirmed, r.ReadState)
		} else {
			kept = append(kept, r)
		}
	}
	n.reads = kept
}
