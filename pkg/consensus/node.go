package consensus

import (
	"fmt"
	"maps"
	"slices"
)

const (
	// defaultMaxEntries and maxMessageBytes limit the entries in one message, so that
	// sending a backlog to a lagging member does not delay heartbeats.
	defaultMaxEntries = 64
	maxMessageBytes   = 256 << 10
	// maxInFlightMessages limits the unacknowledged full Append messages per member.
	maxInFlightMessages = 4
	// maxUncommitted limits the entries that wait for a quorum; Propose rejects
	// commands beyond it.
	maxUncommitted = 4096
)

// Node is the consensus state machine of one member. It is not safe for
// concurrent use. Elapsed times and timeouts are numbers of ticks.
type Node struct {
	cfg Config

	term         uint64
	votedFor     MemberID
	commitIndex  uint64
	appliedIndex uint64
	// issuedHardState is the hard state in the most recent Ready that contained one.
	issuedHardState HardState

	snap        Snapshot
	snapPending bool
	// log holds the entries after the snapshot.
	log []Entry
	// issuedIndex is the last entry that a Ready contained, durableIndex the last
	// entry known to be on disk.
	issuedIndex, durableIndex uint64

	// tableChanges are the ReplaceDisk and AddMember entries in log, in order.
	tableChanges []tableChange
	// committedTable is the member table at the commit index; latestTable also
	// includes changes that are not committed yet.
	committedTable, latestTable map[MemberID]DiskID
	// admitted holds the member that the leader lets join and that is in neither table yet.
	admitted map[MemberID]bool
	// memberIDs is sorted, so that iteration is deterministic.
	memberIDs []MemberID

	role    Role
	leader  MemberID
	preVote bool
	votes   map[MemberID]bool
	peers   map[MemberID]*peerProgress

	electionElapsed, electionTimeout int
	heartbeatElapsed                 int
	// ticksUntilSnapshot is the number of ticks until a member that is not the leader
	// may send its snapshot again.
	ticksUntilSnapshot int

	heartbeatRound uint64
	roundRequested bool
	pendingReads   []pendingRead
	confirmedReads []ReadState

	// The following fields are used only while the member is empty, to agree on the
	// first member table or to find the leader of a group that it joins.
	//
	// knownMembers holds the configured members and those that a group reported.
	// discoveredDisks holds the disk of each empty member, reportedTables the disks
	// that each of them reported as discovered. helloRound numbers the Hello broadcasts
	// of this member; its upper 32 bits are random and identify the process run, so that
	// answers to an earlier run are recognised. receivedRounds holds the last round
	// received from each member, and answeredRounds the last round of this member that
	// each one answered.
	knownMembers                   []MemberID
	discoveredDisks                map[MemberID]DiskID
	reportedTables                 map[MemberID]map[MemberID]DiskID
	helloRound                     uint64
	receivedRounds, answeredRounds map[MemberID]uint64

	messages    []Message
	outstanding *outstandingReady
}

// outstandingReady records what is durable once the caller has processed a Ready.
type outstandingReady struct {
	lastEntry Entry
	hardState HardState
}

// pendingRead is a read that is confirmed once a quorum has answered a heartbeat round.
type pendingRead struct {
	ReadState
	round uint64
}

// New returns a node that resumes from the stored state. It panics if the stored state
// is inconsistent.
func New(cfg Config, stored StoredState) *Node {
	if cfg.MaxEntries == 0 {
		cfg.MaxEntries = defaultMaxEntries
	}
	n := &Node{
		cfg: cfg, term: stored.HardState.Term, votedFor: stored.HardState.VotedFor, issuedHardState: stored.HardState,
		commitIndex: max(stored.HardState.Commit, stored.Snapshot.Index), appliedIndex: stored.Snapshot.Index,
		knownMembers: slices.Clone(cfg.Members), snap: stored.Snapshot, log: append([]Entry(nil), stored.Entries...), role: Follower,
		discoveredDisks: map[MemberID]DiskID{cfg.ID: cfg.Disk},
		reportedTables:  map[MemberID]map[MemberID]DiskID{}, helloRound: uint64(cfg.Rand.Uint32()) << 32,
		receivedRounds: map[MemberID]uint64{}, answeredRounds: map[MemberID]uint64{},
	}
	n.issuedIndex, n.durableIndex = n.lastIndex(), n.lastIndex()
	for i, e := range n.log {
		if e.Index != n.snap.Index+uint64(i)+1 {
			panic(fmt.Sprintf("consensus: stored entry %d has index %d after a snapshot at %d", i, e.Index, n.snap.Index))
		}
		n.trackTableChange(e)
	}
	if n.commitIndex > n.lastIndex() {
		panic(fmt.Sprintf("consensus: stored commit index %d is above the last entry %d", n.commitIndex, n.lastIndex()))
	}
	// A crash can leave a snapshot or entries of a term whose hard state was not
	// written yet.
	if lastTerm := n.termAt(n.lastIndex()); lastTerm > n.term {
		n.term, n.votedFor = lastTerm, ""
	}
	n.refreshTables()
	n.resetTimer()
	if ticks := cfg.FirstElectionTicks; ticks > 0 && !n.isEmpty() {
		n.electionTimeout = ticks + cfg.Rand.IntN(ticks+1)
	}
	if n.isEmpty() {
		n.maybeStoreFirstTable()
	}
	return n
}

