package control

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
)

// Outcome is the outcome of a proposed change or publication.
type Outcome string

// Outcomes of a change.
const (
	// Accepted means that the change is in force since Result.Version.
	Accepted Outcome = "accepted"
	// Conflict means that the base was not the version in force.
	Conflict Outcome = "conflict"
	// Invalid means that the change or the resulting document failed validation.
	Invalid Outcome = "invalid"
	// Unavailable means that the change was provably not proposed.
	Unavailable Outcome = "unavailable"
	// Unknown means that the change may still be accepted; the caller resends
	// it under the same identifier to learn the result.
	Unknown Outcome = "unknown"
)

const (
	// maxAuditEntries bounds the audit entries in the state, and with them the
	// results that are found by change identifier. Older entries move to the
	// audit file.
	maxAuditEntries = 10_000
	// maxAuditOpBytes bounds the size of the ops in these entries: 10,000 changes
	// of maximum size would take 10 GB.
	maxAuditOpBytes = 32 << 20
	// maxWatchLag is the number of versions by which a watcher may lag behind and
	// still receive single changes. Beyond it, a snapshot is smaller for
	// documents of usual size.
	maxWatchLag = 1000
	// MaxChangeBytes bounds the encoded size of one change, which keeps a log
	// entry well below the maximum size of a drpc message (4 MiB). Operators
	// must split larger differences.
	MaxChangeBytes = 1 << 20
	// maxChangeIDBytes bounds the identifier of a change.
	maxChangeIDBytes = 128
)

// Result is the result of a proposed change. Resending an identical change
// returns the recorded result.
type Result struct {
	ChangeID string  `json:"change_id"`
	Outcome  Outcome `json:"outcome"`
	// Version is the new version if the change was accepted, otherwise the
	// version in force when the change was decided. In the result of a publication
	// it is the revision in force, and ChangeID is the published revision in decimal.
	Version uint64           `json:"version"`
	Message string           `json:"message,omitempty"`
	Faults  []document.Fault `json:"faults,omitempty"`
}

// AuditEntry records one decided change, or a publication that was put in force.
type AuditEntry struct {
	// Seq is the sequence number: entries are numbered from 1 without gaps.
	Seq uint64 `json:"seq"`
	// Time is the time at which the leader proposed the change, by its clock.
	Time     time.Time `json:"time"`
	Operator string    `json:"operator"`
	// Base is the version that the change is based on, or the revision that the
	// publication replaced.
	Base   uint64 `json:"base"`
	Result Result `json:"result"`
	// Digest is a truncated SHA-256 hash of the content of the change.
	Digest string `json:"digest"`
	// Ops are the ops of the change. For rejected changes only the names of the
	// items are recorded, which bounds their memory use.
	Ops []document.Op `json:"ops"`
}

// Lease grants its holder the right to send orders to engines. Number is the
// fencing number, which increases each time the lease is acquired.
type Lease struct {
	Number uint64 `json:"number"`
	Holder string `json:"holder"`
	// DurationMS is the period for which the holder may act after sending its
	// last successful lease request, in milliseconds of the holder's clock.
	DurationMS int64 `json:"duration_ms"`
	// Renewals counts the renewals since the lease was acquired.
	Renewals uint64 `json:"renewals"`
}

// LeaseRequest acquires or renews the lease by compare-and-swap on its number.
type LeaseRequest struct {
	Holder string `json:"holder"`
	// ExpectedNumber is the lease number that the caller expects to be in force.
	ExpectedNumber uint64 `json:"expect"`
	DurationMS     int64  `json:"duration_ms"`
	// Renew requests a renewal, which requires the same holder and keeps the
	// number. Otherwise the lease is acquired under the next number.
	Renew bool `json:"renew,omitempty"`
}

// command is the content of a log entry; exactly one of the pointers is set.
type command struct {
	Time   time.Time        `json:"time"`
	Change *document.Change `json:"change,omitempty"`
	Lease  *LeaseRequest    `json:"lease,omitempty"`
	// Publication takes effect only if its revision is higher than the one in force.
	Publication  *Publication  `json:"publication,omitempty"`
	RolloutOrder *RolloutOrder `json:"rollout_order,omitempty"`
	RolloutStep  *RolloutStep  `json:"rollout_step,omitempty"`
}

// commandOutput is the output of the state machine for one command.
type commandOutput struct {
	result  Result
	lease   Lease
	granted bool
}

