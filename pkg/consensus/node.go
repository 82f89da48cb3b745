package consensus

import (
	"fmt"
	"maps"
)

const (
	// defaultMaxEntries and maxMessageBytes bound the entries of one message, so
	// that a member that catches up delays no heartbeats.
	defaultMaxEntries = 64
	maxMessageBytes   = 256 << 10
	// inFlightMessages bounds the full messages sent to a member and not acknowledged.
	inFlightMessages = 4
	// maxUncommitted bounds the entries that wait for a quorum; Propose refuses more.
	maxUncommitted = 4096
)

// Node is the consensus state machine of one member. It is not safe for
// concurrent use.
type Node struct {
	cfg Config

	term    uint64
	vote    MemberID
	commit  uint64
	applied uint64
	// hard is the hard state that was last handed out.
	hard HardState

	snap        Snapshot
	snapPending bool
	// log holds the entries after the snapshot.
	log []Entry
	// handed is the last entry handed out for writing, stable the last one known
	// to be durable.
	handed, stable uint64

	// replacements lists the ReplaceDisk entries of log.
	replacements []replacement
	// members is the committed table; ahead includes uncommitted entries.
	members, ahead map[MemberID]DiskID
	// ids lists the members in order, so that equal input gives equal output.
	ids []MemberID

	role    Role
	leader  MemberID
	preVote bool
	votes   map[MemberID]bool
	peers   map[MemberID]*peer

	elapsed, timeout int
	beatElapsed      int
	// installWait counts the ticks until a member that is not the leader may
	// send its snapshot again.
	installWait int

	round     uint64
	wantRound bool
	reads     []pendingRead
	confirmed []ReadState

	// The fields below are used only while empty: the disks known, the tables
	// that other members repeated, and the numbers of Hello messages: the own
	// last one, the last ones of others, and the last own ones they answered.
	known          map[MemberID]DiskID
	echoes         map[MemberID]map[MemberID]DiskID
	helloRound     uint64
	seen, answered map[MemberID]uint64

	messages []Message
	taken    *taken
}

// taken describes the outstanding Ready.
type taken struct {
	last Entry
	hard HardState
}

// pendingRead is a read that waits for a heartbeat round.
type pendingRead struct {
	ReadState
	round uint64
}

// New returns the node of a member that starts with the stored state. It panics
// if the stored state contradicts itself.
func New(cfg Config, stored Stored) *Node {
	if cfg.MaxEntries == 0 {
		cfg.MaxEntries = defaultMaxEntries
	}
	n := &Node{
		cfg: cfg, term: stored.Hard.Term, vote: stored.Hard.VotedFor, hard: stored.Hard,
		commit: max(stored.Hard.Commit, stored.Snapshot.Index), applied: stored.Snapshot.Index,
		snap: stored.Snapshot, log: append([]Entry(nil), stored.Entries...), role: Follower,
		known:  map[MemberID]DiskID{cfg.ID: cfg.Disk},
		echoes: map[MemberID]map[MemberID]DiskID{}, helloRound: uint64(cfg.Rand.Uint32()) << 32,
		seen: map[MemberID]uint64{}, answered: map[MemberID]uint64{},
	}
	n.handed, n.stable = n.lastIndex(), n.lastIndex()
	for i, e := range n.log {
		if e.Index != n.snap.Index+uint64(i)+1 {
			panic(fmt.Sprintf("consensus: stored entry %d has index %d after a snapshot at %d", i, e.Index, n.snap.Index))
		}
		n.noteReplacement(e)
	}
	if n.commit > n.lastIndex() {
		panic(fmt.Sprintf("consensus: stored commit index %d is above the last entry %d", n.commit, n.lastIndex()))
	}
	// A crash can leave a snapshot or entries of a term whose hard state was not written.
	if last := n.termAt(n.lastIndex()); last > n.term {
		n.term, n.vote = last, ""
	}
	n.refreshTable()
	n.resetTimer()
	if first := cfg.FirstElectionTicks; first > 0 && !n.empty() {
		n.timeout = first + cfg.Rand.IntN(first+1)
	}
	if n.empty() {
		n.maybeRecord()
	}
	return n
}

// Tick advances the logical clock by one.
func (n *Node) Tick() {
	n.elapsed++
	n.beatElapsed++
	n.installWait = max(0, n.installWait-1)
	switch {
	case n.empty():
		if n.beatElapsed >= n.cfg.HeartbeatTicks {
			n.beatElapsed = 0
			n.sayHello()
		}
	case n.role == Leader:
		n.tickLeader()
	case n.elapsed >= n.timeout:
		n.resetTimer()
		n.leader = ""
		if n.isVoter() {
			n.startElection(true)
		}
	}
}

// Step handles a message of another member. Messages that are malformed, for
// another member or from an unknown member have no effect.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || m.From == n.cfg.ID || m.check() != nil || !n.isMember(m.From) {
		return
	}
	switch {
	case m.Kind == Hello:
		n.handleHello(m)
	case m.Kind == Install && (n.empty() || m.Group != n.snap.Group && n.fresh()):
		n.handleInstall(m)
	case n.empty():
	case m.Group != n.snap.Group:
		if m.Kind == Heartbeat && n.fresh() {
			n.send(Message{To: m.From, Kind: Hello, Granted: true})
		}
	default:
		n.stepInGroup(m)
	}
}

// stepInGroup handles terms; every message comes from a member of the group.
func (n *Node) stepInGroup(m Message) {
	n.learnCommit(m)
	if m.Term > n.term {
		switch {
		case m.Kind == PreVote, m.Kind == PreVoteReply && m.Granted:
		case m.Kind == Vote && n.hasLeader():
			return
		default:
			n.becomeFollower(m.Term, "")
		}
	}
	if m.Term < n.term {
		n.refuseOldTerm(m)
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
	case Install:
		n.handleInstall(m)
	case AppendReply:
		n.handleAppendReply(m)
	case HeartbeatReply:
		n.handleHeartbeatReply(m)
	}
}

