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
)

// Outcome tells what became of a change.
type Outcome string

// Outcomes of a change.
const (
	// Accepted changes are in force under Result.Version.
	Accepted Outcome = "accepted"
	// Conflict means that the base was not the version in force.
	Conflict Outcome = "conflict"
	// Invalid means that the change or the resulting document has faults.
	Invalid Outcome = "invalid"
	// Unavailable means that the change was provably not proposed.
	Unavailable Outcome = "unavailable"
	// Unknown means that the change may still be accepted; the caller resends
	// it under the same identifier to learn the result.
	Unknown Outcome = "unknown"
)

const (
	// auditKept is the number of audit entries, and with them results by change
	// identifier, that the state keeps. Older audit entries go to a file.
	auditKept = 10_000
	// auditBytes bounds the ops in these entries: 10,000 changes of the largest
	// size would take 10 GB.
	auditBytes = 32 << 20
	// watchWindow is the number of versions that a watcher may lag behind and
	// still get differences; beyond it a snapshot is smaller for documents of
	// usual size.
	watchWindow = 1000
	// MaxChangeBytes bounds the encoded form of one change. Larger differences
	// are split by the operator, which keeps a log entry well under the largest
	// drpc message (4 MiB).
	MaxChangeBytes = 1 << 20
	maxIDBytes     = 128
)

// Result is the answer to a change. A resend of the same change gets the same
// result.
type Result struct {
	ChangeID string  `json:"change_id"`
	Outcome  Outcome `json:"outcome"`
	// Version is the new version if the change was accepted, else the version
	// in force when the change was decided.
	Version uint64           `json:"version"`
	Message string           `json:"message,omitempty"`
	Faults  []document.Fault `json:"faults,omitempty"`
}

// AuditEntry records one decided change.
type AuditEntry struct {
	// Seq counts all entries from 1 without gaps.
	Seq uint64 `json:"seq"`
	// Time is the clock of the leader that proposed the change.
	Time     time.Time `json:"time"`
	Operator string    `json:"operator"`
	Base     uint64    `json:"base"`
	Result   Result    `json:"result"`
	// Digest identifies the content of the change.
	Digest string `json:"digest"`
	// Ops are what changed. Rejected changes keep only the names of the items,
	// so that they cannot fill the memory.
	Ops []document.Op `json:"ops"`
}

// Lease is the right to give orders to engines. Number is the fencing number
// and grows with every new holder.
type Lease struct {
	Number uint64 `json:"number"`
	Holder string `json:"holder"`
	// DurationMS is how long the holder may act after it sent its last
	// successful request for the lease, in milliseconds of its own clock.
	DurationMS int64 `json:"duration_ms"`
	// Renewals counts the renewals under this number.
	Renewals uint64 `json:"renewals"`
}

// LeaseRequest acquires or renews the lease by compare-and-swap on its number.
type LeaseRequest struct {
	Holder string `json:"holder"`
	// Expect is the number that the holder saw.
	Expect     uint64 `json:"expect"`
	DurationMS int64  `json:"duration_ms"`
	// Renew keeps the number and needs the same holder; else the number grows.
	Renew bool `json:"renew,omitempty"`
}

// command is the content of a log entry.
type command struct {
	Time   time.Time        `json:"time"`
	Change *document.Change `json:"change,omitempty"`
	Lease  *LeaseRequest    `json:"lease,omitempty"`
	// Publication is a whole configuration of which the highest revision counts.
	Publication *Publication `json:"publication,omitempty"`
}

// applied is the answer of the state machine to one command.
type applied struct {
	result  Result
	lease   Lease
	granted bool
}

// State is the replicated state. It is deterministic: equal commands in equal
// order give equal states. It is not safe for concurrent use.
type State struct {
	document *document.Document
	// audit holds the entries with consecutive sequence numbers up to lastSeq.
	audit   []AuditEntry
	lastSeq uint64
	// size is the size of the ops in audit, in bytes.
	size int
	// decided maps a change identifier to the sequence number of its result.
	decided map[string]uint64
	lease   Lease
	// keyOwners maps the key hashes of the document to their organisations.
	keyOwners map[string]string
	// evicted entries left the window and were not taken yet.
	evicted     []AuditEntry
	publication Publication
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{document: document.Empty(), decided: map[string]uint64{}, keyOwners: map[string]string{}}
}

// Document returns the document in force; it must not be changed.
func (s *State) Document() *document.Document { return s.document }

// Lease returns the lease in force.
func (s *State) Lease() Lease { return s.lease }