// Tick advances the logical clock by one.
func (n *Node) Tick() {
	n.electionElapsed++
	n.heartbeatElapsed++
	n.ticksUntilSnapshot = max(0, n.ticksUntilSnapshot-1)
	switch {
	case n.isEmpty():
		if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
			n.heartbeatElapsed = 0
			n.broadcastHello()
		}
	case n.role == Leader:
		n.tickLeader()
	case n.electionElapsed >= n.electionTimeout:
		n.resetTimer()
		n.leader = ""
		if n.isVoter() {
			n.startElection(true)
		}
	}
}

// Step processes a message from another member. It ignores messages that are malformed,
// addressed to another member, or sent by an unknown member of no or another group. One of
// the same group may have been added by an entry that this member does not have yet.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || m.From == n.cfg.ID || m.validate() != nil {
		return
	}
	if !n.isMember(m.From) && (n.isEmpty() || m.Group != n.snap.Group) {
		return
	}
	switch {
	case m.Kind == Hello:
		n.handleHello(m)
	case m.Kind == InstallSnapshot && (n.isEmpty() || m.Group != n.snap.Group && n.hasOnlyFirstTable()):
		n.handleInstall(m)
	case n.isEmpty():
	case m.Group != n.snap.Group:
		if m.Kind == Heartbeat && n.hasOnlyFirstTable() {
			// The leader of another group is active, so this member requests its
			// snapshot as an empty member would.
			n.send(Message{To: m.From, Kind: Hello, Granted: true})
		}
	default:
		n.stepInGroup(m)
	}
}

// stepInGroup compares the term of a message from a member of the same group with the
// current one and dispatches the message by kind.
func (n *Node) stepInGroup(m Message) {
	n.learnCommit(m)
	if m.Term > n.term {
		switch {
		case m.Kind == PreVote, m.Kind == PreVoteReply && m.Granted:
		case m.Kind == Vote && n.hasActiveLeader():
			return
		default:
			n.becomeFollower(m.Term, "")
		}
	}
	if m.Term < n.term {
		n.rejectStaleTerm(m)
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		n.handleVote(m)
	case PreVoteReply, VoteReply:
		n.handleVoteReply(m)
	case Append:
		n.handleAppend(m)
	case Heartbeat:
		n.handleHeartbeat(m)
	case InstallSnapshot:
		n.handleInstall(m)
	case AppendReply:
		n.handleAppendReply(m)
	case HeartbeatReply:
		n.handleHeartbeatReply(m)
	}
}

// learnCommit adopts the commit index of an election message, the only kind with a
// CommitTerm. A member may have a replacement in its log without knowing that it is
// committed. It then ignores votes of the new disk, and it does not vote for that disk if
// its own log is longer. Without a leader nothing else would advance its commit index, and
// no leader could be elected.
func (n *Node) learnCommit(m Message) {
	if n.role != Leader && m.Commit > n.commitIndex && m.CommitTerm > 0 && n.hasEntry(m.Commit, m.CommitTerm) {
		n.commitTo(m.Commit)
		if n.role == Candidate {
			// The votes received so far were checked against the previous member table.
			n.becomeFollower(n.term, "")
		}
	}
}

// rejectStaleTerm replies to a message of an older term, so that its sender learns the
// current term. Without the reply to a leader, a member that incremented its term while
// partitioned would ignore that leader for ever.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, InstallSnapshot:
		n.send(Message{To: m.From, Kind: AppendReply, Hint: n.lastIndex()})
	case PreVote:
		n.send(Message{To: m.From, Kind: PreVoteReply})
	}
}

// isMember reports whether id is in a member table, admitted or in the configuration.
func (n *Node) isMember(id MemberID) bool {
	return slices.Contains(n.memberIDs, id) || slices.Contains(n.knownMembers, id)
}

// Propose appends a command to the log of the leader. It returns false if this member
// is not the leader or if too many entries are uncommitted. An accepted command is
// committed once the entry at index is committed with the returned term.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.lastIndex()-n.commitIndex >= maxUncommitted {
		return 0, 0, false
	}
	return n.appendLocal(Command, data), n.term, true
}

