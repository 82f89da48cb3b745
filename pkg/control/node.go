package control

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
)

const (
	// requestTimeout bounds a proposal or a linearizable read as a whole: two
	// elections of usual length.
	requestTimeout = 4 * time.Second
	// inbox bounds the queued messages, proposals and reads of the loop.
	inbox = 1024
)

// core is the consensus state machine, implemented by consensus.Node.
type core interface {
	Tick()
	Step(consensus.Message)
	Propose(data []byte) (index, term uint64, ok bool)
	ReadIndex(id uint64) bool
	HasReady() bool
	Ready() consensus.Ready
	Advance()
	Compact(index uint64, data []byte)
	Status() consensus.Status
}

// Store is the synced log, implemented by wal.Log.
type Store interface {
	// Save makes the snapshot, the entries and the hard state durable.
	Save(consensus.Ready) error
	Close() error
}

// proposal is one entry that waits to be applied.
type proposal struct {
	data []byte
	// changeID and digest name a change; a lease request has none.
	changeID, digest string
	term             uint64
	done             chan answer
}

// answer tells what became of a proposal. Fields of applied are set only when
// outcome is Accepted, which here means that the entry was applied.
type answer struct {
	outcome Outcome
	applied applied
}

// read is one linearizable read that waits for confirmation.
type read struct {
	// done gets true when the state is linearizable for this read, false when
	// this instance is not the leader.
	done chan bool
}

// loopParts are the parts that the loop drives.
type loopParts struct {
	core    core
	store   Store
	carrier carrier
	audit   auditSink
	// tick is the interval of calls of core.Tick.
	tick         time.Duration
	compactAfter uint64
	now          func() time.Time
}

// auditSink takes audit entries that left the state, before the snapshot
// without them is saved.
type auditSink interface {
	append([]AuditEntry) error
	// read returns up to limit of the entries after a sequence number.
	read(after uint64, limit int) ([]AuditEntry, error)
}

// Node runs consensus and applies the committed commands. One goroutine owns
// the consensus state machine and the log.
type Node struct {
	parts loopParts
	log   *slog.Logger

	messages  chan consensus.Message
	proposals chan *proposal
	reads     chan *read
	stopped   chan struct{}

	// applied and compacted are indices of the log; they, waiting and pending
	// belong to the loop.
	applied   uint64
	compacted uint64
	waiting   map[uint64]*proposal
	pending   map[uint64]*read
	confirmed []consensus.ReadState
	nextRead  uint64
	// readTerm is the term of the newest pending read.
	readTerm uint64

	// watchers counts the open watches, proposing the calls of ProposeLocal.
	watchers, proposing atomic.Int64
	// draining refuses new proposals before a planned stop.
	draining atomic.Bool

	mu     sync.RWMutex
	state  *State
	status consensus.Status
	// changed is closed and replaced when a newer version is in force.
	changed chan struct{}
	err     error

	// encoded caches the document for watchers that are far behind. It has a
	// lock of its own: encoding a large document must not hold up the loop.
	encodeMu       sync.Mutex
	encoded        []byte
	encodedVersion uint64
}

// newNode returns a node whose state is that of the stored snapshot.
func newNode(parts loopParts, snapshot consensus.Snapshot, log *slog.Logger) (*Node, error) {
	state, err := decodeState(snapshot.Data)
	if err != nil {
		return nil, err
	}
	return &Node{
		parts: parts, log: log, state: state, status: parts.core.Status(),
		messages: make(chan consensus.Message, inbox), proposals: make(chan *proposal, inbox),
		reads: make(chan *read, inbox), stopped: make(chan struct{}), changed: make(chan struct{}),
		applied: snapshot.Index, compacted: snapshot.Index,
		waiting: map[uint64]*proposal{}, pending: map[uint64]*read{},
	}, nil
}

// run drives consensus until ctx ends or the log cannot be written. After it
// returns, the node answers nothing more.
func (n *Node) run(ctx context.Context) error {
	defer close(n.stopped)
	defer n.abandon()
	ticker := time.NewTicker(n.parts.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.parts.core.Tick()
		case m := <-n.messages:
			n.parts.core.Step(m)
		case p := <-n.proposals:
			n.propose(p)
		case r := <-n.reads:
			n.startRead(r)
		}
		n.drain()
		if err := n.carryOut(); err != nil {
			n.mu.Lock()
			n.err = err
			n.mu.Unlock()
			n.log.Error("the consensus log cannot be written, this instance takes no further part", "error", err)
			return err
		}
	}
}

// drain takes what else is queued, so that one sync serves several requests.
func (n *Node) drain() {
	for range inbox {
		select {
		case m := <-n.messages:
			n.parts.core.Step(m)
		case p := <-n.proposals:
			n.propose(p)
		case r := <-n.reads:
			n.startRead(r)
		default:
			return
		}
	}
}

func (n *Node) propose(p *proposal) {
	index, term, ok := n.parts.core.Propose(p.data)
	if !ok {
		p.done <- answer{outcome: Unavailable}
		return
	}
	if old, found := n.waiting[index]; found {
		// The entry of an earlier term is not in this log, but another member
		// may still hold and commit it.
		old.done <- answer{outcome: Unknown}
	}
	p.term = term
	n.waiting[index] = p
}