// apply carries out one log entry. Data that is no command has no effect.
func (s *State) apply(data []byte) applied {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		return applied{result: Result{Outcome: Invalid, Message: "the log entry is not a command"}}
	}
	switch {
	case c.Change != nil:
		return applied{result: s.applyChange(c.Time, c.Change)}
	case c.Lease != nil:
		lease, granted := s.applyLease(c.Lease)
		return applied{lease: lease, granted: granted}
	case c.Publication != nil:
		return applied{result: s.applyPublication(c.Time, *c.Publication)}
	}
	return applied{result: Result{Outcome: Invalid, Message: "the log entry is an unknown command"}}
}

func (s *State) applyChange(at time.Time, c *document.Change) Result {
	digest := digestOf(c)
	if first, ok := s.lookup(c.ID); ok {
		if first.Digest == digest {
			return first.Result
		}
		result := s.rejected(c, document.Fault{Path: "id", Message: "was used by another change"})
		s.record(at, c, digest, result)
		return result
	}
	result, next := s.decide(c)
	if next != nil {
		s.moveKeys(next, c.Ops)
		s.document = next
	}
	s.record(at, c, digest, result)
	s.decided[c.ID] = s.lastSeq
	return result
}

// decide returns the result of a change and, if it is accepted, the new document.
func (s *State) decide(c *document.Change) (Result, *document.Document) {
	if faults := CheckChange(c); len(faults) > 0 {
		return s.rejected(c, faults...), nil
	}
	if c.Base != s.document.Version {
		return Result{
			ChangeID: c.ID, Outcome: Conflict, Version: s.document.Version,
			Message: fmt.Sprintf("the base is version %d, in force is version %d", c.Base, s.document.Version),
		}, nil
	}
	next, err := s.document.Apply(c.Ops)
	if err != nil {
		return s.rejected(c, opFault(err)), nil
	}
	if faults := next.ValidateOps(c.Ops, s.keyOwner); len(faults) > 0 {
		return s.rejected(c, faults...), nil
	}
	return Result{ChangeID: c.ID, Outcome: Accepted, Version: next.Version}, next
}

// maxFaults bounds the faults in a result, which the state keeps.
const maxFaults = 100

func (s *State) rejected(c *document.Change, faults ...document.Fault) Result {
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

// moveKeys brings keyOwners from the document in force to the next one. A key
// may move between two organisations of one change, so all old keys go first.
func (s *State) moveKeys(next *document.Document, ops []document.Op) {
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

// opFault turns an error of document.Apply, "ops[0] section/name: reason", into a fault.
func opFault(err error) document.Fault {
	path, message, found := strings.Cut(err.Error(), ": ")
	if !found {
		return document.Fault{Path: "ops", Message: err.Error()}
	}
	return document.Fault{Path: path, Message: message}
}

// CheckChange returns the faults of a change that can be told without the
// document.
func CheckChange(c *document.Change) []document.Fault {
	var faults []document.Fault
	if len(c.ID) == 0 || len(c.ID) > maxIDBytes {
		faults = append(faults, document.Fault{Path: "id", Message: fmt.Sprintf("must have 1 to %d bytes", maxIDBytes)})
	}
	if c.Operator == "" {
		faults = append(faults, document.Fault{Path: "operator", Message: "must be set"})
	}
	if len(c.Ops) == 0 {
		faults = append(faults, document.Fault{Path: "ops", Message: "must hold at least one op"})
	}
	return faults
}

func digestOf(c *document.Change) string {
	// A change that came out of JSON always encodes again.
	content, err := json.Marshal(document.Change{Operator: c.Operator, Base: c.Base, Ops: c.Ops})
	if err != nil {
		panic(eris.Wrap(err, "encode a decoded change"))
	}
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:16])
}

// lookup returns the entry that decided a change identifier.
func (s *State) lookup(id string) (AuditEntry, bool) {
	seq, ok := s.decided[id]
	if !ok {
		return AuditEntry{}, false
	}
	return s.audit[seq-s.firstSeq()], true
}

func (s *State) firstSeq() uint64 { return s.lastSeq - uint64(len(s.audit)) + 1 }

func (s *State) record(at time.Time, c *document.Change, digest string, result Result) {
	s.lastSeq++
	ops := c.Ops
	if result.Outcome != Accepted {
		ops = namesOf(ops)
	}
	s.audit = append(s.audit, AuditEntry{
		Seq: s.lastSeq, Time: at.UTC(), Operator: c.Operator, Base: c.Base, Result: result, Digest: digest, Ops: ops,
	})
	s.size += sizeOf(ops)
	for len(s.audit) > auditKept || s.size > auditBytes && len(s.audit) > 1 {
		s.evict()
	}
}