// State is the replicated state machine. It is deterministic: the same commands
// in the same order produce the same state. It is not safe for concurrent use.
type State struct {
	document *document.Document
	// audit holds the newest entries, with consecutive sequence numbers up to
	// lastSeq.
	audit   []AuditEntry
	lastSeq uint64
	// auditOpBytes is the total size of the ops in audit.
	auditOpBytes int
	// seqByChangeID maps the identifier of a decided change to the sequence
	// number of the audit entry with its result.
	seqByChangeID map[string]uint64
	lease         Lease
	// keyOwners maps each key hash in the document to its organisation.
	keyOwners map[string]string
	// evicted holds the entries removed from audit and not yet taken by takeEvicted.
	evicted     []AuditEntry
	publication Publication
	// rollouts holds the latest rollout of each service that ever had an order, and lastRollout the highest
	// number of an order. rolloutChanges counts their changes since the state was created or decoded.
	rollouts       map[string]rollout.Record
	lastRollout    uint64
	rolloutChanges uint64
}

// NewState returns the initial state, before the first command.
func NewState() *State {
	return &State{
		document: document.Empty(), seqByChangeID: map[string]uint64{}, keyOwners: map[string]string{}, rollouts: map[string]rollout.Record{},
	}
}

// Document returns the document in force. The caller must not modify it.
func (s *State) Document() *document.Document { return s.document }

// Lease returns the lease in force.
func (s *State) Lease() Lease { return s.lease }

// apply applies one log entry. Data that does not decode as a command has no effect.
func (s *State) apply(data []byte) commandOutput {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		return commandOutput{result: Result{Outcome: Invalid, Message: "the log entry is not a command"}}
	}
	switch {
	case c.Change != nil:
		return commandOutput{result: s.applyChange(c.Time, c.Change)}
	case c.Lease != nil:
		lease, granted := s.applyLease(c.Lease)
		return commandOutput{lease: lease, granted: granted}
	case c.Publication != nil:
		return commandOutput{result: s.applyPublication(c.Time, *c.Publication)}
	case c.RolloutOrder != nil:
		return commandOutput{result: s.applyRolloutOrder(c.Time, *c.RolloutOrder)}
	case c.RolloutStep != nil:
		return commandOutput{result: s.applyRolloutStep(*c.RolloutStep)}
	}
	return commandOutput{result: Result{Outcome: Invalid, Message: "the log entry is an unknown command"}}
}

func (s *State) applyChange(proposedAt time.Time, c *document.Change) Result {
	digest := changeDigest(c)
	if original, ok := s.decidedEntry(c.ID); ok {
		if original.Digest == digest {
			return original.Result
		}
		result := s.invalidResult(c, document.Fault{Path: "id", Message: "was used by another change"})
		s.recordAudit(proposedAt, c, digest, result)
		return result
	}
	result, next := s.decide(c)
	if next != nil {
		s.updateKeyOwners(next, c.Ops)
		s.document = next
	}
	s.recordAudit(proposedAt, c, digest, result)
	s.seqByChangeID[c.ID] = s.lastSeq
	return result
}

// decide returns the result of a change and, if the change is accepted, the new
// document. It does not modify the state.
func (s *State) decide(c *document.Change) (Result, *document.Document) {
	if faults := CheckChange(c); len(faults) > 0 {
		return s.invalidResult(c, faults...), nil
	}
	if c.Base != s.document.Version {
		return Result{
			ChangeID: c.ID, Outcome: Conflict, Version: s.document.Version,
			Message: fmt.Sprintf("the base is version %d, in force is version %d", c.Base, s.document.Version),
		}, nil
	}
	next, err := s.document.Apply(c.Ops)
	if err != nil {
		return s.invalidResult(c, faultFromApplyError(err)), nil
	}
	if faults := next.ValidateOps(c.Ops, s.keyOwner); len(faults) > 0 {
		return s.invalidResult(c, faults...), nil
	}
	return Result{ChangeID: c.ID, Outcome: Accepted, Version: next.Version}, next
}

// maxFaults bounds the faults in a result, because results are stored in the state.
const maxFaults = 100

func (s *State) invalidResult(c *document.Change, faults ...document.Fault) Result {
	return Result{
		ChangeID: c.ID, Outcome: Invalid, Version: s.document.Version,
		Message: fmt.Sprintf("%d faults, the first is %s", len(faults), faults[0]),
		Faults:  faults[:min(len(faults), maxFaults)],
	}
}

func (s *State) keyOwner(hash string) (string, bool) {
	name, ok := s.keyOwners[hash]
	return name, ok
}

