package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
)

// Publication is a whole configuration under a revision that its operator chose.
// The highest revision is in force; content under a revision that is not higher
// than the one in force has no effect.
type Publication struct {
	Revision uint64 `json:"revision"`
	// Content is kept byte for byte.
	Content []byte `json:"content"`
}

// publicationOperator is the name of the publishing operator in the audit trail;
// publications arrive over an interface without operators' keys.
const publicationOperator = "publisher"

// applyPublication decides a publication and records it in the audit trail.
func (s *State) applyPublication(at time.Time, p Publication) Result {
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
		Seq: s.lastSeq, Time: at.UTC(), Operator: publicationOperator, Base: base,
		Result: result, Digest: hex.EncodeToString(sum[:16]),
	})
	for len(s.audit) > auditKept {
		s.evict()
	}
	return result
}

// StoredPublication returns the newest publication in a stored log, committed or
// not. The newest one of a majority of logs is at least as new as every accepted one.
func StoredPublication(stored consensus.Stored) (Publication, error) {
	state, err := decodeState(stored.Snapshot.Data)
	if err != nil {
		return Publication{}, err
	}
	newest := state.publication
	for _, e := range stored.Entries {
		var c command
		// Entries that are no commands belong to the group itself.
		if json.Unmarshal(e.Data, &c) == nil && c.Publication != nil && c.Publication.Revision > newest.Revision {
			newest = *c.Publication
		}
	}
	return newest, nil
}

// Publish submits a publication to this instance alone. The outcome is Accepted
// once a publication with this or a higher revision is in force on a quorum of
// disks, and Unavailable when this instance is not the leader.
func (n *Node) Publish(ctx context.Context, p Publication) Outcome {
	if n.Publication().Revision >= p.Revision {
		return Accepted
	}
	n.proposing.Add(1)
	defer n.proposing.Add(-1)
	if n.draining.Load() {
		return Unavailable
	}
	data, err := json.Marshal(command{Time: n.parts.now().UTC(), Publication: &p})
	if err != nil {
		n.log.Error("a publication cannot be encoded", "revision", p.Revision, "error", err)
		return Invalid
	}
	return n.submit(ctx, &proposal{data: data}).outcome
}

// Publication returns the applied publication; it may be stale.
func (n *Node) Publication() Publication {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.publication
}

// PublicationOrChange returns the applied publication and a channel that is
// closed when a newer one is in force.
func (n *Node) PublicationOrChange() (Publication, <-chan struct{}) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.publication, n.changed
}

// Confirm reports whether the applied state is linearizable for a read that
// began before the call. It is false when this instance is not the leader.
func (n *Node) Confirm(ctx context.Context) bool { return n.confirm(ctx) }

// WaitRevision returns the publication once at least the given revision is applied.
func (n *Node) WaitRevision(ctx context.Context, revision uint64) (Publication, error) {
	for {
		p, changed := n.PublicationOrChange()
		if p.Revision >= revision {
			return p, nil
		}
		select {
		case <-changed:
		case <-n.stopped:
			return Publication{}, eris.New("this instance takes no further part")
		case <-ctx.Done():
			return Publication{}, eris.Wrapf(ctx.Err(), "wait for revision %d", revision)
		}
	}
}

// Up reports whether this instance is an up-to-date member of the group.
func (n *Node) Up() bool { return n.reliable() }

// InTouch reports whether this instance is a member that knows a leader.
func (n *Node) InTouch() bool { return n.inTouch() }

// Step hands a message of another member to the loop; it is dropped when the
// queue is full.
func (n *Node) Step(m consensus.Message) {
	select {
	case n.messages <- m:
	case <-n.stopped:
	default:
	}
}

// Run drives the node until ctx ends or its log cannot be written.
func (n *Node) Run(ctx context.Context) error { return n.run(ctx) }

// DrainProposals refuses new proposals and waits for the open ones.
func (n *Node) DrainProposals(ctx context.Context) { n.drainProposals(ctx) }

// NodeParts are what a node outside Service is built from.
type NodeParts struct {
	Config consensus.Config
	Stored consensus.Stored
	Store  Store
	// Send takes messages to other members; it may lose them and must not block.
	Send func(consensus.Message)
	// Folder keeps the audit file.
	Folder string
	// Tick is the interval of the logical clock.
	Tick         time.Duration
	CompactAfter uint64
	Log          *slog.Logger
}

type sendFunc func(consensus.Message)

func (f sendFunc) send(m consensus.Message) { f(m) }

// NewNode returns a node on the stored state. The caller runs it.
func NewNode(p NodeParts) (*Node, error) {
	audit, err := openAuditFile(p.Folder)
	if err != nil {
		return nil, err
	}
	return newNode(loopParts{
		core: consensus.New(p.Config, p.Stored), store: p.Store, carrier: sendFunc(p.Send), audit: audit,
		tick: p.Tick, compactAfter: p.CompactAfter, now: time.Now,
	}, p.Stored.Snapshot, p.Log)
}