func sizeOf(ops []document.Op) (size int) {
	for _, op := range ops {
		size += len(op.Section) + len(op.Name) + len(op.Value)
	}
	return size
}

// evict moves the oldest audit entry out of the window and forgets its result.
func (s *State) evict() {
	oldest := s.audit[0]
	s.audit[0] = AuditEntry{}
	s.audit = s.audit[1:]
	s.size -= sizeOf(oldest.Ops)
	if s.decided[oldest.Result.ChangeID] == oldest.Seq {
		delete(s.decided, oldest.Result.ChangeID)
	}
	s.evicted = append(s.evicted, oldest)
}

// maxRejectedNames bounds the items that a rejected change leaves in the audit trail.
const maxRejectedNames = 100

func namesOf(ops []document.Op) []document.Op {
	names := make([]document.Op, 0, min(len(ops), maxRejectedNames))
	for _, op := range ops[:min(len(ops), maxRejectedNames)] {
		names = append(names, document.Op{Section: op.Section, Name: op.Name})
	}
	return names
}

func (s *State) applyLease(r *LeaseRequest) (Lease, bool) {
	if r.Expect != s.lease.Number || (r.Renew && r.Holder != s.lease.Holder) {
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

// Step is one accepted version for a watcher.
type Step struct {
	Version uint64
	Ops     []document.Op
}

// Since returns the accepted steps after a version. It returns false when the
// state does not hold all of them or they are more than watchWindow.
func (s *State) Since(version uint64) ([]Step, bool) {
	if version >= s.document.Version {
		return nil, true
	}
	missing := s.document.Version - version
	if missing > watchWindow {
		return nil, false
	}
	steps := make([]Step, missing)
	for i := len(s.audit) - 1; i >= 0 && missing > 0; i-- {
		if s.audit[i].Result.Outcome == Accepted {
			missing--
			steps[missing] = Step{Version: s.audit[i].Result.Version, Ops: s.audit[i].Ops}
		}
	}
	return steps, missing == 0
}

// Audit returns up to limit entries with sequence numbers after the given one,
// oldest first, and the sequence number of the oldest entry that is kept.
func (s *State) Audit(after uint64, limit int) (entries []AuditEntry, first uint64) {
	kept := slices.Concat(s.evicted, s.audit)
	first = s.lastSeq - uint64(len(kept)) + 1
	from := max(after+1, first)
	if from > s.lastSeq {
		return nil, first
	}
	kept = kept[from-first:]
	return kept[:min(len(kept), limit)], first
}

// takeEvicted returns the audit entries that left the window since the last
// call. After a restart, entries are evicted again; their sequence numbers tell.
func (s *State) takeEvicted() []AuditEntry {
	evicted := s.evicted
	s.evicted = nil
	return evicted
}

// stored is the encoded form of a state.
type stored struct {
	Document *document.Document `json:"document"`
	Audit    []AuditEntry       `json:"audit"`
	LastSeq  uint64             `json:"last_seq"`
	// Undecided lists the sequence numbers of entries that are not the result
	// of their change identifier.
	Undecided []uint64 `json:"undecided,omitempty"`
	Lease     Lease    `json:"lease"`
	// Publication is the one with the highest revision.
	Publication Publication `json:"publication"`
}

// encode returns the state as snapshot data.
func (s *State) encode() ([]byte, error) {
	out := stored{
		Document: s.document, Audit: s.audit, LastSeq: s.lastSeq, Lease: s.lease, Publication: s.publication,
	}
	for _, e := range s.audit {
		if s.decided[e.Result.ChangeID] != e.Seq {
			out.Undecided = append(out.Undecided, e.Seq)
		}
	}
	data, err := json.Marshal(out)
	return data, eris.Wrap(err, "encode the control state")
}

// decodeState returns the state in snapshot data; empty data is the first state.
func decodeState(data []byte) (*State, error) {
	s := NewState()
	if len(data) == 0 {
		return s, nil
	}
	in := stored{Document: document.Empty()}
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, eris.Wrap(err, "decode the control state")
	}
	s.document, s.audit, s.lastSeq, s.lease = in.Document, in.Audit, in.LastSeq, in.Lease
	s.publication = in.Publication
	for name, o := range s.document.Organisations {
		for _, hash := range o.KeyHashes {
			s.keyOwners[hash] = name
		}
	}
	undecided := map[uint64]bool{}
	for _, seq := range in.Undecided {
		undecided[seq] = true
	}
	for _, e := range s.audit {
		s.size += sizeOf(e.Ops)
		if !undecided[e.Seq] {
			s.decided[e.Result.ChangeID] = e.Seq
		}
	}
	return s, nil
}
