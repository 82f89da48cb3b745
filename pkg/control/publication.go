package control

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
)

// Publication is a complete configuration with a revision chosen by its operator.
// The publication with the highest revision is in force; one whose revision is
// not higher than that has no effect.
type Publication struct {
	Revision uint64
	// Content is opaque to this package.
	Content []byte
	// Compressed is the form in which a large content is stored and replicated. It is nil
	// for others, and until the publication is encoded or decoded.
	Compressed []byte
}

const (
	// compressFromBytes is the size from which a content is compressed. Replication is
	// bound by the size of the log entries: they are encoded, sent to each member and
	// synced while the heartbeats wait.
	compressFromBytes = 16 << 10
	// maxContentBytes bounds the size of a content after decompression.
	maxContentBytes = 64 << 20
)

// encodedPublication is the JSON form of a Publication; one of the contents is set.
type encodedPublication struct {
	Revision uint64 `json:"revision"`
	Content  []byte `json:"content,omitempty"`
	Deflated []byte `json:"deflated,omitempty"`
}

// compress sets Compressed if the content is large and gets smaller by it.
func (p *Publication) compress() error {
	if p.Compressed != nil || len(p.Content) < compressFromBytes {
		return nil
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(p.Content)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return eris.Wrapf(err, "compress publication %d", p.Revision)
	}
	if buffer.Len() < len(p.Content) {
		p.Compressed = buffer.Bytes()
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (p Publication) MarshalJSON() ([]byte, error) {
	if err := p.compress(); err != nil {
		return nil, err
	}
	encoded := encodedPublication{Revision: p.Revision, Content: p.Content, Deflated: p.Compressed}
	if p.Compressed != nil {
		encoded.Content = nil
	}
	return json.Marshal(encoded)
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Publication) UnmarshalJSON(data []byte) error {
	var encoded encodedPublication
	if err := json.Unmarshal(data, &encoded); err != nil {
		return err
	}
	*p = Publication{Revision: encoded.Revision, Content: encoded.Content, Compressed: encoded.Deflated}
	if p.Compressed == nil {
		return nil
	}
	var err error
	p.Content, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Compressed)), maxContentBytes+1))
	if err == nil && len(p.Content) > maxContentBytes {
		err = eris.Errorf("it has more than %d bytes", maxContentBytes)
	}
	return eris.Wrapf(err, "decompress publication %d", p.Revision)
}

// publicationOperator is the operator name of publications in the audit trail.
// The interface that accepts publications does not authenticate operators.
const publicationOperator = "publisher"

// applyPublication applies a publication if its revision is higher than the one
// in force, and records it in the audit trail in that case.
func (s *State) applyPublication(proposedAt time.Time, p Publication) Result {
	result := Result{ChangeID: strconv.FormatUint(p.Revision, 10), Outcome: Accepted, Version: s.publication.Revision}
	if p.Revision <= s.publication.Revision {
		return result
	}
	sum := sha256.Sum256(p.Content)
	base := s.publication.Revision
	s.publication = p
	result.Version = p.Revision
	s.lastSeq++
	s.audit = append(s.audit, AuditEntry{
		Seq: s.lastSeq, Time: proposedAt.UTC(), Operator: publicationOperator, Base: base,
		Result: result, Digest: hex.EncodeToString(sum[:16]),
	})
	for len(s.audit) > maxAuditEntries {
		s.evictOldest()
	}
	return result
}

// StoredPublication returns the publication with the highest revision in a stored
// log, whether or not it is committed, and the index of its entry or of the snapshot
// that contains it. The highest revision among the logs of a majority of members is
// at least that of every accepted publication.
func StoredPublication(stored consensus.StoredState) (newest Publication, index uint64, err error) {
	state, err := decodeState(stored.Snapshot.Data)
	if err != nil {
		return Publication{}, 0, err
	}
	newest, index = state.publication, stored.Snapshot.Index
	for _, e := range stored.Entries {
		var c command
		// Entries that are not commands are written by the consensus core: disk
		// replacements, and the empty entry of a new leader.
		if json.Unmarshal(e.Data, &c) == nil && c.Publication != nil && c.Publication.Revision > newest.Revision {
			newest, index = *c.Publication, e.Index
		}
	}
	return newest, index, nil
}

