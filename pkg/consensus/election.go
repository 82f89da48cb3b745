package consensus

// startElection asks all members for their vote. The pre-vote round leaves the
// term alone, so that a member that cannot win does not disturb a leader.
func (n *Node) startElection(preVote bool) {
	n.role, n.leader, n.preVote = Candidate, "", preVote
	n.votes = map[MemberID]bool{}
	n.peers = nil
	n.reads = nil
	n.resetTimer()
	kind, term := PreVote, n.term+1
	if !preVote {
		kind = Vote
		n.term, n.vote = term, n.cfg.ID
	}
	for _, m := range n.ids {
		if m != n.cfg.ID {
			n.send(Message{To: m, Kind: kind, Term: term, Index: n.lastIndex(), LogTerm: n.termAt(n.lastIndex())})
		}
	}
	if preVote {
		n.countVote(n.cfg.ID, n.cfg.Disk)
	}
}

// hasLeader tells that a leader was heard of within the least election time-out.
func (n *Node) hasLeader() bool {
	return n.role == Leader || n.leader != "" && n.elapsed < n.cfg.ElectionTicks
}

func (n *Node) handleVote(m Message) {
	last := n.lastIndex()
	current := m.LogTerm > n.termAt(last) || m.LogTerm == n.termAt(last) && m.Index >= last
	grant := n.isVoter() && current && !n.hasLeader()
	if m.Kind == PreVote {
		reply := Message{To: m.From, Kind: PreVoteReply, Granted: grant && m.Term > n.term}
		if reply.Granted {
			reply.Term = m.Term
		}
		n.send(reply)
		return
	}
	grant = grant && (n.vote == "" || n.vote == m.From)
	if grant {
		n.vote = m.From
		n.resetTimer()
	}
	n.send(Message{To: m.From, Kind: VoteReply, Granted: grant})
}

func (n *Node) handleVoteReply(m Message) {
	wanted := n.role == Candidate && m.Granted &&
		(m.Kind == PreVoteReply && n.preVote && m.Term == n.term+1 || m.Kind == VoteReply && !n.preVote)
	if wanted {
		n.countVote(m.From, m.Disk)
	}
}

func (n *Node) countVote(member MemberID, disk DiskID) {
	if !n.counts(member, disk) {
		return
	}
	n.votes[member] = true
	switch {
	case len(n.votes) < n.quorum():
	case n.preVote:
		n.startElection(false)
	default:
		n.becomeLeader()
	}
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.elapsed, n.beatElapsed = 0, 0
	n.peers = map[MemberID]*peer{}
	for _, m := range n.ids {
		if m != n.cfg.ID {
			n.peers[m] = &peer{next: n.lastIndex() + 1}
		}
	}
	n.appendLocal(Noop, nil)
}

// becomeFollower enters a term, or leaves the role of leader or candidate.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term, n.vote = term, ""
	}
	if n.role != Follower {
		n.resetTimer()
	}
	n.role, n.leader = Follower, leader
	n.peers, n.votes, n.reads = nil, nil, nil
	n.wantRound = false
}

// followLeader notes a message of the leader of the current term. It is false
// if this member is itself the leader, which only a faulty message can contradict.
func (n *Node) followLeader(m Message) bool {
	if n.role == Leader {
		return false
	}
	n.becomeFollower(m.Term, m.From)
	n.elapsed = 0
	return true
}
