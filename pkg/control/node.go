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
	// compactAfterBytes is the size of the applied commands after which a snapshot is taken,
	// however few they are. On disk, base64 makes about 1.8 bytes of a byte of a large
	// configuration; the snapshot is written beside the log that it replaces.
	compactAfterBytes = 8 << 20
	// requestTimeout bounds a proposal or a linearizable read including all
	// retries. It allows for two elections of usual length.
	requestTimeout = 4 * time.Second
	// queueCapacity is the capacity of each queue of the event loop: messages,
	// proposals and reads.
	queueCapacity = 1024
)

// core is the consensus protocol state machine, implemented by consensus.Node.
type core interface {
	Tick()
	Step(consensus.Message)
	Propose(data []byte) (index, term uint64, ok bool)
	ReadIndex(id uint64) bool
	HasReady() bool
	Ready() consensus.Ready
	Advance()
	Compact(index uint64, data []byte)
	AdmitMember(id consensus.MemberID) bool
	Status() consensus.Status
}

// Store is the durable consensus log, implemented by wal.Log.
type Store interface {
	// Save makes the snapshot, the entries and the hard state durable.
	Save(consensus.Ready) error
	Close() error
}

// proposal is a log entry that is proposed and not yet applied.
type proposal struct {
	data []byte
	// changeID and digest identify the proposed change. They are empty for lease
	// requests, publications and rollouts.
	changeID, digest string
	term             uint64
	done             chan proposalResult
}

// proposalResult is the result of a proposal. The fields of output are set only
// if outcome is Accepted, which means here that the entry was applied; the state
// machine may still have rejected the change in it.
type proposalResult struct {
	outcome Outcome
	output  commandOutput
}

// readRequest is a linearizable read that waits for confirmation.
type readRequest struct {
	// confirmed receives true once the applied state is linearizable for this
	// read, and false if this instance is not the leader.
	confirmed chan bool
}

// nodeDependencies are the components that the event loop of a Node uses.
type nodeDependencies struct {
	core   core
	store  Store
	sender messageSender
	audit  auditStore
	// tickInterval is the interval between calls of core.Tick.
	tickInterval time.Duration
	// compactAfter is the number of applied log entries after which a snapshot is taken.
	compactAfter uint64
	now          func() time.Time
}

// auditStore stores audit entries evicted from the state. They are appended
// before a snapshot without them is saved.
type auditStore interface {
	append([]AuditEntry) error
	// read returns up to limit entries with sequence numbers greater than after.
	read(after uint64, limit int) ([]AuditEntry, error)
}

// Node runs a consensus.Node, here called the core, and applies the committed commands.
// A single goroutine, the event loop, owns the core and the log.
type Node struct {
	deps nodeDependencies
	log  *slog.Logger

	messages  chan consensus.Message
	proposals chan *proposal
	reads     chan *readRequest
	// admissions holds the members that may join; see AdmitMember.
	admissions chan consensus.MemberID
	stopped    chan struct{}

	// appliedIndex and compactedIndex are log indices. These and the fields up to
	// pendingReadTerm are accessed only by the event loop.
	appliedIndex   uint64
	compactedIndex uint64
	// appliedBytes is the size of the commands applied since compactedIndex.
	appliedBytes     int
	pendingProposals map[uint64]*proposal
	pendingReads     map[uint64]*readRequest
	confirmedReads   []consensus.ReadState
	lastReadID       uint64
	// pendingReadTerm is the term of the newest pending read.
	pendingReadTerm uint64

	// openWatches counts the open watches, inFlightProposals the running calls of
	// ProposeLocal, Publish and of the methods that change rollouts.
	openWatches, inFlightProposals atomic.Int64
	// draining is set before a planned stop; new proposals are then rejected.
	draining atomic.Bool

	mu     sync.RWMutex
	state  *State
	status consensus.Status
	// changed is closed and replaced when a newer version or publication, or a change of a rollout, is applied.
	changed chan struct{}
	loopErr error

	// encoded caches the encoded document for watchers that need a snapshot.
	// encodeMu is separate from mu because encoding a large document must not
	// block the event loop.
	encodeMu       sync.Mutex
	encoded        []byte
	encodedVersion uint64
}

