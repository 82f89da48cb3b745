package control

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// submit hands a proposal to the loop and waits for its answer.
func (n *Node) submit(ctx context.Context, p *proposal) answer {
	p.done = make(chan answer, 1)
	select {
	case n.proposals <- p:
	case <-n.stopped:
		return answer{outcome: Unavailable}
	case <-ctx.Done():
		return answer{outcome: Unavailable}
	}
	select {
	case a := <-p.done:
		return a
	case <-n.stopped:
		return answer{outcome: Unknown}
	case <-ctx.Done():
		return answer{outcome: Unknown}
	}
}

// ProposeLocal submits a change to this instance alone. The outcome is
// Unavailable when it is not the leader.
func (n *Node) ProposeLocal(ctx context.Context, c *document.Change) Result {
	if first, ok := n.Decided(c); ok {
		return first
	}
	n.proposing.Add(1)
	defer n.proposing.Add(-1)
	if n.draining.Load() {
		return Result{ChangeID: c.ID, Outcome: Unavailable}
	}
	data, err := json.Marshal(command{Time: n.parts.now().UTC(), Change: c})
	if err != nil {
		return Result{ChangeID: c.ID, Outcome: Invalid, Message: err.Error()}
	}
	a := n.submit(ctx, &proposal{data: data, changeID: c.ID, digest: digestOf(c)})
	if a.outcome == Accepted {
		return a.applied.result
	}
	return Result{ChangeID: c.ID, Outcome: a.outcome, Version: n.Document().Version}
}

// Decided returns the first result of a change that this instance has applied.
func (n *Node) Decided(c *document.Change) (Result, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	entry, ok := n.state.lookup(c.ID)
	if !ok || entry.Digest != digestOf(c) {
		return Result{}, false
	}
	return entry.Result, true
}

// RequestLease submits a lease request to this instance. It returns the lease in
// force and whether the request was granted; the error tells that the instance
// is not the leader or that the outcome is unknown.
func (n *Node) RequestLease(ctx context.Context, r LeaseRequest) (Lease, bool, error) {
	data, err := json.Marshal(command{Time: n.parts.now().UTC(), Lease: &r})
	if err != nil {
		return Lease{}, false, eris.Wrap(err, "encode the lease request")
	}
	a := n.submit(ctx, &proposal{data: data})
	if a.outcome != Accepted {
		return Lease{}, false, eris.Errorf("the lease request is %s", a.outcome)
	}
	return a.applied.lease, a.applied.granted, nil
}

// confirm reports whether the applied state is linearizable for a read that
// began before the call. It is false when this instance is not the leader.
func (n *Node) confirm(ctx context.Context) bool {
	r := &read{done: make(chan bool, 1)}
	select {
	case n.reads <- r:
	case <-n.stopped:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case ok := <-r.done:
		return ok
	case <-n.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// Document returns the applied document; it may be stale.
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

// Lease returns the applied lease; it may be stale.
func (n *Node) Lease() Lease {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.lease
}

// Audit returns up to limit applied audit entries after a sequence number, from
// the file and the state.
func (n *Node) Audit(after uint64, limit int) ([]AuditEntry, error) {
	n.mu.RLock()
	kept, first := n.state.Audit(after, limit)
	n.mu.RUnlock()
	if after+1 >= first {
		return kept, nil
	}
	entries, err := n.parts.audit.read(after, limit)
	if err != nil {
		return nil, err
	}
	if i := slices.IndexFunc(entries, func(e AuditEntry) bool { return e.Seq >= first }); i >= 0 {
		entries = entries[:i]
	}
	entries = append(entries, kept...)
	return entries[:min(len(entries), limit)], nil
}

// failure returns the error that ended the loop.
func (n *Node) failure() error {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.err
}

// inTouch reports whether this instance takes part and knows a leader.
func (n *Node) inTouch() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.err == nil && n.status.Role != consensus.Learner && n.status.Leader != ""
}

// reliable reports whether the applied state came from this group: an empty
// disk that was not brought up to date holds nothing that may be served.
func (n *Node) reliable() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.err == nil && n.status.Role != consensus.Learner
}

// waitVersion returns the document once at least the given version is applied.
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
		case <-ctx.Done():
			return nil, eris.Wrapf(ctx.Err(), "wait for version %d", version)
		}
	}
}

// roleName returns the name of a role in logs and answers.
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
