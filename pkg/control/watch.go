package control

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/configwatch"
	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// heartbeatInterval is the interval at which watchers receive the version in
	// force. Watchers drop a connection after three missed heartbeats.
	heartbeatInterval = time.Second
	// maxLeaderlessHeartbeats is the number of consecutive heartbeats without a
	// leader after which a watch ends. An election is usually shorter.
	maxLeaderlessHeartbeats = 2
)

var errNoLeader = eris.New("this instance knows no leader")

// watch sends the accepted changes after a version until ctx ends. It fails when
// this instance has no leader, so that the watcher switches to another instance.
func (n *Node) watch(ctx context.Context, fromVersion uint64, stream configwatch.Sender) error {
	if !n.hasGroupState() {
		return eris.New("this instance has no state of the control group yet")
	}
	n.openWatches.Add(1)
	defer n.openWatches.Add(-1)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	// A new watch ends at its first heartbeat if there is no leader, so that the watcher
	// tries another instance immediately.
	sentVersion, leaderlessHeartbeats := fromVersion, maxLeaderlessHeartbeats-1
	for heartbeatDue := true; ; {
		n.mu.RLock()
		changed := n.changed
		n.mu.RUnlock()
		newSentVersion, err := n.sendUpdates(sentVersion, stream)
		if err == nil && heartbeatDue {
			leaderlessHeartbeats, err = n.sendHeartbeat(newSentVersion, leaderlessHeartbeats, stream)
		}
		if err != nil {
			return err
		}
		sentVersion = newSentVersion
		select {
		case <-ctx.Done():
			return nil
		case <-n.stopped:
			return nil
		case <-changed:
			heartbeatDue = false
		case <-ticker.C:
			heartbeatDue = true
		}
	}
}

// sendHeartbeat sends a heartbeat if a leader is known, and returns the number of
// consecutive heartbeats without a leader. The heartbeat never carries a version that was
// not sent, although a newer one may already be in force. A watcher that is ahead
// of this instance receives the version of this instance.
func (n *Node) sendHeartbeat(sentVersion uint64, leaderlessHeartbeats int, stream configwatch.Sender) (int, error) {
	if n.hasLeader() {
		err := stream.Send(&wire.WatchEvent{Version: min(sentVersion, n.Document().Version), Heartbeat: true})
		return 0, eris.Wrap(err, "send a heartbeat")
	}
	if leaderlessHeartbeats++; leaderlessHeartbeats >= maxLeaderlessHeartbeats {
		return leaderlessHeartbeats, errNoLeader
	}
	return leaderlessHeartbeats, nil
}

// sendUpdates sends the changes after version, or a snapshot, and returns the
// version that the watcher has after them.
func (n *Node) sendUpdates(version uint64, stream configwatch.Sender) (uint64, error) {
	n.mu.RLock()
	changes, complete := n.state.ChangesSince(version)
	n.mu.RUnlock()
	if !complete {
		return n.sendSnapshot(stream)
	}
	for _, change := range changes {
		ops, err := json.Marshal(change.Ops)
		if err != nil {
			return version, eris.Wrap(err, "encode a change")
		}
		if err := stream.Send(&wire.WatchEvent{Version: change.Version, Ops: ops}); err != nil {
			return version, eris.Wrap(err, "send a change")
		}
		version = change.Version
	}
	return version, nil
}

func (n *Node) sendSnapshot(stream configwatch.Sender) (uint64, error) {
	data, version, err := n.encodedDocument()
	if err != nil {
		return 0, err
	}
	return version, configwatch.SendSnapshot(stream, version, data)
}

// encodedDocument returns the encoded applied document and its version. Each
// version is encoded at most once.
func (n *Node) encodedDocument() ([]byte, uint64, error) {
	n.encodeMu.Lock()
	defer n.encodeMu.Unlock()
	d := n.Document()
	if n.encoded == nil || n.encodedVersion < d.Version {
		data, err := json.Marshal(d)
		if err != nil {
			return nil, 0, eris.Wrap(err, "encode the document")
		}
		n.encoded, n.encodedVersion = data, d.Version
	}
	return n.encoded, n.encodedVersion, nil
}

// rpcServer implements the server of wire.Control.
type rpcServer struct {
	node      *Node
	router    *router
	members   map[consensus.MemberID]string
	assembler assembler
}

// Step receives consensus messages from other control instances. Messages that
// cannot be decoded are dropped, as if the network had lost them.
func (s *rpcServer) Step(ctx context.Context, request *wire.StepRequest) (*wire.StepResponse, error) {
	if p := request.Piece; p != nil {
		if _, member := s.members[consensus.MemberID(p.From)]; !member {
			return nil, eris.Errorf("%q is not a member of the control group", p.From)
		}
		if data, complete := s.assembler.add(p); complete {
			// Decoding a large message can exceed the deadline of the call.
			go s.stepEncoded(context.WithoutCancel(ctx), data)
		}
	}
	for _, data := range request.Messages {
		s.stepEncoded(ctx, data)
	}
	return &wire.StepResponse{}, nil
}

func (s *rpcServer) stepEncoded(ctx context.Context, data []byte) {
	m, err := consensus.Decode(data)
	if err != nil {
		s.node.log.Warn("dropped a malformed consensus message", "bytes", len(data), "error", err)
		return
	}
	if m.To != s.router.self {
		s.node.log.Warn("dropped a consensus message for another member", "from", m.From, "to", m.To)
		return
	}
	select {
	case s.node.messages <- m:
	case <-s.node.stopped:
	case <-ctx.Done():
	}
}

// Propose submits a change to this instance if the request was forwarded, and to
// the leader otherwise.
func (s *rpcServer) Propose(ctx context.Context, request *wire.ProposeRequest) (*wire.ProposeResponse, error) {
	var c document.Change
	result := Result{Outcome: Invalid}
	switch err := json.Unmarshal(request.Change, &c); {
	case err != nil:
		result.Message = "the change cannot be decoded: " + err.Error()
	case len(request.Change) > MaxChangeBytes:
		result.Message = fmt.Sprintf("the change has %d bytes; at most %d are allowed", len(request.Change), MaxChangeBytes)
	case request.Forwarded:
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		result = s.node.ProposeLocal(ctx, &c)
	default:
		result = s.router.Propose(ctx, &c)
	}
	data, err := json.Marshal(result)
	if err != nil {
		return nil, eris.Wrap(err, "encode the result")
	}
	return &wire.ProposeResponse{Result: data}, nil
}

// Read returns the version in force. A linearizable read is confirmed by this
// instance if the request was forwarded, and by the leader otherwise.
func (s *rpcServer) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadResponse, error) {
	response := &wire.ReadResponse{Leader: string(s.node.Status().Leader)}
	switch {
	case !request.Linearizable:
		response.Version, response.Confirmed = s.node.Document().Version, s.node.hasGroupState()
	case request.Forwarded:
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		response.Confirmed = s.node.confirmRead(ctx)
		response.Version = s.node.Document().Version
	default:
		if d, err := s.router.Read(ctx); err == nil {
			response.Version, response.Confirmed = d.Version, true
		}
	}
	return response, nil
}

// Watch streams the accepted changes after a version.
func (s *rpcServer) Watch(request *wire.WatchRequest, stream wire.DRPCControl_WatchStream) error {
	return s.node.watch(stream.Context(), request.FromVersion, stream)
}