// updateKeyOwners updates keyOwners from the document in force to the next one.
// One change may move a key between organisations, so all old keys of the changed
// organisations are removed before the new ones are added.
func (s *State) updateKeyOwners(next *document.Document, ops []document.Op) {
	for _, op := range ops {
		if op.Section == document.SectionOrganisations {
			for _, hash := range s.document.Organisations[op.Name].KeyHashes {
				delete(s.keyOwners, hash)
			}
		}
	}
	for _, op := range ops {
		if op.Section == document.SectionOrganisations {
			for _, hash := range next.Organisations[op.Name].KeyHashes {
				s.keyOwners[hash] = op.Name
			}
		}
	}
}

// faultFromApplyError converts an error of document.Apply, which has the form
// "ops[0] section/name: reason", to a fault.
func faultFromApplyError(err error) document.Fault {
	path, message, found := strings.Cut(err.Error(), ": ")
	if !found {
		return document.Fault{Path: "ops", Message: err.Error()}
	}
	return document.Fault{Path: path, Message: message}
}

// CheckChange returns the faults of a change that can be found without the
// document.
func CheckChange(c *document.Change) []document.Fault {
	var faults []document.Fault
	if len(c.ID) == 0 || len(c.ID) > maxChangeIDBytes {
		faults = append(faults, document.Fault{Path: "id", Message: fmt.Sprintf("must have 1 to %d bytes", maxChangeIDBytes)})
	}
	if c.Operator == "" {
		faults = append(faults, document.Fault{Path: "operator", Message: "must be set"})
	}
	if len(c.Ops) == 0 {
		faults = append(faults, document.Fault{Path: "ops", Message: "must hold at least one op"})
	}
	return faults
}

func changeDigest(c *document.Change) string {
	// A change decoded from JSON can always be encoded again.
	content, err := json.Marshal(document.Change{Operator: c.Operator, Base: c.Base, Ops: c.Ops})
	if err != nil {
		panic(eris.Wrap(err, "encode a decoded change"))
	}
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:16])
}

// decidedEntry returns the audit entry with the result of a change identifier.
func (s *State) decidedEntry(id string) (AuditEntry, bool) {
	seq, ok := s.seqByChangeID[id]
	if !ok {
		return AuditEntry{}, false
	}
	return s.audit[seq-s.firstSeq()], true
}

func (s *State) firstSeq() uint64 { return s.lastSeq - uint64(len(s.audit)) + 1 }

func (s *State) recordAudit(proposedAt time.Time, c *document.Change, digest string, result Result) {
	s.lastSeq++
	ops := c.Ops
	if result.Outcome != Accepted {
		ops = opsWithoutValues(ops)
	}
	s.audit = append(s.audit, AuditEntry{
		Seq: s.lastSeq, Time: proposedAt.UTC(), Operator: c.Operator, Base: c.Base, Result: result, Digest: digest, Ops: ops,
	})
	s.auditOpBytes += opBytes(ops)
	for len(s.audit) > maxAuditEntries || s.auditOpBytes > maxAuditOpBytes && len(s.audit) > 1 {
		s.evictOldest()
	}
}

func opBytes(ops []document.Op) (size int) {
	for _, op := range ops {
		size += len(op.Section) + len(op.Name) + len(op.Value)
	}
	return size
}

// evictOldest moves the oldest audit entry from audit to evicted and removes its
// change identifier from seqByChangeID.
func (s *State) evictOldest() {
	oldest := s.audit[0]
	s.audit[0] = AuditEntry{}
	s.audit = s.audit[1:]
	s.auditOpBytes -= opBytes(oldest.Ops)
	if s.seqByChangeID[oldest.Result.ChangeID] == oldest.Seq {
		delete(s.seqByChangeID, oldest.Result.ChangeID)
	}
	s.evicted = append(s.evicted, oldest)
}

// maxRejectedOps bounds the ops of a rejected change that are recorded in the
// audit trail.
const maxRejectedOps = 100

func opsWithoutValues(ops []document.Op) []document.Op {
	stripped := make([]document.Op, 0, min(len(ops), maxRejectedOps))
	for _, op := range ops[:min(len(ops), maxRejectedOps)] {
		stripped = append(stripped, document.Op{Section: op.Section, Name: op.Name})
	}
	return stripped
}

