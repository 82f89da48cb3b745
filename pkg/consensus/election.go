package consensus

// startElection requests the vote of every other member. The pre-vote round does not
// increment the term, so a member that cannot win the election does not depose a
// working leader.
func (n *Node) startElection(preVote bool) {
	n.role, n.leader, n.preVote = Candidate, "", preVote
	n.votes = map[MemberID]bool{}
	n.dropPeers()
	n.pendingReads = nil
	n.resetTimer()
	kind, term := PreVote, n.term+1
	if !preVote {
		kind = Vote
		n.term, n.votedFor = term, n.cfg.ID
	}
	for _, m := range n.memberIDs {
		if m != n.cfg.ID {
			n.send(Message{To: m, Kind: kind, Term: term, Index: n.lastIndex(), LogTerm: n.termAt(n.lastIndex())})
		}
	}
	if preVote {
		n.countVote(n.cfg.ID, n.cfg.Disk)
	}
}

// hasActiveLeader reports whether this member is the leader, or received a message from the
// leader within the minimum election timeout.
func (n *Node) hasActiveLeader() bool {
	return n.role == Leader || n.leader != "" && n.electionElapsed < n.cfg.ElectionTicks
}

// handleVote grants a vote or pre-vote to a candidate whose log is at least as up to
// date as the local one, unless a leader is active.
func (n *Node) handleVote(m Message) {
	last := n.lastIndex()
	upToDate := m.LogTerm > n.termAt(last) || m.LogTerm == n.termAt(last) && m.Index >= last
	// A member that does not know yet that it was added votes too: the candidate decides
	// whether its vote counts.
	_, known := n.latestTable[n.cfg.ID]
	grant := (n.isVoter() || !known) && upToDate && !n.hasActiveLeader()
	if m.Kind == PreVote {
		reply := Message{To: m.From, Kind: PreVoteReply, Granted: grant && m.Term > n.term}
		if reply.Granted {
			reply.Term = m.Term
		}
		n.send(reply)
		return
	}
	grant = grant && (n.votedFor == "" || n.votedFor == m.From)
	if grant {
		n.votedFor = m.From
		n.resetTimer()
	}
	n.send(Message{To: m.From, Kind: VoteReply, Granted: grant})
}

func (n *Node) handleVoteReply(m Message) {
	counted := n.role == Candidate && m.Granted &&
		(m.Kind == PreVoteReply && n.preVote && m.Term == n.term+1 || m.Kind == VoteReply && !n.preVote)
	if counted {
		n.countVote(m.From, m.Disk)
	}
}

// countVote counts a granted vote or pre-vote and moves to the next election phase
// once a quorum granted it.
func (n *Node) countVote(member MemberID, disk DiskID) {
	if !n.isVotingDisk(member, disk) {
		return
	}
	n.votes[member] = true
	switch {
	case !n.isQuorum(func(m MemberID) bool { return n.votes[m] }):
	case n.preVote:
		n.startElection(false)
	default:
		n.becomeLeader()
	}
}

// becomeLeader resets the replication state of all peers and appends the no-op entry
// of the new term.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.peers = map[MemberID]*peerProgress{}
	for _, m := range n.memberIDs {
		if m != n.cfg.ID {
			n.peers[m] = &peerProgress{nextIndex: n.lastIndex() + 1}
		}
	}
	n.appendLocal(Noop, nil)
}

// becomeFollower makes this member a follower of leader, which is empty if unknown,
// and enters term if it is newer than the current one.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term, n.votedFor = term, ""
	}
	if n.role != Follower {
		n.resetTimer()
	}
	n.role, n.leader = Follower, leader
	n.votes, n.pendingReads = nil, nil
	n.dropPeers()
	n.roundRequested = false
}

// dropPeers drops the state that only a leader keeps of other members.
func (n *Node) dropPeers() {
	n.peers = nil
	if n.admitted != nil {
		n.admitted = nil
		n.refreshTables()
	}
}

// acceptLeader makes this member follow the sender of a message from the leader of the
// current term. It reports whether the message is accepted: it is not if this member
// is itself the leader, since a term has only one and the message must be faulty.
func (n *Node) acceptLeader(m Message) bool {
	if n.role == Leader {
		return false
	}
	n.becomeFollower(m.Term, m.From)
	n.electionElapsed = 0
	return true
}