// learnCommit takes the commit index of a message about votes. A member that
// holds a replacement without knowing that it is committed could otherwise
// neither count the vote of the new disk nor vote for it if its log is longer,
// and no leader would be there to tell it.
func (n *Node) learnCommit(m Message) {
	if n.role != Leader && m.Commit > n.commit && m.CommitTerm > 0 && n.matches(m.Commit, m.CommitTerm) {
		n.commitTo(m.Commit)
		if n.role == Candidate {
			// The votes so far were counted by another table.
			n.becomeFollower(n.term, "")
		}
	}
}

// refuseOldTerm tells a sender of an older term the current one. Without the
// answer to a leader, a member that raised its term alone would never follow again.
func (n *Node) refuseOldTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, Install:
		n.send(Message{To: m.From, Kind: AppendReply, Hint: n.lastIndex()})
	case PreVote:
		n.send(Message{To: m.From, Kind: PreVoteReply})
	}
}

func (n *Node) isMember(id MemberID) bool {
	if _, ok := n.members[id]; ok {
		return true
	}
	for _, m := range n.cfg.Members {
		if m == id {
			return true
		}
	}
	return false
}

// Propose appends a command at the leader. It is refused (ok is false) by other
// members and while too many entries wait for a quorum. An accepted command is
// committed if the entry at index is later committed with the same term.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.lastIndex()-n.commit >= maxUncommitted {
		return 0, 0, false
	}
	return n.appendLocal(Command, data), n.term, true
}

// ReadIndex asks for a linearizable read. It is refused by members other than
// the leader and by a leader that has not committed an entry of its term. The
// read appears in Ready.Reads once a quorum confirmed the leader; it never
// appears if the leader steps down first.
func (n *Node) ReadIndex(id uint64) bool {
	if n.role != Leader || n.termAt(n.commit) != n.term {
		return false
	}
	n.wantRound = true
	n.reads = append(n.reads, pendingRead{ReadState{ID: id, Index: n.commit}, n.round + 1})
	return true
}

// HasReady tells whether Ready would return work. It is false while a Ready is
// outstanding.
func (n *Node) HasReady() bool {
	return n.taken == nil && (n.snapPending || n.handed < n.lastIndex() || n.hardState() != n.hard ||
		len(n.messages) > 0 || n.applied < n.commit || n.wantRound || len(n.confirmed) > 0 || n.wantsToSend())
}

// Ready takes the pending work. The caller carries it out and calls Advance
// before the next Ready.
func (n *Node) Ready() Ready {
	if n.taken != nil {
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
	if last := n.lastIndex(); n.handed < last {
		r.Entries = n.slice(n.handed+1, last)
		n.handed = last
	}
	hard := n.hardState()
	if hard != n.hard {
		n.hard = hard
		r.Hard = &hard
	}
	n.applied = max(n.applied, n.snap.Index)
	if n.applied < n.commit {
		r.Committed = n.slice(n.applied+1, n.commit)
		n.applied = n.commit
	}
	r.Messages, n.messages = n.messages, nil
	r.Reads, n.confirmed = n.confirmed, nil
	n.taken = &taken{last: Entry{Index: n.lastIndex(), Term: n.termAt(n.lastIndex())}, hard: hard}
	return r
}

// Advance tells that the work of the last Ready was carried out and is durable.
func (n *Node) Advance() {
	t := n.taken
	if t == nil {
		panic("consensus: Advance called without Ready")
	}
	n.taken = nil
	// The entry may have been replaced or compacted since the Ready was taken.
	if i := t.last.Index; i > n.snap.Index && i <= n.lastIndex() && n.termAt(i) == t.last.Term {
		n.stable = max(n.stable, i)
	}
	if t.hard.Term != n.term {
		return
	}
	switch n.role {
	case Candidate:
		// The own vote counts once it is durable.
		if !n.preVote && t.hard.VotedFor == n.cfg.ID {
			n.countVote(n.cfg.ID, n.cfg.Disk)
		}
	case Leader:
		n.advanceCommit()
	}
}

// Compact replaces the log up to index by a snapshot whose data is the state
// applied up to index. The snapshot appears in the next Ready. It panics if
// index was not applied.
func (n *Node) Compact(index uint64, data []byte) {
	if index > n.applied {
		panic(fmt.Sprintf("consensus: compaction at %d above the applied index %d", index, n.applied))
	}
	if index <= n.snap.Index {
		return
	}
	s := Snapshot{Index: index, Term: n.termAt(index), Members: n.tableAt(index), Group: n.snap.Group, Data: data}
	n.log = n.slice(index+1, n.lastIndex())
	n.setSnapshot(s)
}

// Status returns the state for metrics and health checks.
func (n *Node) Status() Status {
	role := n.role
	if role == Follower && !n.isVoter() {
		role = Learner
	}
	return Status{
		Role: role, Term: n.term, Leader: n.leader, Commit: n.commit, Last: n.lastIndex(),
		Members: maps.Clone(n.members),
	}
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, VotedFor: n.vote, Commit: n.commit}
}

func (n *Node) send(m Message) {
	m.From, m.Disk, m.Group = n.cfg.ID, n.cfg.Disk, n.snap.Group
	if m.Term == 0 {
		m.Term = n.term
	}
	switch m.Kind {
	case PreVote, PreVoteReply, Vote, VoteReply:
		m.Commit, m.CommitTerm = n.commit, n.termAt(n.commit)
	}
	n.messages = append(n.messages, m)
}

func (n *Node) resetTimer() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks+1)
}