func (n *Node) startRead(r *read) {
	n.nextRead++
	n.readTerm = n.parts.core.Status().Term
	n.pending[n.nextRead] = r
	if !n.parts.core.ReadIndex(n.nextRead) {
		delete(n.pending, n.nextRead)
		r.done <- false
	}
}

// carryOut does the work that consensus asks for: the log is synced before
// messages leave and before entries are applied.
func (n *Node) carryOut() error {
	for n.parts.core.HasReady() {
		ready := n.parts.core.Ready()
		if err := n.parts.store.Save(ready); err != nil {
			return eris.Wrap(err, "save the consensus log")
		}
		for _, m := range ready.Messages {
			n.parts.carrier.send(m)
		}
		if err := n.install(ready.Snapshot); err != nil {
			return err
		}
		n.applyAll(ready.Committed)
		n.confirmed = append(n.confirmed, ready.Reads...)
		n.parts.core.Advance()
	}
	n.finishReads()
	n.publishStatus()
	return n.compact()
}

// install replaces the state by a snapshot from the leader.
func (n *Node) install(snapshot *consensus.Snapshot) error {
	if snapshot == nil || snapshot.Index <= n.applied {
		return nil
	}
	state, err := decodeState(snapshot.Data)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.state = state
	n.announce()
	n.mu.Unlock()
	n.applied, n.compacted = snapshot.Index, snapshot.Index
	for index, p := range n.waiting {
		if index <= n.applied {
			p.done <- answerFromState(state, p)
			delete(n.waiting, index)
		}
	}
	return nil
}

// answerFromState answers a proposal whose entry is covered by a snapshot.
func answerFromState(s *State, p *proposal) answer {
	if entry, ok := s.lookup(p.changeID); ok && entry.Digest == p.digest {
		return answer{outcome: Accepted, applied: applied{result: entry.Result}}
	}
	return answer{outcome: Unknown}
}

func (n *Node) applyAll(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	version, revision := n.state.document.Version, n.state.publication.Revision
	for _, e := range entries {
		n.applyOne(e)
	}
	if n.state.document.Version != version || n.state.publication.Revision != revision {
		n.announce()
	}
}

func (n *Node) applyOne(e consensus.Entry) {
	if e.Index <= n.applied {
		return
	}
	if e.Index != n.applied+1 {
		panic(eris.Errorf("log entry %d is committed after entry %d", e.Index, n.applied))
	}
	n.applied = e.Index
	var got applied
	if e.Kind == consensus.Command {
		got = n.state.apply(e.Data)
	}
	p, ok := n.waiting[e.Index]
	if !ok {
		return
	}
	delete(n.waiting, e.Index)
	if p.term != e.Term {
		// Another entry holds the index, so the proposal can never be committed.
		p.done <- answer{outcome: Unavailable}
		return
	}
	p.done <- answer{outcome: Accepted, applied: got}
}

// announce wakes the watchers; n.mu is held.
func (n *Node) announce() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// finishReads answers the confirmed reads, and all others when this instance is
// not the leader of their term any more: consensus forgets them then.
func (n *Node) finishReads() {
	rest := n.confirmed[:0]
	for _, c := range n.confirmed {
		if c.Index > n.applied {
			rest = append(rest, c)
			continue
		}
		if r, ok := n.pending[c.ID]; ok {
			r.done <- true
			delete(n.pending, c.ID)
		}
	}
	n.confirmed = rest
	if len(n.pending) == 0 {
		return
	}
	if status := n.parts.core.Status(); status.Role != consensus.Leader || status.Term != n.readTerm {
		for id, r := range n.pending {
			r.done <- false
			delete(n.pending, id)
		}
		n.confirmed = nil
	}
}

func (n *Node) publishStatus() {
	status := n.parts.core.Status()
	n.mu.Lock()
	old := n.status
	n.status = status
	n.mu.Unlock()
	if old.Role != status.Role || old.Leader != status.Leader {
		n.log.Info("consensus role changed", "role", roleName(status.Role), "term", status.Term, "leader", status.Leader)
	}
}

// compact writes a snapshot when enough entries were applied since the last one.
func (n *Node) compact() error {
	if n.applied-n.compacted < n.parts.compactAfter {
		return nil
	}
	if err := n.parts.audit.append(n.state.evicted); err != nil {
		return err
	}
	n.mu.Lock()
	n.state.takeEvicted()
	n.mu.Unlock()
	data, err := n.state.encode()
	if err != nil {
		return err
	}
	n.parts.core.Compact(n.applied, data)
	n.compacted = n.applied
	return nil
}

// abandon answers what waits when the loop ends.
func (n *Node) abandon() {
	for _, p := range n.waiting {
		p.done <- answer{outcome: Unknown}
	}
	for _, r := range n.pending {
		r.done <- false
	}
}

// drainStep is the interval at which drain looks, and the time for the answers
// of the last proposals to leave.
const drainStep = 20 * time.Millisecond

// drainProposals refuses new proposals and waits until those of peers are
// answered or ctx ends. The peers repeat refused ones at the next leader.
func (n *Node) drainProposals(ctx context.Context) {
	n.draining.Store(true)
	for pause(ctx, drainStep) && n.proposing.Load() > 0 {
	}
}
