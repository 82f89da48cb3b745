// Package consensus is the agreement of the control instances: a replicated log
// with one leader per term. It is pure: no input or output, no clock, no
// goroutine. The caller ticks it, feeds it messages and carries out its Ready.
package consensus

import "math/rand/v2"

// MemberID names a control instance.
type MemberID string

// DiskID names the disk of a member. A member that lost its disk comes back
// under a new one; votes and acknowledgements count only from the disk that
// the member table names.
type DiskID string

// EntryKind tells what a log entry holds.
type EntryKind uint8

// Kinds of log entries.
const (
	// Command entries are given to the state machine.
	Command EntryKind = iota
	// Noop entries are appended by a new leader.
	Noop
	// ReplaceDisk entries name a new disk of a member.
	ReplaceDisk
)

// Entry is one record of the replicated log. Index starts at 1.
type Entry struct {
	Term  uint64    `json:"term"`
	Index uint64    `json:"index"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
}

// HardState must be synced before messages of the same Ready are sent.
type HardState struct {
	Term     uint64   `json:"term"`
	VotedFor MemberID `json:"voted_for"`
	Commit   uint64   `json:"commit"`
}

// Snapshot replaces the log up to Index. Members is the table at that index; a
// nil table means that the member is empty and was never part of a group.
type Snapshot struct {
	Index   uint64              `json:"index"`
	Term    uint64              `json:"term"`
	Members map[MemberID]DiskID `json:"members"`
	// Group is the hash of the first member table; members of different groups
	// ignore each other.
	Group uint64 `json:"group"`
	Data  []byte `json:"data,omitempty"`
}

// Config holds what a member knows at start.
type Config struct {
	ID   MemberID
	Disk DiskID
	// Members lists the whole group from the settings, this member included.
	Members []MemberID
	// HeartbeatTicks and ElectionTicks count calls of Tick; the election
	// time-out is drawn from ElectionTicks to twice as much.
	HeartbeatTicks int
	ElectionTicks  int
	// FirstElectionTicks replaces ElectionTicks for the first election after a
	// start with stored state, 0 means no difference. A member that finds a leader
	// refuses its pre-vote, so a short time disturbs no group that has one.
	FirstElectionTicks int
	// MaxEntries bounds the entries of one message; 0 means 64.
	MaxEntries int
	Rand       *rand.Rand
}

// Stored is what a member read from its disk at start.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Ready is the work that the caller must carry out, in the order of the fields:
// install the snapshot, append the entries (cutting the log before the first of
// them), write the hard state, sync, then send the messages and apply.
type Ready struct {
	// Snapshot is written to disk. It comes from the leader, from the first
	// member table or from Compact; the state machine is restored from its data
	// only if its index is above the last applied index.
	Snapshot *Snapshot
	Entries  []Entry
	Hard     *HardState
	Messages []Message
	// Committed entries are applied in order, once.
	Committed []Entry
	// Reads are confirmed: state applied up to Index is linearizable for them.
	Reads []ReadState
}

// ReadState confirms a linearizable read.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Role is the role of a member.
type Role uint8

// Roles. A learner has an empty or replaced disk and counts for nothing.
const (
	Learner Role = iota
	Follower
	Candidate
	Leader
)

// Status tells the state of a member for metrics and health.
type Status struct {
	Role    Role
	Term    uint64
	Leader  MemberID
	Commit  uint64
	Last    uint64
	Members map[MemberID]DiskID
}

// Message is exchanged between members. Its content is opaque to the carrier,
// which may lose, repeat and reorder messages.
type Message struct {
	From MemberID    `json:"from"`
	To   MemberID    `json:"to"`
	Disk DiskID      `json:"disk"`
	Kind MessageKind `json:"kind"`
	Term uint64      `json:"term"`
	// LogTerm and Index name the entry before Entries, or the last entry of a candidate.
	LogTerm uint64 `json:"log_term,omitempty"`
	Index   uint64 `json:"index,omitempty"`
	Commit  uint64 `json:"commit,omitempty"`
	// CommitTerm is the term of the entry at Commit in messages about votes.
	CommitTerm uint64              `json:"commit_term,omitempty"`
	Entries    []Entry             `json:"entries,omitempty"`
	Snapshot   *Snapshot           `json:"snapshot,omitempty"`
	Granted    bool                `json:"granted,omitempty"`
	Hint       uint64              `json:"hint,omitempty"`
	Round      uint64              `json:"round,omitempty"`
	Members    map[MemberID]DiskID `json:"members,omitempty"`
	// Group is the group of the sender, 0 if it is empty.
	Group uint64 `json:"group,omitempty"`
}

// MessageKind tells what a message is.
type MessageKind uint8

// Kinds of messages.
const (
	// Hello is sent by a member that is empty (Granted is set, Members holds the
	// disks that it knows) and answered by members that are not (Members holds
	// their table). Hint repeats the Round of the last Hello of the receiver.
	Hello MessageKind = iota + 1
	// PreVote asks for a vote without raising the term.
	PreVote
	PreVoteReply
	Vote
	VoteReply
	Append
	// AppendReply answers Append and Install: Index is the last matching entry
	// if Granted, otherwise Hint is where the leader should try next.
	AppendReply
	// Heartbeat carries the commit index and, in LogTerm, the term of its entry.
	Heartbeat
	HeartbeatReply
	// Install carries a snapshot of the leader or, if Granted is set, of another
	// member that answers a Hello while there is no leader.
	Install
	lastKind = Install
)