// newNode returns a node with the state of the stored snapshot.
func newNode(deps nodeDependencies, snapshot consensus.Snapshot, log *slog.Logger) (*Node, error) {
	state, err := decodeState(snapshot.Data)
	if err != nil {
		return nil, err
	}
	return &Node{
		deps: deps, log: log, state: state, status: deps.core.Status(),
		messages: make(chan consensus.Message, queueCapacity), proposals: make(chan *proposal, queueCapacity),
		reads: make(chan *readRequest, queueCapacity), admissions: make(chan consensus.MemberID, 1), stopped: make(chan struct{}), changed: make(chan struct{}),
		appliedIndex: snapshot.Index, compactedIndex: snapshot.Index,
		pendingProposals: map[uint64]*proposal{}, pendingReads: map[uint64]*readRequest{},
	}, nil
}

// run is the event loop. It returns when ctx ends, or when the log or the audit file
// cannot be written or a snapshot cannot be encoded or decoded; after that the node
// handles no more requests.
func (n *Node) run(ctx context.Context) error {
	defer close(n.stopped)
	defer n.failPending()
	ticker := time.NewTicker(n.deps.tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.deps.core.Tick()
		case m := <-n.messages:
			n.deps.core.Step(m)
		case p := <-n.proposals:
			n.propose(p)
		case r := <-n.reads:
			n.startRead(r)
		case id := <-n.admissions:
			n.deps.core.AdmitMember(id)
		}
		n.processQueued()
		if err := n.processReady(); err != nil {
			n.mu.Lock()
			n.loopErr = err
			n.mu.Unlock()
			n.log.Error("cannot store or apply the output of consensus; this instance stops participating in the group", "error", err)
			return err
		}
	}
}