func (s *State) applyLease(r *LeaseRequest) (Lease, bool) {
	if r.ExpectedNumber != s.lease.Number || (r.Renew && r.Holder != s.lease.Holder) {
		return s.lease, false
	}
	if r.Renew {
		s.lease.Renewals++
		s.lease.DurationMS = r.DurationMS
	} else {
		s.lease = Lease{Number: s.lease.Number + 1, Holder: r.Holder, DurationMS: r.DurationMS}
	}
	return s.lease, true
}

// VersionChange is the change that led to one version.
type VersionChange struct {
	Version uint64
	Ops     []document.Op
}

// ChangesSince returns the accepted changes after a version, oldest first. It
// returns false if the state no longer has all of them or if there are more than
// maxWatchLag.
func (s *State) ChangesSince(version uint64) ([]VersionChange, bool) {
	if version >= s.document.Version {
		return nil, true
	}
	missing := s.document.Version - version
	if missing > maxWatchLag {
		return nil, false
	}
	changes := make([]VersionChange, missing)
	for i := len(s.audit) - 1; i >= 0 && missing > 0; i-- {
		if s.audit[i].Result.Outcome == Accepted {
			missing--
			changes[missing] = VersionChange{Version: s.audit[i].Result.Version, Ops: s.audit[i].Ops}
		}
	}
	return changes, missing == 0
}

// Audit returns up to limit entries with sequence numbers greater than after,
// oldest first, and the sequence number of the oldest available entry.
func (s *State) Audit(after uint64, limit int) (entries []AuditEntry, firstSeq uint64) {
	available := slices.Concat(s.evicted, s.audit)
	firstSeq = s.lastSeq - uint64(len(available)) + 1
	fromSeq := max(after+1, firstSeq)
	if fromSeq > s.lastSeq {
		return nil, firstSeq
	}
	available = available[fromSeq-firstSeq:]
	return available[:min(len(available), limit)], firstSeq
}

// takeEvicted returns and clears the audit entries evicted since the last call.
// After a restart, entries can be evicted a second time; the audit file skips
// them by their sequence numbers.
func (s *State) takeEvicted() []AuditEntry {
	evicted := s.evicted
	s.evicted = nil
	return evicted
}

// stateSnapshot is the encoded form of a State.
type stateSnapshot struct {
	Document *document.Document `json:"document"`
	Audit    []AuditEntry       `json:"audit"`
	LastSeq  uint64             `json:"last_seq"`
	// Unindexed lists the sequence numbers of entries that seqByChangeID does not
	// refer to: publications, and rejected changes that reused an identifier.
	Unindexed []uint64 `json:"undecided,omitempty"`
	Lease     Lease    `json:"lease"`
	// Publication is the publication in force.
	Publication Publication `json:"publication"`
	// Rollouts are the latest rollouts of all services, and LastRollout the highest number of an order.
	// Snapshots of earlier versions have neither.
	Rollouts    []rollout.Record `json:"rollouts,omitempty"`
	LastRollout uint64           `json:"last_rollout,omitempty"`
}

// encode returns the state as snapshot data.
func (s *State) encode() ([]byte, error) {
	out := stateSnapshot{
		Document: s.document, Audit: s.audit, LastSeq: s.lastSeq, Lease: s.lease, Publication: s.publication,
		Rollouts: s.sortedRollouts(), LastRollout: s.lastRollout,
	}
	for _, e := range s.audit {
		if s.seqByChangeID[e.Result.ChangeID] != e.Seq {
			out.Unindexed = append(out.Unindexed, e.Seq)
		}
	}
	data, err := json.Marshal(out)
	return data, eris.Wrap(err, "encode the control state")
}

// decodeState decodes snapshot data. Empty data yields the initial state.
func decodeState(data []byte) (*State, error) {
	s := NewState()
	if len(data) == 0 {
		return s, nil
	}
	in := stateSnapshot{Document: document.Empty()}
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, eris.Wrap(err, "decode the control state")
	}
	s.document, s.audit, s.lastSeq, s.lease = in.Document, in.Audit, in.LastSeq, in.Lease
	s.publication, s.lastRollout = in.Publication, in.LastRollout
	for _, r := range in.Rollouts {
		s.rollouts[r.Service] = r
	}
	for name, o := range s.document.Organisations {
		for _, hash := range o.KeyHashes {
			s.keyOwners[hash] = name
		}
	}
	unindexed := map[uint64]bool{}
	for _, seq := range in.Unindexed {
		unindexed[seq] = true
	}
	for _, e := range s.audit {
		s.auditOpBytes += opBytes(e.Ops)
		if !unindexed[e.Seq] {
			s.seqByChangeID[e.Result.ChangeID] = e.Seq
		}
	}
	return s, nil
}
