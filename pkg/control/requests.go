package control

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// submit enqueues a proposal for the event loop and waits for its result.
func (n *Node) submit(ctx context.Context, p *proposal) proposalResult {
	p.done = make(chan proposalResult, 1)
	select {
	case n.proposals <- p:
	case <-n.stopped:
		return proposalResult{outcome: Unavailable}
	case <-ctx.Done():
		return proposalResult{outcome: Unavailable}
	}
	select {
	case result := <-p.done:
		return result
	case <-n.stopped:
		return proposalResult{outcome: Unknown}
	case <-ctx.Done():
		return proposalResult{outcome: Unknown}
	}
}

// ProposeLocal proposes a change at this instance without forwarding it. The
// outcome is Unavailable if this instance is not the leader.
func (n *Node) ProposeLocal(ctx context.Context, c *document.Change) Result {
	if original, ok := n.DecidedResult(c); ok {
		return original
	}
	n.inFlightProposals.Add(1)
	defer n.inFlightProposals.Add(-1)
	if n.draining.Load() {
		return Result{ChangeID: c.ID, Outcome: Unavailable}
	}
	data, err := json.Marshal(command{Time: n.deps.now().UTC(), Change: c})
	if err != nil {
		return Result{ChangeID: c.ID, Outcome: Invalid, Message: err.Error()}
	}
	result := n.submit(ctx, &proposal{data: data, changeID: c.ID, digest: changeDigest(c)})
	if result.outcome == Accepted {
		return result.output.result
	}
	return Result{ChangeID: c.ID, Outcome: result.outcome, Version: n.Document().Version}
}

// DecidedResult returns the recorded result of a change that was already applied at
// this instance.
func (n *Node) DecidedResult(c *document.Change) (Result, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	entry, ok := n.state.decidedEntry(c.ID)
	if !ok || entry.Digest != changeDigest(c) {
		return Result{}, false
	}
	return entry.Result, true
}

// RequestLease proposes a lease request at this instance. It returns the lease in
// force and whether the request was granted. It fails if this instance is not the
// leader or if the outcome is unknown.
func (n *Node) RequestLease(ctx context.Context, r LeaseRequest) (Lease, bool, error) {
	data, err := json.Marshal(command{Time: n.deps.now().UTC(), Lease: &r})
	if err != nil {
		return Lease{}, false, eris.Wrap(err, "encode the lease request")
	}
	result := n.submit(ctx, &proposal{data: data})
	if result.outcome != Accepted {
		return Lease{}, false, eris.Errorf("the lease request of %q is %s", r.Holder, result.outcome)
	}
	return result.output.lease, result.output.granted, nil
}

// confirmRead reports whether the applied state is linearizable for a read that
// began before the call. It returns false if this instance is not the leader.
func (n *Node) confirmRead(ctx context.Context) bool {
	r := &readRequest{confirmed: make(chan bool, 1)}
	select {
	case n.reads <- r:
	case <-n.stopped:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case ok := <-r.confirmed:
		return ok
	case <-n.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// Document returns the document applied at this instance, which may be stale.
func (n *Node) Document() *document.Document {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.document
}

// Status returns the consensus status of this instance.
func (n *Node) Status() consensus.Status {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.status
}

// Lease returns the lease applied at this instance, which may be stale.
func (n *Node) Lease() Lease {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.lease
}

// Audit returns up to limit applied audit entries with sequence numbers greater
// than after, from the audit file and the state.
func (n *Node) Audit(after uint64, limit int) ([]AuditEntry, error) {
	n.mu.RLock()
	inMemory, firstSeq := n.state.Audit(after, limit)
	n.mu.RUnlock()
	if after+1 >= firstSeq {
		return inMemory, nil
	}
	entries, err := n.deps.audit.read(after, limit)
	if err != nil {
		return nil, err
	}
	if i := slices.IndexFunc(entries, func(e AuditEntry) bool { return e.Seq >= firstSeq }); i >= 0 {
		entries = entries[:i]
	}
	entries = append(entries, inMemory...)
	return entries[:min(len(entries), limit)], nil
}

// loopError returns the error that ended the event loop, or nil.
func (n *Node) loopError() error {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.loopErr
}

// hasLeader reports whether this instance is a voting member, its event loop has
// not failed and it knows a leader.
func (n *Node) hasLeader() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.loopErr == nil && n.status.Role != consensus.Learner && n.status.Leader != ""
}

// hasGroupState reports whether the applied state came from the group. The state
// of a learner, whose empty disk has not caught up yet, must not be served.
func (n *Node) hasGroupState() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.loopErr == nil && n.status.Role != consensus.Learner
}

// waitVersion waits until at least the given version is applied and returns the
// document.
func (n *Node) waitVersion(ctx context.Context, version uint64) (*document.Document, error) {
	for {
		n.mu.RLock()
		d, changed := n.state.document, n.changed
		n.mu.RUnlock()
		if d.Version >= version {
			return d, nil
		}
		select {
		case <-changed:
		case <-n.stopped:
			return nil, eris.Errorf("the node stopped while waiting for version %d", version)
		case <-ctx.Done():
			return nil, eris.Wrapf(ctx.Err(), "wait for version %d", version)
		}
	}
}

// roleName returns the name of a role for logs and API responses.
func roleName(r consensus.Role) string {
	switch r {
	case consensus.Learner:
		return "learner"
	case consensus.Follower:
		return "follower"
	case consensus.Candidate:
		return "candidate"
	case consensus.Leader:
		return "leader"
	}
	return "unknown"
}
