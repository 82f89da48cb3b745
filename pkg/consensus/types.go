// Package consensus implements the consensus protocol of the control group: a replicated
// log with one leader per term, in the manner of Raft. A Node is a deterministic state
// machine without I/O, clocks or goroutines. The caller drives it with Tick and Step and
// processes the work that Ready returns.
//
// The member table maps each member to the disk whose votes and acknowledgements count. A
// member that never was in a group is called empty. Empty members agree on the first member
// table by exchanging Hello messages; its members are fixed by the configuration. A member
// with a new disk, or a new member that the leader admits, first catches up as a learner; a
// ReplaceDisk or an AddMember entry then puts its disk into the table.
package consensus

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// MemberID identifies a member of the group: a control instance or, among coordinators, a
// slot of the control group, whose holder may change.
type MemberID string

// DiskID identifies the disk of a member; the package does not interpret it. A member that
// lost its disk returns with a new DiskID. Votes and acknowledgements count only from the
// disk in the member table, which maps each member to its disk.
type DiskID string

// EntryKind is the type of a log entry.
type EntryKind uint8

// Kinds of log entries.
const (
	// Command entries are applied to the state machine.
	Command EntryKind = iota
	// Noop entries are appended by a new leader, which can commit older entries only
	// together with one of its own term.
	Noop
	// ReplaceDisk entries change the disk of a member in the member table.
	ReplaceDisk
	// AddMember entries add a member with its disk to the member table.
	AddMember
	lastEntryKind = AddMember
)