// processQueued processes further queued input without waiting, so that one sync
// of the log covers several requests.
func (n *Node) processQueued() {
	for range queueCapacity {
		select {
		case m := <-n.messages:
			n.deps.core.Step(m)
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
	index, term, ok := n.deps.core.Propose(p.data)
	if !ok {
		p.done <- proposalResult{outcome: Unavailable}
		return
	}
	if superseded, exists := n.pendingProposals[index]; exists {
		// The earlier term's entry at this index was removed from the local log,
		// but another member may still have it and commit it.
		superseded.done <- proposalResult{outcome: Unknown}
	}
	p.term = term
	n.pendingProposals[index] = p
}

func (n *Node) startRead(r *readRequest) {
	n.lastReadID++
	n.pendingReadTerm = n.deps.core.Status().Term
	n.pendingReads[n.lastReadID] = r
	if !n.deps.core.ReadIndex(n.lastReadID) {
		delete(n.pendingReads, n.lastReadID)
		r.confirmed <- false
	}
}

// processReady handles the output of the consensus core. The log is synced before
// messages are sent and before entries are applied.
func (n *Node) processReady() error {
	for n.deps.core.HasReady() {
		ready := n.deps.core.Ready()
		if err := n.deps.store.Save(ready); err != nil {
			return eris.Wrap(err, "save the consensus log")
		}
		for _, m := range ready.Messages {
			n.deps.sender.send(m)
		}
		if err := n.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
		n.applyEntries(ready.Committed)
		n.confirmedReads = append(n.confirmedReads, ready.Reads...)
		n.deps.core.Advance()
	}
	n.completeReads()
	n.updateStatus()
	return n.compact()
}

// installSnapshot replaces the state with a snapshot received from the leader.
func (n *Node) installSnapshot(snapshot *consensus.Snapshot) error {
	if snapshot == nil || snapshot.Index <= n.appliedIndex {
		return nil
	}
	state, err := decodeState(snapshot.Data)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.state = state
	n.notifyWatchers()
	n.mu.Unlock()
	n.appliedIndex, n.compactedIndex, n.appliedBytes = snapshot.Index, snapshot.Index, 0
	for index, p := range n.pendingProposals {
		if index <= n.appliedIndex {
			p.done <- resultFromState(state, p)
			delete(n.pendingProposals, index)
		}
	}
	return nil
}

// resultFromState returns the result of a proposal whose log index is covered by
// an installed snapshot.
func resultFromState(s *State, p *proposal) proposalResult {
	if entry, ok := s.decidedEntry(p.changeID); ok && entry.Digest == p.digest {
		return proposalResult{outcome: Accepted, output: commandOutput{result: entry.Result}}
	}
	return proposalResult{outcome: Unknown}
}

func (n *Node) applyEntries(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	version, revision, rolloutChanges := n.state.document.Version, n.state.publication.Revision, n.state.rolloutChanges
	for _, e := range entries {
		n.applyEntry(e)
	}
	if n.state.document.Version != version || n.state.publication.Revision != revision || n.state.rolloutChanges != rolloutChanges {
		n.notifyWatchers()
	}
}

func (n *Node) applyEntry(e consensus.Entry) {
	if e.Index <= n.appliedIndex {
		return
	}
	if e.Index != n.appliedIndex+1 {
		panic(eris.Errorf("log entry %d is committed after entry %d", e.Index, n.appliedIndex))
	}
	n.appliedIndex = e.Index
	n.appliedBytes += len(e.Data)
	var output commandOutput
	if e.Kind == consensus.Command {
		output = n.state.apply(e.Data)
	}
	p, ok := n.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(n.pendingProposals, e.Index)
	if p.term != e.Term {
		// An entry of another term was committed at this index, so the proposal
		// can never be committed.
		p.done <- proposalResult{outcome: Unavailable}
		return
	}
	p.done <- proposalResult{outcome: Accepted, output: output}
}

// notifyWatchers wakes all waiters on n.changed. The caller must hold n.mu.
func (n *Node) notifyWatchers() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// completeReads completes the confirmed reads whose index is applied. If this
// instance no longer leads in the term of the pending reads, it fails all of
// them, because the consensus core has dropped them.
func (n *Node) completeReads() {
	unapplied := n.confirmedReads[:0]
	for _, c := range n.confirmedReads {
		if c.Index > n.appliedIndex {
			unapplied = append(unapplied, c)
			continue
		}
		if r, ok := n.pendingReads[c.ID]; ok {
			r.confirmed <- true
			delete(n.pendingReads, c.ID)
		}
	}
	n.confirmedReads = unapplied
	if len(n.pendingReads) == 0 {
		return
	}
	if status := n.deps.core.Status(); status.Role != consensus.Leader || status.Term != n.pendingReadTerm {
		for id, r := range n.pendingReads {
			r.confirmed <- false
			delete(n.pendingReads, id)
		}
		n.confirmedReads = nil
	}
}

func (n *Node) updateStatus() {
	status := n.deps.core.Status()
	n.mu.Lock()
	previous := n.status
	n.status = status
	n.mu.Unlock()
	if previous.Role != status.Role || previous.Leader != status.Leader {
		n.log.Info("consensus role changed", "role", roleName(status.Role), "term", status.Term, "leader", status.Leader)
	}
}

// compact takes a snapshot if at least compactAfter entries or compactAfterBytes were
// applied since the last one.
func (n *Node) compact() error {
	if n.appliedIndex-n.compactedIndex < n.deps.compactAfter && n.appliedBytes < compactAfterBytes {
		return nil
	}
	if err := n.deps.audit.append(n.state.evicted); err != nil {
		return err
	}
	n.mu.Lock()
	n.state.takeEvicted()
	n.mu.Unlock()
	data, err := n.state.encode()
	if err != nil {
		return err
	}
	n.deps.core.Compact(n.appliedIndex, data)
	n.compactedIndex, n.appliedBytes = n.appliedIndex, 0
	return nil
}

// failPending completes all pending proposals and reads when the loop ends.
func (n *Node) failPending() {
	for _, p := range n.pendingProposals {
		p.done <- proposalResult{outcome: Unknown}
	}
	for _, r := range n.pendingReads {
		r.confirmed <- false
	}
}

// drainPollInterval is the interval at which drainProposals checks for in-flight
// proposals. It also leaves time to send the responses of the last ones.
const drainPollInterval = 20 * time.Millisecond

// drainProposals rejects new proposals and waits until those in flight are
// completed or ctx ends. Peers retry the rejected ones at the next leader.
func (n *Node) drainProposals(ctx context.Context) {
	n.draining.Store(true)
	for sleepContext(ctx, drainPollInterval) && n.inFlightProposals.Load() > 0 {
	}
}