// Publish proposes a publication at this instance without forwarding it. The
// outcome is Accepted once a publication with this or a higher revision is in
// force on a quorum of disks, and Unavailable if this instance is not the leader.
func (n *Node) Publish(ctx context.Context, p Publication) Outcome {
	if n.Publication().Revision >= p.Revision {
		return Accepted
	}
	n.inFlightProposals.Add(1)
	defer n.inFlightProposals.Add(-1)
	if n.draining.Load() {
		return Unavailable
	}
	data, err := json.Marshal(command{Time: n.deps.now().UTC(), Publication: &p})
	if err != nil {
		n.log.Error("cannot encode a publication", "revision", p.Revision, "error", err)
		return Invalid
	}
	return n.submit(ctx, &proposal{data: data}).outcome
}

// Publication returns the publication applied at this instance, which may be stale.
func (n *Node) Publication() Publication {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.publication
}

// PublicationAndChange returns the applied publication and a channel that is
// closed when a newer publication or configuration version, or a change of a rollout, is applied.
func (n *Node) PublicationAndChange() (Publication, <-chan struct{}) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.publication, n.changed
}

// ConfirmRead reports whether the applied state is linearizable for a read that
// began before the call. It returns false if this instance is not the leader.
func (n *Node) ConfirmRead(ctx context.Context) bool { return n.confirmRead(ctx) }

// WaitRevision waits until a publication with at least the given revision is
// applied and returns it.
func (n *Node) WaitRevision(ctx context.Context, revision uint64) (Publication, error) {
	for {
		p, changed := n.PublicationAndChange()
		if p.Revision >= revision {
			return p, nil
		}
		select {
		case <-changed:
		case <-n.stopped:
			return Publication{}, eris.Errorf("the node stopped while waiting for revision %d", revision)
		case <-ctx.Done():
			return Publication{}, eris.Wrapf(ctx.Err(), "wait for revision %d", revision)
		}
	}
}

// HasGroupState reports whether the applied state of this instance came from its group.
func (n *Node) HasGroupState() bool { return n.hasGroupState() }

// HasLeader reports whether this instance is a voting member that knows a leader.
func (n *Node) HasLeader() bool { return n.hasLeader() }

// Step enqueues a message from another member for the event loop. The message is
// dropped if the queue is full.
func (n *Node) Step(m consensus.Message) {
	select {
	case n.messages <- m:
	case <-n.stopped:
	default:
	}
}

// AdmitMember lets a new member join the group if this instance is the leader. The caller
// repeats the call until the member is in the member table of Status.
func (n *Node) AdmitMember(id consensus.MemberID) {
	select {
	case n.admissions <- id:
	default:
	}
}

// Run drives the node until ctx ends, or until its log or audit file cannot be written or
// a snapshot cannot be encoded or decoded.
func (n *Node) Run(ctx context.Context) error { return n.run(ctx) }

// DrainProposals rejects new proposals and waits until those in flight are
// completed or ctx ends.
func (n *Node) DrainProposals(ctx context.Context) { n.drainProposals(ctx) }

// NodeConfig configures a Node that runs without a Service.
type NodeConfig struct {
	Config consensus.Config
	Stored consensus.StoredState
	Store  Store
	// Send sends a message to another member. It must not block and may lose messages.
	Send func(consensus.Message)
	// Folder is the folder of the audit file.
	Folder string
	// TickInterval is the interval between ticks of the consensus clock.
	TickInterval time.Duration
	// CompactAfter is the number of applied log entries after which a snapshot is taken; one is
	// taken earlier if the entries are large.
	CompactAfter uint64
	Log          *slog.Logger
}

type sendFunc func(consensus.Message)

func (f sendFunc) send(m consensus.Message) { f(m) }

// NewNode returns a node that resumes from the stored state. The caller must call Run.
func NewNode(c NodeConfig) (*Node, error) {
	audit, err := openAuditFile(c.Folder)
	if err != nil {
		return nil, err
	}
	return newNode(nodeDependencies{
		core: consensus.New(c.Config, c.Stored), store: c.Store, sender: sendFunc(c.Send), audit: audit,
		tickInterval: c.TickInterval, compactAfter: c.CompactAfter, now: time.Now,
	}, c.Stored.Snapshot, c.Log)
}