// Entry is one entry of the replicated log. The first Index is 1.
type Entry struct {
	Term  uint64    `json:"term"`
	Index uint64    `json:"index"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
}

// HardState is the part of a member's state that must be synced to disk before the
// messages of the same Ready are sent.
type HardState struct {
	Term     uint64   `json:"term"`
	VotedFor MemberID `json:"voted_for"`
	Commit   uint64   `json:"commit"`
}

// Snapshot replaces the log up to Index. Members is the member table at Index; nil means
// that the member is empty: it has never been part of a group.
type Snapshot struct {
	Index   uint64              `json:"index"`
	Term    uint64              `json:"term"`
	Members map[MemberID]DiskID `json:"members"`
	// Group is the hash of the first member table and identifies the group; members of
	// different groups ignore each other.
	Group uint64 `json:"group"`
	Data  []byte `json:"data,omitempty"`
}

// Config holds the parameters of a Node.
type Config struct {
	ID   MemberID
	Disk DiskID
	// Members lists the members that this one knows before it has a member table, including
	// this one: those that found the group, or those of a group that admits it.
	Members []MemberID
	// HeartbeatTicks and ElectionTicks are numbers of calls to Tick. The election
	// timeout is random between ElectionTicks and twice that.
	HeartbeatTicks int
	ElectionTicks  int
	// FirstElectionTicks replaces ElectionTicks for the first election after a start
	// with stored state; 0 means ElectionTicks. Members that have a leader reject the
	// pre-vote, so a short timeout does not disturb a group with a leader.
	FirstElectionTicks int
	// MaxEntries limits the entries in one message; 0 means 64.
	MaxEntries int
	// Rand randomises the election timeouts and numbers the process runs of an empty member.
	Rand *rand.Rand
}

// StoredState is the state that a member reads from its disk at start.
type StoredState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// LastEntry returns the term and the index of the last entry of the log.
func (s StoredState) LastEntry() (term, index uint64) {
	if len(s.Entries) == 0 {
		return s.Snapshot.Term, s.Snapshot.Index
	}
	last := s.Entries[len(s.Entries)-1]
	return last.Term, last.Index
}

// VotingDisks returns the disks of the member table at the end of the log, in no order. It
// returns nil if a change of the table is not known to be committed: which disks vote is then
// uncertain.
func (s StoredState) VotingDisks() []DiskID {
	table := maps.Clone(s.Snapshot.Members)
	for _, e := range s.Entries {
		change, ok := parseTableChange(e)
		if !ok {
			continue
		}
		if e.Index > s.HardState.Commit {
			return nil
		}
		change.apply(table)
	}
	return slices.Collect(maps.Values(table))
}

// Ready is the work that the caller must process in the order of the fields: write the
// snapshot, append the entries (after truncating the log before the first of them),
// write the hard state, sync, then send the messages and apply the committed entries.
type Ready struct {
	// Snapshot must be written to disk. It was received from another member, founds the
	// group with the first member table, or comes from Compact. The state machine is
	// restored from its data only if its index is above the last applied index.
	Snapshot  *Snapshot
	Entries   []Entry
	HardState *HardState
	Messages  []Message
	// Committed entries must be applied in order; each one appears once.
	Committed []Entry
	// Reads are the confirmed reads. Each may be served from a state machine that has
	// applied the log up to its Index.
	Reads []ReadState
}

// ReadState identifies a linearizable read and the index that must be applied before it.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Role is the role of a member in the group.
type Role uint8

// Roles of a member. A learner has an empty or replaced disk; its votes and
// acknowledgements do not count.
const (
	Learner Role = iota
	Follower
	Candidate
	Leader
)

// Status describes the state of a member for metrics and health checks.
type Status struct {
	Role   Role
	Term   uint64
	Leader MemberID
	Commit uint64
	// LastTerm and LastIndex identify the last entry of the log.
	LastTerm, LastIndex uint64
	Members             map[MemberID]DiskID
}

// Message is a message between members. The transport may lose, duplicate and reorder
// messages.
type Message struct {
	From MemberID    `json:"from"`
	To   MemberID    `json:"to"`
	Disk DiskID      `json:"disk"`
	Kind MessageKind `json:"kind"`
	Term uint64      `json:"term"`
	// LogTerm and Index identify the entry before Entries, or the last log entry of a
	// candidate.
	LogTerm uint64 `json:"log_term,omitempty"`
	Index   uint64 `json:"index,omitempty"`
	Commit  uint64 `json:"commit,omitempty"`
	// CommitTerm is the term of the entry at Commit, in election messages.
	CommitTerm uint64    `json:"commit_term,omitempty"`
	Entries    []Entry   `json:"entries,omitempty"`
	Snapshot   *Snapshot `json:"snapshot,omitempty"`
	// Granted is set in replies that grant a vote or accept entries, in the Hello of an
	// empty member, and in an InstallSnapshot of a member that is not the leader.
	Granted bool `json:"granted,omitempty"`
	// Hint is the last index that may match the leader's log in a rejecting AppendReply,
	// and echoes a Round of the receiver in Hello and in an InstallSnapshot with Granted.
	Hint uint64 `json:"hint,omitempty"`
	// Round is the number of a heartbeat round in Heartbeat and HeartbeatReply, and of a
	// Hello broadcast in Hello.
	Round   uint64              `json:"round,omitempty"`
	Members map[MemberID]DiskID `json:"members,omitempty"`
	// Group identifies the group of the sender; 0 means that the sender is empty.
	Group uint64 `json:"group,omitempty"`
}

// MessageKind is the type of a message.
type MessageKind uint8

// Kinds of messages.
const (
	// Hello is sent by an empty member (Granted is set, Members holds the disks that it
	// has discovered) and answered with a Hello by members that are not empty (Members
	// holds their member table). Hint echoes the Round of the last Hello received from
	// the receiver.
	Hello MessageKind = iota + 1
	// PreVote asks whether the receiver would grant a vote, without incrementing the term.
	PreVote
	PreVoteReply
	Vote
	VoteReply
	Append
	// AppendReply answers Append and InstallSnapshot. If Granted is set, Index is the
	// last matching entry; otherwise Hint is the last entry that may match, after which the
	// leader retries.
	AppendReply
	// Heartbeat carries the commit index and, in LogTerm, the term of the entry there.
	Heartbeat
	HeartbeatReply
	// InstallSnapshot carries a snapshot from the leader or, if Granted is set, from
	// another member that answers a Hello while there is no leader.
	InstallSnapshot
	lastKind = InstallSnapshot
)