// ReadIndex requests a linearizable read. It returns false if this member is not the
// leader or has not yet committed an entry of its term. The read appears in Ready.Reads
// once a quorum has confirmed the leader; it never appears if the leader steps down
// before that.
func (n *Node) ReadIndex(id uint64) bool {
	if n.role != Leader || n.termAt(n.commitIndex) != n.term {
		return false
	}
	n.roundRequested = true
	n.pendingReads = append(n.pendingReads, pendingRead{ReadState{ID: id, Index: n.commitIndex}, n.heartbeatRound + 1})
	return true
}

// HasReady reports whether Ready would return any work. It returns false until Advance
// is called for the previous Ready.
func (n *Node) HasReady() bool {
	return n.outstanding == nil && (n.snapPending || n.issuedIndex < n.lastIndex() || n.hardState() != n.issuedHardState ||
		len(n.messages) > 0 || n.appliedIndex < n.commitIndex || n.roundRequested || len(n.confirmedReads) > 0 || n.hasUnsent())
}

// Ready returns the pending work. The caller must process it and call Advance before it
// calls Ready again; Ready panics otherwise.
func (n *Node) Ready() Ready {
	if n.outstanding != nil {
		panic("consensus: Ready called before Advance")
	}
	if n.role == Leader {
		n.replicate()
	}
	var r Ready
	if n.snapPending {
		s := n.snap
		s.Members = maps.Clone(s.Members)
		r.Snapshot, n.snapPending = &s, false
	}
	if last := n.lastIndex(); n.issuedIndex < last {
		r.Entries = n.copyEntries(n.issuedIndex+1, last)
		n.issuedIndex = last
	}
	hardState := n.hardState()
	if hardState != n.issuedHardState {
		n.issuedHardState = hardState
		r.HardState = &hardState
	}
	n.appliedIndex = max(n.appliedIndex, n.snap.Index)
	if n.appliedIndex < n.commitIndex {
		r.Committed = n.copyEntries(n.appliedIndex+1, n.commitIndex)
		n.appliedIndex = n.commitIndex
	}
	r.Messages, n.messages = n.messages, nil
	r.Reads, n.confirmedReads = n.confirmedReads, nil
	n.outstanding = &outstandingReady{lastEntry: Entry{Index: n.lastIndex(), Term: n.termAt(n.lastIndex())}, hardState: hardState}
	return r
}

// Advance notifies the node that the last Ready was processed and its data is durable.
func (n *Node) Advance() {
	done := n.outstanding
	if done == nil {
		panic("consensus: Advance called without Ready")
	}
	n.outstanding = nil
	// The entry may have been replaced or compacted since Ready returned.
	if i := done.lastEntry.Index; i > n.snap.Index && i <= n.lastIndex() && n.termAt(i) == done.lastEntry.Term {
		n.durableIndex = max(n.durableIndex, i)
	}
	if done.hardState.Term != n.term {
		return
	}
	switch n.role {
	case Candidate:
		// A candidate counts the vote for itself only after the vote is durable.
		if !n.preVote && done.hardState.VotedFor == n.cfg.ID {
			n.countVote(n.cfg.ID, n.cfg.Disk)
		}
	case Leader:
		n.advanceCommit()
	}
}

// Compact replaces the log up to index with a snapshot; data is the state of the state
// machine at index. The next Ready contains the snapshot. Compact panics if index is
// not applied yet, and does nothing if a snapshot already covers it.
func (n *Node) Compact(index uint64, data []byte) {
	if index > n.appliedIndex {
		panic(fmt.Sprintf("consensus: compaction at %d above the applied index %d", index, n.appliedIndex))
	}
	if index <= n.snap.Index {
		return
	}
	s := Snapshot{Index: index, Term: n.termAt(index), Members: n.tableAt(index), Group: n.snap.Group, Data: data}
	n.log = n.copyEntries(index+1, n.lastIndex())
	n.setSnapshot(s)
}

// Status returns the state for metrics and health checks.
func (n *Node) Status() Status {
	role := n.role
	if role == Follower && !n.isVoter() {
		role = Learner
	}
	return Status{
		Role: role, Term: n.term, Leader: n.leader, Commit: n.commitIndex,
		LastTerm: n.termAt(n.lastIndex()), LastIndex: n.lastIndex(),
		Members: maps.Clone(n.committedTable),
	}
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, VotedFor: n.votedFor, Commit: n.commitIndex}
}

// send fills in the sender's fields of a message and adds it to the next Ready. A
// message without a term gets the current one.
func (n *Node) send(m Message) {
	m.From, m.Disk, m.Group = n.cfg.ID, n.cfg.Disk, n.snap.Group
	if m.Term == 0 {
		m.Term = n.term
	}
	switch m.Kind {
	case PreVote, PreVoteReply, Vote, VoteReply:
		m.Commit, m.CommitTerm = n.commitIndex, n.termAt(n.commitIndex)
	}
	n.messages = append(n.messages, m)
}

// resetTimer restarts the election timer with a new random timeout.
func (n *Node) resetTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks+1)
}
